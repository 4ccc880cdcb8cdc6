/** Requests that crash the endpoints they run on: at most two crashes over all hosts, and the innocent are answered. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { never, PipelineBench } from "../../testing/pipeline/PipelineBench.js";

/** Endpoints that crash with all their calls as soon as the poisonous input has run for a while. */
function crashing(bench: PipelineBench, crashAfterMs: number): { crashes: number; } {
    const state = { crashes: 0 };
    const crashAtMs = new Map<string, number>();
    bench.client.script = (call, endpoint) => {
        const nowMs = bench.clock.nowMs();
        const poisonous = call.body.input === "poison";
        if (poisonous) {
            state.crashes += 1;
            crashAtMs.set(endpoint, nowMs + crashAfterMs);
        }
        const crashMs = (crashAtMs.get(endpoint) ?? -1) - nowMs;
        return poisonous || (crashMs >= 0 && crashMs <= 50)
            ? { kind: "lost", ms: Math.max(0, crashMs), crashed: true }
            : { kind: "reply", ms: 50 };
    };
    return state;
}

describe("SuspectWatch", () => {
    for (const grantsExclusive of [true, false]) {
        it(`quarantines a crashing request among ten innocent ones (exclusive slots: ${grantsExclusive})`, async () => {
            const bench = new PipelineBench({
                pipelines: { answer: [{ name: "generate", pool: "b" }] },
                endpoints: [1, 2, 3].map(n => ({ id: `b${n}`, pool: "b", limit: 11 })),
                limits: { retryShare: 1 },
                grantsExclusive,
            });
            const state = crashing(bench, 5);
            const poison = bench.runner.run(bench.request("answer", { input: "poison", deadlineMs: 5000 }), never);
            const innocent = Array.from(
                { length: 10 },
                (_, n) =>
                    bench.runner.run(bench.request("answer", { input: `innocent ${n}`, deadlineMs: 5000 }), never),
            );
            const outcomes = await bench.settle(Promise.all(innocent));
            assert.deepEqual(
                outcomes.map(one => "message" in one ? one.message : one.kind),
                Array(10).fill("answered"),
            );
            const guilty = await bench.settle(poison);
            assert.equal(guilty.kind === "failed" && guilty.reason, "quarantined");
            assert.equal(state.crashes, 2);

            const resent = await bench.settle(
                bench.otherHost().run(bench.request("answer", { input: "poison" }), never),
            );
            assert.equal(resent.kind === "not-run" && resent.reason, "quarantined");
            assert.equal(state.crashes, 2);
            assert.equal(bench.quarantine.quarantined.size, 1);
        });
    }

    it("frees a suspect that ended alone", async () => {
        const bench = new PipelineBench({ pipelines: { answer: [{ name: "generate", pool: "b" }] } });
        bench.client.script = call =>
            call.attempt === 1 ? { kind: "lost", ms: 5, crashed: true } : { kind: "reply", ms: 5 };
        const outcome = await bench.settle(bench.runner.run(bench.request("answer"), never));
        assert.equal(outcome.kind, "answered");
        assert.equal(bench.quarantine.suspects.size, 0);
    });
});
