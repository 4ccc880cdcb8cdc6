/** Non-idempotent stages: at most one call per key, despite lost replies, resends and cancellations on any host. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Behaviour } from "../../testing/pipeline/FakeStageClient.js";
import { neverAborted, PipelineBench } from "../../testing/pipeline/PipelineBench.js";
import type { Outcome } from "../common/Outcome.js";
import type { RecordsError } from "../records/Types.js";
import type { PipelineAnswer } from "./Types.js";

function textOf(outcome: Outcome<PipelineAnswer>): string {
    return outcome.kind === "answered" ? outcome.answer.output : outcome.kind;
}

const hold = { input: { cat: "Mia" }, key: "k1" };
const holdOutput = "hold({\"cat\":\"Mia\"})";

describe("NonIdempotentStage", () => {
    it("rejects a request without a key as not-run", async () => {
        const bench = new PipelineBench();
        const outcome = await bench.settle(bench.runner.run(bench.request("hold"), neverAborted));
        assert.equal(outcome.kind === "not-run" && outcome.reason, "idempotency-key-missing");
        assert.equal(bench.client.sent.length, 0);
    });

    const resends: { name: string; behaviour: Behaviour; first: string; second: string; sent: number; }[] = [
        { name: "answered", behaviour: { kind: "reply", ms: 5 }, first: holdOutput, second: holdOutput, sent: 1 },
        { name: "lost", behaviour: { kind: "lost", ms: 5 }, first: "unknown", second: "unknown", sent: 1 },
        {
            name: "crashed",
            behaviour: { kind: "lost", ms: 5, crashed: true },
            first: "unknown",
            second: "unknown",
            sent: 1,
        },
        { name: "bad reply", behaviour: { kind: "bad-reply", ms: 5 }, first: "unknown", second: "unknown", sent: 1 },
        { name: "stage error", behaviour: { kind: "stage-error", ms: 5 }, first: "failed", second: "failed", sent: 1 },
        { name: "refused", behaviour: { kind: "refused", ms: 5 }, first: "failed", second: "failed", sent: 1 },
        { name: "never sent", behaviour: { kind: "never-sent", ms: 5 }, first: "not-run", second: "not-run", sent: 0 },
    ];
    for (const { name, behaviour, first, second, sent } of resends) {
        it(`returns the recorded outcome to a resend through another host: ${name}`, async () => {
            const bench = new PipelineBench();
            bench.client.script = () => behaviour;
            const one = await bench.settle(bench.runner.run(bench.request("hold", hold), neverAborted));
            const two = await bench.settle(bench.otherHost().run(bench.request("hold", hold), neverAborted));
            assert.deepEqual([textOf(one), textOf(two)], [first, second]);
            assert.equal(bench.client.sent.length, sent);
        });
    }

    it("rejects as not-run, before any stage, while claims cannot be recorded", async () => {
        const bench = new PipelineBench();
        bench.claims.isReachable = false;
        const outcome = await bench.settle(bench.runner.run(bench.request("checkedHold", hold), neverAborted));
        assert.equal(outcome.kind === "not-run" && outcome.reason, "no-quorum");
        assert.equal(bench.client.sent.length, 0);
    });

    it("sends one call for two concurrent requests with the same key, and answers both", async () => {
        const bench = new PipelineBench();
        bench.client.script = () => ({ kind: "reply", ms: 50 });
        const both = [bench.runner, bench.otherHost()].map(host => host.run(bench.request("hold", hold), neverAborted));
        const outcomes = await bench.settle(Promise.all(both));
        assert.deepEqual(outcomes.map(textOf), [holdOutput, holdOutput]);
        assert.equal(bench.client.sent.length, 1);
    });

    it("rejects the same key with a different body", async () => {
        const bench = new PipelineBench();
        await bench.settle(bench.runner.run(bench.request("hold", hold), neverAborted));
        const other = { ...hold, input: { cat: "Tom" } };
        const outcome = await bench.settle(bench.runner.run(bench.request("hold", other), neverAborted));
        assert.equal(outcome.kind === "not-run" && outcome.reason, "key-reused");
        assert.equal(bench.client.sent.length, 1);
    });

    const claimErrors: { error: RecordsError; reason: string; }[] = [
        { error: { kind: "not-recorded", message: "no leader" }, reason: "no-quorum" },
        { error: { kind: "unknown", message: "timed out" }, reason: "no-quorum" },
        { error: { kind: "full", message: "full", retryAfterMs: 700 }, reason: "overloaded" },
    ];
    for (const { error, reason } of claimErrors) {
        it(`sends nothing when the claim ends with "${error.kind}"`, async () => {
            const bench = new PipelineBench();
            bench.claims.claimError = error;
            const outcome = await bench.settle(bench.runner.run(bench.request("hold", hold), neverAborted));
            assert.equal(outcome.kind === "not-run" && outcome.reason, reason);
            assert.ok(outcome.kind === "not-run" && (outcome.retryAfterMs ?? 0) > 0);
            assert.equal(bench.client.sent.length, 0);
        });
    }

    it("continues a sent call after its caller disconnects, so that a resend gets the answer", async () => {
        const bench = new PipelineBench();
        bench.client.script = () => ({ kind: "reply", ms: 300 });
        const caller = new AbortController();
        const running = bench.runner.run(bench.request("hold", hold), caller.signal);
        await bench.clock.advance(50);
        caller.abort();
        assert.equal((await bench.settle(running, 1)).kind, "unknown");
        assert.equal(bench.runner.inFlight, 1);
        const resent = await bench.settle(bench.otherHost().run(bench.request("hold", hold), neverAborted));
        assert.equal(textOf(resent), holdOutput);
        assert.equal(bench.client.sent.length, 1);
        assert.equal(bench.runner.inFlight, 0);
    });

    it("ends the request at the deadline while the call continues", async () => {
        const bench = new PipelineBench();
        bench.client.script = () => ({ kind: "reply", ms: 500 });
        const startMs = bench.clock.nowMs();
        const request = bench.request("hold", { ...hold, deadlineMs: 200 });
        const outcome = await bench.settle(bench.runner.run(request, neverAborted));
        assert.equal(outcome.kind, "unknown");
        assert.ok(bench.clock.nowMs() - startMs <= 201);
        const resent = await bench.settle(bench.runner.run(bench.request("hold", hold), neverAborted));
        assert.equal(textOf(resent), holdOutput);
        assert.equal(bench.client.sent.length, 1);
    });

    it("cancels a waiting call at the deadline and never sends it", async () => {
        const bench = new PipelineBench({ endpoints: [{ id: "b1", pool: "b", limit: 1 }] });
        bench.client.script = () => ({ kind: "reply", ms: 1000 });
        const first = bench.runner.run(bench.request("hold", { key: "other" }), neverAborted);
        await bench.clock.advance(10);
        const outcome = await bench.settle(
            bench.runner.run(bench.request("hold", { ...hold, deadlineMs: 200 }), neverAborted),
            201,
        );
        assert.equal(outcome.kind, "not-run");
        await bench.settle(first);
        await bench.clock.advance(5000);
        assert.equal(bench.client.sent.length, 1);
        assert.equal(bench.claims.entries.size, 1);
    });

    it("answers only once the outcome is recorded", async () => {
        const bench = new PipelineBench();
        bench.claims.finishErrors = 2;
        const outcome = await bench.settle(bench.runner.run(bench.request("hold", hold), neverAborted));
        assert.equal(textOf(outcome), holdOutput);
        assert.equal([...bench.claims.entries.values()][0]?.outcome?.kind, "answered");
    });

    it("ends as unknown when the outcome cannot be recorded", async () => {
        const bench = new PipelineBench();
        bench.claims.finishErrors = 100;
        const outcome = await bench.settle(bench.runner.run(bench.request("hold", hold), neverAborted));
        assert.equal(outcome.kind, "unknown");
    });

    it("sends at most one call per key in random runs of faults, resends and cancellations", async () => {
        const behaviour = fc.oneof<fc.Arbitrary<Behaviour>[]>(
            fc.record({ kind: fc.constant("reply" as const), ms: fc.nat(80) }),
            fc.record({ kind: fc.constant("lost" as const), ms: fc.nat(80), crashed: fc.boolean() }),
            fc.record({
                kind: fc.constantFrom("never-sent" as const, "refused" as const, "stage-error" as const),
                ms: fc.nat(40),
            }),
            fc.constant({ kind: "silent" as const }),
        );
        const sending = fc.record({
            key: fc.constantFrom("k1", "k2", "k3"),
            host: fc.nat(2),
            atMs: fc.nat(200),
            giveUpAfterMs: fc.option(fc.nat(120)),
            deadlineMs: fc.integer({ min: 20, max: 400 }),
        });
        const runs = fc.asyncProperty(
            fc.array(behaviour, { minLength: 1, maxLength: 6 }),
            fc.array(sending, { minLength: 1, maxLength: 12 }),
            fc.nat(6),
            async (behaviours, sendings, finishErrors) => {
                const bench = new PipelineBench();
                bench.claims.finishErrors = finishErrors;
                let calls = 0;
                bench.client.script = () => behaviours[calls++ % behaviours.length]!;
                const hosts = [bench.runner, bench.otherHost(), bench.otherHost()];
                const ended = sendings.map(async one => {
                    await bench.clock.sleep(one.atMs);
                    const caller = new AbortController();
                    if (one.giveUpAfterMs !== null) {
                        bench.clock.setTimer(one.giveUpAfterMs, () => caller.abort());
                    }
                    const req = bench.request("hold", { input: one.key, key: one.key, deadlineMs: one.deadlineMs });
                    const outcome = await hosts[one.host]!.run(req, caller.signal);
                    return { key: one.key, req, outcome, endedMs: bench.clock.nowMs() };
                });
                const results = await bench.settle(Promise.all(ended), 60_000, 5);
                await bench.clock.advance(60_000);
                for (const { key, req, outcome, endedMs } of results) {
                    const own = bench.client.sent.filter(one => one.call.request === req.id);
                    const all = bench.client.sent.filter(one => one.call.body.input === key);
                    assert.ok(all.length <= 1, `${key} was sent ${all.length} times`);
                    assert.ok(outcome.kind !== "not-run" || own.length === 0);
                    assert.ok(outcome.kind !== "answered" || outcome.answer.output === `hold("${key}")`);
                    assert.ok(outcome.kind !== "answered" || all.length === 1);
                    assert.ok(endedMs <= req.deadlineMs, "answered by the deadline");
                }
                assert.equal(hosts.reduce((sum, host) => sum + host.inFlight, 0), 0);
                assert.equal(bench.slots.inFlight("b1") + bench.slots.inFlight("b2"), 0);
            },
        );
        await fc.assert(runs, { seed: 6, numRuns: 60 });
    });
});
