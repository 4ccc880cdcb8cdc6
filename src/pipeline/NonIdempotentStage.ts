/**
 * Runs a stage that may not be repeated. Its claim is committed before the call is sent and its outcome before the
 * caller is answered. The call, once sent, goes on when the caller gives up or the deadline passes, so that its outcome
 * is recorded and a resend gets it. Only a call proven unsent gives its claim up.
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

const claimTimeoutMs = 2000;
const recordTimeoutMs = 2000;
const recordTries = 5;
const recordBackoffMs = 100;
const noQuorumRetryAfterMs = 1000;
/** How long a sent call may go on after the caller's deadline, so that its outcome can be recorded. */
const outcomeGraceMs = 10_000;
/** Endpoints tried with a call that has not been sent. */
const maxUnsentTries = 4;
const unsentBackoffMs = 20;
/** Pause before a claim is tried again after an earlier sending has given it up. */
const reclaimPauseMs = 5;
/** Time before the deadline that is kept for the answer. */
const answerMarginMs = 10;

type StageResult = Either<Failure, string>;
type FailedCall = Extract<AttemptError, { kind: "call-failed"; }>;

export class NonIdempotentStage {
    private detached = 0;

    public constructor(
        private readonly services: PipelineServices,
        private readonly caller: StageCaller,
        private readonly estimator: StageEstimator,
    ) {}

    /** Sent calls whose caller has been answered and whose outcome is still to come. */
    public get detachedCalls(): number {
        return this.detached;
    }

    /**
     * Refuses a request whose later stages need claims while the records group can't be reached, before any stage has
     * run. Undefined where there is nothing to refuse.
     */
    public async refuseUnreachable(ctx: RequestContext): Promise<Failure | undefined> {
        const { claims, clock } = this.services;
        const first = ctx.settings.stages.find(stage => ctx.outputs[stage.name] === undefined);
        const needsClaim = ctx.settings.stages.some(stage => !stage.idempotent);
        if (first === undefined || !first.idempotent || !needsClaim) {
            return undefined;
        }
        const timeoutMs = Math.min(claimTimeoutMs, ctx.req.deadlineMs - clock.nowMs());
        const confirmed = await claims.confirmReachable(timeoutMs);
        return confirmed.caseOf<Failure | undefined>({
            Left: error => this.notClaimed(ctx, error),
            Right: () => undefined,
        });
    }

    public async run(ctx: RequestContext, stage: StageSettings): Promise<StageResult> {
        const key = this.keyOf(ctx, stage);
        if (key === undefined) {
            const message = `stage ${stage.name} is not idempotent; send an Idempotency-Key`;
            return Left(failureFor(ctx.ledger, "idempotency-key-missing", message));
        }
        while (true) {
            const ended = await this.tryClaim(ctx, stage, key);
            if (ended !== undefined) {
                return ended;
            }
            await this.services.clock.sleep(reclaimPauseMs, ctx.signal);
        }
    }

