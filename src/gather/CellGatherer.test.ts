import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import {
    centreId,
    listed,
    noMetrics,
    serviceId,
    silentLog,
    submission,
    TimedEndpoints,
} from "../../testing/FleetFixtures.js";
import type { EndpointId } from "../common/Types.js";
import type { BatchTraits } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import { CellGatherer } from "./CellGatherer.js";
import type { PieceCall, Submission, SubmissionOutcome } from "./Types.js";

const traits: BatchTraits = {
    slots: 1,
    batch: 10,
    callMs: 150,
    pieceMs: 10,
    resultRoomBytes: 1_000_000,
    resultKeptMs: 4000,
};

class Site {
    public readonly clock = new FakeClock();
    public readonly endpoints: TimedEndpoints;
    public readonly gatherer: CellGatherer;
    /** Expected times of calls, in the order of their ends. */
    public readonly expectedMs: number[] = [];
    public readonly ends = new Map<string, { readonly end: SubmissionOutcome; readonly atMs: number; }>();

    public constructor(
        endpoints: number,
        bytesOf: (call: PieceCall) => number = () => 0,
        private readonly shape: BatchTraits = traits,
    ) {
        this.endpoints = new TimedEndpoints(this.clock, shape, bytesOf);
        this.gatherer = new CellGatherer({
            service: serviceId("s"),
            traits: () => this.shape,
            client: this.endpoints,
            clock: this.clock,
            log: {
                ...silentLog,
                event: (id, fields) => {
                    if (id === EventId.BatchEnded) {
                        this.expectedMs.push(Number(fields?.["expectedMs"]));
                    }
                },
            },
            metrics: noMetrics,
        });
        this.gatherer.setEndpoints(
            Array.from({ length: endpoints }, (_, at) => listed(`e${at}`, { dataCentre: centreId("a") })),
        );
    }

    public submit(fields: Partial<Submission>): string {
        const one = submission(fields);
        const startMs = this.clock.nowMs();
        this.gatherer.submit(one, end => {
            this.ends.set(one.request, { end, atMs: this.clock.nowMs() - startMs });
            end.ifRight(results => void this.gatherer.free(results));
        });
        return one.request;
    }

    public made(): readonly string[] {
        return [...this.ends].filter(([, { end }]) => end.isRight()).map(([request]) => request);
    }
}

test("pieces of many requests that wait travel in full calls", async () => {
    const site = new Site(1);
    for (let at = 0; at < 31; at++) {
        site.submit({ startInMs: 3000 });
    }
    await site.clock.advance(2000);
    assert.equal(site.made().length, 31);
    assert.deepEqual(site.endpoints.calls.map(call => call.pieces.length), [1, 10, 10, 10]);
});

test("burst of twice the capacity: what is served is on time, the rest is refused at once with a time to return", async () => {
    const site = new Site(2);
    const startInMs = 600;
    // Two endpoints make 80 pieces a second; 20 requests of 8 pieces a second ask for 160.
    for (let at = 0; at < 60; at++) {
        site.submit({ pieces: [0, 1, 2, 3, 4, 5, 6, 7], startInMs, remainingMs: 4000 });
        await site.clock.advance(50);
    }
    await site.clock.advance(4000);
    const all = [...site.ends.values()];
    const served = all.filter(({ end }) => end.isRight());
    const onTime = served.filter(({ atMs }) => atMs <= startInMs + traits.callMs + traits.batch * traits.pieceMs);
    const refused = all.filter(({ end }) => end.isLeft());
    assert.equal(all.length, 60);
    assert.ok(onTime.length >= 24, `${onTime.length} on time of the 30 that the endpoints can make`);
    const heldMs = refused.map(({ atMs }) => atMs).sort((a, b) => a - b);
    assert.ok(heldMs[Math.floor(heldMs.length / 2)]! < 100, `half were held for ${heldMs[heldMs.length >> 1]} ms`);
    for (const { end } of refused) {
        end.ifLeft(error => assert.ok(error.kind === "overloaded" && error.retryAfterMs >= 200));
    }
});

