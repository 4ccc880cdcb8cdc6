/** A first-in, first-out queue of ids, each with the group time at which it expires. */

interface Entry<T> {
    readonly id: T;
    readonly atMs: number;
}

/** Entries leave at the head only: an entry that is due waits until all entries before it are due. */
export class ExpiryQueue<T> {
    private entries: Entry<T>[] = [];
    private head = 0;

    public add(id: T, atMs: number): void {
        this.entries.push({ id, atMs });
    }

    /** Removes and returns the id at the head if it is due; otherwise undefined. */
    public popDue(nowMs: number): T | undefined {
        const next = this.entries[this.head];
        if (next === undefined || next.atMs > nowMs) {
            return undefined;
        }
        this.head += 1;
        if (this.head > compactThreshold && this.head * 2 > this.entries.length) {
            this.entries = this.entries.slice(this.head);
            this.head = 0;
        }
        return next.id;
    }

    /** Group time at which the entry at the head is due, in milliseconds; undefined when the queue is empty. */
    public get nextDueMs(): number | undefined {
        return this.entries[this.head]?.atMs;
    }

    public snapshot(): readonly Entry<T>[] {
        return this.entries.slice(this.head);
    }

    public restore(entries: readonly Entry<T>[]): void {
        this.entries = [...entries];
        this.head = 0;
    }
}

/** Number of removed entries after which the array is compacted. */
const compactThreshold = 1024;
