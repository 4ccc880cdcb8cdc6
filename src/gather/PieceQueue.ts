/**
 * Pieces that wait for a call, and the order in which calls take them. The pieces of a request that has been begun go
 * first, since its results take up room until all are there. Then go requests that can still meet their objective, by
 * the time at which they must start and by their priority; then the others, by priority and deadline.
 *
 * A submission may be bound to a data centre: to where its sources or its consumer are, or to where its first piece
 * went. An endpoint elsewhere takes it only after its own, and only when it would else be late or is so already, or when
 * its data centre has no endpoint.
 */
import type { DataCentreId } from "../common/Types.js";
import type { Submission, SubmissionId } from "./Types.js";

/** A submission with less time than this before its latest start goes to any data centre; about one call's time. */
const leaveCentreMs = 250;
/** A rank of priority weighs as much as this much time before the latest start: two calls that come first. */
const rankMs = 700;
/** A submission counts as late this long before its latest start, since estimates of later steps vary. */
const lateMarginMs = 60;

/** Pieces of a submission that still wait. */
export interface QueuedSubmission {
    readonly submission: Submission;
    /** Times on the local clock. */
    readonly startByMs: number;
    readonly deadlineMs: number;
    readonly pieces: number[];
    /** True once a piece has been taken. */
    isStarted: boolean;
    /** Where its pieces are to be made. */
    dataCentre: DataCentreId | undefined;
    /** Data centres that can't reach its sources. */
    readonly unreachableFrom: Set<DataCentreId>;
}

export interface TakenPiece {
    readonly waiting: QueuedSubmission;
    readonly piece: number;
}

/** What an endpoint that is free can take. */
export interface TakeLimits {
    readonly pieces: number;
    readonly availableBytes: number;
    readonly dataCentre: DataCentreId;
    /** Data centres with an endpoint that can take pieces. */
    readonly served: ReadonlySet<DataCentreId>;
}

export class PieceQueue {
    private readonly waiting = new Map<SubmissionId, QueuedSubmission>();

    /** Pieces that wait. */
    public get size(): number {
        let size = 0;
        for (const { pieces } of this.waiting.values()) {
            size += pieces.length;
        }
        return size;
    }

    public add(waiting: QueuedSubmission): void {
        this.waiting.set(waiting.submission.id, waiting);
    }

    /** Puts a piece back that was taken. */
    public requeue(waiting: QueuedSubmission, piece: number): void {
        if (!waiting.pieces.includes(piece)) {
            waiting.pieces.push(piece);
        }
        this.waiting.set(waiting.submission.id, waiting);
    }

    public remove(id: SubmissionId): void {
        this.waiting.delete(id);
    }

    /** Removes a piece that has been made. */
    public removePiece(id: SubmissionId, piece: number): void {
        const waiting = this.waiting.get(id);
        const at = waiting?.pieces.indexOf(piece) ?? -1;
        if (waiting !== undefined && at >= 0) {
            waiting.pieces.splice(at, 1);
            if (waiting.pieces.length === 0) {
                this.waiting.delete(id);
            }
        }
    }

    /** Submissions that wait, in the order in which they would be taken. */
    public inOrder(nowMs: number): readonly QueuedSubmission[] {
        return [...this.waiting.values()].sort((a, b) => compare(a, b, nowMs));
    }

    /** Takes the pieces of the next call of an endpoint. */
    public take(limits: TakeLimits, nowMs: number): TakenPiece[] {
        const taken: TakenPiece[] = [];
        const inOrder = this.inOrder(nowMs).filter(one => !one.unreachableFrom.has(limits.dataCentre));
        const isOwn = (one: QueuedSubmission) => one.dataCentre === undefined || one.dataCentre === limits.dataCentre;
        const leftBytes = this.takeFrom(inOrder.filter(isOwn), limits, limits.availableBytes, taken);
        const others = inOrder.filter(one => !isOwn(one) && mayLeave(one, limits, nowMs));
        this.takeFrom(others, limits, leftBytes, taken);
        return taken;
    }

    /** The first piece that an endpoint might take; it waits on, since the endpoint may fail it. */
    public peekFirst({ availableBytes: roomBytes, dataCentre }: TakeLimits, nowMs: number): TakenPiece[] {
        const fitting = this.inOrder(nowMs)
            .filter(one => one.submission.resultBytes <= roomBytes && !one.unreachableFrom.has(dataCentre));
        const waiting = fitting.find(one => one.dataCentre === dataCentre) ?? fitting[0];
        const piece = waiting?.pieces[0];
        return waiting === undefined || piece === undefined ? [] : [{ waiting, piece }];
    }

    /** Takes pieces in order while there is room for them; gives the room that is left. */
    private takeFrom(
        candidates: readonly QueuedSubmission[],
        limits: TakeLimits,
        roomBytes: number,
        taken: TakenPiece[],
    ): number {
        let leftBytes = roomBytes;
        for (const waiting of candidates) {
            if (taken.length >= limits.pieces) {
                break;
            }
            const { resultBytes, id } = waiting.submission;
            // A request that is begun where its results find no room would keep others out.
            const fits = waiting.isStarted || waiting.pieces.length * resultBytes <= leftBytes || taken.length === 0;
            while (fits && waiting.pieces.length > 0 && taken.length < limits.pieces && resultBytes <= leftBytes) {
                const piece = waiting.pieces.shift();
                if (piece !== undefined) {
                    taken.push({ waiting, piece });
                    leftBytes -= resultBytes;
                    waiting.isStarted = true;
                    waiting.dataCentre = limits.dataCentre;
                }
            }
            if (waiting.pieces.length === 0) {
                this.waiting.delete(id);
            }
        }
        return leftBytes;
    }

    /** Pieces that would go before those of a new submission, and how many of all can still be on time. */
    public piecesAhead(startByMs: number, deadlineMs: number, priority: number, nowMs: number): number {
        const added = { startByMs, deadlineMs, submission: { priority }, isStarted: false };
        let pieces = 0;
        for (const one of this.waiting.values()) {
            pieces += compare(one, added, nowMs) <= 0 ? one.pieces.length : 0;
        }
        return pieces;
    }
}

/** True for a submission that can't be expected to meet its objective any more. */
export function isLate({ startByMs }: Pick<QueuedSubmission, "startByMs">, nowMs: number): boolean {
    return startByMs - lateMarginMs < nowMs;
}

/** True for a submission bound to another data centre that may be made elsewhere all the same. */
function mayLeave(waiting: QueuedSubmission, { served }: TakeLimits, nowMs: number): boolean {
    const { dataCentre, startByMs } = waiting;
    return dataCentre === undefined || !served.has(dataCentre) || startByMs - nowMs < leaveCentreMs;
}

interface Ordered {
    readonly startByMs: number;
    readonly deadlineMs: number;
    readonly isStarted: boolean;
    readonly submission: { readonly priority: number; };
}

function compare(a: Ordered, b: Ordered, nowMs: number): number {
    if (a.isStarted !== b.isStarted) {
        return a.isStarted ? -1 : 1;
    }
    const isLateA = isLate(a, nowMs);
    if (isLateA !== isLate(b, nowMs)) {
        return isLateA ? 1 : -1;
    }
    return isLateA
        ? a.submission.priority - b.submission.priority || a.deadlineMs - b.deadlineMs
        : rankedStartMs(a) - rankedStartMs(b);
}

function rankedStartMs({ startByMs, submission }: Ordered): number {
    return startByMs + submission.priority * rankMs;
}
