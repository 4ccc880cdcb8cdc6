/**
 * Runs requests and jobs through the stages of their pipeline, in order and under one deadline. Requests that can't
 * meet their deadline are rejected early. An outcome claims no more than the request's dispatch ledger can prove.
 */
import { type Either, Left, Right } from "purify-ts";
import { DisposableStore } from "../common/DisposableStore.js";
import { invariant } from "../common/Invariant.js";
import { LatencyTracker } from "../common/LatencyTracker.js";
import { DispatchLedger, type Failure, failureFor, type Outcome } from "../common/Outcome.js";
import type { Disposable, RequestId } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { JobLease, RecordsError } from "../records/Types.js";
import { EventId } from "../telemetry/Events.js";
import { Admission } from "./Admission.js";
import { CostTotals, type StageTotals } from "./CostTotals.js";
import { cancelled } from "./Failures.js";
import { IdempotentStage } from "./IdempotentStage.js";
import { NonIdempotentStage } from "./NonIdempotentStage.js";
import { RequestContext } from "./RequestContext.js";
import { ShareRetryBudget } from "./ShareRetryBudget.js";
import { StageCaller } from "./StageCaller.js";
import { StageEstimator } from "./StageEstimator.js";
import { StageQueues } from "./StageQueues.js";
import { SuspectTracker } from "./SuspectTracker.js";
import type {
    AdmissionControl,
    OutputListener,
    PipelineAnswer,
    PipelineRequest,
    PipelineRunner,
    PipelineServices,
    RunnerPolicies,
} from "./Types.js";

const notReadyRetryAfterMs = 1000;
/** Limit of calls that wait for a permit, while no configuration is in force. */
const defaultMaxWaiting = 2000;
/** Retries and hedges for each first call, while no configuration is in force. */
const defaultRetryShare = 0.2;
/** Attempt numbers reserved for each run of a job, so that no two runs use the same number for a stage. */
const attemptsPerRun = 10_000;
/** Wait before a job's stage is retried, when the failure has no retry time. */
const jobRetryMs = 1000;

/** Commits the output of a job's stage. */
type Journal = (stage: string, output: string) => Promise<Either<RecordsError, void>>;

export class StagedPipelineRunner implements PipelineRunner, Disposable {
    private readonly store = new DisposableStore();
    private readonly suspects: SuspectTracker;
    private readonly estimator: StageEstimator;
    private readonly admission: AdmissionControl;
    private readonly idempotentStage: IdempotentStage;
    private readonly nonIdempotentStage: NonIdempotentStage;
    private readonly costTotals: CostTotals;
    private running = 0;

    public constructor(private readonly services: PipelineServices, policies: RunnerPolicies = {}) {
        const limits = () => services.config.current()?.settings.limits;
        const maxWaiting = () => limits()?.queuedRequests ?? defaultMaxWaiting;
        const queues = new StageQueues(services.directory, services.clock, maxWaiting, policies.queueClass);
        this.store.add(queues);
        this.costTotals = new CostTotals(services.metrics);
        this.suspects = new SuspectTracker(services.quarantine);
        this.estimator = new StageEstimator(new LatencyTracker(services.clock), queues, services.clock);
        this.admission = policies.admission?.(services, this.estimator) ?? new Admission(services, this.estimator);
        const caller = new StageCaller(services, queues, this.estimator, this.suspects);
        this.idempotentStage = new IdempotentStage({
            services,
            caller,
            estimator: this.estimator,
            budget: policies.budget ?? new ShareRetryBudget(() => limits()?.retryShare ?? defaultRetryShare),
            suspects: this.suspects,
        });
        this.nonIdempotentStage = new NonIdempotentStage(services, caller, this.estimator);
    }

    /** Running and waiting requests, and calls whose request has ended while their outcome is still pending. */
    public get inFlight(): number {
        return this.running + this.nonIdempotentStage.detachedCalls;
    }

    /** Costs by pipeline, stage and workspace since the start of the process. */
    public costs(): readonly Readonly<StageTotals>[] {
        return this.costTotals.totals();
    }

