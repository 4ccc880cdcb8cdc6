/** Load above capacity: early rejections with a retry time, workspace shares, quick calls beside overnight ones. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { neverAborted, PipelineBench, type PipelineBenchOptions } from "../../testing/pipeline/PipelineBench.js";
import type { Outcome } from "../common/Outcome.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { Priority } from "../endpoints/Types.js";
import type { PipelineAnswer } from "./Types.js";

const callMs = 100;
/** Four slots and calls of 100 ms: a capacity of 40 requests per second. */
const onePool: PipelineBenchOptions = {
    pipelines: { answer: [{ name: "generate", pool: "b" }] },
    endpoints: [{ id: "b1", pool: "b", limit: 2 }, { id: "b2", pool: "b", limit: 2 }],
};

interface Arrivals {
    readonly workspace: string;
    readonly perSecond: number;
    readonly deadlineMs?: number;
    readonly priority?: Priority;
    /** Duration of each call; 100 ms by default. */
    readonly callMs?: number;
}

interface Ended {
    readonly workspace: string;
    readonly outcome: Outcome<PipelineAnswer>;
    readonly tookMs: number;
    readonly deadlineMs: number;
}

async function load(bench: PipelineBench, arrivals: readonly Arrivals[], durationMs: number): Promise<Ended[]> {
    const ended: Promise<Ended>[] = [];
    const endMs = bench.clock.nowMs() + durationMs;
    const streams = arrivals.map(async (one, index) => {
        const random = new SeededRandom(11 + index);
        const deadlineMs = one.deadlineMs ?? 1000;
        while (true) {
            await bench.clock.sleep(-Math.log(1 - random.next()) * 1000 / one.perSecond);
            if (bench.clock.nowMs() >= endMs) {
                return;
            }
            const startMs = bench.clock.nowMs();
            const req = bench.request("answer", { ...one, deadlineMs, input: { ms: one.callMs ?? callMs } });
            ended.push(
                bench.runner.run(req, neverAborted).then(outcome => ({
                    workspace: one.workspace,
                    outcome,
                    tookMs: bench.clock.nowMs() - startMs,
                    deadlineMs,
                })),
            );
        }
    });
    await bench.settle(Promise.all(streams), 120_000, 20);
    return bench.settle(Promise.all(ended), 120_000, 20);
}

function newBench(options: PipelineBenchOptions = onePool): PipelineBench {
    const bench = new PipelineBench(options);
    bench.client.script = call => ({ kind: "reply", ms: (call.body.input as { ms: number; }).ms });
    return bench;
}

function answeredShare(ended: readonly Ended[], workspace?: string): number {
    const counted = ended.filter(one => workspace === undefined || one.workspace === workspace);
    return counted.filter(one => one.outcome.kind === "answered").length / counted.length;
}

