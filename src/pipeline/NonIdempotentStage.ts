/**
 * Runs a non-idempotent stage at most once per idempotency key. The claim is committed before the call is sent, and the
 * outcome before the caller gets its reply. Once sent, a call continues after the caller disconnects or the deadline
 * passes, so that its outcome is recorded and returned to a resend. The claim is released only if the call was provably
 * never sent.
 */
import { type Either, Left, Right } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import { type Failure, failureFor, outcomeUnknown } from "../common/Outcome.js";
import type { EndpointId } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { Claim, ClaimKey, ClaimResult, RecordedOutcome, RecordsError } from "../records/Types.js";
import { EventId } from "../telemetry/Events.js";
import { DeadlineSignal } from "./DeadlineSignal.js";
import { bodyDigestOf } from "./Digests.js";
import { cancelled, deadlineExceeded, failureOf } from "./Failures.js";
import type { RequestContext } from "./RequestContext.js";
import type { AttemptError, AttemptResult, AttemptSuccess, StageCaller } from "./StageCaller.js";
import type { StageEstimator } from "./StageEstimator.js";
import type { PipelineServices } from "./Types.js";
import { rethrowUncaught } from "./Uncaught.js";

/** Timeout of committing a claim, or of confirming that the records group is reachable. */
const claimTimeoutMs = 2000;
/** Timeout of one attempt to commit an outcome or to release a claim. */
const recordTimeoutMs = 2000;
const maxRecordTries = 5;
const recordBackoffMs = 100;
/** Retry time given to callers when a claim could not be recorded, or no call was sent before the deadline. */
const noQuorumRetryAfterMs = 1000;
/** How long a sent call may continue after the request's deadline, so that its outcome can be recorded. */
const outcomeGraceMs = 10_000;
/** Attempts at a call that has not been sent yet, each on another endpoint where possible. */
const maxUnsentTries = 4;
const unsentBackoffMs = 20;
/** Delay before claiming again after an earlier request with the same key released its claim. */
const reclaimDelayMs = 5;
/** Time reserved before the deadline to write the reply. */
const answerMarginMs = 10;

type StageResult = Either<Failure, string>;
type FailedCall = Extract<AttemptError, { kind: "call-failed"; }>;

export class NonIdempotentStage {
    private detachedCount = 0;

    public constructor(
        private readonly services: PipelineServices,
        private readonly caller: StageCaller,
        private readonly estimator: StageEstimator,
    ) {}

    /** Calls whose request has already ended while their outcome is still pending. */
    public get detachedCalls(): number {
        return this.detachedCount;
    }

    /**
     * Fails a request that starts with an idempotent stage but needs a claim later, when the records group is
     * unreachable, so that no stage runs in vain. Returns undefined when the request may run.
     */
    public async rejectIfUnreachable(ctx: RequestContext): Promise<Failure | undefined> {
        const { claims, clock } = this.services;
        const first = ctx.settings.stages.find(stage => ctx.outputs[stage.name] === undefined);
        const needsClaim = ctx.settings.stages.some(stage => !stage.idempotent);
        if (first === undefined || !first.idempotent || !needsClaim) {
            return undefined;
        }
        const timeoutMs = Math.min(claimTimeoutMs, ctx.req.deadlineMs - clock.nowMs());
        const confirmed = await claims.confirmReachable(timeoutMs);
        return confirmed.caseOf<Failure | undefined>({
            Left: error => this.claimFailure(ctx, error),
            Right: () => undefined,
        });
    }

    /** Returns the stage's output or the failure that ends the request. A resend gets the recorded outcome. */
    public async run(ctx: RequestContext, stage: StageSettings): Promise<StageResult> {
        const key = this.claimKeyOf(ctx, stage);
        if (key === undefined) {
            const message = `stage ${stage.name} is not idempotent; send an Idempotency-Key`;
            return Left(failureFor(ctx.ledger, "idempotency-key-missing", message));
        }
        while (true) {
            const ended = await this.tryClaim(ctx, stage, key);
            if (ended !== undefined) {
                return ended;
            }
            await this.services.clock.sleep(reclaimDelayMs, ctx.signal);
        }
    }

