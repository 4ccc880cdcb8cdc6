/**
 * Checks how a gatherer batches, retries and refuses pieces, with simulated endpoints that are slow, break calls, lose
 * replies or results, or have little free storage.
 */
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
    testNotices,
    TimedEndpoints,
} from "../../testing/FleetFixtures.js";
import type { EndpointId } from "../common/Types.js";
import type { BatchTraits, GatherPolicies } from "../fleet/Types.js";
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

/** One gatherer with simulated endpoints, in simulated time. */
class Site {
    public readonly clock = new FakeClock();
    public readonly endpoints: TimedEndpoints;
    public readonly notices = testNotices(this.clock);
    public readonly gatherer: CellGatherer;
    /** Expected durations of calls, in the order in which the calls ended. */
    public readonly expectedMs: number[] = [];
    public readonly outcomes = new Map<string, { readonly end: SubmissionOutcome; readonly atMs: number; }>();

    public constructor(
        endpoints: number,
        bytesOf: (call: PieceCall) => number = () => 0,
        private readonly batchTraits: BatchTraits = traits,
        policies?: GatherPolicies,
    ) {
        this.endpoints = new TimedEndpoints(this.clock, batchTraits, bytesOf);
        this.endpoints.notices = this.notices;
        this.gatherer = new CellGatherer({
            service: serviceId("s"),
            traits: () => this.batchTraits,
            client: this.endpoints,
            notices: this.notices,
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
            policies,
        });
        this.gatherer.setEndpoints(
            Array.from({ length: endpoints }, (_, at) => listed(`e${at}`, { dataCentre: centreId("a") })),
        );
    }

    /** Submits pieces and frees their results once they are delivered; returns the name of the request. */
    public submit(fields: Partial<Submission>): string {
        const one = submission(fields);
        const startMs = this.clock.nowMs();
        this.gatherer.submit(one, end => {
            this.outcomes.set(one.request, { end, atMs: this.clock.nowMs() - startMs });
            end.ifRight(results => this.gatherer.free(results));
        });
        return one.request;
    }

    public completed(): readonly string[] {
        return [...this.outcomes].filter(([, { end }]) => end.isRight()).map(([request]) => request);
    }
}

test("queued pieces of many requests are sent in full calls", async () => {
    const site = new Site(1);
    for (let at = 0; at < 31; at++) {
        site.submit({ startInMs: 3000 });
    }
    await site.clock.advance(2000);
    assert.equal(site.completed().length, 31);
    assert.deepEqual(site.endpoints.calls.map(call => call.pieces.length), [1, 10, 10, 10]);
});

// Guards against a process that ends, and pieces that wait for good, since a call or a report has thrown.
test("pieces of an endpoint whose calls throw are run by another one, and it is used again afterwards", async () => {
    const site = new Site(2, () => 10, traits, { reservesStorage: true, fillsCalls: false });
    site.endpoints.throwing.add("e0");
    await site.clock.advance(1000);
    const requests = [1, 2, 3].map(() => site.submit({ startInMs: 3000, pieces: [0, 1, 2, 3, 4] }));
    await site.clock.advance(4000);
    assert.deepEqual([...site.completed()].sort(), requests.sort());
    site.endpoints.throwing.clear();
    site.endpoints.broken.add("e1");
    const next = site.submit({ startInMs: 3000 });
    await site.clock.advance(4000);
    assert.ok(site.completed().includes(next));
});