test("results that take much room: requests are not begun beyond it, and none is lost", async () => {
    const site = new Site(1, () => 100_000, { ...traits, resultRoomBytes: 1_000_000 });
    for (let at = 0; at < 12; at++) {
        site.submit({ pieces: [0, 1, 2, 3], resultBytes: 100_000, startInMs: 5000, remainingMs: 20_000 });
    }
    await site.clock.advance(6000);
    assert.equal(site.made().length, 12);
    assert.equal(site.endpoints.noRoom, 0);
});

test("an endpoint that stops replying: its pieces are made elsewhere", async () => {
    const site = new Site(2);
    site.endpoints.slowness.set("e0", Infinity);
    for (let at = 0; at < 8; at++) {
        site.submit({ startInMs: 3000, remainingMs: 8000 });
    }
    await site.clock.advance(3000);
    assert.equal(site.made().length, 8);
});

test("an endpoint whose reply is lost gets the next call as soon as it tells that it works on nothing", async () => {
    const site = new Site(1);
    site.endpoints.mute.add("e0");
    site.submit({ startInMs: 3000, remainingMs: 8000 });
    await site.clock.advance(200);
    site.endpoints.mute.clear();
    for (let at = 0; at < 8; at++) {
        site.submit({ startInMs: 3000, remainingMs: 8000 });
    }
    await site.clock.advance(1300);
    assert.equal(site.made().length, 9);
});

test("an endpoint that loses every reply is tried with one piece at a time", async () => {
    const site = new Site(2);
    site.endpoints.mute.add("e0");
    for (let at = 0; at < 60; at++) {
        site.submit({ pieces: [0, 1, 2], startInMs: 3000, remainingMs: 8000 });
        await site.clock.advance(60);
    }
    await site.clock.advance(5000);
    assert.equal(site.made().length, 60);
    const again = site.endpoints.calls.filter(call => call.endpoint === "e0").slice(1);
    assert.ok(again.length >= 2, `${again.length} further tries`);
    assert.ok(again.every(call => call.pieces.length === 1), `${again.map(call => call.pieces.length).join(" ")}`);
});

test("results of an endpoint that has ended: requests that wait for them are told by the first call that misses them", async () => {
    const site = new Site(1);
    site.endpoints.goneMakers.add("m1");
    const source = (maker: string): Submission["source"] => ({
        kind: "results",
        handles: [`${maker}/1`],
        makers: [{ endpoint: maker as EndpointId, dataCentre: centreId("a") }],
    });
    const lost = Array.from(
        { length: 30 },
        () => site.submit({ pieces: [0, 1], source: source("m1"), isContinued: true }),
    );
    const kept = Array.from(
        { length: 5 },
        () => site.submit({ pieces: [0, 1], source: source("m2"), isContinued: true }),
    );
    await site.clock.advance(800);
    assert.deepEqual(site.made(), kept);
    assert.ok(lost.every(request => site.ends.get(request)?.end.isLeft()));
    assert.ok(site.endpoints.calls.length <= 4, `${site.endpoints.calls.length} calls`);
});

test("results that one data centre can't reach: their requests go to endpoints beside them", async () => {
    const site = new Site(0);
    site.gatherer.setEndpoints([
        listed("e0", { dataCentre: centreId("a") }),
        listed("e1", { dataCentre: centreId("b") }),
    ]);
    site.endpoints.cutFrom.set("m1", "e0");
    const source: Submission["source"] = {
        kind: "results",
        handles: ["m1/1"],
        makers: [{ endpoint: "m1" as EndpointId, dataCentre: centreId("b") }],
    };
    const sent = Array.from({ length: 12 }, () => site.submit({ pieces: [0, 1], source, startInMs: 2000 }));
    await site.clock.advance(1500);
    assert.deepEqual([...site.made()].sort(), [...sent].sort());
    const missed = site.endpoints.calls.filter(call => call.endpoint === "e0");
    assert.ok(missed.length <= 2, `${missed.length} calls where the results can't be had`);
});

test("pieces that may not be made where the endpoints are: their request is told at once", async () => {
    const site = new Site(2);
    const request = site.submit({ notIn: [centreId("a")], startInMs: 3000, remainingMs: 8000 });
    await site.clock.advance(10);
    assert.equal(site.ends.get(request)?.end.isLeft(), true);
});