    /** Claims once and goes on from there; undefined when an earlier sending has just given its claim up unsent. */
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
            return Left(this.notClaimed(ctx, claimed.extract()));
        }
        return this.goOn(ctx, stage, key, claimed.extract() as ClaimResult);
    }

    /** The claim's key: the caller's own for the pipeline's first such stage, and one made from it for any other. */
    private keyOf(ctx: RequestContext, stage: StageSettings): ClaimKey | undefined {
        const key = ctx.req.idempotencyKey;
        if (key === undefined || key === "") {
            return undefined;
        }
        const first = ctx.settings.stages.find(one => !one.idempotent);
        return { workspace: ctx.req.workspace, key: first === stage ? key : `${key}\n${stage.name}` };
    }

    private notClaimed(ctx: RequestContext, error: RecordsError): Failure {
        if (error.kind === "full") {
            return failureFor(ctx.ledger, "overloaded", error.message, error.retryAfterMs);
        }
        const message = `the call was not sent, since its claim can't be recorded: ${error.message}`;
        return failureFor(ctx.ledger, "no-quorum", message, noQuorumRetryAfterMs);
    }

    private async goOn(
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
                return this.waitForOther(ctx, stage, key);
        }
    }

    /** Waits for an earlier sending; undefined when it has given its claim up, so that this one may claim. */
    private async waitForOther(
        ctx: RequestContext,
        stage: StageSettings,
        key: ClaimKey,
    ): Promise<StageResult | undefined> {
        const { claims, clock } = this.services;
        const leftMs = ctx.req.deadlineMs - answerMarginMs - clock.nowMs();
        const outcome = await claims.wait(key, Math.max(0, leftMs), ctx.signal);
        if (outcome !== undefined) {
            return this.replay(ctx, stage, outcome);
        }
        if (!ctx.signal.aborted && ctx.req.deadlineMs - clock.nowMs() > 2 * answerMarginMs) {
            return undefined;
        }
        return Left(outcomeUnknown("an earlier sending still runs; send again with the same Idempotency-Key"));
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

    /** Sends the call under its claim; answers early when the caller gives up or the deadline passes. */
    private sendOnce(ctx: RequestContext, stage: StageSettings, claim: Claim): Promise<StageResult> {
        const { clock } = this.services;
        const stageDeadlineMs = this.estimator.stageDeadlineMs(ctx, stage);
        const timed = new DeadlineSignal(clock, ctx.signal, stageDeadlineMs);
        const sentBefore = ctx.ledger.sentUnsafeCalls;
        const call = new AbortController();
        return new Promise((resolve, reject) => {
            let answered = false;
            const giveUp = () => {
                const sent = ctx.ledger.sentUnsafeCalls > sentBefore;
                if (!sent) {
                    call.abort();
                }
                answered = true;
                this.detached += 1;
                rethrowUncaught(recorded);
                resolve(Left(this.givenUp(ctx, stage, sent, timed.timedOut)));
            };
            timed.signal.addEventListener("abort", giveUp, { once: true });
            const recorded = this.untilRecorded(ctx, stage, claim, call.signal);
            recorded.then(resolve, reject).finally(() => {
                this.detached -= answered ? 1 : 0;
                timed.signal.removeEventListener("abort", giveUp);
                timed.dispose();
            });
            if (timed.signal.aborted) {
                giveUp();
            }
        });
    }

    private givenUp(ctx: RequestContext, stage: StageSettings, sent: boolean, timedOut: boolean): Failure {
        if (sent) {
            return outcomeUnknown(`stage ${stage.name} still runs; send again with the same Idempotency-Key`);
        }
        return timedOut ? deadlineExceeded(ctx, stage.name, noQuorumRetryAfterMs) : cancelled(ctx);
    }

    /** Sends the call, to one endpoint after another while it is proven unsent, and records its outcome. */
    private async untilRecorded(
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
        ctx.useOutput(stage.name, success.attempt, output);
        ctx.costs.recordUsed(stage.name, usage);
        return Right(output);
    }

    private async recordFailure(
        ctx: RequestContext,
        stage: StageSettings,
        claim: Claim,
        error: AttemptError,
    ): Promise<StageResult> {
        const known = error.kind === "call-failed" && this.saysItFailed(error);
        const message = `stage ${stage.name}: ${error.kind === "call-failed" ? error.error.message : error.message}`;
        const recorded = await this.record(ctx, stage, claim, { kind: known ? "failed" : "unknown", message });
        return Left(known && recorded ? failureFor(ctx.ledger, "stage-failed", message) : outcomeUnknown(message));
    }

    /** True when the endpoint itself said that the call failed or was not run. */
    private saysItFailed(error: FailedCall): boolean {
        return error.error.kind === "stage-error" || error.error.kind === "refused";
    }

    private async record(
        ctx: RequestContext,
        stage: StageSettings,
        claim: Claim,
        outcome: RecordedOutcome,
    ): Promise<boolean> {
        for (let tries = 1; tries <= recordTries; tries++) {
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