test("in a burst of twice the capacity, most requests that can complete are on time, and most refusals come at once, all with retry advice", async () => {
    const site = new Site(2);
    const startInMs = 600;
    // Two endpoints complete 80 pieces per second; 20 requests of 8 pieces per second need 160.
    for (let at = 0; at < 60; at++) {
        site.submit({ pieces: [0, 1, 2, 3, 4, 5, 6, 7], startInMs, remainingMs: 4000 });
        await site.clock.advance(50);
    }
    await site.clock.advance(4000);
    const all = [...site.outcomes.values()];
    const served = all.filter(({ end }) => end.isRight());
    const onTime = served.filter(({ atMs }) => atMs <= startInMs + traits.callMs + traits.batch * traits.pieceMs);
    const refused = all.filter(({ end }) => end.isLeft());
    assert.equal(all.length, 60);
    assert.ok(onTime.length >= 24, `${onTime.length} on time of the 30 that the endpoints can complete`);
    const heldMs = refused.map(({ atMs }) => atMs).sort((a, b) => a - b);
    assert.ok(
        heldMs[Math.floor(heldMs.length / 2)]! < 100,
        `the median time to a refusal is ${heldMs[heldMs.length >> 1]} ms`,
    );
    for (const { end } of refused) {
        end.ifLeft(error => assert.ok(error.kind === "overloaded" && error.retryAfterMs >= 200));
    }
});

test("requests with large results are not started beyond the endpoint's storage, and all complete", async () => {
    const site = new Site(1, () => 100_000, { ...traits, resultRoomBytes: 1_000_000 });
    for (let at = 0; at < 12; at++) {
        site.submit({ pieces: [0, 1, 2, 3], resultBytes: 100_000, startInMs: 5000, remainingMs: 20_000 });
    }
    await site.clock.advance(6000);
    assert.equal(site.completed().length, 12);
    assert.equal(site.endpoints.storageShortages, 0);
});

test("the pieces of an endpoint that stops replying complete at another one", async () => {
    const site = new Site(2);
    site.endpoints.slowness.set("e0", Infinity);
    for (let at = 0; at < 8; at++) {
        site.submit({ startInMs: 3000, remainingMs: 8000 });
    }
    await site.clock.advance(3000);
    assert.equal(site.completed().length, 8);
});

test("an endpoint whose reply was lost gets the next call as soon as it reports that it is idle", async () => {
    const site = new Site(1);
    site.endpoints.endpointsLosingReplies.add("e0");
    site.submit({ startInMs: 3000, remainingMs: 8000 });
    await site.clock.advance(200);
    site.endpoints.endpointsLosingReplies.clear();
    for (let at = 0; at < 8; at++) {
        site.submit({ startInMs: 3000, remainingMs: 8000 });
    }
    await site.clock.advance(1300);
    assert.equal(site.completed().length, 9);
});

test("an endpoint whose replies are all lost gets one piece at a time after its first call", async () => {
    const site = new Site(2);
    site.endpoints.endpointsLosingReplies.add("e0");
    for (let at = 0; at < 60; at++) {
        site.submit({ pieces: [0, 1, 2], startInMs: 3000, remainingMs: 8000 });
        await site.clock.advance(60);
    }
    await site.clock.advance(5000);
    assert.equal(site.completed().length, 60);
    const laterCalls = site.endpoints.calls.filter(call => call.endpoint === "e0").slice(1);
    assert.ok(laterCalls.length >= 2, `${laterCalls.length} further calls`);
    assert.ok(
        laterCalls.every(call => call.pieces.length === 1),
        `pieces per further call: ${laterCalls.map(call => call.pieces.length).join(" ")}`,
    );
});

test("the first call that can't fetch the results of an ended endpoint fails all queued requests that need them", async () => {
    const site = new Site(1);
    site.endpoints.endpointsWithLostResults.add("m1");
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
    assert.deepEqual(site.completed(), kept);
    assert.ok(lost.every(request => site.outcomes.get(request)?.end.isLeft()));
    assert.ok(site.endpoints.calls.length <= 4, `${site.endpoints.calls.length} calls`);
});

test("requests whose sources one data centre can't reach run in the data centre of the sources", async () => {
    const site = new Site(0);
    site.gatherer.setEndpoints([
        listed("e0", { dataCentre: centreId("a") }),
        listed("e1", { dataCentre: centreId("b") }),
    ]);
    site.endpoints.unreachableFrom.set("m1", "e0");
    const source: Submission["source"] = {
        kind: "results",
        handles: ["m1/1"],
        makers: [{ endpoint: "m1" as EndpointId, dataCentre: centreId("b") }],
    };
    const sent = Array.from({ length: 12 }, () => site.submit({ pieces: [0, 1], source, startInMs: 2000 }));
    await site.clock.advance(1500);
    assert.deepEqual([...site.completed()].sort(), [...sent].sort());
    const failedCalls = site.endpoints.calls.filter(call => call.endpoint === "e0");
    assert.ok(failedCalls.length <= 2, `${failedCalls.length} calls where the results can't be fetched`);
});

