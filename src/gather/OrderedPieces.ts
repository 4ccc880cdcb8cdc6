/**
 * Queued submissions in a fixed order, with the number of pieces before any position. Entries are kept in chunks of
 * bounded size, so that adding, removing and counting need few comparisons however long the queue is.
 */
import type { QueuedSubmission } from "./PieceQueue.js";

const maxChunk = 64;

/** A queued submission with the values by which it is ordered; they do not change while it is in an order. */
export interface QueueEntry {
    readonly waiting: QueuedSubmission;
    /** Decides between equals: the one that was queued first goes first. */
    readonly sequence: number;
    /** From when on the submission counts as late. */
    readonly lateAtMs: number;
    /** Latest start, adjusted by the priority. */
    readonly adjustedStartMs: number;
    /** When it is to be checked next whether the submission can still meet its deadline. */
    checkAtMs: number;
}

/** Negative when `a` goes before `b`. */
type Comparison = (a: QueueEntry, b: QueueEntry) => number;

interface Chunk {
    readonly entries: QueueEntry[];
    pieces: number;
}

export class OrderedPieces {
    /** Number of pieces of all entries. */
    public pieces = 0;
    private readonly chunks: Chunk[] = [];

    public constructor(private readonly compare: Comparison) {}

    public first(): QueueEntry | undefined {
        return this.chunks[0]?.entries[0];
    }

    public *[Symbol.iterator](): Iterator<QueueEntry> {
        for (const { entries } of this.chunks) {
            yield* entries;
        }
    }

    public add(entry: QueueEntry): void {
        const count = entry.waiting.pieces.length;
        this.pieces += count;
        const index = Math.min(this.chunkOf(entry), this.chunks.length - 1);
        const chunk = this.chunks[index];
        if (chunk === undefined) {
            this.chunks.push({ entries: [entry], pieces: count });
            return;
        }
        chunk.entries.splice(this.positionIn(chunk, entry), 0, entry);
        chunk.pieces += count;
        if (chunk.entries.length > maxChunk) {
            const moved = chunk.entries.splice(maxChunk / 2);
            const pieces = moved.reduce((sum, one) => sum + one.waiting.pieces.length, 0);
            chunk.pieces -= pieces;
            this.chunks.splice(index + 1, 0, { entries: moved, pieces });
        }
    }

    /** Removes an entry that has as many pieces as when they were last counted. */
    public delete(entry: QueueEntry): void {
        const index = this.chunkOf(entry);
        const chunk = this.chunks[index];
        const at = chunk === undefined ? 0 : this.positionIn(chunk, entry);
        if (chunk === undefined || chunk.entries[at] !== entry) {
            return;
        }
        chunk.entries.splice(at, 1);
        chunk.pieces -= entry.waiting.pieces.length;
        this.pieces -= entry.waiting.pieces.length;
        if (chunk.entries.length === 0) {
            this.chunks.splice(index, 1);
        }
    }

    /** Number of pieces of the entries that `isBefore` holds for; it must hold for a leading part of the order. */
    public piecesWhile(isBefore: (entry: QueueEntry) => boolean): number {
        const index = countWhile(this.chunks, ({ entries }) => isLastBefore(entries, isBefore));
        const entries = this.chunks[index]?.entries ?? [];
        let pieces = 0;
        for (const chunk of this.chunks.slice(0, index)) {
            pieces += chunk.pieces;
        }
        for (const entry of entries.slice(0, countWhile(entries, isBefore))) {
            pieces += entry.waiting.pieces.length;
        }
        return pieces;
    }

    /** Index of the first chunk whose last entry is not before `entry`. */
    private chunkOf(entry: QueueEntry): number {
        return countWhile(this.chunks, ({ entries }) => isLastBefore(entries, one => this.compare(one, entry) < 0));
    }

    private positionIn({ entries }: Chunk, entry: QueueEntry): number {
        return countWhile(entries, one => this.compare(one, entry) < 0);
    }
}

function isLastBefore(entries: readonly QueueEntry[], isBefore: (entry: QueueEntry) => boolean): boolean {
    const last = entries.at(-1);
    return last !== undefined && isBefore(last);
}

/** Number of leading items that `holds` is true for, by binary search. */
function countWhile<T>(items: readonly T[], holds: (item: T) => boolean): number {
    let low = 0;
    let high = items.length;
    while (low < high) {
        const middle = (low + high) >> 1;
        const item = items[middle];
        if (item !== undefined && holds(item)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}
