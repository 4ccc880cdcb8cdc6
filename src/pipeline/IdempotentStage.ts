/**
 * Runs an idempotent stage. Failed calls are retried within the retry budget and the deadline, on other endpoints where
 * possible; a broken stream is resumed where it broke; a slow call is hedged and the losing call is cancelled.
 */
import { type Either, Left, Right } from "purify-ts";
import { type Failure, failureFor } from "../common/Outcome.js";
import type { EndpointId } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { StageCall } from "../endpoints/Types.js";
import { EventId } from "../telemetry/Events.js";
import { DeadlineSignal } from "./DeadlineSignal.js";
import { cancelled, deadlineExceeded, failureOf } from "./Failures.js";
import { HedgedAttempt } from "./HedgedAttempt.js";
import type { RequestContext } from "./RequestContext.js";
import type { AttemptError, AttemptSuccess, StageCaller } from "./StageCaller.js";
import type { StageEstimator } from "./StageEstimator.js";
import { StreamRelay } from "./StreamRelay.js";
import type { SuspectTracker } from "./SuspectTracker.js";
import type { PipelineServices, RetryBudget } from "./Types.js";

/** Maximum number of attempts at one stage without progress, including the first. */
const maxAttempts = 4;
/** Maximum number of attempts at one stage that resume a broken stream. */
const maxResumes = 200;
/** Backoff after a call that was refused or never sent, multiplied by the number of attempts. */
const refusedBackoffMs = 20;
/** Retry time given to callers when a stage did not complete before its deadline. */
const slowStageRetryAfterMs = 1000;
/** Characters that a resumed stream repeats, so that the overlap is verified before new output is forwarded. */
export const joinOverlapChars = 32;

export interface IdempotentStageDependencies {
    readonly services: PipelineServices;
    readonly caller: StageCaller;
    readonly estimator: StageEstimator;
    readonly budget: RetryBudget;
    readonly suspects: SuspectTracker;
}

/** Progress of the attempts at one stage. */
interface Progress {
    attempts: number;
    resumes: number;
    stageErrors: number;
    readonly avoid: Set<EndpointId>;
    /** Length of the longest verified prefix received from a broken call. */
    verifiedLength: number;
    /** The prefix that the next call resumes; empty when the call starts over. */
    received: string;
    resumeFrom: StageCall["resumeFrom"];
}

export class IdempotentStage {
    public constructor(private readonly dependencies: IdempotentStageDependencies) {}

    /** Returns the stage's output, or the failure that ends the request. */
    public async run(ctx: RequestContext, stage: StageSettings): Promise<Either<Failure, string>> {
        const { services, estimator } = this.dependencies;
        const deadline = new DeadlineSignal(services.clock, ctx.signal, estimator.stageDeadlineMs(ctx, stage));
        const relay = new StreamRelay(stage.stream && ctx.isLastStage(stage) ? ctx.listener : undefined);
        try {
            return await this.attemptUntilDone(ctx, stage, relay, deadline);
        }
        finally {
            deadline.abort();
        }
    }

    private async attemptUntilDone(
        ctx: RequestContext,
        stage: StageSettings,
        relay: StreamRelay,
        deadline: DeadlineSignal,
    ): Promise<Either<Failure, string>> {
        const progress: Progress = {
            attempts: 0,
            resumes: 0,
            stageErrors: 0,
            avoid: new Set(),
            verifiedLength: 0,
            received: "",
            resumeFrom: undefined,
        };
        this.dependencies.budget.recordCall();
        while (true) {
            const result = await this.attempt(ctx, stage, relay, deadline, progress);
            if (result.isRight()) {
                const success = result.extract();
                const accepted = this.acceptReply(ctx, stage, relay, progress, success);
                if (accepted !== undefined) {
                    return accepted;
                }
                continue;
            }
            const error = result.extract() as AttemptError;
            if (deadline.timedOut) {
                return Left(deadlineExceeded(ctx, stage.name, slowStageRetryAfterMs));
            }
            const failure = await this.checkRetry(ctx, stage, progress, error, deadline);
            if (failure !== undefined) {
                return Left(failure);
            }
        }
    }

    private async attempt(
        ctx: RequestContext,
        stage: StageSettings,
        relay: StreamRelay,
        deadline: DeadlineSignal,
        progress: Progress,
    ): Promise<Either<AttemptError, AttemptSuccess>> {
        const suspect = this.dependencies.suspects.isSuspect(ctx.fingerprint);
        progress.attempts += 1;
        const attempt = new HedgedAttempt(this.dependencies, ctx, stage, relay, {
            kind: progress.attempts === 1 ? "first" : "retry",
            avoid: progress.avoid,
            resumeFrom: progress.resumeFrom,
            alone: suspect,
            signal: deadline.signal,
            callDeadlineMs: this.dependencies.estimator.stageDeadlineMs(ctx, stage),
        });
        const result = await attempt.run();
        if (suspect && result.isRight()) {
            await this.dependencies.suspects.clearSuspect(ctx.fingerprint);
        }
        return result;
    }