    /** Claims the key and acts on the result; undefined when an earlier request has released its claim unsent. */
    private async tryClaim(
        ctx: RequestContext,
        stage: StageSettings,
        key: ClaimKey,
    ): Promise<StageResult | undefined> {
        const { claims, clock, metrics } = this.services;
        const timeoutMs = Math.min(claimTimeoutMs, ctx.req.deadlineMs - clock.nowMs());
        if (ctx.signal.aborted) {
            return Left(cancelled(ctx));
        }
        if (timeoutMs <= 0) {
            return Left(deadlineExceeded(ctx, stage.name, noQuorumRetryAfterMs));
        }
        const startedMs = clock.nowMs();
        const claimed = await claims.claim(key, bodyDigestOf(ctx.req), ctx.req.id, timeoutMs);
        metrics.latency("claim", clock.nowMs() - startedMs);
        if (claimed.isLeft()) {
            return Left(this.claimFailure(ctx, claimed.extract()));
        }
        return this.handleClaimResult(ctx, stage, key, claimed.extract() as ClaimResult);
    }

    /** The claim key: the caller's key for the first non-idempotent stage, a key derived from it for the others. */
    private claimKeyOf(ctx: RequestContext, stage: StageSettings): ClaimKey | undefined {
        const key = ctx.req.idempotencyKey;
        if (key === undefined || key === "") {
            return undefined;
        }
        const first = ctx.settings.stages.find(one => !one.idempotent);
        return { workspace: ctx.req.workspace, key: first === stage ? key : `${key}\n${stage.name}` };
    }

    private claimFailure(ctx: RequestContext, error: RecordsError): Failure {
        if (error.kind === "full") {
            return failureFor(ctx.ledger, "overloaded", error.message, error.retryAfterMs);
        }
        const message = `the call was not sent because its claim could not be recorded: ${error.message}`;
        return failureFor(ctx.ledger, "no-quorum", message, noQuorumRetryAfterMs);
    }

    private async handleClaimResult(
        ctx: RequestContext,
        stage: StageSettings,
        key: ClaimKey,
        result: ClaimResult,
    ): Promise<StageResult | undefined> {
        switch (result.kind) {
            case "claimed":
                return this.sendOnce(ctx, stage, result.claim);
            case "recorded":
                return this.replay(ctx, stage, result.outcome);
            case "key-reused":
                return Left(failureFor(ctx.ledger, "key-reused", "the Idempotency-Key was used with another body"));
            case "running":
                return this.waitForEarlier(ctx, stage, key);
        }
    }

    /** Waits for an earlier request with the same key; undefined when it released its claim, so this one may claim. */
    private async waitForEarlier(
        ctx: RequestContext,
        stage: StageSettings,
        key: ClaimKey,
    ): Promise<StageResult | undefined> {
        const { claims, clock } = this.services;
        const remainingMs = ctx.req.deadlineMs - answerMarginMs - clock.nowMs();
        const outcome = await claims.wait(key, Math.max(0, remainingMs), ctx.signal);
        if (outcome !== undefined) {
            return this.replay(ctx, stage, outcome);
        }
        if (!ctx.signal.aborted && ctx.req.deadlineMs - clock.nowMs() > 2 * answerMarginMs) {
            return undefined;
        }
        return Left(outcomeUnknown("an earlier request still runs; send again with the same Idempotency-Key"));
    }

    private replay(ctx: RequestContext, stage: StageSettings, outcome: RecordedOutcome): StageResult {
        switch (outcome.kind) {
            case "answered":
                ctx.adoptOutput(stage.name, outcome.answer);
                return Right(outcome.answer);
            case "failed":
                return Left({
                    kind: "failed",
                    reason: "stage-failed",
                    message: outcome.message,
                    repeat: "unsafe",
                    retryAfterMs: undefined,
                });
            case "unknown":
                return Left(outcomeUnknown(outcome.message));
        }
    }

    /** Sends the call under its claim; resolves early when the caller disconnects or the deadline passes. */
    private sendOnce(ctx: RequestContext, stage: StageSettings, claim: Claim): Promise<StageResult> {
        const { clock } = this.services;
        const stageDeadlineMs = this.estimator.stageDeadlineMs(ctx, stage);
        const deadline = new DeadlineSignal(clock, ctx.signal, stageDeadlineMs);
        const sentBefore = ctx.ledger.sentUnsafeCalls;
        const callAbort = new AbortController();
        return new Promise((resolve, reject) => {
            let isDetached = false;
            const detach = () => {
                const sent = ctx.ledger.sentUnsafeCalls > sentBefore;
                if (!sent) {
                    callAbort.abort();
                }
                isDetached = true;
                this.detachedCount += 1;
                rethrowUncaught(recorded);
                resolve(Left(this.cancellationFailure(ctx, stage, sent, deadline.timedOut)));
            };
            deadline.signal.addEventListener("abort", detach, { once: true });
            const recorded = this.sendAndRecord(ctx, stage, claim, callAbort.signal);
            recorded.then(resolve, reject).finally(() => {
                this.detachedCount -= isDetached ? 1 : 0;
                deadline.signal.removeEventListener("abort", detach);
                deadline.dispose();
            });
            if (deadline.signal.aborted) {
                detach();
            }
        });
    }

