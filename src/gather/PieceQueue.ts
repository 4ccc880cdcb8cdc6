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
import { OrderedPieces, type QueueEntry } from "./OrderedPieces.js";
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

/** Storage of all endpoints in a data centre for the results of submissions that have not started. */
export interface StartableStorage {
    /** What neither results nor submissions that have started need. */
    bytes: number;
    /** Capacity of all of them together. */
    readonly capacityBytes: number;
    /** True when no submission that has started waits for storage. */
    isUnclaimed: boolean;
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
    /** Undefined when only the endpoint's own free storage bounds what may start. */
    readonly startable?: StartableStorage | undefined;
}

/** A submission from which the next call takes its first `count` pieces. */
interface Selected {
    readonly waiting: QueuedSubmission;
    readonly count: number;
}

/** The pieces that a call would take; nothing is taken before {@link PieceQueue.takeSelected}. */
export interface Selection {
    readonly picks: readonly Selected[];
    readonly pieces: number;
    /** When the first of them that can be on time counts as late; Infinity when none can. */
    readonly lateAtMs: number;
}

/** Collects the pieces of a call as far as its limits allow. */
class SelectionBuilder {
    public pieces = 0;
    private readonly picks: Selected[] = [];
    private lateAtMs = Infinity;
    private remainingBytes: number;
    private readonly startable: StartableStorage | undefined;

    public constructor(private readonly limits: TakeLimits, private readonly nowMs: number) {
        this.remainingBytes = limits.availableBytes;
        this.startable = limits.startable === undefined ? undefined : { ...limits.startable };
    }

    /** True when no further piece, of at least `minBytes`, can be added. */
    public isFull(minBytes: number): boolean {
        return this.pieces >= this.limits.pieces || minBytes > this.remainingBytes;
    }

    public add({ waiting, lateAtMs }: QueueEntry): void {
        const { resultBytes } = waiting.submission;
        const room = resultBytes > 0 ? Math.floor(this.remainingBytes / resultBytes) : Infinity;
        const count = Math.min(waiting.pieces.length, this.limits.pieces - this.pieces, room);
        if (count <= 0 || !this.mayStart(waiting)) {
            return;
        }
        this.picks.push({ waiting, count });
        this.pieces += count;
        this.remainingBytes -= count * resultBytes;
        if (lateAtMs >= this.nowMs) {
            this.lateAtMs = Math.min(this.lateAtMs, lateAtMs);
        }
    }

    public build(): Selection {
        return { picks: this.picks, pieces: this.pieces, lateAtMs: this.lateAtMs };
    }

    /** Starting a submission whose results do not fit would block the storage for others. */
    private mayStart(waiting: QueuedSubmission): boolean {
        const bytes = waiting.pieces.length * waiting.submission.resultBytes;
        const { startable } = this;
        if (waiting.isStarted || bytes === 0) {
            return true;
        }
        if (startable === undefined) {
            return bytes <= this.remainingBytes || this.pieces === 0;
        }
        // One that is larger than the whole storage could never start otherwise.
        if (bytes > startable.bytes && !(startable.isUnclaimed && bytes > startable.capacityBytes)) {
            return false;
        }
        startable.bytes -= bytes;
        startable.isUnclaimed = false;
        return true;
    }
}

const byStart = (a: QueueEntry, b: QueueEntry) => a.adjustedStartMs - b.adjustedStartMs || a.sequence - b.sequence;
const byDeadline = (a: QueueEntry, b: QueueEntry) =>
    a.waiting.submission.priority - b.waiting.submission.priority || a.waiting.deadlineMs - b.waiting.deadlineMs
    || a.sequence - b.sequence;
const byLateness = (a: QueueEntry, b: QueueEntry) => a.lateAtMs - b.lateAtMs || a.sequence - b.sequence;
const byCheck = (a: QueueEntry, b: QueueEntry) => a.checkAtMs - b.checkAtMs || a.sequence - b.sequence;

/** The submissions that have been started, or those that have not. */
class QueueGroup {
    public readonly onTime = new OrderedPieces(byStart);
    public readonly late = new OrderedPieces(byDeadline);
    private readonly nextLate = new OrderedPieces(byLateness);

    public add(entry: QueueEntry, nowMs: number): void {
        if (entry.lateAtMs < nowMs) {
            this.late.add(entry);
        }
        else {
            this.onTime.add(entry);
            this.nextLate.add(entry);
        }
    }

    public delete(entry: QueueEntry): void {
        this.onTime.delete(entry);
        this.late.delete(entry);
        this.nextLate.delete(entry);
    }

