/**
 * Runs a stage that may be repeated: another endpoint first, within the retry budget and the deadline; a broken stream
 * goes on from where it broke; a slow call is hedged by a second one, and the loser is cancelled.
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

/** Attempts at one stage that make no progress, the first included. */
const maxAttempts = 4;
/** Attempts that go on with a broken stream. */
const maxResumes = 200;
/** Wait before another attempt after an endpoint has refused one. */
const refusedBackoffMs = 20;
const slowStageRetryAfterMs = 1000;
/** Characters that a resumed stream repeats, so that the join can be checked before anything is passed on. */
export const joinOverlapChars = 32;

export interface IdempotentStageDependencies {
    readonly services: PipelineServices;
    readonly caller: StageCaller;
    readonly estimator: StageEstimator;
    readonly budget: RetryBudget;
    readonly suspects: SuspectTracker;
}

/** What the attempts at one stage have come to. */
interface Progress {
    attempts: number;
    resumes: number;
    stageErrors: number;
    readonly avoid: Set<EndpointId>;
    /** Length of the longest checked prefix that a broken call has left. */
    reached: number;
    /** The prefix that the next call goes on from; empty where it starts afresh. */
    received: string;
    resumeFrom: StageCall["resumeFrom"];
}

export class IdempotentStage {
    public constructor(private readonly parts: IdempotentStageDependencies) {}

    /** Gives the stage's output, or the failure that ends the request. */
    public async run(ctx: RequestContext, stage: StageSettings): Promise<Either<Failure, string>> {
        const { services, estimator } = this.parts;
        const timed = new DeadlineSignal(services.clock, ctx.signal, estimator.stageDeadlineMs(ctx, stage));
        const relay = new StreamRelay(stage.stream && ctx.isLastStage(stage) ? ctx.listener : undefined);
        try {
            return await this.attemptUntilDone(ctx, stage, relay, timed);
        }
        finally {
            timed.abort();
        }
    }

    private async attemptUntilDone(
        ctx: RequestContext,
        stage: StageSettings,
        relay: StreamRelay,
        timed: DeadlineSignal,
    ): Promise<Either<Failure, string>> {
        const progress: Progress = {
            attempts: 0,
            resumes: 0,
            stageErrors: 0,
            avoid: new Set(),
            reached: 0,
            received: "",
            resumeFrom: undefined,
        };
        this.parts.budget.recordCall();
        while (true) {
            const result = await this.attempt(ctx, stage, relay, timed, progress);
            if (result.isRight()) {
                const success = result.extract();
                const joined = this.join(ctx, stage, relay, progress, success);
                if (joined !== undefined) {
                    return joined;
                }
                continue;
            }
            const error = result.extract() as AttemptError;
            if (timed.timedOut) {
                return Left(deadlineExceeded(ctx, stage.name, slowStageRetryAfterMs));
            }
            const failure = await this.judge(ctx, stage, progress, error, timed);
            if (failure !== undefined) {
                return Left(failure);
            }
        }
    }

    private async attempt(
        ctx: RequestContext,
        stage: StageSettings,
        relay: StreamRelay,
        timed: DeadlineSignal,
        progress: Progress,
    ): Promise<Either<AttemptError, AttemptSuccess>> {
        const suspect = this.parts.suspects.isSuspect(ctx.fingerprint);
        progress.attempts += 1;
        const attempt = new HedgedAttempt(this.parts, ctx, stage, relay, {
            kind: progress.attempts === 1 ? "first" : "retry",
            avoid: progress.avoid,
            resumeFrom: progress.resumeFrom,
            alone: suspect,
            signal: timed.signal,
            callDeadlineMs: this.parts.estimator.stageDeadlineMs(ctx, stage),
        });
        const result = await attempt.run();
        if (suspect && result.isRight()) {
            await this.parts.suspects.survived(ctx.fingerprint);
        }
        return result;
    }

