/**
 * Decides how long a free endpoint waits for more pieces before its next call. A call has a fixed cost, so that a stage
 * that is short of capacity loses much of it to calls that are two thirds full.
 */
import type { Selection } from "./PieceQueue.js";

/** What is known when a call could be sent. */
export interface PossibleCall {
    readonly selection: Selection;
    /** Number of all queued pieces. */
    readonly queued: number;
    /** Maximum number of pieces of a call, and its fixed duration. */
    readonly batch: number;
    readonly callMs: number;
    readonly nowMs: number;
    /** How long the endpoint has waited already. */
    readonly heldMs: number;
    /** Submitted pieces, and those that all endpoints can complete with full calls. */
    readonly demandPerMs: number;
    readonly capacityPerMs: number;
}

export interface CallTiming {
    /** Time to wait for more pieces; 0 to send the call now. */
    holdMs(call: PossibleCall): number;
}

/** Sends each call as soon as an endpoint is free. */
export class SendAtOnce implements CallTiming {
    public holdMs(): number {
        return 0;
    }
}

/** A call with this share of its maximum is full. */
const fullShare = 0.95;
/** Below this share of the capacity, calls are sent at once: fuller ones would only make the pieces wait. */
const minLoad = 0.65;
/** A call waits at most this share of its fixed duration; a longer wait costs more than a full call gains. */
const maxHoldShare = 0.8;

/**
 * Waits for a fuller call while the service is short of capacity and each piece of the call can still start on time. A
 * piece that is late already does not make the call wait for less: it has given way to all others anyway.
 */
export class WaitForFullerCalls implements CallTiming {
    public holdMs(call: PossibleCall): number {
        const { selection, queued, batch, callMs, nowMs, heldMs, demandPerMs, capacityPerMs } = call;
        const missing = batch * fullShare - selection.pieces;
        // Where storage keeps queued pieces back, a wait would leave free storage unused.
        if (missing <= 0 || queued > selection.pieces || demandPerMs < capacityPerMs * minLoad) {
            return 0;
        }
        const slackMs = Math.min(selection.lateAtMs - nowMs, callMs * maxHoldShare - heldMs);
        return Math.max(0, Math.min(slackMs, missing / demandPerMs));
    }
}
