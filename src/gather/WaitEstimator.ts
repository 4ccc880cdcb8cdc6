/**
 * Estimates how long a submission of a cell waits for its first call and whether its request can still meet its
 * deadline. Decides on refusals, on arrival and while queued, each with a time after which the caller may retry.
 */
import type { Clock } from "../common/Types.js";
import type { BatchTraits } from "../fleet/Types.js";
import type { BatchEndpoints } from "./BatchEndpoints.js";
import type { DemandMeter } from "./DemandMeter.js";
import { isLate, type PieceQueue, type QueuedSubmission, type QueuePosition } from "./PieceQueue.js";
import type { SubmissionError } from "./Types.js";

/** Bounds of the retry advice to callers. */
export const minRetryMs = 200;
const maxRetryMs = 1500;
/** A submission that needs more than this share of its remaining time is refused on arrival. */
const maxTimeShare = 0.8;
/** With less than this share of the capacity spare, late submissions are expected to wait until the burst ends. */
const minSpareShare = 0.05;
/** Assumed length of a burst; a request with more time than this can wait for the end of one. */
const burstMs = 6000;

/** A queued submission that can't meet its deadline, and the error for its request. */
interface InfeasibleSubmission {
    readonly waiting: QueuedSubmission;
    readonly error: SubmissionError;
}

export class WaitEstimator {
    public constructor(
        private readonly queue: PieceQueue,
        private readonly endpoints: BatchEndpoints,
        private readonly demand: DemandMeter,
        private readonly clock: Clock,
    ) {}

    /** Estimated wait of a new submission for its first call, in milliseconds; 0 when no endpoint is usable. */
    public waitMs(traits: BatchTraits, position: QueuePosition, isContinued: boolean = false): number {
        const nowMs = this.clock.nowMs();
        const piecesPerMs = this.endpoints.piecesPerMs(traits);
        if (piecesPerMs === 0) {
            return 0;
        }
        const usable = this.endpoints.usable();
        const isBusy = usable.every(endpoint => !endpoint.canStartCall(traits));
        // Approximate time until the first of the busy endpoints becomes free.
        const currentCallMs = isBusy ? callDurationMs(traits, traits.batch) / (2 * usable.length) : 0;
        const waitMs = currentCallMs + this.queue.piecesAhead(position, nowMs) / piecesPerMs;
        if (position.startByMs - nowMs >= waitMs) {
            return waitMs;
        }
        // A late submission goes after all that can be on time, including those that arrive while it waits.
        const piecesAhead = this.queue.piecesAhead({ ...position, startByMs: -Infinity }, nowMs);
        if (isContinued) {
            return currentCallMs + piecesAhead / piecesPerMs;
        }
        const sparePerMs = piecesPerMs - this.demand.piecesPerMs();
        const hasSpare = sparePerMs > piecesPerMs * minSpareShare;
        return currentCallMs + (hasSpare ? Math.min(burstMs, piecesAhead / sparePerMs) : burstMs);
    }

    /** The error with which a new submission is refused; undefined when it may be queued. */
    public refusalFor(waiting: QueuedSubmission, traits: BatchTraits): SubmissionError | undefined {
        const { submission } = waiting;
        const { onTimeOnly, startInMs, remainingMs, isContinued } = submission;
        const waitMs = this.waitMs(traits, waiting, isContinued);
        const readyInMs = waitMs + callDurationMs(traits, submission.pieces.length) + submission.restMs;
        const waitAsNewMs = () => isContinued ? this.waitMs(traits, waiting) : waitMs;
        const isTooLate = onTimeOnly && waitAsNewMs() > startInMs;
        return readyInMs > remainingMs * maxTimeShare || isTooLate ? overloaded(readyInMs, remainingMs) : undefined;
    }

    /** Queued submissions that are no longer expected to complete by their deadline. */
    public infeasible(traits: BatchTraits): readonly InfeasibleSubmission[] {
        const nowMs = this.clock.nowMs();
        const sparePerMs = this.endpoints.piecesPerMs(traits) - this.demand.piecesPerMs();
        let piecesAhead = 0;
        return this.queue.inOrder(nowMs).flatMap(waiting => {
            piecesAhead += waiting.pieces.length;
            const { submission, deadlineMs, isStarted } = waiting;
            const isDeferred = isLate(waiting, nowMs) && !isStarted && !submission.isContinued;
            const queueMs = sparePerMs > 0 ? Math.min(burstMs, piecesAhead / sparePerMs) : burstMs;
            const readyInMs = (isDeferred ? queueMs : 0) + callDurationMs(traits, waiting.pieces.length)
                + submission.restMs;
            const leftMs = deadlineMs - nowMs;
            return readyInMs > leftMs ? [{ waiting, error: overloaded(readyInMs, leftMs) }] : [];
        });
    }
}

function overloaded(readyInMs: number, remainingMs: number): SubmissionError {
    const message = `${Math.round(readyInMs)} ms are needed, ${Math.round(remainingMs)} ms are left`;
    const missingMs = readyInMs - remainingMs * maxTimeShare;
    const retryAfterMs = Math.min(maxRetryMs, Math.max(minRetryMs, missingMs));
    return { kind: "overloaded", message, retryAfterMs };
}

function callDurationMs(traits: BatchTraits, pieces: number): number {
    return traits.callMs + Math.min(pieces, traits.batch) * traits.pieceMs;
}