    /** Checks that a reply continues the output received so far; undefined when the stage has to start over. */
    private acceptReply(
        ctx: RequestContext,
        stage: StageSettings,
        relay: StreamRelay,
        progress: Progress,
        success: AttemptSuccess,
    ): Either<Failure, string> | undefined {
        const { output, usage } = success.reply;
        if (output.startsWith(progress.received) && relay.finish(output)) {
            ctx.recordOutput(stage.name, success.attempt, output);
            ctx.costs.recordUsed(stage.name, usage);
            return Right(output);
        }
        this.dependencies.services.log.event(EventId.StreamJoinFailed, { request: ctx.req.id, stage: stage.name });
        ctx.costs.recordWasted(stage.name, usage.busyMs);
        if (relay.length === 0 && progress.attempts < maxAttempts && this.dependencies.budget.tryTake()) {
            progress.resumeFrom = undefined;
            return undefined;
        }
        return Left(
            failureFor(
                ctx.ledger,
                "stage-failed",
                `stage ${stage.name}: the reply does not continue the earlier output`,
                0,
            ),
        );
    }

    /** Decides whether to try again: undefined for another attempt, or the failure that ends the request. */
    private async checkRetry(
        ctx: RequestContext,
        stage: StageSettings,
        progress: Progress,
        error: AttemptError,
        deadline: DeadlineSignal,
    ): Promise<Failure | undefined> {
        if (error.kind === "no-slot") {
            return failureOf(ctx, stage.name, error);
        }
        progress.avoid.add(error.endpoint);
        if (this.dependencies.suspects.isQuarantined(ctx.fingerprint)) {
            return failureFor(ctx.ledger, "quarantined", "the request crashes the endpoints that run it");
        }
        if (ctx.signal.aborted) {
            return cancelled(ctx);
        }
        if (error.crashUnrecorded) {
            // Other hosts don't know yet that this request has to run alone, so it is not retried here either.
            return failureOf(ctx, stage.name, error);
        }
        if (this.resumeBrokenStream(ctx, stage, progress, error)) {
            return undefined;
        }
        progress.stageErrors += error.error.kind === "stage-error" ? 1 : 0;
        if (progress.attempts >= maxAttempts || progress.stageErrors > 1) {
            return failureOf(ctx, stage.name, error);
        }
        if (error.error.kind === "never-sent" || error.error.kind === "refused") {
            await this.dependencies.services.clock.sleep(refusedBackoffMs * progress.attempts, deadline.signal);
            return undefined;
        }
        if (!this.dependencies.budget.tryTake()) {
            this.dependencies.services.log.event(EventId.RetryBudgetEmpty, { request: ctx.req.id, stage: stage.name });
            return failureOf(ctx, stage.name, error);
        }
        return undefined;
    }

    /** Keeps the received prefix of a broken stream; true when the next attempt resumes from it. */
    private resumeBrokenStream(
        ctx: RequestContext,
        stage: StageSettings,
        progress: Progress,
        error: Extract<AttemptError, { kind: "call-failed"; }>,
    ): boolean {
        if (error.error.kind === "refused" || error.error.kind === "never-sent") {
            return false;
        }
        if (error.error.kind !== "lost") {
            this.discardPrefix(progress);
            return false;
        }
        const { received } = error.error;
        const makesProgress = received.length > progress.verifiedLength && received.startsWith(progress.received);
        if (!makesProgress || progress.resumes >= maxResumes) {
            return false;
        }
        progress.resumes += 1;
        progress.attempts = Math.min(progress.attempts, 1);
        progress.verifiedLength = received.length;
        const resumePrefix = received.slice(0, Math.max(0, received.length - joinOverlapChars));
        if (resumePrefix.length === 0) {
            this.discardPrefix(progress);
            return true;
        }
        progress.received = received;
        progress.resumeFrom = { attempt: error.attempt, offset: resumePrefix.length, received: resumePrefix };
        this.dependencies.services.log.event(EventId.StreamResumed, {
            request: ctx.req.id,
            stage: stage.name,
            attempt: error.attempt,
            offset: received.length,
        });
        return true;
    }

    private discardPrefix(progress: Progress): void {
        progress.received = "";
        progress.resumeFrom = undefined;
    }
}