test("a submission that must avoid the data centres of all endpoints fails at once", async () => {
    const site = new Site(2);
    const request = site.submit({ notIn: [centreId("a")], startInMs: 3000, remainingMs: 8000 });
    await site.clock.advance(10);
    assert.equal(site.outcomes.get(request)?.end.isLeft(), true);
});

test("calls shrink to the free storage when unknown results occupy the rest", async () => {
    const site = new Site(1, () => 100_000);
    site.endpoints.untrackedBytes = 600_000;
    for (let at = 0; at < 40; at++) {
        site.submit({ resultBytes: 100_000, startInMs: 3000, remainingMs: 20_000 });
    }
    await site.clock.advance(3000);
    assert.ok(site.endpoints.storageShortages <= 20, `${site.endpoints.storageShortages} pieces did not fit`);
    assert.ok(
        site.completed().length >= 40,
        `${site.completed().length} completed in 3 s; calls of 4 pieces would complete 48`,
    );
});

test("calls in which no piece completes do not change the estimate of an endpoint's speed", async () => {
    const site = new Site(1, () => 100_000);
    site.endpoints.untrackedBytes = 1_000_000;
    for (let at = 0; at < 10; at++) {
        site.submit({ resultBytes: 100_000, startInMs: 3000, remainingMs: 20_000 });
        await site.clock.advance(300);
    }
    assert.ok(site.expectedMs.length >= 3, `${site.expectedMs.length} calls`);
    assert.ok(site.expectedMs.every(one => one >= traits.callMs), `expected ${site.expectedMs.join(" ")} ms`);
});

test("an endpoint that breaks every call gets few calls because of its backoff, and all requests complete", async () => {
    const site = new Site(2);
    site.endpoints.broken.add("e0");
    for (let at = 0; at < 40; at++) {
        site.submit({ startInMs: 3000, remainingMs: 8000 });
        await site.clock.advance(100);
    }
    await site.clock.advance(3000);
    assert.equal(site.completed().length, 40);
    assert.ok(site.endpoints.calls.filter(call => call.endpoint === "e0").length <= 8);
});

test("an endpoint that is four times slower than the others gets few calls, and all requests complete", async () => {
    const site = new Site(3);
    site.endpoints.slowness.set("e0", 4);
    for (let at = 0; at < 100; at++) {
        site.submit({ startInMs: 1000, remainingMs: 8000 });
        await site.clock.advance(30);
    }
    await site.clock.advance(3000);
    assert.equal(site.completed().length, 100);
    assert.ok(site.endpoints.calls.filter(call => call.endpoint === "e0").length <= 4);
});

// Guards against a gatherer that spends its time on one message to an endpoint for each request whose results are used.
test("the results of many requests that are used at about the same time are freed by few messages", async () => {
    const site = new Site(2);
    for (let at = 0; at < 100; at++) {
        site.submit({ startInMs: 3000 });
    }
    await site.clock.advance(3000);
    assert.equal(site.endpoints.freed.length, 100);
    const messages = site.endpoints.arrivals.length - site.endpoints.calls.length;
    assert.ok(
        messages <= site.endpoints.calls.length * 2,
        `${messages} messages for ${site.endpoints.calls.length} calls`,
    );
});

test("the results of a cancelled submission are freed at their endpoint", async () => {
    const site = new Site(1);
    const one = submission({ pieces: [0, 1], startInMs: 1000 });
    site.gatherer.submit(one, () => assert.fail("cancelled submissions are not delivered"));
    await site.clock.advance(10);
    site.gatherer.cancel(one.id);
    await site.clock.advance(1000);
    assert.equal(site.endpoints.freed.length, 2);
});