    /** Moves the submissions that have become late behind those that can be on time. */
    public update(nowMs: number): void {
        for (let entry = this.nextLate.first(); entry !== undefined && entry.lateAtMs < nowMs;) {
            this.nextLate.delete(entry);
            this.onTime.delete(entry);
            this.late.add(entry);
            entry = this.nextLate.first();
        }
    }

    public *[Symbol.iterator](): Iterator<QueueEntry> {
        yield* this.onTime;
        yield* this.late;
    }
}

/** A submission's deadline is checked from this long before the time that it needs after its pieces. */
const checkAheadMs = 1000;

export class PieceQueue {
    private readonly entries = new Map<SubmissionId, QueueEntry>();
    private readonly started = new QueueGroup();
    private readonly fresh = new QueueGroup();
    private readonly checks = new OrderedPieces(byCheck);
    /** Number of queued submissions by the size of one result. */
    private readonly resultSizes = new Map<number, number>();
    private lastSequence = 0;
    /** Time of the last update of the order; it does not go back. */
    private updatedMs = -Infinity;

    /** Number of queued pieces. */
    public get size(): number {
        return this.checks.pieces;
    }

    public add(waiting: QueuedSubmission): void {
        this.remove(waiting.submission.id);
        if (waiting.pieces.length === 0) {
            return;
        }
        const { priority, restMs, resultBytes, id } = waiting.submission;
        this.lastSequence += 1;
        const entry: QueueEntry = {
            waiting,
            sequence: this.lastSequence,
            lateAtMs: waiting.startByMs - lateMarginMs(waiting.submission),
            adjustedStartMs: waiting.startByMs + priority * priorityStepMs,
            checkAtMs: waiting.deadlineMs - restMs - checkAheadMs,
        };
        this.entries.set(id, entry);
        this.groupOf(entry).add(entry, this.updatedMs);
        this.checks.add(entry);
        this.resultSizes.set(resultBytes, (this.resultSizes.get(resultBytes) ?? 0) + 1);
    }

    /** Returns a taken piece to the queue; does nothing when it is queued already. */
    public requeue(waiting: QueuedSubmission, piece: number): void {
        if (this.entries.has(waiting.submission.id) && waiting.pieces.includes(piece)) {
            return;
        }
        this.remove(waiting.submission.id);
        if (!waiting.pieces.includes(piece)) {
            waiting.pieces.push(piece);
        }
        this.add(waiting);
    }

    public remove(id: SubmissionId): void {
        const entry = this.entries.get(id);
        if (entry === undefined) {
            return;
        }
        this.entries.delete(id);
        this.started.delete(entry);
        this.fresh.delete(entry);
        this.checks.delete(entry);
        const { resultBytes } = entry.waiting.submission;
        const count = (this.resultSizes.get(resultBytes) ?? 1) - 1;
        if (count > 0) {
            this.resultSizes.set(resultBytes, count);
        }
        else {
            this.resultSizes.delete(resultBytes);
        }
    }

    /** Removes a piece whose result has arrived. */
    public removePiece(id: SubmissionId, piece: number): void {
        const waiting = this.entries.get(id)?.waiting;
        const index = waiting?.pieces.indexOf(piece) ?? -1;
        if (waiting !== undefined && index >= 0) {
            this.remove(id);
            waiting.pieces.splice(index, 1);
            this.add(waiting);
        }
    }

    /** Queued submissions in the order in which calls would take them. */
    public *inOrder(nowMs: number): Generator<QueuedSubmission, void> {
        this.update(nowMs);
        for (const group of [this.started, this.fresh]) {
            for (const { waiting } of group) {
                yield waiting;
            }
        }
    }

    /** The pieces that an endpoint's next call would take. */
    public select(limits: TakeLimits, nowMs: number): Selection {
        this.update(nowMs);
        const builder = new SelectionBuilder(limits, nowMs);
        const minBytes = Math.min(...this.resultSizes.keys());
        const isLocal = (one: QueuedSubmission) => one.dataCentre === undefined || one.dataCentre === limits.dataCentre;
        const others: QueueEntry[] = [];
        for (const group of [this.started, this.fresh]) {
            for (const entry of group) {
                if (builder.isFull(minBytes)) {
                    return builder.build();
                }
                if (isLocal(entry.waiting)) {
                    if (!entry.waiting.unreachableFrom.has(limits.dataCentre)) {
                        builder.add(entry);
                    }
                }
                else {
                    others.push(entry);
                }
            }
        }
        others
            .filter(({ waiting }) => !waiting.unreachableFrom.has(limits.dataCentre))
            .filter(({ waiting }) => mayRunElsewhere(waiting, limits, nowMs))
            .forEach(entry => builder.add(entry));
        return builder.build();
    }