describe("overload", () => {
    it("answers at least 95 % as many requests at twice the capacity, and rejects the rest early", async () => {
        const seconds = 20;
        const atCapacity = await load(newBench(), [{ workspace: "w1", perSecond: 40 }], seconds * 1000);
        const bench = newBench();
        const atTwice = await load(bench, [{ workspace: "w1", perSecond: 80 }], seconds * 1000);
        const answers = (ended: readonly Ended[]) => ended.filter(one => one.outcome.kind === "answered").length;
        assert.ok(answers(atTwice) >= 0.95 * answers(atCapacity), `${answers(atTwice)} and ${answers(atCapacity)}`);

        const refused = atTwice.filter(one => one.outcome.kind !== "answered");
        const sent = new Set(bench.client.sent.map(one => one.call.request));
        for (const { outcome } of refused) {
            assert.ok("retryAfterMs" in outcome && (outcome.retryAfterMs ?? 0) > 0, "a rejection has a retry time");
        }
        const atOnce = refused.filter(one => one.outcome.kind === "not-run" && one.tookMs <= 1).length;
        assert.ok(atOnce >= 0.9 * refused.length, `${atOnce} of ${refused.length} rejected immediately`);
        assert.ok(sent.size <= 1.05 * answers(atTwice), `${sent.size} ran and ${answers(atTwice)} were answered`);
    });

    it("answers a small workspace's requests during another's burst", async () => {
        const ended = await load(newBench(), [
            { workspace: "w1", perSecond: 400 },
            { workspace: "w2", perSecond: 4 },
        ], 10_000);
        assert.ok(answeredShare(ended, "w2") >= 0.98, `${answeredShare(ended, "w2")} of the small workspace`);
        assert.ok(ended.filter(one => one.outcome.kind === "answered").length >= 360);
    });

    it("neither delays quick calls by overnight ones nor starves the overnight ones", async () => {
        const ended = await load(newBench(), [
            { workspace: "w1", perSecond: 5, priority: 2, deadlineMs: 60_000, callMs: 2000 },
            { workspace: "w2", perSecond: 10, priority: 0, deadlineMs: 400 },
        ], 20_000);
        assert.ok(answeredShare(ended, "w2") >= 0.97, `${answeredShare(ended, "w2")} of the quick calls`);
        const overnight = ended.filter(one => one.workspace === "w1" && one.outcome.kind === "answered").length;
        assert.ok(overnight >= 15, `${overnight} overnight calls`);
    });

    it("serves overnight calls while quick ones fill the pool", async () => {
        const ended = await load(newBench(), [
            { workspace: "w1", perSecond: 1, priority: 2, deadlineMs: 60_000 },
            { workspace: "w2", perSecond: 80, priority: 0 },
        ], 20_000);
        const overnight = ended.filter(one => one.workspace === "w1");
        const inTurn = overnight.filter(one => one.outcome.kind === "answered" && one.tookMs <= 5000);
        assert.ok(inTurn.length >= 0.9 * overnight.length, `${inTurn.length} of ${overnight.length} within 5 s`);
        const quick = ended.filter(one => one.workspace === "w2" && one.outcome.kind === "answered").length;
        assert.ok(quick >= 0.9 * 39 * 20, `${quick} quick calls`);
    });

    it("rejects requests that cannot meet their deadline while all endpoints are slow, and recovers with them", async () => {
        const bench = newBench();
        await load(bench, [{ workspace: "w1", perSecond: 10, deadlineMs: 300 }], 5000);
        bench.client.script = () => ({ kind: "reply", ms: 600 });
        const slow = await load(bench, [{ workspace: "w1", perSecond: 10, deadlineMs: 300 }], 5000);
        assert.ok(slow.every(one => one.tookMs <= one.deadlineMs), "no rejection comes after the deadline");
        assert.equal(answeredShare(slow), 0);
        const patient = await load(bench, [{ workspace: "w2", perSecond: 3, deadlineMs: 3000 }], 10_000);
        assert.ok(answeredShare(patient) >= 0.95, `${answeredShare(patient)} with a long deadline`);
        bench.client.script = () => ({ kind: "reply", ms: callMs });
        await load(bench, [{ workspace: "w1", perSecond: 10, deadlineMs: 300 }], 30_000);
        const after = await load(bench, [{ workspace: "w1", perSecond: 10, deadlineMs: 300 }], 5000);
        assert.ok(answeredShare(after) >= 0.9, `${answeredShare(after)} afterwards`);
    });

    it("fails quickly when no endpoint accepts work", async () => {
        const bench = newBench();
        bench.slots.change("b1", { state: "out" });
        bench.slots.change("b2", { state: "leaving" });
        const startMs = bench.clock.nowMs();
        const outcome = await bench.settle(
            bench.runner.run(bench.request("answer", { deadlineMs: 60_000 }), neverAborted),
        );
        assert.equal(outcome.kind === "not-run" && outcome.reason, "no-endpoint");
        assert.ok(outcome.kind === "not-run" && outcome.retryAfterMs !== undefined);
        assert.ok(bench.clock.nowMs() - startMs < 500);
    });

    it("rejects requests above a workspace's limit in flight", async () => {
        const bench = newBench({ ...onePool, workspaces: { w1: { maxInFlight: 3 }, w2: {} } });
        const run = () => bench.runner.run(bench.request("answer", { input: { ms: callMs } }), neverAborted);
        const outcomes = await bench.settle(Promise.all([run(), run(), run(), run()]));
        assert.deepEqual(outcomes.map(one => one.kind), ["answered", "answered", "answered", "not-run"]);
    });
});
