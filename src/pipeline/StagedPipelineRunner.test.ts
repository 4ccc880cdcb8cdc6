/** One request through its stages: the outcome for each way in which a call can end. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Script } from "../../testing/pipeline/FakeStageClient.js";
import { neverAborted, PipelineBench } from "../../testing/pipeline/PipelineBench.js";

describe("StagedPipelineRunner", () => {
    it("runs the stages in order and returns the last output", async () => {
        const bench = new PipelineBench();
        const outcome = await bench.settle(bench.runner.run(bench.request("answer", { input: "x" }), neverAborted));
        assert.equal(outcome.kind, "answered");
        assert.deepEqual(bench.client.sent.map(one => one.call.stage), ["retrieve", "generate"]);
        assert.deepEqual(bench.client.sent[1]?.call.body, { input: "x", previous: { retrieve: "retrieve(\"x\")" } });
        assert.equal(outcome.kind === "answered" && outcome.answer.output, "generate(\"x\")");
        assert.equal(bench.runner.inFlight, 0);
    });

    const cases: { name: string; script: Script; kind: string; reason?: string; calls: number; }[] = [
        {
            name: "all endpoints refuse connections",
            script: () => ({ kind: "never-sent", ms: 1 }),
            kind: "not-run",
            reason: "no-endpoint",
            calls: 0,
        },
        {
            name: "every reply is invalid",
            script: () => ({ kind: "bad-reply", ms: 1 }),
            kind: "failed",
            reason: "stage-failed",
            calls: 4,
        },
        {
            name: "the first reply of each stage is invalid",
            script: call => call.attempt === 1 ? { kind: "bad-reply", ms: 1 } : { kind: "reply", ms: 1 },
            kind: "answered",
            calls: 4,
        },
        {
            name: "the stage itself fails twice",
            script: () => ({ kind: "stage-error", ms: 1 }),
            kind: "failed",
            reason: "stage-failed",
            calls: 2,
        },
        {
            name: "the connection falls silent after the call was sent",
            script: call => call.stage === "generate" ? { kind: "silent" } : { kind: "reply", ms: 1 },
            kind: "failed",
            reason: "deadline-exceeded",
            calls: 2,
        },
    ];
    for (const { name, script, kind, reason, calls } of cases) {
        it(`when ${name}: ${kind}`, async () => {
            const bench = new PipelineBench();
            bench.client.script = script;
            const outcome = await bench.settle(bench.runner.run(bench.request("answer"), neverAborted));
            assert.equal(outcome.kind, kind);
            assert.equal("reason" in outcome ? outcome.reason : undefined, reason);
            assert.equal(bench.client.sent.length, calls);
            assert.equal(outcome.kind === "not-run" && bench.client.sent.length > 0, false);
        });
    }

    it("uses another endpoint for a retry", async () => {
        const bench = new PipelineBench();
        bench.client.script = call => call.attempt === 1 ? { kind: "bad-reply", ms: 1 } : { kind: "reply", ms: 1 };
        await bench.settle(bench.runner.run(bench.request("answer"), neverAborted));
        const [first, second] = bench.client.sentFor("retrieve");
        assert.notEqual(first?.endpoint, second?.endpoint);
    });

    it("cancels the call when the caller disconnects", async () => {
        const bench = new PipelineBench();
        bench.client.script = () => ({ kind: "silent" });
        const caller = new AbortController();
        const running = bench.runner.run(bench.request("answer"), caller.signal);
        await bench.clock.advance(20);
        caller.abort();
        const outcome = await bench.settle(running, 5);
        assert.equal(outcome.kind === "failed" && outcome.reason, "cancelled");
        await bench.clock.advance(1);
        assert.equal(bench.client.sent[0]?.cancelled, true);
    });
});
