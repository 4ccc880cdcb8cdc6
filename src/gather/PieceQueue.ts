/**
 * Pieces that wait for a call, and the order in which calls take them. Pieces that can still meet their request's
 * objective go by the time at which they must start; those that can't go after them, by priority and deadline. The
 * pieces of one request stay together, since a request is served only by all of them.
 */
import type { Submission, SubmissionId } from "./Types.js";

/** Pieces of a submission that still wait. */
export interface Waiting {
    readonly submission: Submission;
    /** Times on the local clock. */
    readonly startByMs: number;
    readonly deadlineMs: number;
    readonly pieces: number[];
}

export interface TakenPiece {
    readonly waiting: Waiting;
    readonly piece: number;
}

export class PieceQueue {
    private readonly waiting = new Map<SubmissionId, Waiting>();

    /** Pieces that wait. */
    public get size(): number {
        let size = 0;
        for (const { pieces } of this.waiting.values()) {
            size += pieces.length;
        }
        return size;
    }

    public add(waiting: Waiting): void {
        const known = this.waiting.get(waiting.submission.id);
        if (known === undefined) {
            this.waiting.set(waiting.submission.id, { ...waiting, pieces: [...waiting.pieces] });
            return;
        }
        known.pieces.push(...waiting.pieces.filter(piece => !known.pieces.includes(piece)));
    }

    public remove(id: SubmissionId): void {
        this.waiting.delete(id);
    }

    /** Submissions that can't be ended by their deadline even if they start now; they are removed. */
    public takeHopeless(nowMs: number, serviceMs: number): Waiting[] {
        const hopeless = [...this.waiting.values()].filter(one =>
            nowMs + serviceMs + one.submission.restMs > one.deadlineMs
        );
        hopeless.forEach(one => this.remove(one.submission.id));
        return hopeless;
    }

    /** Takes the pieces of the next call: at most `most`, with results of at most `roomBytes`. */
    public take(most: number, roomBytes: number, nowMs: number): TakenPiece[] {
        const taken: TakenPiece[] = [];
        let leftBytes = roomBytes;
        for (const waiting of this.inOrder(nowMs)) {
            const { resultBytes, id } = waiting.submission;
            while (waiting.pieces.length > 0 && taken.length < most && resultBytes <= leftBytes) {
                const piece = waiting.pieces.shift();
                if (piece !== undefined) {
                    taken.push({ waiting, piece });
                    leftBytes -= resultBytes;
                }
            }
            if (waiting.pieces.length === 0) {
                this.waiting.delete(id);
            }
            if (taken.length >= most) {
                break;
            }
        }
        return taken;
    }

    /** Pieces that would go before those of a new submission. */
    public ahead(startByMs: number, deadlineMs: number, priority: number, nowMs: number): number {
        const added = { startByMs, deadlineMs, submission: { priority } };
        let pieces = 0;
        for (const one of this.waiting.values()) {
            pieces += compare(one, added, nowMs) <= 0 ? one.pieces.length : 0;
        }
        return pieces;
    }

    private inOrder(nowMs: number): Waiting[] {
        return [...this.waiting.values()].sort((a, b) => compare(a, b, nowMs));
    }
}

interface Ordered {
    readonly startByMs: number;
    readonly deadlineMs: number;
    readonly submission: { readonly priority: number; };
}

function compare(a: Ordered, b: Ordered, nowMs: number): number {
    const isLateA = a.startByMs < nowMs;
    const isLateB = b.startByMs < nowMs;
    if (isLateA !== isLateB) {
        return isLateA ? 1 : -1;
    }
    return isLateA
        ? a.submission.priority - b.submission.priority || a.deadlineMs - b.deadlineMs
        : a.startByMs - b.startByMs;
}
