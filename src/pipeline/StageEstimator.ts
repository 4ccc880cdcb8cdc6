/**
 * Splits a request's deadline over its stages by recent latencies: what a stage takes at least, usually and in a bad
 * case, how long a request would wait, and until when a stage may start and run so that the later ones still fit.
 */
import type { Clock } from "../common/Types.js";
import type { StageSettings } from "../config/Schema.js";
import type { LatencyTracker } from "./LatencyTracker.js";
import type { RequestContext } from "./RequestContext.js";
import type { PermitRequest, StageQueues } from "./StageQueues.js";

const leastPercentile = 10;
const usualPercentile = 50;
const cautiousPercentile = 90;
/** Part of the whole deadline that is kept for telling the caller when nothing is known of a stage. */
const unknownReserve = 0.1;

/** What a request needs from a stage on, in milliseconds. */
export interface Need {
    /** Wait for turns in queues that are there now. */
    readonly waitMs: number;
    /** The stages themselves, usually. */
    readonly usualMs: number;
    /** The stages themselves in a bad case. */
    readonly cautiousMs: number;
}

export class StageEstimator {
    public constructor(
        private readonly latencies: LatencyTracker,
        private readonly queues: StageQueues,
        private readonly clock: Clock,
    ) {}

    /** Records a call that succeeded: its own time, and its time from its turn to its end. */
    public recordSuccess(ctx: RequestContext, stage: StageSettings, callMs: number, serveMs: number): void {
        this.latencies.record(this.name("call", ctx, stage), callMs);
        this.latencies.record(this.name("serve", ctx, stage), serveMs);
    }

    /** Time of a call at a percentile; undefined while too few are known. */
    public callMs(ctx: RequestContext, stage: StageSettings, percentile: number): number | undefined {
        return this.latencies.percentileMs(this.name("call", ctx, stage), percentile);
    }

    /**
     * What the request needs from this stage to its end, with the queues as they are. `underWay` gives the requests of
     * the same pipeline that are in a stage; those still before a stage will be ahead in its queue.
     */
    public need(ctx: RequestContext, from: number, underWay: (index: number) => number = () => 0): Need {
        let waitMs = 0;
        let usualMs = 0;
        let cautiousMs = 0;
        let before = 0;
        for (const [index, stage] of ctx.settings.stages.entries()) {
            if (index >= from) {
                const usual = this.serveMs(ctx, stage, usualPercentile);
                usualMs += usual;
                cautiousMs += this.serveMs(ctx, stage, cautiousPercentile);
                waitMs += this.queues.expectedWaitMs(this.turnRequest(ctx, stage), usual, before);
            }
            before += underWay(index);
        }
        return { waitMs, usualMs, cautiousMs };
    }

    /**
     * The latest time at which a call of this stage may start, on the local monotonic clock. While others wait for the
     * pool, a call that would probably end too late leaves its place to them.
     */
    public latestStartMs(ctx: RequestContext, stage: StageSettings): number {
        const stageDeadlineMs = this.stageDeadlineMs(ctx, stage);
        const contended = this.queues.isContended(stage.pool);
        const leastMs = this.callMs(ctx, stage, contended ? cautiousPercentile : leastPercentile);
        if (leastMs === undefined) {
            const leftMs = stageDeadlineMs - this.clock.nowMs();
            return stageDeadlineMs - Math.max(0, leftMs) * unknownReserve;
        }
        return stageDeadlineMs - leastMs;
    }

    /** When this stage has to have ended, so that the later ones can still make it if they are quick. */
    public stageDeadlineMs(ctx: RequestContext, stage: StageSettings): number {
        const index = ctx.settings.stages.indexOf(stage);
        const later = ctx.settings.stages.slice(index + 1);
        const laterMs = later.reduce((sum, one) => sum + this.serveMs(ctx, one, leastPercentile), 0);
        return ctx.req.deadlineMs - laterMs;
    }

    public turnRequest(ctx: RequestContext, stage: StageSettings): PermitRequest {
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
