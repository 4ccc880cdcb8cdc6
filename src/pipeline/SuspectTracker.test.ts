/** Requests that crash their endpoints cause at most two crashes over all hosts, and other requests are answered. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { neverAborted, PipelineBench } from "../../testing/pipeline/PipelineBench.js";

/** Makes endpoints crash, with all their calls, `crashAfterMs` after they got the input "poison". */
function crashOnPoison(bench: PipelineBench, crashAfterMs: number): { crashes: number; } {
    const state = { crashes: 0 };
    const crashAtMs = new Map<string, number>();
    bench.client.script = (call, endpoint) => {
        const nowMs = bench.clock.nowMs();
        const poisonous = call.body.input === "poison";
        if (poisonous) {
            state.crashes += 1;
            crashAtMs.set(endpoint, nowMs + crashAfterMs);
        }
        const crashInMs = (crashAtMs.get(endpoint) ?? -1) - nowMs;
        return poisonous || (crashInMs >= 0 && crashInMs <= 50)
            ? { kind: "lost", ms: Math.max(0, crashInMs), crashed: true }
            : { kind: "reply", ms: 50 };
    };
    return state;
}

describe("SuspectTracker", () => {
    for (const grantsExclusive of [true, false]) {
        it(`quarantines a crashing request and answers ten others beside it (exclusive slots: ${grantsExclusive})`, async () => {
            const bench = new PipelineBench({
                pipelines: { answer: [{ name: "generate", pool: "b" }] },
                endpoints: [1, 2, 3].map(n => ({ id: `b${n}`, pool: "b", limit: 11 })),
                limits: { retryShare: 1 },
                grantsExclusive,
            });
            const state = crashOnPoison(bench, 5);
            const poison = bench.runner.run(
                bench.request("answer", { input: "poison", deadlineMs: 5000 }),
                neverAborted,
            );
            const others = Array.from(
                { length: 10 },
                (_, n) =>
                    bench.runner.run(
                        bench.request("answer", { input: `innocent ${n}`, deadlineMs: 5000 }),
                        neverAborted,
                    ),
            );
            const outcomes = await bench.settle(Promise.all(others));
            assert.deepEqual(
                outcomes.map(one => "message" in one ? one.message : one.kind),
                Array(10).fill("answered"),
            );
            const crashingOutcome = await bench.settle(poison);
            assert.equal(crashingOutcome.kind === "failed" && crashingOutcome.reason, "quarantined");
            assert.equal(state.crashes, 2);

            const resent = await bench.settle(
                bench.otherHost().run(bench.request("answer", { input: "poison" }), neverAborted),
            );
            assert.equal(resent.kind === "not-run" && resent.reason, "quarantined");
            assert.equal(state.crashes, 2);
            assert.equal(bench.quarantine.quarantined.size, 1);
        });
    }

    it("clears a suspect that ran alone without a crash", async () => {
        const bench = new PipelineBench({ pipelines: { answer: [{ name: "generate", pool: "b" }] } });
        bench.client.script = call =>
            call.attempt === 1 ? { kind: "lost", ms: 5, crashed: true } : { kind: "reply", ms: 5 };
        const outcome = await bench.settle(bench.runner.run(bench.request("answer"), neverAborted));
        assert.equal(outcome.kind, "answered");
        assert.equal(bench.quarantine.suspects.size, 0);
    });
});