    /** Checks that a reply continues what is there of the output; undefined when the stage has to run afresh. */
    private join(
        ctx: RequestContext,
        stage: StageSettings,
        relay: StreamRelay,
        progress: Progress,
        success: AttemptSuccess,
    ): Either<Failure, string> | undefined {
        const { output, usage } = success.reply;
        if (output.startsWith(progress.received) && relay.finish(output)) {
            ctx.useOutput(stage.name, success.attempt, output);
            ctx.costs.recordUsed(stage.name, usage);
            return Right(output);
        }
        this.parts.services.log.event(EventId.StreamJoinFailed, { request: ctx.req.id, stage: stage.name });
        ctx.costs.recordWasted(stage.name, usage.busyMs);
        if (relay.length === 0 && progress.attempts < maxAttempts && this.parts.budget.tryTake()) {
            progress.resumeFrom = undefined;
            return undefined;
        }
        return Left(
            failureFor(ctx.ledger, "stage-failed", `stage ${stage.name}: the output could not be continued`, 0),
        );
    }

    /** Decides on another attempt: undefined to go on, or the failure that ends the request. */
    private async judge(
        ctx: RequestContext,
        stage: StageSettings,
        progress: Progress,
        error: AttemptError,
        timed: DeadlineSignal,
    ): Promise<Failure | undefined> {
        if (error.kind === "no-slot") {
            return failureOf(ctx, stage.name, error);
        }
        progress.avoid.add(error.endpoint);
        if (this.parts.suspects.isQuarantined(ctx.fingerprint)) {
            return failureFor(ctx.ledger, "quarantined", "the request crashes the endpoints that run it");
        }
        if (ctx.signal.aborted) {
            return cancelled(ctx);
        }
        if (error.crashUnrecorded) {
            // Another host would not know that the request has to run alone, so it is not run again here either.
            return failureOf(ctx, stage.name, error);
        }
        if (this.goOnFromBreak(ctx, stage, progress, error)) {
            return undefined;
        }
        progress.stageErrors += error.error.kind === "stage-error" ? 1 : 0;
        if (progress.attempts >= maxAttempts || progress.stageErrors > 1) {
            return failureOf(ctx, stage.name, error);
        }
        if (error.error.kind === "never-sent" || error.error.kind === "refused") {
            await this.parts.services.clock.sleep(refusedBackoffMs * progress.attempts, timed.signal);
            return undefined;
        }
        if (!this.parts.budget.tryTake()) {
            this.parts.services.log.event(EventId.RetryBudgetEmpty, { request: ctx.req.id, stage: stage.name });
            return failureOf(ctx, stage.name, error);
        }
        return undefined;
    }

    /** Takes over the received part of a broken stream; true when the stage goes on from there. */
    private goOnFromBreak(
        ctx: RequestContext,
        stage: StageSettings,
        progress: Progress,
        error: Extract<AttemptError, { kind: "call-failed"; }>,
    ): boolean {
        if (error.error.kind === "refused" || error.error.kind === "never-sent") {
            return false;
        }
        if (error.error.kind !== "lost") {
            this.startAfresh(progress);
            return false;
        }
        const { received } = error.error;
        const goesOn = received.length > progress.reached && received.startsWith(progress.received);
        if (!goesOn || progress.resumes >= maxResumes) {
            return false;
        }
        progress.resumes += 1;
        progress.attempts = Math.min(progress.attempts, 1);
        progress.reached = received.length;
        const repeated = received.slice(0, Math.max(0, received.length - joinOverlapChars));
        if (repeated.length === 0) {
            this.startAfresh(progress);
            return true;
        }
        progress.received = received;
        progress.resumeFrom = { attempt: error.attempt, offset: repeated.length, received: repeated };
        this.parts.services.log.event(EventId.StreamResumed, {
            request: ctx.req.id,
            stage: stage.name,
            attempt: error.attempt,
            offset: received.length,
        });
        return true;
    }

    private startAfresh(progress: Progress): void {
        progress.received = "";
        progress.resumeFrom = undefined;
    }
}
