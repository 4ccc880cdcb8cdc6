/**
 * What a submission of a cell has to reckon with: how long its first call is away, and whether its request can still be
 * answered in time. Refusals follow from it, at arrival and as soon as hope is gone, with a time to come back.
 */
import type { Clock } from "../common/Types.js";
import type { BatchTraits } from "../fleet/Types.js";
import type { BatchEndpoints } from "./BatchEndpoints.js";
import type { DemandMeter } from "./DemandMeter.js";
import { isLate, type PieceQueue, type QueuedSubmission } from "./PieceQueue.js";
import type { SubmissionError } from "./Types.js";

/** A caller is asked to come back no sooner and no later than this. */
export const shortestRetryMs = 200;
const longestRetryMs = 1500;
/** A submission that needs more of its remaining time than this is refused at once rather than at its end. */
const sureShare = 0.8;
/** With less of the service to spare than this, late submissions wait for the end of the burst. */
const leastSpareShare = 0.05;
/** Bursts of callers last about this long; a request with more time than that waits for the end of one. */
const burstMs = 6000;

/** A waiting submission without hope, and what its request is told. */
interface InfeasibleSubmission {
    readonly waiting: QueuedSubmission;
    readonly error: SubmissionError;
}

export class WaitEstimator {
    public constructor(
        private readonly queue: PieceQueue,
        private readonly desks: BatchEndpoints,
        private readonly demand: DemandMeter,
        private readonly clock: Clock,
    ) {}

    /** Estimated wait before the first call of a submission that would go after those that have their times. */
    public waitMs(
        traits: BatchTraits,
        startByMs: number,
        deadlineMs: number,
        priority: number,
        isContinued: boolean = false,
    ): number {
        const nowMs = this.clock.nowMs();
        const piecesPerMs = this.desks.piecesPerMs(traits);
        if (piecesPerMs === 0) {
            return 0;
        }
        const desks = this.desks.usable();
        const isBusy = desks.every(desk => !desk.canStartCall(traits));
        const currentMs = isBusy ? callMs(traits, traits.batch) / (2 * desks.length) : 0;
        const waitMs = currentMs + this.queue.piecesAhead(startByMs, deadlineMs, priority, nowMs) / piecesPerMs;
        if (startByMs - nowMs >= waitMs) {
            return waitMs;
        }
        // It can't be on time, and then goes after all that can: what comes until then is ahead of it too.
        const late = this.queue.piecesAhead(-Infinity, deadlineMs, priority, nowMs);
        if (isContinued) {
            return currentMs + late / piecesPerMs;
        }
        const sparePerMs = piecesPerMs - this.demand.piecesPerMs();
        const hasSpare = sparePerMs > piecesPerMs * leastSpareShare;
        return currentMs + (hasSpare ? Math.min(burstMs, late / sparePerMs) : burstMs);
    }

    /** What a new submission is told when it is not to be taken; undefined for one that may wait. */
    public refusalFor(waiting: QueuedSubmission, traits: BatchTraits): SubmissionError | undefined {
        const { submission, startByMs, deadlineMs } = waiting;
        const { priority, onTimeOnly, startInMs, remainingMs, isContinued } = submission;
        const waitMs = this.waitMs(traits, startByMs, deadlineMs, priority, isContinued);
        const readyInMs = waitMs + callMs(traits, submission.pieces.length) + submission.restMs;
        const waitAsNewMs = () => isContinued ? this.waitMs(traits, startByMs, deadlineMs, priority) : waitMs;
        const isTooLate = onTimeOnly && waitAsNewMs() > startInMs;
        return readyInMs > remainingMs * sureShare || isTooLate ? overloaded(readyInMs, remainingMs) : undefined;
    }

    /** What waits and can't be expected to end in time any more. */
    public infeasible(traits: BatchTraits): readonly InfeasibleSubmission[] {
        const nowMs = this.clock.nowMs();
        const sparePerMs = this.desks.piecesPerMs(traits) - this.demand.piecesPerMs();
        let ahead = 0;
        return this.queue.inOrder(nowMs).flatMap(waiting => {
            ahead += waiting.pieces.length;
            const { submission, deadlineMs, isStarted: isBegun } = waiting;
            const isLoose = isLate(waiting, nowMs) && !isBegun && !submission.isContinued;
            const turnMs = sparePerMs > 0 ? Math.min(burstMs, ahead / sparePerMs) : burstMs;
            const readyInMs = (isLoose ? turnMs : 0) + callMs(traits, waiting.pieces.length) + submission.restMs;
            const leftMs = deadlineMs - nowMs;
            return readyInMs > leftMs ? [{ waiting, error: overloaded(readyInMs, leftMs) }] : [];
        });
    }
}

function overloaded(readyInMs: number, remainingMs: number): SubmissionError {
    const message = `${Math.round(readyInMs)} ms are needed, ${Math.round(remainingMs)} ms are left`;
    const missingMs = readyInMs - remainingMs * sureShare;
    const retryAfterMs = Math.min(longestRetryMs, Math.max(shortestRetryMs, missingMs));
    return { kind: "overloaded", message, retryAfterMs };
}

function callMs(traits: BatchTraits, pieces: number): number {
    return traits.callMs + Math.min(pieces, traits.batch) * traits.pieceMs;
}
