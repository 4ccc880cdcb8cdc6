/**
 * Queue of the pieces of one cell. Calls take pieces in this order: first those of submissions that have been started,
 * since their results occupy storage until the submission is complete; then submissions that can still meet their
 * objective, by latest start time and priority; then the others, by priority and deadline.
 *
 * A submission may be bound to a data centre: that of its sources or its consumer, or that of the call that took its
 * first piece. An endpoint in another data centre takes the submission only after those that are bound to its own data
 * centre or to none, and only if the submission is late, would become late by waiting, or is bound to a data centre
 * without usable endpoints.
 */
import type { DataCentreId } from "../common/Types.js";
import type { Submission, SubmissionId } from "./Types.js";

/** A submission may go to any data centre this long before its latest start; about the duration of one call. */
const relaxBindingMs = 250;
/** One priority level counts as much as this much time before the latest start; about two calls. */
const priorityStepMs = 700;
/**
 * A submission counts as late this long before its latest start, or this share of the time that its request needs
 * afterwards: under load the waits of later stages add up, and a request that starts with no margin ends late.
 */
const minLateMarginMs = 60;
const lateMarginShare = 0.5;

/** A submission with pieces that have not been taken by a call. */
export interface QueuedSubmission {
    readonly submission: Submission;
    /** Latest start and deadline, in milliseconds on the local clock. */
    readonly startByMs: number;
    readonly deadlineMs: number;
    /** Numbers of the pieces that have not been taken. */
    readonly pieces: number[];
    /** True once a call has taken a piece. */
    isStarted: boolean;
    /** Data centre to which the submission is bound; undefined for any. */
    dataCentre: DataCentreId | undefined;
    /** Data centres from which its sources can't be fetched. */
    readonly unreachableFrom: Set<DataCentreId>;
}

/** A piece that a call has taken, with the queue's entry of its submission. */
export interface TakenPiece {
    readonly waiting: QueuedSubmission;
    readonly piece: number;
}

/** Limits of the next call of a free endpoint. */
export interface TakeLimits {
    /** Maximum number of pieces. */
    readonly pieces: number;
    /** Free result storage. */
    readonly availableBytes: number;
    readonly dataCentre: DataCentreId;
    /** Data centres with an endpoint that is not suspect. */
    readonly served: ReadonlySet<DataCentreId>;
}

export class PieceQueue {
    private readonly submissions = new Map<SubmissionId, QueuedSubmission>();

    /** Number of queued pieces. */
    public get size(): number {
        let size = 0;
        for (const { pieces } of this.submissions.values()) {
            size += pieces.length;
        }
        return size;
    }

    public add(waiting: QueuedSubmission): void {
        this.submissions.set(waiting.submission.id, waiting);
    }

    /** Returns a taken piece to the queue; does nothing when it is queued already. */
    public requeue(waiting: QueuedSubmission, piece: number): void {
        if (!waiting.pieces.includes(piece)) {
            waiting.pieces.push(piece);
        }
        this.submissions.set(waiting.submission.id, waiting);
    }

    public remove(id: SubmissionId): void {
        this.submissions.delete(id);
    }

    /** Removes a piece whose result has arrived. */
    public removePiece(id: SubmissionId, piece: number): void {
        const waiting = this.submissions.get(id);
        const index = waiting?.pieces.indexOf(piece) ?? -1;
        if (waiting !== undefined && index >= 0) {
            waiting.pieces.splice(index, 1);
            if (waiting.pieces.length === 0) {
                this.submissions.delete(id);
            }
        }
    }

    /** Queued submissions in the order in which calls would take them. */
    public inOrder(nowMs: number): readonly QueuedSubmission[] {
        return [...this.submissions.values()].sort((a, b) => compareUrgency(a, b, nowMs));
    }

    /** Removes and returns the pieces of an endpoint's next call. */
    public take(limits: TakeLimits, nowMs: number): TakenPiece[] {
        const taken: TakenPiece[] = [];
        const candidates = this.inOrder(nowMs).filter(one => !one.unreachableFrom.has(limits.dataCentre));
        const isLocal = (one: QueuedSubmission) => one.dataCentre === undefined || one.dataCentre === limits.dataCentre;
        const remainingBytes = this.takeFrom(candidates.filter(isLocal), limits, limits.availableBytes, taken);
        const others = candidates.filter(one => !isLocal(one) && mayRunElsewhere(one, limits, nowMs));
        this.takeFrom(others, limits, remainingBytes, taken);
        return taken;
    }

