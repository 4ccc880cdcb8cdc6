/** Options of stand-in endpoints, and the messages of their control path. */
import * as z from "zod";
import type { Clock } from "../src/common/Types.js";
import type { EndpointKind } from "../src/endpoints/Types.js";

/** `POST /v1/control`: switches faults on or off. Faults that are not named stay unchanged. */
export const controlSchema = z.strictObject({
    /** Factor on the duration of each call; 1 is normal. */
    slowBy: z.number().positive().optional(),
    /** A call whose input or previous outputs contain this text crashes the endpoint; "" switches this off. */
    crashOnText: z.string().optional(),
    /** Crashes at once: all connections are dropped, and the endpoint restarts cold. */
    crash: z.boolean().optional(),
    /** Turns cold at once, without a restart. */
    turnCold: z.boolean().optional(),
    /** True: open connections go silent, while new ones work. False: the silent connections are dropped. */
    silent: z.boolean().optional(),
    /** Additional delay of each reply, in milliseconds. */
    lateMs: z.number().min(0).optional(),
    /** Number of replies, starting with the next, that lack part of their output. */
    short: z.number().int().min(0).optional(),
    /** Number of replies, starting with the next, that are exchanged with the reply to another request. */
    swapReplies: z.number().int().min(0).optional(),
    /** Number of replies, starting with the next, that are sent twice. */
    duplicate: z.number().int().min(0).optional(),
    /** Probability that a call runs and then fails, in [0, 1]. */
    failShare: z.number().min(0).max(1).optional(),
    /** The endpoint is about to leave: it still runs calls, and counts those that it receives. */
    leaving: z.boolean().optional(),
});

export type ControlMessage = z.infer<typeof controlSchema>;

/** Total usage of an endpoint by the calls of one pipeline stage. */
export interface StageTotals {
    calls: number;
    busyMs: number;
    promptTokens: number;
    cachedTokens: number;
    outputTokens: number;
}

/**
 * `GET /v1/control`: counters since the stand-in was created, across restarts. With `?brief`, `runsByRequest` and
 * `runsByInput` are empty.
 */
export interface StandInCounters {
    received: number;
    completed: number;
    failed: number;
    refused: number;
    cancelled: number;
    crashes: number;
    /** Number of crashes that were caused by more concurrent calls than the cold endpoint could handle. */
    fallsWhileCold: number;
    /** Maximum number of concurrent calls, waiting ones included, while the endpoint was not warm. */
    maxConcurrentWhileCold: number;
    /** Maximum number of concurrent calls, waiting ones included. */
    maxConcurrent: number;
    receivedAfterLeaving: number;
    /** Time from the start of leaving to the latest call, in milliseconds. */
    lastReceivedAfterLeavingMs: number;
    /** Number of calls that ran, by request id, and by {@link inputDigest} of stage and input. */
    runsByRequest: Record<string, number>;
    runsByInput: Record<string, number>;
    /** Number of orders executed although their fencing number was lower than an earlier one. */
    staleOrdersObeyed: number;
    /** By "pipeline/stage". */
    byStage: Record<string, StageTotals>;
}

/** Simulated speed of a stand-in endpoint; times in milliseconds. */
export interface StandInSpeed {
    /** Fixed time of each call. */
    readonly baseMs: number;
    /** Time for each prompt token that is not cached. */
    readonly prefillMsPerToken: number;
    /** Time for each chunk of output. */
    readonly chunkMs: number;
    readonly chunkChars: number;
    /** Factor on the duration of a call while the endpoint is not warm. */
    readonly coldFactor: number;
}

export interface StandInOptions {
    readonly id: string;
    readonly kind: EndpointKind;
    readonly models: readonly { readonly model: string; readonly version: string; }[];
    readonly coldLimit: number;
    readonly warmLimit: number;
    readonly reportsLoad: boolean;
    readonly checksFencing: boolean;
    /** Whether it starts cold; default true. */
    readonly startsCold?: boolean;
    readonly speed?: Partial<StandInSpeed>;
    /** Number of calls that may wait for a place in the batch; default four times the warm limit. */
    readonly queueLimit?: number;
    /** Age of the load in a load report, in milliseconds; default 300. */
    readonly loadLagMs?: number;
    /** Delay of cache events, in milliseconds; default 200. */
    readonly cacheLagMs?: number;
    /** Fraction of cache events that are lost; default 0.05. */
    readonly cacheGapShare?: number;
    /** Capacity of the prefix cache, in blocks; default 400. */
    readonly cacheBlocks?: number;
    /** Time from a crash until the endpoint listens again, in milliseconds; default 400. */
    readonly restartMs?: number;
    /** Address of the weight store from which models are loaded. */
    readonly weightStore?: string | undefined;
    readonly seed?: number;
    readonly clock?: Clock;
}
