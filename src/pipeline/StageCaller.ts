/**
 * Makes one stage call: acquires a permit from the pool's queue, finds an endpoint slot, sends the call and records its
 * cost. A cancelled call is aborted without waiting for it; its permit is released when the client returns.
 */
import { type Either, Left, Right } from "purify-ts";
import type { EndpointId } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { StageCall, StageCallError, StageReply } from "../endpoints/Types.js";
import { EventId } from "../telemetry/Events.js";
import { DeadlineSignal, raceAbort } from "./DeadlineSignal.js";
import type { RequestContext } from "./RequestContext.js";
import { type FoundSlot, type NoSlot, SlotFinder } from "./SlotFinder.js";
import type { StageEstimator } from "./StageEstimator.js";
import type { Permit, PermitError, StageQueues } from "./StageQueues.js";
import type { SuspectTracker } from "./SuspectTracker.js";
import type { PipelineServices } from "./Types.js";

/** Shortest retry time given to callers when no permit was granted in time. */
const queueFullRetryAfterMs = 500;

export interface AttemptOptions {
    readonly kind: "first" | "retry" | "hedge";
    /** Endpoints tried before; the router ranks them last. */
    readonly avoid: ReadonlySet<EndpointId>;
    /** Output of a broken stream that the call continues; undefined to start over. */
    readonly resumeFrom: StageCall["resumeFrom"];
    /** True when no other call may run on the endpoint. */
    readonly alone: boolean;
    /** Aborting it cancels the call. */
    readonly signal: AbortSignal;
    /** Bound on the call itself, on the local monotonic clock. */
    readonly callDeadlineMs: number;
    readonly onOutput?: (offset: number, text: string) => void;
    /** Called with the endpoint just before the call is passed to the client. */
    readonly onEndpoint?: (endpoint: EndpointId) => void;
}

export type AttemptError =
    | NoSlot
    | {
        readonly kind: "call-failed";
        readonly error: StageCallError;
        readonly endpoint: EndpointId;
        readonly attempt: number;
        /** True when the endpoint crashed during the call and the crash could not be recorded in the records group. */
        readonly crashUnrecorded: boolean;
    };

export interface AttemptSuccess {
    readonly reply: StageReply;
    readonly attempt: number;
    readonly endpoint: EndpointId;
}

export type AttemptResult = Either<AttemptError, AttemptSuccess>;

/** The permit and the slot that a call holds when it is sent. */
interface CallResources {
    readonly permit: Permit;
    /** When the permit was granted, on the local monotonic clock. */
    readonly permitAtMs: number;
    readonly found: FoundSlot;
}

const quarantinedError: AttemptError = {
    kind: "no-slot",
    reason: "quarantined",
    message: "the request crashes the endpoints that run it",
    retryAfterMs: undefined,
};
const abortedError: AttemptError = {
    kind: "no-slot",
    reason: "aborted",
    message: "the call was aborted",
    retryAfterMs: 0,
};

export class StageCaller {
    private readonly finder: SlotFinder;

    public constructor(
        private readonly services: PipelineServices,
        private readonly queues: StageQueues,
        private readonly estimator: StageEstimator,
        private readonly suspects: SuspectTracker,
    ) {
        this.finder = new SlotFinder(services);
    }

    /** Makes one attempt and resolves to its result. When the signal aborts, it resolves to an error without delay. */
    public async attempt(ctx: RequestContext, stage: StageSettings, options: AttemptOptions): Promise<AttemptResult> {
        const { clock } = this.services;
        const startByMs = this.estimator.latestStartMs(ctx, stage);
        const startDeadline = new DeadlineSignal(clock, options.signal, startByMs);
        const acquired = await this.queues.acquire(this.estimator.permitRequest(ctx, stage), startDeadline.signal);
        startDeadline.dispose();
        if (acquired.isLeft()) {
            return Left(this.permitFailure(acquired.extract(), startDeadline, ctx, stage));
        }
        const permit = acquired.extract() as Permit;
        const permitAtMs = clock.nowMs();
        const found = await this.finder.find({
            stage,
            prompt: ctx.prompt,
            priority: ctx.req.priority,
            sinceMs: permitAtMs,
            avoid: options.avoid,
            startByMs,
            alone: options.alone,
            signal: options.signal,
        });
        if (found.isLeft()) {
            permit.end();
            return Left(found.extract());
        }
        this.queues.refresh(stage.pool);
        return this.send(ctx, stage, options, {
            permit,
            permitAtMs,
            found: found.extract() as FoundSlot,
        });
    }

    private async send(
        ctx: RequestContext,
        stage: StageSettings,
        options: AttemptOptions,
        resources: CallResources,
    ): Promise<AttemptResult> {
        const { permit, found } = resources;
        const rejection = this.checkBeforeSend(ctx, stage, options, found);
        if (rejection !== undefined) {
            found.slot.release("never-sent");
            found.done();
            permit.end();
            return Left(rejection);
        }
        options.onEndpoint?.(found.choice.endpoint.id);
        const ended = this.callClient(ctx, stage, options, resources).finally(() => {
            found.done();
            this.queues.refresh(stage.pool);
            permit.end();
        });
        return raceAbort<AttemptResult>(ended, options.signal, () => Left(abortedError));
    }

