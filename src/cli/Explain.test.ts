/** Checks which log entries are selected to explain a request, and in which order. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { explainRequest } from "./Explain.js";
import type { TimelineEntry } from "./Timeline.js";

function entry(atMs: number, host: string, name: string, fields: object = {}): TimelineEntry {
    const hlc = `${String(1_000_000 + atMs).padStart(14, "0")}-000000-${host}`;
    return { hlc, host, event: 1, name, ...fields };
}

const entries = [
    entry(0, "h1", "FleetViewChanged", { config: 1 }),
    entry(10, "h2", "FleetViewChanged", { config: 1 }),
    entry(500, "h1", "FleetViewChanged", { config: 2 }),
    entry(900, "h1", "EndpointSuspected", { endpoint: "e1" }),
    entry(950, "h1", "EndpointSuspected", { endpoint: "e9" }),
    entry(1000, "h1", "GatewayRequestTaken", { request: "r1" }),
    entry(1005, "h1", "GatewayRequestTaken", { request: "r2" }),
    entry(1010, "h1", "PiecesSubmitted", { request: "r1", gatherer: "h2" }),
    entry(1100, "h2", "BatchEnded", { requests: ["r0", "r1"], endpoint: "e2" }),
    entry(1150, "h1", "GathererLost", { gatherer: "h2" }),
    entry(1200, "h1", "EndpointAttemptEnded", { request: "r1", endpoint: "e1" }),
    entry(1300, "h1", "GatewayRequestEnded", { request: "r1" }),
    entry(1400, "h1", "EndpointSuspected", { endpoint: "e1" }),
];

test("an explained request has its events, the state known to its hosts, and related problems", () => {
    const lines = explainRequest(entries, "r1").map(({ entry: one, part }) => `${part} ${one.host} ${one.name}`);
    assert.deepEqual(lines, [
        "trouble h1 EndpointSuspected",
        "belief h1 FleetViewChanged",
        "own h1 GatewayRequestTaken",
        "own h1 PiecesSubmitted",
        "belief h2 FleetViewChanged",
        "own h2 BatchEnded",
        "trouble h1 GathererLost",
        "own h1 EndpointAttemptEnded",
        "own h1 GatewayRequestEnded",
    ]);
    assert.equal(
        explainRequest(entries, "r1")[1]!.entry["config"],
        2,
        "the state is the newest one before the request",
    );
});

test("of a request that went through another host, the lost path and the helper's own troubles are shown", () => {
    const lines = explainRequest([
        entry(0, "h3", "CutOffFromEndpoints", { endpoints: ["e7"] }),
        entry(10, "h1", "EndpointPathLost", { endpoint: "e1", through: "h3" }),
        entry(15, "h1", "EndpointPathLost", { endpoint: "e8", through: "h4" }),
        entry(20, "h1", "DetourTried", { endpoint: "e1", through: "h3" }),
        entry(90, "h1", "EndpointAttemptEnded", { request: "r1", endpoint: "e1", through: "h3" }),
    ], "r1").map(({ entry: one }) => `${one.host} ${one.name}`);
    assert.deepEqual(lines, [
        "h3 CutOffFromEndpoints",
        "h1 EndpointPathLost",
        "h1 DetourTried",
        "h1 EndpointAttemptEnded",
    ]);
});

test("a request that no event names has no entries", () => {
    assert.deepEqual(explainRequest(entries, "r7"), []);
});
