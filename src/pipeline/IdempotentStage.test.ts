/** Retries, hedges and resumed streams of idempotent stages. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Script } from "../../testing/pipeline/FakeStageClient.js";
import { neverAborted, PipelineBench } from "../../testing/pipeline/PipelineBench.js";
import type { PipelineBenchOptions } from "../../testing/pipeline/PipelineBench.js";
import { joinOverlapChars } from "./IdempotentStage.js";

const text = "the whole summary of the chapter, as long as it takes to be cut at many places";
const oneStage: PipelineBenchOptions = {
    pipelines: { answer: [{ name: "generate", pool: "b", stream: true }] },
};

/** Collects the forwarded output, and checks that it arrives in order. */
class ReceivedOutput {
    public text = "";

    public onOutput(offset: number, part: string): void {
        assert.equal(offset, this.text.length, "output arrives in order, without gap or overlap");
        this.text += part;
    }
}

describe("IdempotentStage streams", () => {
    for (let cut = 0; cut <= text.length; cut += 6) {
        it(`resumes after a break at character ${cut}`, async () => {
            const bench = new PipelineBench(oneStage);
            bench.client.script = call =>
                call.attempt === 1
                    ? { kind: "lost", ms: 5, received: text.slice(0, cut) }
                    : { kind: "reply", ms: 20, output: text, chunks: 4 };
            const received = new ReceivedOutput();
            const outcome = await bench.settle(bench.runner.run(bench.request("answer"), neverAborted, received));
            assert.equal(outcome.kind === "answered" && outcome.answer.output, text);
            assert.equal(received.text, text);
            const second = bench.client.sent[1]!.call;
            assert.equal(second.resumeFrom?.offset ?? 0, Math.max(0, cut - joinOverlapChars));
            assert.notEqual(bench.client.sent[0]?.endpoint, bench.client.sent[1]?.endpoint);
        });
    }

    it("keeps resuming when each connection breaks after one more chunk", async () => {
        const bench = new PipelineBench(oneStage);
        bench.client.script = call => {
            const reached = (call.resumeFrom?.offset ?? 0) + joinOverlapChars + 3;
            return reached < text.length
                ? { kind: "lost", ms: 5, received: text.slice(0, reached) }
                : { kind: "reply", ms: 5, output: text };
        };
        const received = new ReceivedOutput();
        const outcome = await bench.settle(bench.runner.run(bench.request("answer"), neverAborted, received));
        assert.equal(outcome.kind, "answered");
        assert.equal(received.text, text);
        assert.equal(new Set(bench.client.sent.map(one => one.call.attempt)).size, bench.client.sent.length);
    });

    it("fails instead of joining output that differs from what was forwarded", async () => {
        const bench = new PipelineBench(oneStage);
        bench.client.script = call =>
            call.attempt === 1
                ? { kind: "lost", ms: 5, received: "the whole" }
                : { kind: "reply", ms: 5, output: "another summary" };
        const received = new ReceivedOutput();
        const outcome = await bench.settle(bench.runner.run(bench.request("answer"), neverAborted, received));
        assert.equal(outcome.kind, "failed");
        assert.equal(outcome.kind === "failed" && outcome.repeat, "safe");
        assert.equal(received.text, "the whole");
    });

    it("starts over when nothing was forwarded and the join fails", async () => {
        const bench = new PipelineBench({ pipelines: { answer: [{ name: "generate", pool: "b" }] } });
        bench.client.script = call =>
            call.attempt === 1
                ? { kind: "lost", ms: 5, received: "the whole" }
                : { kind: "reply", ms: 5, output: "another summary" };
        const outcome = await bench.settle(bench.runner.run(bench.request("answer"), neverAborted));
        assert.equal(outcome.kind === "answered" && outcome.answer.output, "another summary");
        assert.equal(bench.client.sent[2]?.call.resumeFrom, undefined);
    });
});

describe("IdempotentStage hedges", () => {
    const hedged: PipelineBenchOptions = {
        pipelines: { answer: [{ name: "generate", pool: "b", hedge: true }] },
    };
    const run = async (script: Script) => {
        const bench = new PipelineBench(hedged);
        bench.client.script = () => ({ kind: "reply", ms: 10 });
        for (let index = 0; index < 30; index++) {
            await bench.settle(bench.runner.run(bench.request("answer"), neverAborted));
        }
        const before = bench.client.sent.length;
        bench.client.script = script;
        const startMs = bench.clock.nowMs();
        const outcome = await bench.settle(bench.runner.run(bench.request("answer"), neverAborted));
        return { bench, outcome, calls: bench.client.sent.slice(before), tookMs: bench.clock.nowMs() - startMs };
    };

    it("sends a second call to another endpoint when the first is slow, and cancels the loser", async () => {
        const script: Script = call => ({ kind: "reply", ms: call.attempt === 1 ? 1000 : 10 });
        const { bench, outcome, calls, tookMs } = await run(script);
        assert.equal(outcome.kind, "answered");
        assert.ok(tookMs < 100, `took ${tookMs} ms`);
        assert.equal(calls.length, 2);
        assert.notEqual(calls[0]?.endpoint, calls[1]?.endpoint);
        await bench.clock.advance(1);
        assert.equal(calls[0]?.cancelled, true);
        assert.equal(outcome.kind === "answered" && outcome.answer.stages[0]?.hedges, 1);
    });

    it("uses the first call's reply when the hedge fails", async () => {
        const script: Script = call => call.attempt === 1 ? { kind: "reply", ms: 60 } : { kind: "bad-reply", ms: 1 };
        const { outcome, calls } = await run(script);
        assert.equal(outcome.kind, "answered");
        assert.equal(calls.length, 2);
    });

    it("sends no hedge for a fast call", async () => {
        const { calls } = await run(() => ({ kind: "reply", ms: 5 }));
        assert.equal(calls.length, 1);
    });
});

describe("IdempotentStage retries", () => {
    it("limits retries during an outage to their share of the calls", async () => {
        const bench = new PipelineBench({ ...oneStage, limits: { retryShare: 0.2 } });
        bench.client.script = () => ({ kind: "bad-reply", ms: 5 });
        const requests = 400;
        const ended: Promise<unknown>[] = [];
        for (let index = 0; index < requests; index++) {
            ended.push(bench.runner.run(bench.request("answer"), neverAborted));
            await bench.clock.advance(5);
        }
        await bench.settle(Promise.all(ended));
        const calls = bench.client.sent.length;
        assert.ok(calls <= requests * 1.2 + 20, `${calls} calls for ${requests} requests`);
    });
});
