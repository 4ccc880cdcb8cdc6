/**
 * Runs jobs in the background: takes leases, runs each job from its last journalled stage, and commits its end. On a
 * planned stop it takes no more jobs, waits for running ones to end, and hands the rest back so that another host
 * continues them.
 */
import PQueue from "p-queue";
import type { Outcome } from "../common/Outcome.js";
import type { Clock, DataCentreId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { PipelineAnswer, PipelineRunner } from "../pipeline/Types.js";
import type { JobLease, Jobs } from "../records/Types.js";
import type { DrainReport, Service } from "../supervise/Types.js";

/** Maximum number of jobs that one host runs concurrently. */
const maxConcurrentJobs = 4;
/** Timeout of one attempt to take a job. */
const takeTimeoutMs = 1000;
/** Share of the grace time that a stop waits for jobs before it hands them back. */
const drainWaitShare = 0.5;
/** Poll interval while no job may be taken, and during a drain. */
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
    private readonly queue = new PQueue({ concurrency: maxConcurrentJobs });
    private readonly heldLeases = new Set<JobLease>();
    private stopping = false;

    public constructor(private readonly options: JobWorkerOptions) {}

    public async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.stopping || this.heldLeases.size >= maxConcurrentJobs || !this.canTakeJobs()) {
                await this.options.clock.sleep(pollMs, signal);
                continue;
            }
            const lease = await this.options.jobs.take(takeTimeoutMs);
            if (lease !== undefined) {
                this.heldLeases.add(lease);
                void this.queue.add(() => this.runJob(lease));
            }
        }
        await this.handBackAll();
    }

    public async drain(graceMs: number): Promise<DrainReport> {
        this.stopping = true;
        const { clock } = this.options;
        const waitUntilMs = clock.nowMs() + graceMs * drainWaitShare;
        while (this.heldLeases.size > 0 && clock.nowMs() < waitUntilMs) {
            await clock.sleep(pollMs);
        }
        await this.handBackAll();
        return { unfinished: this.heldLeases.size, what: "jobs" };
    }

    /** Hosts of a data centre that was taken out of service take no jobs. */
    private canTakeJobs(): boolean {
        const view = this.options.config.current();
        return view !== undefined && !view.outDataCentres.has(this.options.dataCentre);
    }

    private async handBackAll(): Promise<void> {
        const leases = [...this.heldLeases];
        await Promise.all(leases.map(lease => lease.handBack()));
        leases.forEach(lease => this.heldLeases.delete(lease));
    }

    private async runJob(lease: JobLease): Promise<void> {
        const { runner, config, clock } = this.options;
        const deadlineMs = clock.nowMs() + (config.current()?.settings.pipelines[lease.job.pipeline]?.deadlineMs ?? 0);
        const outcome = await runner.runJob(lease, deadlineMs);
        if (lease.live) {
            await this.finishJob(lease, outcome);
        }
        this.heldLeases.delete(lease);
    }

    private async finishJob(lease: JobLease, outcome: Outcome<PipelineAnswer>): Promise<void> {
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