    /**
     * Returns the first piece that a suspect endpoint may take. The piece stays in the queue for other
     * endpoints, since the suspect one may fail it.
     */
    public peekFirst({ availableBytes, dataCentre }: TakeLimits, nowMs: number): TakenPiece[] {
        const fitting = this.inOrder(nowMs)
            .filter(one => one.submission.resultBytes <= availableBytes && !one.unreachableFrom.has(dataCentre));
        const waiting = fitting.find(one => one.dataCentre === dataCentre) ?? fitting[0];
        const piece = waiting?.pieces[0];
        return waiting === undefined || piece === undefined ? [] : [{ waiting, piece }];
    }

    /** Moves pieces into `taken`, in order, as far as the limits allow; returns the remaining storage in bytes. */
    private takeFrom(
        candidates: readonly QueuedSubmission[],
        limits: TakeLimits,
        availableBytes: number,
        taken: TakenPiece[],
    ): number {
        let remainingBytes = availableBytes;
        for (const waiting of candidates) {
            if (taken.length >= limits.pieces) {
                break;
            }
            const { resultBytes, id } = waiting.submission;
            // Starting a submission whose results do not fit would block the storage for others.
            const fits = waiting.isStarted || waiting.pieces.length * resultBytes <= remainingBytes
                || taken.length === 0;
            while (fits && waiting.pieces.length > 0 && taken.length < limits.pieces && resultBytes <= remainingBytes) {
                const piece = waiting.pieces.shift();
                if (piece !== undefined) {
                    taken.push({ waiting, piece });
                    remainingBytes -= resultBytes;
                    waiting.isStarted = true;
                    waiting.dataCentre = limits.dataCentre;
                }
            }
            if (waiting.pieces.length === 0) {
                this.submissions.delete(id);
            }
        }
        return remainingBytes;
    }

    /** Number of queued pieces that go before those of a new submission. */
    public piecesAhead(added: QueuePosition, nowMs: number): number {
        let pieces = 0;
        for (const one of this.submissions.values()) {
            pieces += compareUrgency(one, { ...added, isStarted: false }, nowMs) <= 0 ? one.pieces.length : 0;
        }
        return pieces;
    }
}

/** True when a submission is no longer expected to meet its objective. */
export function isLate(
    { startByMs, submission }: Pick<QueuePosition, "startByMs" | "submission">,
    nowMs: number,
): boolean {
    return startByMs - lateMarginMs(submission) < nowMs;
}

/** How long before its latest start a submission counts as late. */
export function lateMarginMs({ restMs }: Pick<Submission, "restMs">): number {
    return Math.max(minLateMarginMs, restMs * lateMarginShare);
}

/** True when a submission bound to another data centre may be taken here. */
function mayRunElsewhere(waiting: QueuedSubmission, { served }: TakeLimits, nowMs: number): boolean {
    const { dataCentre, startByMs } = waiting;
    return dataCentre === undefined || !served.has(dataCentre) || startByMs - nowMs < relaxBindingMs;
}

/** The properties by which submissions that have not started are ordered. */
export interface QueuePosition {
    readonly startByMs: number;
    readonly deadlineMs: number;
    readonly submission: Pick<Submission, "priority" | "restMs">;
}

interface SortKey extends QueuePosition {
    readonly isStarted: boolean;
}

/** Negative when the pieces of `a` go before those of `b`, positive when they go after them. */
function compareUrgency(a: SortKey, b: SortKey, nowMs: number): number {
    if (a.isStarted !== b.isStarted) {
        return a.isStarted ? -1 : 1;
    }
    const isLateA = isLate(a, nowMs);
    if (isLateA !== isLate(b, nowMs)) {
        return isLateA ? 1 : -1;
    }
    return isLateA
        ? a.submission.priority - b.submission.priority || a.deadlineMs - b.deadlineMs
        : priorityAdjustedStartMs(a) - priorityAdjustedStartMs(b);
}

function priorityAdjustedStartMs({ startByMs, submission }: SortKey): number {
    return startByMs + submission.priority * priorityStepMs;
}