    /** What prevents the call from being sent after it waited for its slot; undefined when it may be sent. */
    private checkBeforeSend(
        ctx: RequestContext,
        stage: StageSettings,
        options: AttemptOptions,
        found: FoundSlot,
    ): AttemptError | undefined {
        if (options.signal.aborted || ctx.ledger.isSealed || !ctx.maySend()) {
            return abortedError;
        }
        if (this.suspects.isQuarantined(ctx.fingerprint)) {
            return quarantinedError;
        }
        if (stage.idempotent && !found.alone && this.suspects.isSuspect(ctx.fingerprint)) {
            const error = {
                kind: "never-sent",
                message: "the request is now suspected of crashing endpoints and has to run alone",
            } as const;
            const endpoint = found.choice.endpoint.id;
            return { kind: "call-failed", error, endpoint, attempt: 0, crashUnrecorded: false };
        }
        return undefined;
    }

    private async callClient(
        ctx: RequestContext,
        stage: StageSettings,
        options: AttemptOptions,
        resources: CallResources,
    ): Promise<AttemptResult> {
        const { clock, client, log, router } = this.services;
        const found = resources.found;
        const call = this.buildCall(ctx, stage, options);
        const prompt = ctx.prompt;
        const startedMs = clock.nowMs();
        ctx.costs.recordCall(stage.name, options.kind);
        const fields = { request: ctx.req.id, stage: stage.name, attempt: call.attempt, endpoint: found.slot.endpoint };
        log.event(EventId.StageStarted, fields);
        const result = await client.call(call, found.slot, ctx.ledger, options.signal, options.onOutput);
        const endedMs = clock.nowMs();
        const elapsedMs = endedMs - startedMs;
        const endpoint = found.choice.endpoint.id;
        this.finder.recordEnd(endpoint, result.isRight());
        if (result.isLeft()) {
            const error = result.extract();
            log.event(EventId.StageEnded, {
                ...fields,
                end: error.kind,
                message: error.message,
                durationMs: elapsedMs,
            });
            this.recordFailure(ctx, stage, error, elapsedMs);
            const crashUnrecorded = !await this.reportCrash(ctx, error, found);
            return Left({ kind: "call-failed", error, endpoint, attempt: call.attempt, crashUnrecorded });
        }
        const reply = result.extract() as StageReply;
        log.event(EventId.StageEnded, { ...fields, end: "succeeded", durationMs: elapsedMs });
        router.recordPrompt(endpoint, prompt);
        this.estimator.recordSuccess(ctx, stage, elapsedMs, endedMs - resources.permitAtMs);
        if (options.signal.aborted) {
            ctx.costs.recordWasted(stage.name, reply.usage.busyMs);
        }
        return Right({ reply, attempt: call.attempt, endpoint });
    }

    private buildCall(ctx: RequestContext, stage: StageSettings, options: AttemptOptions): StageCall {
        return {
            request: ctx.req.id,
            workspace: ctx.req.workspace,
            pipeline: ctx.req.pipeline,
            stage: stage.name,
            attempt: ctx.nextAttempt(stage.name),
            idempotent: stage.idempotent,
            priority: ctx.req.priority,
            model: stage.model,
            body: ctx.body,
            resumeFrom: options.resumeFrom,
            deadlineMs: options.callDeadlineMs,
        };
    }

    private recordFailure(ctx: RequestContext, stage: StageSettings, error: StageCallError, elapsedMs: number): void {
        if (error.kind !== "never-sent" && error.kind !== "refused") {
            ctx.costs.recordWasted(stage.name, elapsedMs);
        }
    }

    /** Records a crash before any decision on a retry, so that a resend finds it. False when recording failed. */
    private async reportCrash(ctx: RequestContext, error: StageCallError, found: FoundSlot): Promise<boolean> {
        if (error.kind !== "lost" || !error.crashed) {
            return true;
        }
        this.services.log.event(EventId.EndpointCrashSeen, {
            request: ctx.req.id,
            endpoint: found.slot.endpoint,
            alone: found.alone,
        });
        return this.suspects.recordCrash(ctx.fingerprint, found.alone);
    }

    private permitFailure(
        error: PermitError,
        startDeadline: DeadlineSignal,
        ctx: RequestContext,
        stage: StageSettings,
    ): AttemptError {
        if (error === "aborted" && !startDeadline.timedOut) {
            return abortedError;
        }
        const estimate = this.estimator.estimate(ctx, ctx.settings.stages.indexOf(stage));
        return {
            kind: "no-slot",
            reason: "overloaded",
            message: error === "queue-full"
                ? "too many calls queued"
                : `pool ${stage.pool} is too busy for the deadline`,
            retryAfterMs: Math.max(queueFullRetryAfterMs, Math.ceil(estimate.waitMs)),
        };
    }
}
