/** Runs one request through its stages under one deadline. */
import type { Failure, Outcome } from "../common/Outcome.js";
import type { Clock, PipelineId, Random, RequestId, WorkspaceId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { EndpointDirectory, Priority, SlotHolder, StageClient, StageUsage } from "../endpoints/Types.js";
import type { Claims, JobLease, Quarantine } from "../records/Types.js";
import type { Router } from "../routing/Types.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { RequestContext } from "./RequestContext.js";
import type { StageEstimator } from "./StageEstimator.js";
import type { StageQueueClass } from "./StageQueues.js";

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

/** Decides which requests are refused before they cost anything; baselines stand beside the product's own. */
export interface AdmissionControl {
    /** Counts a request in, or refuses it. */
    admit(ctx: RequestContext): Failure | undefined;
    complete(ctx: RequestContext): void;
    /** Marks the time that a request spends in a stage. */
    trackStage<T>(ctx: RequestContext, index: number, work: () => Promise<T>): Promise<T>;
    /** Refuses a request that can't end in time from this stage on. */
    check(ctx: RequestContext, index: number): Failure | undefined;
}

/** Policies of a runner that may be replaced, for baselines and trials. */
export interface RunnerPolicies {
    readonly budget?: RetryBudget;
    readonly queueClass?: StageQueueClass;
    readonly admission?: (services: PipelineServices, estimator: StageEstimator) => AdmissionControl;
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
