/** Runs one request through its stages under one deadline. */
import type { Outcome } from "../common/Outcome.js";
import type { Clock, PipelineId, Random, RequestId, WorkspaceId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { EndpointDirectory, Priority, SlotHolder, StageClient, StageUsage } from "../endpoints/Types.js";
import type { Claims, JobLease, Quarantine } from "../records/Types.js";
import type { Router } from "../routing/Types.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";

export interface PipelineRequest {
    readonly id: RequestId;
    readonly workspace: WorkspaceId;
    readonly pipeline: PipelineId;
    /** A JSON value. */
    readonly input: unknown;
    /** Undefined where the caller gave none; a pipeline with a non-idempotent stage needs one. */
    readonly idempotencyKey: string | undefined;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
    readonly priority: Priority;
}

export interface PipelineAnswer {
    /** Output of the last stage. */
    readonly output: string;
    readonly stages: readonly StageCost[];
}

export interface StageCost {
    readonly stage: string;
    readonly calls: number;
    readonly retries: number;
    readonly hedges: number;
    readonly durationMs: number;
    readonly usage: StageUsage;
    /** Endpoint time of calls whose result was not used, in milliseconds. */
    readonly wastedMs: number;
}

/** Receives the last stage's output as it arrives. */
export interface OutputListener {
    onOutput(offset: number, text: string): void;
}

export interface PipelineRunner {
    /** Runs a request. Aborting the signal cancels it and its calls. */
    run(req: PipelineRequest, signal: AbortSignal, listener?: OutputListener): Promise<Outcome<PipelineAnswer>>;
    /** Runs a job from its last journalled stage. */
    runJob(lease: JobLease, deadlineMs: number): Promise<Outcome<PipelineAnswer>>;
    /** Requests running and waiting. */
    readonly inFlight: number;
}

/** A retry budget: retries and hedges as a share of requests. */
export interface RetryBudget {
    /** Earns a share of a retry for each first call. */
    recordCall(): void;
    /** Takes one retry out of the budget; false when there is none. */
    tryTake(): boolean;
}

/** What a runner works with. */
export interface PipelineServices {
    readonly config: ConfigSource;
    readonly router: Router;
    readonly directory: EndpointDirectory;
    readonly slots: SlotHolder;
    readonly client: StageClient;
    readonly claims: Claims;
    readonly quarantine: Quarantine;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly random: Random;
}