    public dispose(): void {
        this.store.dispose();
    }

    public async run(
        req: PipelineRequest,
        signal: AbortSignal,
        listener?: OutputListener,
    ): Promise<Outcome<PipelineAnswer>> {
        const prepared = this.prepare(req, signal, listener);
        if (prepared.isLeft()) {
            return prepared.extract();
        }
        const ctx = prepared.extract() as RequestContext;
        const rejection = this.checkRequest(ctx) ?? this.admission.admit(ctx);
        if (rejection !== undefined) {
            return rejection;
        }
        this.running += 1;
        try {
            return await this.runStages(ctx, undefined);
        }
        finally {
            this.running -= 1;
            this.admission.complete(ctx);
        }
    }

    public async runJob(lease: JobLease, deadlineMs: number): Promise<Outcome<PipelineAnswer>> {
        const job = lease.job;
        const req: PipelineRequest = {
            id: job.id as string as RequestId,
            workspace: job.workspace,
            pipeline: job.pipeline,
            input: job.input,
            idempotencyKey: `job\n${job.id}`,
            deadlineMs,
            priority: 2,
        };
        const prepared = this.prepare(req, lease.signal, undefined, lease);
        if (prepared.isLeft()) {
            return prepared.extract();
        }
        const ctx = prepared.extract() as RequestContext;
        this.running += 1;
        try {
            return this.checkRequest(ctx) ?? await this.runStages(ctx, (stage, output) => lease.journal(stage, output));
        }
        finally {
            this.running -= 1;
        }
    }

    private prepare(
        req: PipelineRequest,
        signal: AbortSignal,
        listener: OutputListener | undefined,
        lease?: JobLease,
    ): Either<Failure, RequestContext> {
        const view = this.services.config.current();
        const ledger = new DispatchLedger();
        if (lease !== undefined) {
            // An earlier run of the job may have sent calls that are not in its journal.
            ledger.markEarlierRun();
        }
        if (view === undefined) {
            const message = "no configuration is in force yet";
            return Left(failureFor(ledger, "not-ready", message, notReadyRetryAfterMs));
        }
        const settings = view.settings.pipelines[req.pipeline];
        if (settings === undefined || view.settings.workspaces[req.workspace] === undefined) {
            const missing = settings === undefined ? `pipeline ${req.pipeline}` : `workspace ${req.workspace}`;
            return Left(failureFor(ledger, "not-found", `there is no ${missing}`));
        }
        const ctx = new RequestContext({
            req,
            settings,
            view,
            signal,
            listener,
            ledger,
            costs: this.costTotals,
            ...(lease === undefined ? {} : {
                attemptBase: lease.job.run * attemptsPerRun,
                maySend: () => lease.live,
            }),
        });
        if (lease !== undefined) {
            this.adoptJournal(ctx, lease);
        }
        return Right(ctx);
    }

    private adoptJournal(ctx: RequestContext, lease: JobLease): void {
        for (const [stage, output] of Object.entries(lease.job.stages)) {
            ctx.adoptOutput(stage, output);
        }
    }

    private checkRequest(ctx: RequestContext): Failure | undefined {
        if (this.suspects.isQuarantined(ctx.fingerprint)) {
            return failureFor(ctx.ledger, "quarantined", "the request has crashed the endpoints that ran it");
        }
        const needsKey = ctx.settings.stages.some(stage => !stage.idempotent);
        if (needsKey && ctx.req.idempotencyKey === undefined) {
            const message = `pipeline ${ctx.req.pipeline} is not idempotent; send an Idempotency-Key`;
            return failureFor(ctx.ledger, "idempotency-key-missing", message);
        }
        return undefined;
    }

