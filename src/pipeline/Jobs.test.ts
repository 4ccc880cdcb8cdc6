/** Jobs: journalling between stages, resumption on another host, retries of temporary failures, lost leases. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Left, Right } from "purify-ts";
import { PipelineBench } from "../../testing/pipeline/PipelineBench.js";
import type { HostId, JobId, PipelineId, WorkspaceId } from "../common/Types.js";
import type { JobLease } from "../records/Types.js";

class FakeLease implements JobLease {
    public readonly log: string[] = [];
    public readonly controller = new AbortController();
    public live = true;
    public journalFails = false;
    public readonly job: JobLease["job"];

    public constructor(
        private readonly bench: PipelineBench,
        stages: Record<string, string>,
        run: number,
        pipeline: string,
    ) {
        this.job = {
            id: "j1" as JobId,
            workspace: "w1" as WorkspaceId,
            pipeline: pipeline as PipelineId,
            input: "x",
            state: "running",
            stages,
            runner: "h1" as HostId,
            run,
            answer: undefined,
            message: undefined,
        };
    }

    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    public async journal(stage: string, output: string) {
        this.log.push(`journal ${stage} after ${this.bench.client.sent.length} calls: ${output}`);
        return this.journalFails ? Left({ kind: "not-recorded" as const, message: "no quorum" }) : Right(undefined);
    }

    public async finish() {
        return Right(undefined);
    }

    public async handBack(): Promise<void> {}

    /** Simulates that another host has taken the lease. */
    public lose(): void {
        this.live = false;
        this.controller.abort();
    }
}

function jobOn(bench: PipelineBench, stages: Record<string, string> = {}, run = 1, pipeline = "answer") {
    const lease = new FakeLease(bench, stages, run, pipeline);
    return { lease, run: () => bench.runner.runJob(lease, bench.clock.nowMs() + 30_000) };
}

describe("runJob", () => {
    it("journals each stage before sending the next", async () => {
        const bench = new PipelineBench();
        const { lease, run } = jobOn(bench);
        const outcome = await bench.settle(run());
        assert.equal(outcome.kind === "answered" && outcome.answer.output, "generate(\"x\")");
        assert.deepEqual(lease.log, [
            "journal retrieve after 1 calls: retrieve(\"x\")",
            "journal generate after 2 calls: generate(\"x\")",
        ]);
    });

    it("continues after the last journalled stage, with new attempt numbers", async () => {
        const bench = new PipelineBench();
        const outcome = await bench.settle(jobOn(bench, { retrieve: "kept" }, 2).run());
        assert.equal(outcome.kind, "answered");
        assert.deepEqual(bench.client.sent.map(one => one.call.stage), ["generate"]);
        assert.equal(bench.client.sent[0]?.call.body.previous["retrieve"], "kept");
        const first = new PipelineBench();
        await first.settle(jobOn(first, { retrieve: "kept" }, 1).run());
        assert.notEqual(first.client.sent[0]?.call.attempt, bench.client.sent[0]?.call.attempt);
    });

    it("sends no further calls once the lease is lost", async () => {
        const bench = new PipelineBench();
        bench.client.script = () => ({ kind: "reply", ms: 100 });
        const { lease, run } = jobOn(bench);
        const running = run();
        await bench.clock.advance(50);
        lease.lose();
        const outcome = await bench.settle(running);
        assert.equal(outcome.kind === "failed" && outcome.reason, "cancelled");
        await bench.clock.advance(5000);
        assert.equal(bench.client.sent.length, 1);
        assert.deepEqual(lease.log, []);
    });

    it("does not start a stage when the previous one could not be journalled", async () => {
        const bench = new PipelineBench();
        const { lease, run } = jobOn(bench);
        lease.journalFails = true;
        const outcome = await bench.settle(run());
        assert.equal(outcome.kind === "failed" && outcome.reason, "no-quorum");
        assert.equal(bench.client.sent.length, 1);
    });

    it("waits until endpoints accept work again", async () => {
        const bench = new PipelineBench();
        bench.slots.change("b1", { state: "out" });
        bench.slots.change("b2", { state: "out" });
        bench.clock.setTimer(8000, () => bench.slots.change("b2", { state: "warm" }));
        const outcome = await bench.settle(jobOn(bench).run());
        assert.equal(outcome.kind, "answered");
    });

    it("never ends a job as not-run, since an earlier run may have sent calls", async () => {
        const bench = new PipelineBench();
        const outcome = await bench.settle(jobOn(bench, {}, 2, "no-such-pipeline").run());
        assert.equal(outcome.kind, "failed");
    });

    it("sends a non-idempotent stage once over two runs of the job", async () => {
        const bench = new PipelineBench();
        bench.client.script = () => ({ kind: "lost", ms: 5 });
        const first = await bench.settle(jobOn(bench, {}, 1, "hold").run());
        const second = await bench.settle(jobOn(bench, {}, 2, "hold").run());
        assert.deepEqual([first.kind, second.kind], ["unknown", "unknown"]);
        assert.equal(bench.client.sent.length, 1);
    });
});
