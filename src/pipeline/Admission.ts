/**
 * Admission control: rejects requests that would miss their deadline at the current queue lengths, and requests above
 * the workspace's concurrency limit. A stage with nothing in flight always admits a request while any time is left, so
 * that an outdated latency estimate cannot block the stage permanently.
 */
import { type Failure, failureFor } from "../common/Outcome.js";
import type { Clock, Random, WorkspaceId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { RequestContext } from "./RequestContext.js";
import type { StageEstimator } from "./StageEstimator.js";
import type { AdmissionControl } from "./Types.js";

/** Shortest retry time given to rejected callers, before jitter. */
const minRetryAfterMs = 100;
/** Retry time given to callers above their workspace's limit, before jitter. */
const workspaceLimitRetryAfterMs = 500;

export interface AdmissionServices {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class Admission implements AdmissionControl {
    private readonly inFlightByWorkspace = new Map<WorkspaceId, number>();
    private readonly inFlightByStage = new Map<string, number>();

    public constructor(private readonly services: AdmissionServices, private readonly estimator: StageEstimator) {}

    public admit(ctx: RequestContext): Failure | undefined {
        const workspace = ctx.req.workspace;
        const inFlight = this.inFlightByWorkspace.get(workspace) ?? 0;
        const limit = ctx.view.settings.workspaces[workspace]?.maxInFlight ?? 1;
        if (inFlight >= limit) {
            return this.reject(
                ctx,
                `workspace ${workspace} has too many requests in flight`,
                workspaceLimitRetryAfterMs,
            );
        }
        const failure = this.check(ctx, 0);
        if (failure === undefined) {
            this.inFlightByWorkspace.set(workspace, inFlight + 1);
        }
        return failure;
    }

    public complete(ctx: RequestContext): void {
        this.inFlightByWorkspace.set(ctx.req.workspace, (this.inFlightByWorkspace.get(ctx.req.workspace) ?? 1) - 1);
    }

    public async trackStage<T>(ctx: RequestContext, index: number, work: () => Promise<T>): Promise<T> {
        const name = this.stageName(ctx, index);
        this.inFlightByStage.set(name, (this.inFlightByStage.get(name) ?? 0) + 1);
        try {
            return await work();
        }
        finally {
            this.inFlightByStage.set(name, (this.inFlightByStage.get(name) ?? 1) - 1);
        }
    }

    public check(ctx: RequestContext, index: number): Failure | undefined {
        const remainingMs = ctx.req.deadlineMs - this.services.clock.nowMs();
        const estimate = this.estimator.estimate(
            ctx,
            index,
            stage => this.inFlightByStage.get(this.stageName(ctx, stage)) ?? 0,
        );
        // At the first stage a request that would have to wait is checked against the 90th percentile. Later on, work
        // has been spent on it, so it is rejected only when it is more likely to fail than not (the median).
        const workMs = estimate.waitMs > 0 && index === 0 ? estimate.p90Ms : estimate.medianMs;
        const shortfallMs = estimate.waitMs + workMs - remainingMs;
        if (remainingMs > 0 && (shortfallMs <= 0 || this.isIdle(ctx, index))) {
            return undefined;
        }
        if (estimate.waitMs > 0) {
            return this.reject(
                ctx,
                "the request would miss its deadline: too many requests are queued",
                Math.max(shortfallMs, estimate.waitMs),
            );
        }
        const message =
            `${Math.max(0, Math.round(remainingMs))} ms are left until the deadline, but the remaining stages`
            + ` take ${Math.round(workMs)} ms`;
        return failureFor(ctx.ledger, "deadline-too-short", message, this.retryAfterMs(shortfallMs));
    }

    private isIdle(ctx: RequestContext, index: number): boolean {
        return (this.inFlightByStage.get(this.stageName(ctx, index)) ?? 0) === 0;
    }

    private stageName(ctx: RequestContext, index: number): string {
        return `${ctx.req.pipeline}/${ctx.settings.stages[index]?.name ?? ""}`;
    }

    private reject(ctx: RequestContext, message: string, waitMs: number): Failure {
        const retryAfterMs = this.retryAfterMs(waitMs);
        this.services.log.event(EventId.RequestShed, { request: ctx.req.id, message, retryAfterMs });
        this.services.metrics.count("requests_shed", { workspace: ctx.req.workspace, pipeline: ctx.req.pipeline });
        return failureFor(ctx.ledger, "overloaded", message, retryAfterMs);
    }

    /** Adds up to 50 % of jitter, so that rejected callers don't all retry at the same time. */
    private retryAfterMs(waitMs: number): number {
        return Math.ceil(Math.max(minRetryAfterMs, waitMs) * (1 + this.services.random.next() / 2));
    }
}