    /** Removes and returns the pieces of a selection, to which nothing may have been added or taken since. */
    public takeSelected({ picks }: Selection, dataCentre: DataCentreId): TakenPiece[] {
        return picks.flatMap(({ waiting, count }) => {
            this.remove(waiting.submission.id);
            const taken = waiting.pieces.splice(0, count).map(piece => ({ waiting, piece }));
            waiting.isStarted = true;
            waiting.dataCentre = dataCentre;
            this.add(waiting);
            return taken;
        });
    }

    /** Removes and returns the pieces of an endpoint's next call. */
    public take(limits: TakeLimits, nowMs: number): TakenPiece[] {
        return this.takeSelected(this.select(limits, nowMs), limits.dataCentre);
    }

    /**
     * Returns the first piece that a suspect endpoint may take. The piece stays in the queue for other
     * endpoints, since the suspect one may fail it.
     */
    public peekFirst({ availableBytes, dataCentre }: TakeLimits, nowMs: number): TakenPiece[] {
        let first: QueuedSubmission | undefined;
        for (const waiting of this.inOrder(nowMs)) {
            if (waiting.submission.resultBytes <= availableBytes && !waiting.unreachableFrom.has(dataCentre)) {
                if (waiting.dataCentre === dataCentre) {
                    first = waiting;
                    break;
                }
                first ??= waiting;
            }
        }
        const piece = first?.pieces[0];
        return first === undefined || piece === undefined ? [] : [{ waiting: first, piece }];
    }

    /** Number of queued pieces that go before those of a new submission. */
    public piecesAhead(added: QueuePosition, nowMs: number): number {
        this.update(nowMs);
        const ofStarted = this.started.onTime.pieces + this.started.late.pieces;
        const { startByMs, deadlineMs, submission: { priority } } = added;
        if (isLate(added, nowMs)) {
            return ofStarted + this.fresh.onTime.pieces
                + this.fresh.late.piecesWhile(({ waiting }) =>
                    waiting.submission.priority < priority
                    || (waiting.submission.priority === priority && waiting.deadlineMs <= deadlineMs)
                );
        }
        const adjustedMs = startByMs + priority * priorityStepMs;
        return ofStarted + this.fresh.onTime.piecesWhile(one => one.adjustedStartMs <= adjustedMs);
    }

    /** Bytes of the results that the started submissions of a data centre still need storage for. */
    public startedBytes(dataCentre: DataCentreId): number {
        let bytes = 0;
        for (const { waiting } of this.started) {
            bytes += waiting.dataCentre === dataCentre ? waiting.pieces.length * waiting.submission.resultBytes : 0;
        }
        return bytes;
    }

    /** Late submissions that have not started, in order, each with the number of pieces before the end of its own. */
    public *deferred(nowMs: number): Generator<readonly [QueuedSubmission, number], void> {
        this.update(nowMs);
        let pieces = this.size - this.fresh.late.pieces;
        for (const { waiting } of this.fresh.late) {
            pieces += waiting.pieces.length;
            yield [waiting, pieces];
        }
    }

    /**
     * Submissions whose deadline is to be checked by now, each once. `checkAtMs` returns when one is to be checked
     * again; undefined for one that the caller removes.
     */
    public dueChecks(nowMs: number, checkAtMs: (waiting: QueuedSubmission) => number | undefined): QueuedSubmission[] {
        const failed: QueuedSubmission[] = [];
        const passed: QueueEntry[] = [];
        for (let entry = this.checks.first(); entry !== undefined && entry.checkAtMs < nowMs;) {
            this.checks.delete(entry);
            const atMs = checkAtMs(entry.waiting);
            if (atMs === undefined) {
                failed.push(entry.waiting);
            }
            entry.checkAtMs = atMs ?? Infinity;
            passed.push(entry);
            entry = this.checks.first();
        }
        passed.forEach(entry => this.checks.add(entry));
        return failed;
    }

    private groupOf({ waiting }: QueueEntry): QueueGroup {
        return waiting.isStarted ? this.started : this.fresh;
    }

    private update(nowMs: number): void {
        this.updatedMs = Math.max(this.updatedMs, nowMs);
        this.started.update(this.updatedMs);
        this.fresh.update(this.updatedMs);
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
