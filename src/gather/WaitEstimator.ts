/**
 * Estimates how long a submission of a cell waits for its first call and whether its request can still meet its
 * deadline. Decides on refusals, on arrival and while queued, each with a time after which the caller may retry.
 */
import type { Clock } from "../common/Types.js";
import type { BatchTraits } from "../fleet/Types.js";
import type { BatchEndpoints } from "./BatchEndpoints.js";
import type { DemandMeter } from "./DemandMeter.js";
import type { PieceQueue, QueuedSubmission, QueuePosition } from "./PieceQueue.js";
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

/**
 * Submissions that wait for the end of a burst are checked this often: the check looks at each of them, and running it at
 * each event made its cost quadratic in the size of a burst.
 */
const deferredCheckIntervalMs = 20;
/** The check looks at no more submissions than this in a millisecond, so that its cost does not grow with the queue. */
const deferredChecksPerMs = 5;

/** A queued submission that can't meet its deadline, and the error for its request. */
interface InfeasibleSubmission {
    readonly waiting: QueuedSubmission;
    readonly error: SubmissionError;
}

export class WaitEstimator {
    private deferredCheckMs = -Infinity;
    /** Number of submissions that the last check looked at. */
    private deferredCount = 0;

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
        const latestMs = ({ deadlineMs, pieces, submission }: QueuedSubmission) =>
            deadlineMs - callDurationMs(traits, pieces.length) - submission.restMs;
        const failed = this.queue
            .dueChecks(nowMs, waiting => latestMs(waiting) < nowMs ? undefined : latestMs(waiting))
            .map(waiting => infeasibleOf(waiting, nowMs - latestMs(waiting), nowMs));
        const intervalMs = Math.max(deferredCheckIntervalMs, this.deferredCount / deferredChecksPerMs);
        if (nowMs - this.deferredCheckMs < intervalMs) {
            return failed;
        }
        this.deferredCheckMs = nowMs;
        this.deferredCount = 0;
        const sparePerMs = this.endpoints.piecesPerMs(traits) - this.demand.piecesPerMs();
        for (const [waiting, piecesAhead] of this.queue.deferred(nowMs)) {
            this.deferredCount += 1;
            const queueMs = sparePerMs > 0 ? Math.min(burstMs, piecesAhead / sparePerMs) : burstMs;
            const missingMs = nowMs + queueMs - latestMs(waiting);
            if (!waiting.submission.isContinued && missingMs > 0) {
                failed.push(infeasibleOf(waiting, missingMs, nowMs));
            }
        }
        return failed;
    }
}

function infeasibleOf(waiting: QueuedSubmission, missingMs: number, nowMs: number): InfeasibleSubmission {
    const leftMs = waiting.deadlineMs - nowMs;
    return { waiting, error: overloaded(leftMs + missingMs, leftMs) };
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
