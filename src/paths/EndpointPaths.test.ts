/** Checks when a host goes through others, whom it asks, and when it goes by itself again, without network. */
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { Left, Right } from "purify-ts";
import { FakeClock } from "../../testing/FakeClock.js";
import {
    centreId,
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    serviceId,
    silentLog,
} from "../../testing/FleetFixtures.js";
import type { DataCentreId, EndpointId, HostId } from "../common/Types.js";
import type { TunnelError } from "../peer/TunnelClient.js";
import { EndpointPaths } from "./EndpointPaths.js";

const refused = { kind: "refused", message: "refused" } as const;
const endpoints = ["e0", "e1", "e2"].map(id => listed(id)).concat(listed("o0", { service: serviceId("other") }));
const id = (text: string) => text as EndpointId;

/** A host in data centre a, of a fleet whose other hosts are in the given data centres. */
function startPaths(dataCentres: readonly string[] = ["a", "b"]) {
    const clock = new FakeClock();
    const fleet = new FixedFleet();
    const hosts = entryHosts(dataCentres.length + 1).map((one, at) => ({
        ...one,
        dataCentre: centreId(at === 0 ? "a" : dataCentres[at - 1] ?? "a"),
    }));
    fleet.set({ hosts, endpoints });
    const asked: HostId[] = [];
    /** Answers of hosts; without one, a tunnel is opened. */
    const failures = new Map<HostId, TunnelError["kind"]>();
    const reached = new Set<string>();
    const paths = new EndpointPaths({
        self: hosts[0]!.host,
        dataCentre: "a" as DataCentreId,
        fleet,
        dialer: { reaches: async ({ id: one }) => reached.has(one), recordConnected: () => undefined },
        tunnels: {
            open: async host => {
                asked.push(host);
                const kind = failures.get(host);
                return kind === undefined ? Right(new Socket()) : Left({ kind, message: kind });
            },
            confirmsEnd: async () => false,
        },
        clock,
        log: silentLog,
        metrics: noMetrics,
    });
    const cutOff = (dataCentre: string) => fleet.set({ cutOff: new Set([centreId(dataCentre)]) });
    const open = (endpoint: string) => paths.open(id(endpoint), new AbortController().signal);
    const lose = (endpoint: string) => paths.recordDetour(id(endpoint), refused, hosts[1]!.host);
    const preferred = () => endpoints.filter(one => paths.isPreferred(one.id)).map(one => one.id);
    return { clock, paths, hosts, asked, failures, reached, open, lose, preferred, cutOff };
}

test("one lost path leads through others to its endpoint only, two lead there to all", () => {
    const { lose, preferred } = startPaths();
    lose("e0");
    assert.deepEqual(preferred(), ["e0"]);
    lose("e1");
    assert.deepEqual(preferred(), ["e0", "e1", "e2", "o0"]);
});

test("a direct connection between two lost paths shows that this host reaches others", async () => {
    const { clock, paths, lose, preferred } = startPaths();
    lose("e0");
    await clock.advance(10);
    paths.recordConnected(id("e2"));
    await clock.advance(10);
    lose("e1");
    assert.deepEqual(preferred(), ["e0", "e1"]);
});

test("a path that works again frees its service, and a service that is still out of reach stays", async () => {
    const { clock, paths, reached, lose, preferred } = startPaths();
    const stop = new AbortController();
    void paths.run(stop.signal);
    ["e0", "e1", "o0"].forEach(lose);
    await clock.advance(600);
    assert.deepEqual(preferred(), ["e0", "e1", "e2", "o0"]);
    reached.add("e0");
    await clock.advance(600);
    assert.deepEqual(preferred(), ["o0"]);
    reached.add("o0");
    await clock.advance(300);
    assert.deepEqual(preferred(), []);
    stop.abort();
});

test("a host of this data centre and one of another are asked first", async () => {
    const { hosts, asked, open } = startPaths(["a", "a", "b", "b"]);
    await open("e0");
    const centres = asked.map(host => hosts.find(one => one.host === host)?.dataCentre);
    assert.deepEqual(centres, ["a", "b"]);
});

