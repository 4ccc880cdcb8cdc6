/**
 * Estimates from recent latencies (10th, 50th and 90th percentile) how long a request's stages and queue waits will
 * take, and splits the request's deadline over the stages: when a stage must start and end so that the later ones fit.
 */
import type { LatencyTracker } from "../common/LatencyTracker.js";
import type { Clock } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { RequestContext } from "./RequestContext.js";
import type { PermitRequest, StageQueues } from "./StageQueues.js";

const lowPercentile = 10;
const medianPercentile = 50;
const highPercentile = 90;
/** Share of the remaining time reserved for replying to the caller while a stage has no recorded latency. */
const replyReserveShare = 0.1;

/** Time that a request needs from a stage to its end, in milliseconds. */
export interface RequestEstimate {
    /** Wait for permits at the current queue lengths. */
    readonly waitMs: number;
    /** Median time of the stages. */
    readonly medianMs: number;
    /** 90th percentile of the time of the stages. */
    readonly p90Ms: number;
}

export class StageEstimator {
    public constructor(
        private readonly latencies: LatencyTracker,
        private readonly queues: StageQueues,
        private readonly clock: Clock,
    ) {}

    /** Records a successful call: its own duration, and the time from its permit to its end. */
    public recordSuccess(ctx: RequestContext, stage: StageSettings, callMs: number, serveMs: number): void {
        this.latencies.record(this.name("call", ctx, stage), callMs);
        this.latencies.record(this.name("serve", ctx, stage), serveMs);
    }

    /** Duration of a call at a percentile, in milliseconds; undefined while too few calls are recorded. */
    public callMs(ctx: RequestContext, stage: StageSettings, percentile: number): number | undefined {
        return this.latencies.percentileMs(this.name("call", ctx, stage), percentile);
    }

    /**
     * Estimates the time from stage `fromIndex` to the end of the request at the current queue lengths.
     * `requestsInStage` returns the number of requests of the same pipeline in a stage; those in earlier stages will be
     * ahead in the queues of the later ones.
     */
    public estimate(
        ctx: RequestContext,
        fromIndex: number,
        requestsInStage: (index: number) => number = () => 0,
    ): RequestEstimate {
        let waitMs = 0;
        let medianMs = 0;
        let p90Ms = 0;
        let requestsAhead = 0;
        for (const [index, stage] of ctx.settings.stages.entries()) {
            if (index >= fromIndex) {
                const stageMedianMs = this.serveMs(ctx, stage, medianPercentile);
                medianMs += stageMedianMs;
                p90Ms += this.serveMs(ctx, stage, highPercentile);
                waitMs += this.queues.expectedWaitMs(this.permitRequest(ctx, stage), stageMedianMs, requestsAhead);
            }
            requestsAhead += requestsInStage(index);
        }
        return { waitMs, medianMs, p90Ms };
    }

    /**
     * The latest time at which a call of this stage may start, on the local monotonic clock. While other calls wait for
     * the pool, a call that would probably end too late may not start, so that they get its place.
     */
    public latestStartMs(ctx: RequestContext, stage: StageSettings): number {
        const stageDeadlineMs = this.stageDeadlineMs(ctx, stage);
        const contended = this.queues.isContended(stage.pool);
        const expectedMs = this.callMs(ctx, stage, contended ? highPercentile : lowPercentile);
        if (expectedMs === undefined) {
            const remainingMs = stageDeadlineMs - this.clock.nowMs();
            return stageDeadlineMs - Math.max(0, remainingMs) * replyReserveShare;
        }
        return stageDeadlineMs - expectedMs;
    }

    /** When this stage must have ended so that the later ones can still finish if they are fast (10th percentile). */
    public stageDeadlineMs(ctx: RequestContext, stage: StageSettings): number {
        const index = ctx.settings.stages.indexOf(stage);
        const later = ctx.settings.stages.slice(index + 1);
        const laterMs = later.reduce((sum, one) => sum + this.serveMs(ctx, one, lowPercentile), 0);
        return ctx.req.deadlineMs - laterMs;
    }

    public permitRequest(ctx: RequestContext, stage: StageSettings): PermitRequest {
        return {
            pool: stage.pool,
            workspace: ctx.req.workspace,
            weight: ctx.weight,
            priority: ctx.req.priority,
            deadlineMs: ctx.req.deadlineMs,
        };
    }

    private serveMs(ctx: RequestContext, stage: StageSettings, percentile: number): number {
        return this.latencies.percentileMs(this.name("serve", ctx, stage), percentile) ?? 0;
    }

    private name(kind: "call" | "serve", ctx: RequestContext, stage: StageSettings): string {
        return `${kind}/${ctx.req.pipeline}/${stage.name}`;
    }
}