test("under overload, fewer requests with completed earlier stages are refused than requests at their first stage", async () => {
    const refusedOf = async (isContinued: boolean) => {
        const site = new Site(1);
        for (let at = 0; at < 30; at++) {
            site.submit({ pieces: [0, 1, 2, 3, 4, 5, 6, 7], startInMs: 300, remainingMs: 6000, isContinued });
            await site.clock.advance(150);
        }
        await site.clock.advance(8000);
        return 30 - site.completed().length;
    };
    const first = await refusedOf(false);
    const continued = await refusedOf(true);
    assert.ok(continued < first, `${continued} of 30 refused, compared with ${first} at their first stage`);
});

test("in a burst, all requests with distant deadlines complete, and some with near deadlines do not", async () => {
    const site = new Site(1);
    const far: string[] = [];
    const near: string[] = [];
    for (let at = 0; at < 30; at++) {
        const fields = { pieces: [0, 1, 2, 3, 4, 5, 6, 7], startInMs: 300 };
        (at % 5 === 0 ? far : near).push(site.submit({ ...fields, remainingMs: at % 5 === 0 ? 15_000 : 4000 }));
        await site.clock.advance(100);
    }
    await site.clock.advance(15_000);
    const completed = site.completed();
    assert.deepEqual(far.filter(request => !completed.includes(request)), []);
    assert.ok(near.some(request => !completed.includes(request)));
});

test("an endpoint that says it is leaving gets no further call, and its results are freed", async () => {
    const site = new Site(2);
    site.endpoints.says.set("e0", { leaving: "1" });
    for (let at = 0; at < 20; at++) {
        site.submit({ pieces: [0, 1, 2, 3, 4, 5, 6, 7, 8, 9], remainingMs: 20_000 });
    }
    await site.clock.advance(12_000);
    const callsAt = (endpoint: string) => site.endpoints.calls.filter(one => one.endpoint === endpoint).length;
    assert.equal(site.completed().length, 20);
    assert.deepEqual([callsAt("e0"), callsAt("e1")], [1, 19]);
    assert.equal(site.endpoints.freed.filter(handle => handle.startsWith("e0/")).length, 10);
});

test("an endpoint that asks for a pause gets no call until its end, and calls again afterwards", async () => {
    const site = new Site(1);
    site.endpoints.full.add("e0");
    site.endpoints.says.set("e0", { pause: "1000" });
    site.submit({ pieces: [0], remainingMs: 20_000 });
    await site.clock.advance(10);
    site.endpoints.full.clear();
    site.endpoints.says.clear();
    await site.clock.advance(980);
    assert.equal(site.endpoints.calls.length, 1);
    await site.clock.advance(1000);
    assert.equal(site.completed().length, 1);
});

// Guards against calls whose results don't fit, since those of a call that counts as refused are stored there.
test("results of a call whose refusal may be an earlier one count as stored until the endpoint reports", async () => {
    const bytes = 600_000;
    const site = new Site(1, () => bytes, traits, { reservesStorage: true, fillsCalls: false });
    await site.clock.advance(1000);
    site.endpoints.repeatingRefusals.add("e0");
    site.submit({ pieces: [0], resultBytes: bytes, remainingMs: 20_000 });
    await site.clock.advance(5);
    site.endpoints.repeatingRefusals.clear();
    await site.clock.advance(traits.resultKeptMs - 100);
    assert.equal(site.endpoints.storageShortages, 0);
});

// Guards against an endpoint that gets one piece at a time as after a failure, though it was only full.
test("an endpoint whose refusal may be an earlier one is not suspect", async () => {
    const site = new Site(1);
    site.endpoints.repeatingRefusals.add("e0");
    site.submit({ pieces: [0, 1, 2], remainingMs: 20_000 });
    await site.clock.advance(5);
    site.endpoints.repeatingRefusals.clear();
    await site.clock.advance(5000);
    assert.deepEqual(site.endpoints.calls.map(one => one.pieces.length), [3, 3]);
});
