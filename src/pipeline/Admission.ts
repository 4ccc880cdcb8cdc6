/**
 * Refuses requests early: those that can't make their deadline with the queues as they are, and those beyond the
 * workspace's bound. A stage with nothing in flight is always tried, so that old estimates can't shut it for good.
 */
import { type Failure, failureFor } from "../common/Outcome.js";
import type { Clock, Random, WorkspaceId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { RequestContext } from "./RequestContext.js";
import type { StageEstimator } from "./StageEstimator.js";
import type { AdmissionControl } from "./Types.js";

const leastRetryAfterMs = 100;
const workspaceFullRetryAfterMs = 500;

export interface AdmissionServices {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class Admission implements AdmissionControl {
    private readonly running = new Map<WorkspaceId, number>();
    private readonly inStage = new Map<string, number>();

    public constructor(private readonly services: AdmissionServices, private readonly estimator: StageEstimator) {}

    public admit(ctx: RequestContext): Failure | undefined {
        const workspace = ctx.req.workspace;
        const running = this.running.get(workspace) ?? 0;
        const bound = ctx.view.settings.workspaces[workspace]?.maxInFlight ?? 1;
        if (running >= bound) {
            return this.refuse(
                ctx,
                `workspace ${workspace} has too many requests in flight`,
                workspaceFullRetryAfterMs,
            );
        }
        const failure = this.check(ctx, 0);
        if (failure === undefined) {
            this.running.set(workspace, running + 1);
        }
        return failure;
    }

    public complete(ctx: RequestContext): void {
        this.running.set(ctx.req.workspace, (this.running.get(ctx.req.workspace) ?? 1) - 1);
    }

    public async trackStage<T>(ctx: RequestContext, index: number, work: () => Promise<T>): Promise<T> {
        const name = this.stageName(ctx, index);
        this.inStage.set(name, (this.inStage.get(name) ?? 0) + 1);
        try {
            return await work();
        }
        finally {
            this.inStage.set(name, (this.inStage.get(name) ?? 1) - 1);
        }
    }

    public check(ctx: RequestContext, index: number): Failure | undefined {
        const leftMs = ctx.req.deadlineMs - this.services.clock.nowMs();
        const need = this.estimator.need(ctx, index, stage => this.inStage.get(this.stageName(ctx, stage)) ?? 0);
        // A request that has cost something is given up only when it is more likely to fail than not.
        const workMs = need.waitMs > 0 && index === 0 ? need.cautiousMs : need.usualMs;
        const shortMs = need.waitMs + workMs - leftMs;
        if (leftMs > 0 && (shortMs <= 0 || this.isIdle(ctx, index))) {
            return undefined;
        }
        if (need.waitMs > 0) {
            return this.refuse(
                ctx,
                "too many requests wait for the deadline to be met",
                Math.max(shortMs, need.waitMs),
            );
        }
        const message = `the deadline leaves ${Math.max(0, Math.round(leftMs))} ms, and the stages to come`
            + ` take ${Math.round(workMs)} ms`;
        return failureFor(ctx.ledger, "deadline-too-short", message, this.retryAfterMs(shortMs));
    }

    private isIdle(ctx: RequestContext, index: number): boolean {
        return (this.inStage.get(this.stageName(ctx, index)) ?? 0) === 0;
    }

    private stageName(ctx: RequestContext, index: number): string {
        return `${ctx.req.pipeline}/${ctx.settings.stages[index]?.name ?? ""}`;
    }

    private refuse(ctx: RequestContext, message: string, waitMs: number): Failure {
        const retryAfterMs = this.retryAfterMs(waitMs);
        this.services.log.event(EventId.RequestShed, { request: ctx.req.id, message, retryAfterMs });
        this.services.metrics.count("requests_shed", { workspace: ctx.req.workspace, pipeline: ctx.req.pipeline });
        return failureFor(ctx.ledger, "overloaded", message, retryAfterMs);
    }

    /** Spread, so that refused callers don't come back all at once. */
    private retryAfterMs(waitMs: number): number {
        return Math.ceil(Math.max(leastRetryAfterMs, waitMs) * (1 + this.services.random.next() / 2));
    }
}