    private cancellationFailure(ctx: RequestContext, stage: StageSettings, sent: boolean, timedOut: boolean): Failure {
        if (sent) {
            return outcomeUnknown(`stage ${stage.name} still runs; send again with the same Idempotency-Key`);
        }
        return timedOut ? deadlineExceeded(ctx, stage.name, noQuorumRetryAfterMs) : cancelled(ctx);
    }

    /** Sends the call and records its outcome; tries further endpoints only while the call is provably unsent. */
    private async sendAndRecord(
        ctx: RequestContext,
        stage: StageSettings,
        claim: Claim,
        signal: AbortSignal,
    ): Promise<StageResult> {
        const sentBefore = ctx.ledger.sentUnsafeCalls;
        const avoid = new Set<EndpointId>();
        for (let tries = 1;; tries++) {
            invariant(
                ctx.ledger.sentUnsafeCalls === sentBefore,
                "a non-idempotent call is sent at most once under its claim",
                { request: ctx.req.id, stage: stage.name },
            );
            const result = await this.attempt(ctx, stage, avoid, tries, signal);
            const sent = ctx.ledger.sentUnsafeCalls > sentBefore;
            if (result.isRight()) {
                invariant(sent, "an answered call was recorded as sent", { request: ctx.req.id, stage: stage.name });
                return this.recordAnswer(ctx, stage, claim, result.extract());
            }
            const error = result.extract() as AttemptError;
            if (sent) {
                return this.recordFailure(ctx, stage, claim, error);
            }
            if (error.kind === "no-slot" || tries >= maxUnsentTries || signal.aborted) {
                await claim.release(recordTimeoutMs);
                return Left(failureOf(ctx, stage.name, error));
            }
            avoid.add(error.endpoint);
            await this.services.clock.sleep(unsentBackoffMs, signal);
        }
    }

    private attempt(
        ctx: RequestContext,
        stage: StageSettings,
        avoid: ReadonlySet<EndpointId>,
        tries: number,
        signal: AbortSignal,
    ): Promise<AttemptResult> {
        return this.caller.attempt(ctx, stage, {
            kind: tries === 1 ? "first" : "retry",
            avoid,
            resumeFrom: undefined,
            alone: false,
            signal,
            callDeadlineMs: ctx.req.deadlineMs + outcomeGraceMs,
        });
    }

    private async recordAnswer(
        ctx: RequestContext,
        stage: StageSettings,
        claim: Claim,
        success: AttemptSuccess,
    ): Promise<StageResult> {
        const { output, usage } = success.reply;
        if (!await this.record(ctx, stage, claim, { kind: "answered", answer: output })) {
            return Left(outcomeUnknown(`stage ${stage.name} ran, but its outcome could not be recorded`));
        }
        ctx.recordOutput(stage.name, success.attempt, output);
        ctx.costs.recordUsed(stage.name, usage);
        return Right(output);
    }

    private async recordFailure(
        ctx: RequestContext,
        stage: StageSettings,
        claim: Claim,
        error: AttemptError,
    ): Promise<StageResult> {
        const isKnownFailure = error.kind === "call-failed" && this.isReportedFailure(error);
        const message = `stage ${stage.name}: ${error.kind === "call-failed" ? error.error.message : error.message}`;
        const recorded = await this.record(ctx, stage, claim, { kind: isKnownFailure ? "failed" : "unknown", message });
        return Left(
            isKnownFailure && recorded ? failureFor(ctx.ledger, "stage-failed", message) : outcomeUnknown(message),
        );
    }

    /** True when the endpoint itself reported that the call failed or was refused. */
    private isReportedFailure(error: FailedCall): boolean {
        return error.error.kind === "stage-error" || error.error.kind === "refused";
    }

    private async record(
        ctx: RequestContext,
        stage: StageSettings,
        claim: Claim,
        outcome: RecordedOutcome,
    ): Promise<boolean> {
        for (let tries = 1; tries <= maxRecordTries; tries++) {
            const recorded = await claim.finish(outcome, recordTimeoutMs);
            if (recorded.isRight()) {
                return true;
            }
            await this.services.clock.sleep(recordBackoffMs * tries);
        }
        this.services.log.event(EventId.ClaimOutcomeNotRecorded, { request: ctx.req.id, stage: stage.name });
        return false;
    }
}