test("hosts that can't help are asked last for a while", async () => {
    const { clock, hosts, asked, failures, open } = startPaths(["a", "a", "b", "b"]);
    hosts.slice(1).forEach(one => failures.set(one.host, "unavailable"));
    assert.equal((await open("e0")).swap().map(one => one.kind).extract(), "unavailable");
    const [first, second, ...others] = asked.splice(0);
    others.forEach(host => failures.delete(host));
    await clock.advance(1100);
    failures.set(first!, "unavailable");
    await open("e0");
    assert.deepEqual(asked.splice(0).slice(0, 2), [first, second], "their time is over");
    await open("e0");
    assert.deepEqual(new Set(asked.splice(0)), new Set(others), "those that helped come first");
});

test("what a sound host has not reached either is not asked of others for a while", async () => {
    const { clock, asked, failures, hosts, open } = startPaths();
    hosts.slice(1).forEach(one => failures.set(one.host, "refused"));
    const kinds = [await open("e0"), await open("e0")].map(one => one.swap().map(({ kind }) => kind).extract());
    assert.deepEqual([kinds, asked.length], [["refused", "refused"], 2]);
    await clock.advance(600);
    await open("e0");
    assert.equal(asked.length, 4);
});

// Guards against hundreds of detours while some tens of endpoints crash: each request of an endpoint made one of its own.
test("a crashed endpoint that many requests try causes few detours while it is listed, whatever hosts answer", async () => {
    const answers: readonly TunnelError["kind"][] = ["refused", "timeout", "unavailable"];
    for (const kind of answers) {
        const { clock, hosts, asked, failures, open } = startPaths(["a", "a", "b", "b"]);
        hosts.slice(1).forEach(one => failures.set(one.host, kind));
        const opened = Array.from({ length: 20 }, () => open("e0"));
        assert.equal((await Promise.all(opened)).filter(one => one.isLeft()).length, 20);
        assert.ok(asked.length <= 4, `${kind}: ${asked.length} asked for 20 requests at once`);
        for (let atMs = 0; atMs < 2000; atMs += 50) {
            await clock.advance(50);
            await open("e0");
        }
        const maxAsked = kind === "unavailable" ? 4 * 8 : 4;
        assert.ok(asked.length <= 4 + maxAsked, `${kind}: ${asked.length} asked in 2 s`);
    }
});

test("an endpoint that is reached directly again is asked of others as before", async () => {
    const { clock, paths, asked, failures, hosts, open } = startPaths();
    hosts.slice(1).forEach(one => failures.set(one.host, "refused"));
    await open("e0");
    paths.recordConnected(id("e0"));
    await open("e0");
    assert.equal(asked.length, 4);
    await clock.advance(600);
    await open("e0");
    assert.equal(asked.length, 6);
});

test("requests that wait for the first detour to an endpoint get connections of their own once it succeeds", async () => {
    const { open } = startPaths();
    const opened = await Promise.all(Array.from({ length: 5 }, () => open("e0")));
    assert.equal(new Set(opened.map(one => one.extract())).size, 5);
    assert.ok(opened.every(one => one.isRight()));
});

// Guards against a cut-off host that does not ask again, since others were slow once.
test("while the path to an endpoint is known to be lost, others are asked for each connection to it", async () => {
    const { hosts, asked, failures, open, lose } = startPaths();
    lose("e0");
    hosts.slice(1).forEach(one => failures.set(one.host, "unavailable"));
    await open("e0");
    await open("e0");
    assert.equal(asked.length, 4);
});

// Guards against waits for hosts that can't reach an endpoint's data centre either.
test("nobody is asked for an endpoint in a data centre that is told to be cut off, nor are hosts there", async () => {
    const { asked, open, cutOff } = startPaths(["b", "c"]);
    cutOff("a");
    assert.equal((await open("e0")).swap().map(one => one.kind).extract(), "cut-off");
    assert.equal(asked.length, 0);
    cutOff("b");
    await open("e0");
    assert.equal(asked.length, 1);
});

test("without another host there is no way but the direct one", async () => {
    const { paths, open } = startPaths([]);
    assert.equal(paths.isAvailable, false);
    assert.equal((await open("e0")).isLeft(), true);
});