test("room taken by results that are not known here: calls are made no larger than what finds room", async () => {
    const site = new Site(1, () => 100_000);
    site.endpoints.unknownBytes = 600_000;
    for (let at = 0; at < 40; at++) {
        site.submit({ resultBytes: 100_000, startInMs: 3000, remainingMs: 20_000 });
    }
    await site.clock.advance(3000);
    assert.ok(site.endpoints.noRoom <= 20, `${site.endpoints.noRoom} pieces found no room`);
    assert.ok(site.made().length >= 40, `${site.made().length} made in 3 s of the 48 that 4 pieces a call come to`);
});

test("calls that make nothing tell nothing of an endpoint's speed", async () => {
    const site = new Site(1, () => 100_000);
    site.endpoints.unknownBytes = 1_000_000;
    for (let at = 0; at < 10; at++) {
        site.submit({ resultBytes: 100_000, startInMs: 3000, remainingMs: 20_000 });
        await site.clock.advance(300);
    }
    assert.ok(site.expectedMs.length >= 3, `${site.expectedMs.length} calls`);
    assert.ok(site.expectedMs.every(one => one >= traits.callMs), `expected ${site.expectedMs.join(" ")} ms`);
});

test("an endpoint that breaks every call is left alone for longer and longer", async () => {
    const site = new Site(2);
    site.endpoints.broken.add("e0");
    for (let at = 0; at < 40; at++) {
        site.submit({ startInMs: 3000, remainingMs: 8000 });
        await site.clock.advance(100);
    }
    await site.clock.advance(3000);
    assert.equal(site.made().length, 40);
    assert.ok(site.endpoints.calls.filter(call => call.endpoint === "e0").length <= 8);
});

test("an endpoint four times as slow gets calls only while that is sooner than waiting", async () => {
    const site = new Site(3);
    site.endpoints.slowness.set("e0", 4);
    for (let at = 0; at < 100; at++) {
        site.submit({ startInMs: 1000, remainingMs: 8000 });
        await site.clock.advance(30);
    }
    await site.clock.advance(3000);
    assert.equal(site.made().length, 100);
    assert.ok(site.endpoints.calls.filter(call => call.endpoint === "e0").length <= 4);
});

test("what a request gave up is freed at its maker", async () => {
    const site = new Site(1);
    const one = submission({ pieces: [0, 1], startInMs: 1000 });
    site.gatherer.submit(one, () => assert.fail("cancelled submissions are not delivered"));
    await site.clock.advance(10);
    site.gatherer.cancel(one.id);
    await site.clock.advance(1000);
    assert.equal(site.endpoints.freed.length, 2);
});

test("a service that is asked for more than it makes: requests with earlier stages behind them are kept while they can end", async () => {
    const refusedOf = async (isContinued: boolean) => {
        const site = new Site(1);
        for (let at = 0; at < 30; at++) {
            site.submit({ pieces: [0, 1, 2, 3, 4, 5, 6, 7], startInMs: 300, remainingMs: 6000, isContinued });
            await site.clock.advance(150);
        }
        await site.clock.advance(8000);
        return 30 - site.made().length;
    };
    const first = await refusedOf(false);
    const continued = await refusedOf(true);
    assert.ok(continued < first, `${continued} of 30 refused, against ${first} at their first stage`);
});

test("a burst: requests with far deadlines wait for its end, those with near ones are told at once", async () => {
    const site = new Site(1);
    const far: string[] = [];
    const near: string[] = [];
    for (let at = 0; at < 30; at++) {
        const fields = { pieces: [0, 1, 2, 3, 4, 5, 6, 7], startInMs: 300 };
        (at % 5 === 0 ? far : near).push(site.submit({ ...fields, remainingMs: at % 5 === 0 ? 15_000 : 4000 }));
        await site.clock.advance(100);
    }
    await site.clock.advance(15_000);
    const made = site.made();
    assert.deepEqual(far.filter(request => !made.includes(request)), []);
    assert.ok(near.some(request => !made.includes(request)));
});
