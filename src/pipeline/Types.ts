/** Interfaces of the pipeline runner, its services and its policies. */
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
    /** Undefined when the caller sent none; required by pipelines with a non-idempotent stage. */
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

/** Cost of one stage of a request, over all of its calls. */
export interface StageCost {
    readonly stage: string;
    readonly calls: number;
    readonly retries: number;
    readonly hedges: number;
    /** Time from the start of the stage to its end, including queue waits and retries. */
    readonly durationMs: number;
    readonly usage: StageUsage;
    /** Endpoint time of calls whose result was not used, in milliseconds. */
    readonly wastedMs: number;
}

/** Receives the last stage's output as it arrives. */
export interface OutputListener {
    /** Receives `text`, which starts at character `offset` of the output. */
    onOutput(offset: number, text: string): void;
}

export interface PipelineRunner {
    /** Runs a request. Aborting the signal cancels it and its calls. */
    run(req: PipelineRequest, signal: AbortSignal, listener?: OutputListener): Promise<Outcome<PipelineAnswer>>;
    /** Runs a job, continuing after its last journalled stage. */
    runJob(lease: JobLease, deadlineMs: number): Promise<Outcome<PipelineAnswer>>;
    /** Number of running and waiting requests, and of ended requests with a call whose outcome is still pending. */
    readonly inFlight: number;
}

/** Limits retries and hedges to a share of first calls. */
export interface RetryBudget {
    /** Adds the share that a first call earns. */
    recordCall(): void;
    /** Takes one retry from the budget; false when it is empty. */
    tryTake(): boolean;
}

/** Decides which requests are rejected before they use resources. Benchmarks replace it by simpler baselines. */
export interface AdmissionControl {
    /** Admits a request and counts it as in flight, or returns why it is rejected. */
    admit(ctx: RequestContext): Failure | undefined;
    /** Ends the count of an admitted request. */
    complete(ctx: RequestContext): void;
    /** Runs `work` and counts the request as being in the stage meanwhile. */
    trackStage<T>(ctx: RequestContext, index: number, work: () => Promise<T>): Promise<T>;
    /** Rejects a request that can't meet its deadline from this stage on. */
    check(ctx: RequestContext, index: number): Failure | undefined;
}

/** Policies of a runner that benchmarks may replace. */
export interface RunnerPolicies {
    readonly budget?: RetryBudget;
    readonly queueClass?: StageQueueClass;
    readonly admission?: (services: PipelineServices, estimator: StageEstimator) => AdmissionControl;
}

/** Dependencies of a runner. */
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