    private async runStages(ctx: RequestContext, journal: Journal | undefined): Promise<Outcome<PipelineAnswer>> {
        const { clock, log, metrics } = this.services;
        const startedMs = clock.nowMs();
        const labels = { workspace: ctx.req.workspace, pipeline: ctx.req.pipeline };
        log.event(EventId.RequestStarted, { request: ctx.req.id, ...labels });
        const rejection = journal === undefined ? await this.nonIdempotentStage.rejectIfUnreachable(ctx) : undefined;
        const failure = rejection ?? await this.runEachStage(ctx, journal);
        ctx.ledger.seal();
        const kind = failure?.kind ?? "answered";
        metrics.count("requests_ended", { ...labels, kind });
        const durationMs = clock.nowMs() - startedMs;
        metrics.latency("request", durationMs, labels);
        log.event(EventId.RequestEnded, { request: ctx.req.id, outcome: kind, reason: failure?.reason, durationMs });
        return failure ?? { kind: "answered", answer: this.answerOf(ctx) };
    }

    private answerOf(ctx: RequestContext): PipelineAnswer {
        for (const stage of ctx.settings.stages) {
            invariant(ctx.outputs[stage.name] !== undefined, "an answer has the output of each stage", {
                request: ctx.req.id,
                stage: stage.name,
            });
        }
        const last = ctx.settings.stages[ctx.settings.stages.length - 1];
        return { output: ctx.outputs[last?.name ?? ""] ?? "", stages: ctx.costs.stages() };
    }

    private async runEachStage(ctx: RequestContext, journal: Journal | undefined): Promise<Failure | undefined> {
        for (const [index, stage] of ctx.settings.stages.entries()) {
            if (ctx.outputs[stage.name] !== undefined) {
                continue;
            }
            const ended = journal === undefined
                ? await this.runStage(ctx, index, stage)
                : await this.runJobStage(ctx, index, stage, journal);
            if (ended.isLeft()) {
                return ended.extract();
            }
        }
        return undefined;
    }

    private async runStage(
        ctx: RequestContext,
        index: number,
        stage: StageSettings,
    ): Promise<Either<Failure, string>> {
        const { clock, metrics } = this.services;
        const rejection = ctx.signal.aborted ? cancelled(ctx) : this.admission.check(ctx, index);
        if (rejection !== undefined) {
            return Left(rejection);
        }
        const startedMs = clock.nowMs();
        const ended = await this.admission.trackStage(
            ctx,
            index,
            () => stage.idempotent ? this.idempotentStage.run(ctx, stage) : this.nonIdempotentStage.run(ctx, stage),
        );
        const durationMs = clock.nowMs() - startedMs;
        ctx.costs.recordDuration(stage.name, durationMs);
        metrics.latency("stage", durationMs, { pipeline: ctx.req.pipeline, stage: stage.name });
        return ended;
    }

    /** Runs a job's stage, retries temporary failures while the deadline allows, and journals its output. */
    private async runJobStage(
        ctx: RequestContext,
        index: number,
        stage: StageSettings,
        journal: Journal,
    ): Promise<Either<Failure, string>> {
        const { clock } = this.services;
        while (true) {
            const ended = await this.runStage(ctx, index, stage);
            if (ended.isRight()) {
                return this.journalOutput(ctx, stage, ended.extract(), journal);
            }
            const failure = ended.extract() as Failure;
            if (!this.isTemporary(failure)) {
                return ended;
            }
            const waitMs = failure.kind === "failed" ? failure.retryAfterMs ?? jobRetryMs : jobRetryMs;
            if (clock.nowMs() + waitMs >= ctx.req.deadlineMs) {
                return ended;
            }
            await clock.sleep(waitMs, ctx.signal);
        }
    }

    private isTemporary(failure: Failure): boolean {
        return failure.kind === "failed"
            && failure.retryAfterMs !== undefined
            && ["overloaded", "no-endpoint", "no-quorum", "deadline-too-short", "stage-failed"].includes(
                failure.reason,
            );
    }

    private async journalOutput(
        ctx: RequestContext,
        stage: StageSettings,
        output: string,
        journal: Journal,
    ): Promise<Either<Failure, string>> {
        const recorded = await journal(stage.name, output);
        if (recorded.isRight()) {
            return Right(output);
        }
        const message = `the output of stage ${stage.name} could not be journalled: ${
            (recorded.extract() as RecordsError).message
        }`;
        return Left(failureFor(ctx.ledger, "no-quorum", message, jobRetryMs));
    }
}
