/**
 * Runs jobs in the background: takes leases, runs each job from its last journalled stage, and commits its end. On a
 * planned stop it takes no more, waits for what ends soon, and hands the rest back for another host to go on with.
 */
import PQueue from "p-queue";
import type { Outcome } from "../common/Outcome.js";
import type { Clock, DataCentreId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { PipelineAnswer, PipelineRunner } from "../pipeline/Types.js";
import type { JobLease, Jobs } from "../records/Types.js";
import type { DrainReport, Service } from "../supervise/Types.js";

/** Jobs that one host runs at once. */
const maxJobsAtOnce = 4;
/** How long one attempt to take a job waits. */
const takeTimeoutMs = 1000;
/** Part of the grace time that a stop waits for jobs before it hands them back. */
const waitShare = 0.5;
const pollMs = 20;

export interface JobWorkerOptions {
    readonly jobs: Jobs;
    readonly runner: PipelineRunner;
    readonly config: ConfigSource;
    readonly clock: Clock;
    readonly dataCentre: DataCentreId;
}

export class JobWorker implements Service {
    public readonly name = "job-worker";
    private readonly queue = new PQueue({ concurrency: maxJobsAtOnce });
    private readonly held = new Set<JobLease>();
    private stopping = false;

    public constructor(private readonly options: JobWorkerOptions) {}

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.stopping || this.held.size >= maxJobsAtOnce || !this.mayTake()) {
                await this.options.clock.sleep(pollMs, signal);
                continue;
            }
            const lease = await this.options.jobs.take(takeTimeoutMs);
            if (lease !== undefined) {
                this.held.add(lease);
                void this.queue.add(() => this.work(lease));
            }
        }
        await this.handBackAll();
    }

    public async drain(graceMs: number): Promise<DrainReport> {
        this.stopping = true;
        const { clock } = this.options;
        const waitUntilMs = clock.nowMs() + graceMs * waitShare;
        while (this.held.size > 0 && clock.nowMs() < waitUntilMs) {
            await clock.sleep(pollMs);
        }
        await this.handBackAll();
        return { unfinished: this.held.size, what: "jobs" };
    }

    /** A data centre that was taken out starts no job; its hosts leave them to the others. */
    private mayTake(): boolean {
        const view = this.options.config.current();
        return view !== undefined && !view.outDataCentres.has(this.options.dataCentre);
    }

    private async handBackAll(): Promise<void> {
        const leases = [...this.held];
        await Promise.all(leases.map(lease => lease.handBack()));
        leases.forEach(lease => this.held.delete(lease));
    }

    private async work(lease: JobLease): Promise<void> {
        const { runner, config, clock } = this.options;
        const deadlineMs = clock.nowMs() + (config.current()?.settings.pipelines[lease.job.pipeline]?.deadlineMs ?? 0);
        const outcome = await runner.runJob(lease, deadlineMs);
        if (lease.live) {
            await this.end(lease, outcome);
        }
        this.held.delete(lease);
    }

    private async end(lease: JobLease, outcome: Outcome<PipelineAnswer>): Promise<void> {
        switch (outcome.kind) {
            case "answered":
                await lease.finish("answered", outcome.answer.output);
                return;
            case "unknown":
                await lease.finish("unknown", outcome.message);
                return;
            case "not-run":
                await lease.finish("failed", `${outcome.reason}: ${outcome.message}`);
                return;
            case "failed":
                await lease.finish("failed", `${outcome.reason}: ${outcome.message}`);
        }
    }
}
