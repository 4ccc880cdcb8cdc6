/** Default speeds of stand-in endpoints by kind, and their initial counters. */
import type { EndpointKind } from "../src/endpoints/Types.js";
import type { StandInCounters, StandInOptions, StandInSpeed } from "./Types.js";

const engineSpeed: StandInSpeed = { baseMs: 5, prefillMsPerToken: 0.05, chunkMs: 6, chunkChars: 40, coldFactor: 3 };

function plainSpeed(baseMs: number): StandInSpeed {
    return { baseMs, prefillMsPerToken: 0, chunkMs: 0.5, chunkChars: 400, coldFactor: 3 };
}

const speeds: Readonly<Record<EndpointKind, StandInSpeed>> = {
    engine: engineSpeed,
    encoder: plainSpeed(4),
    retriever: plainSpeed(6),
    reranker: plainSpeed(8),
    service: plainSpeed(5),
};

/** The speed of an endpoint: the default of its kind, overridden by the options. */
export function speedOf(options: StandInOptions): StandInSpeed {
    return { ...speeds[options.kind], ...options.speed };
}

export function newCounters(): StandInCounters {
    return {
        received: 0,
        completed: 0,
        failed: 0,
        refused: 0,
        cancelled: 0,
        crashes: 0,
        fallsWhileCold: 0,
        maxConcurrentWhileCold: 0,
        maxConcurrent: 0,
        receivedAfterLeaving: 0,
        lastReceivedAfterLeavingMs: 0,
        runsByRequest: {},
        runsByInput: {},
        staleOrdersObeyed: 0,
        byStage: {},
    };
}
