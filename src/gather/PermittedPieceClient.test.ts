/**
 * Checks what reaches endpoints of stages that limit their request rate, and that the other endpoints take the rest.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import {
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    serviceId,
    silentLog,
    submission,
    testNotices,
    testPermits,
    TimedEndpoints,
} from "../../testing/FleetFixtures.js";
import { allowedInWindow, limitContactMs, mostInWindow } from "../../testing/LimitRule.js";
import { EndpointLimits } from "../endpoints/EndpointLimits.js";
import type { BatchTraits } from "../fleet/Types.js";
import { CellGatherer } from "./CellGatherer.js";
import { PermittedPieceClient } from "./PermittedPieceClient.js";
import type { SubmissionOutcome } from "./Types.js";

const traits: BatchTraits = {
    slots: 1,
    batch: 10,
    callMs: 150,
    pieceMs: 10,
    resultRoomBytes: 1_000_000,
    resultKeptMs: 4000,
};
const seconds = 20;

const cases: readonly { readonly name: string; readonly perSecond: number; readonly slowness: number; }[] = [
    { name: "1.3 requests a second", perSecond: 1.3, slowness: 1 },
    { name: "3 requests a second", perSecond: 3, slowness: 1 },
    { name: "3 requests a second, and slow, so that its state is queried", perSecond: 3, slowness: 3 },
];

for (const { name, perSecond, slowness } of cases) {
    // Guards against calls for pieces, and what belongs to them, that do not count against a limit (rule LIMIT).
    test(`endpoint limit of a stage: calls, freeing and queries together stay within ${name}`, async () => {
        const clock = new FakeClock();
        const limits = new EndpointLimits(clock, silentLog, noMetrics);
        const notices = testNotices(clock, undefined, silentLog, limits);
        const [self] = entryHosts(1);
        const fleet = new FixedFleet();
        fleet.set({ hosts: [self!] });
        const permits = testPermits({
            self: self!.host,
            fleet,
            limits,
            peers: new FakeNetwork(clock).addHost(self!.host),
            clock,
        });
        const endpoints = new TimedEndpoints(clock, traits);
        endpoints.notices = notices;
        endpoints.says.set("e0", { limit: String(perSecond) });
        endpoints.slowness.set("e0", slowness);
        const gatherer = new CellGatherer({
            service: serviceId("s"),
            traits: () => traits,
            client: new PermittedPieceClient(endpoints, permits, clock, silentLog),
            notices,
            clock,
            log: silentLog,
            metrics: noMetrics,
        });
        gatherer.setEndpoints(["e0", "e1", "e2"].map(id => listed(id)));
        const ends: SubmissionOutcome[] = [];
        // 60 pieces a second; two endpoints take 80 with full calls.
        for (let atMs = 0; atMs < seconds * 1000; atMs += 50) {
            gatherer.submit(submission({ pieces: [0, 1, 2], startInMs: 1000 }), end => {
                ends.push(end);
                end.ifRight(results => void gatherer.free(results));
            });
            await clock.advance(50);
        }
        await clock.advance(5000);
        const limited = endpoints.arrivals.filter(one => one.endpoint === "e0").map(one => one.atMs);
        const most = mostInWindow(limited.filter(atMs => atMs >= limited[0]! + limitContactMs));
        assert.ok(most <= allowedInWindow(perSecond), `${most} requests in 4 s`);
        // A slow endpoint gets calls only while no other is free.
        assert.ok(slowness > 1 || most >= perSecond * 2, "the limit is used");
        const made = endpoints.calls.filter(one => one.endpoint === "e0").flatMap(one => one.pieces).length;
        const freed = endpoints.freed.filter(handle => handle.startsWith("e0/")).length;
        assert.ok(freed >= made * 0.9, `${freed} of ${made} results freed`);
        const served = ends.filter(end => end.isRight()).length / ends.length;
        assert.ok(served >= 0.95, `${(served * 100).toFixed(0)} % of the submissions completed`);
    });
}
