/** Why a request is refused and when its caller may come back, for causes that depend on no more than the request. */
import { defaultRetryMs } from "./StageGraph.js";
import type { Refusal, RefusalCause } from "./Types.js";

/** Retry advice of a stopping host; a caller reaches another host at once. */
export const stoppingRetryMs = 50;

export const stoppingCause: RefusalCause = {
    reason: "stopping",
    message: "this host is stopping",
    retryAfterMs: stoppingRetryMs,
};

/** An exception ended the handling of a request. */
export function failedRefusal(notRun: boolean): Refusal {
    const message = "this host failed to handle the request";
    return { reason: "failed", message, notRun, ...(notRun ? { retryAfterMs: defaultRetryMs } : {}) };
}

export const disconnectedCause: RefusalCause = { reason: "deadline", message: "the caller has disconnected" };
export const deadlineCause: RefusalCause = { reason: "deadline", message: "the deadline has passed" };

/** Why no endpoint may get a request, and for how long: all have asked for a pause, or all limits are used up. */
export interface Unavailability {
    readonly reason: "paused" | "limited";
    readonly forMs: number;
}

export function unavailableCause(unavailability: Unavailability | undefined): RefusalCause {
    switch (unavailability?.reason) {
        case "paused":
            return {
                reason: "no-endpoint",
                message: "all endpoints have asked for a pause",
                retryAfterMs: unavailability.forMs,
            };
        case "limited":
            return {
                reason: "limited",
                message: "the limits of all endpoints are used up",
                retryAfterMs: unavailability.forMs,
            };
        case undefined:
            return {
                reason: "no-endpoint",
                message: "no endpoint is available for the request",
                retryAfterMs: defaultRetryMs,
            };
    }
}

/** The caller leaves before the next event can come; `retryAfterMs` is undefined when coming back does not help. */
export function impatientCause(retryAfterMs: number | undefined): RefusalCause {
    const message = "the next event can't come before the caller leaves";
    return { reason: "overloaded", message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}
