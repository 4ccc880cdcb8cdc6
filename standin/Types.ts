/** Options of stand-ins, and what is sent to and read from their control path. */
import { z } from "zod";
import type { Clock } from "../src/common/Types.js";
import type { EndpointKind } from "../src/endpoints/Types.js";

/** `POST /v1/control`: faults to switch on or off. What is not named stays as it was. */
export const controlSchema = z.strictObject({
    /** Factor on the time of every call; 1 is normal. */
    slowBy: z.number().positive().optional(),
    /** A call whose text contains this crashes the endpoint; "" switches it off. */
    crashOnText: z.string().optional(),
    /** Crashes at once: all connections drop, and the endpoint comes back cold. */
    crash: z.boolean().optional(),
    /** Turns cold at once without a restart. */
    turnCold: z.boolean().optional(),
    /** True: connections that are open now get no byte any more, while new ones work. False: they are dropped. */
    silent: z.boolean().optional(),
    /** Further delay of each reply after the work is done, in milliseconds. */
    lateMs: z.number().min(0).optional(),
    /** The next so many replies lack the end of their output. */
    short: z.number().int().min(0).optional(),
    /** The next so many replies go to another request. */
    swapReplies: z.number().int().min(0).optional(),
    /** The next so many replies are sent twice. */
    duplicate: z.number().int().min(0).optional(),
    /** Share of calls that run and then fail, in [0, 1]. */
    failShare: z.number().min(0).max(1).optional(),
    /** The endpoint is about to leave: it still runs what it gets, and counts it. */
    leaving: z.boolean().optional(),
});

export type ControlMessage = z.infer<typeof controlSchema>;

/** What the calls of one stage of a pipeline have cost an endpoint. */
export interface StageSpending {
    calls: number;
    busyMs: number;
    promptTokens: number;
    cachedTokens: number;
    outputTokens: number;
}

/**
 * `GET /v1/control`: what the endpoint has seen since the stand-in was made, restarts included. With `?brief` the
 * runs are left out.
 */
export interface StandInCounters {
    received: number;
    completed: number;
    failed: number;
    refused: number;
    cancelled: number;
    crashes: number;
    /** Of the crashes, those from more calls at once than the cold endpoint could bear. */
    fallsWhileCold: number;
    /** The most calls that were on the endpoint at once while it could not bear its warm limit. */
    maxConcurrentWhileCold: number;
    /** The most calls that were on the endpoint at once. */
    maxConcurrent: number;
    receivedAfterLeaving: number;
    /** How long after it began to leave the last call came, in milliseconds. */
    lastReceivedAfterLeavingMs: number;
    /** Calls that really ran, by request id and by {@link inputDigest} of stage and input. */
    runsByRequest: Record<string, number>;
    runsByInput: Record<string, number>;
    /** Orders obeyed although their fencing number was lower than an earlier one's. */
    staleOrdersObeyed: number;
    /** By "pipeline/stage". */
    byStage: Record<string, StageSpending>;
}

/** How fast a stand-in works. Times are in milliseconds. */
export interface StandInSpeed {
    /** Fixed part of each call. */
    readonly baseMs: number;
    /** For a prompt token that is not cached. */
    readonly prefillMsPerToken: number;
    /** For a chunk of output. */
    readonly chunkMs: number;
    readonly chunkChars: number;
    /** Factor on the time of a call while the endpoint is cold. */
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
    /** Calls that may wait beyond the warm limit before it refuses; default four times the warm limit. */
    readonly queueLimit?: number;
    /** How old its load report is; default 300. */
    readonly loadLagMs?: number;
    /** How late its cache events are; default 200. */
    readonly cacheLagMs?: number;
    /** Share of cache events that are lost; default 0.05. */
    readonly cacheGapShare?: number;
    readonly cacheBlocks?: number;
    /** Time from a crash until it listens again; default 400. */
    readonly restartMs?: number;
    /** Address of the weight store that it loads models from. */
    readonly weightStore?: string | undefined;
    readonly seed?: number;
    readonly clock?: Clock;
}
