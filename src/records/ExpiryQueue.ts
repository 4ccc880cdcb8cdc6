/** Ids that are to be forgotten at a group time, in the order in which they were added. */

interface Entry<T> {
    readonly id: T;
    readonly atMs: number;
}

/** Entries leave at the head only; an entry that is due behind one that is not waits for it. */
export class ExpiryQueue<T> {
    private entries: Entry<T>[] = [];
    private head = 0;

    public add(id: T, atMs: number): void {
        this.entries.push({ id, atMs });
    }

    /** Takes the next id that is due; undefined when there is none. */
    public takeDue(nowMs: number): T | undefined {
        const next = this.entries[this.head];
        if (next === undefined || next.atMs > nowMs) {
            return undefined;
        }
        this.head += 1;
        if (this.head > compactAfter && this.head * 2 > this.entries.length) {
            this.entries = this.entries.slice(this.head);
            this.head = 0;
        }
        return next.id;
    }

    /** Group time at which the next entry is due; undefined when there is none. */
    public get nextMs(): number | undefined {
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

/** Taken entries that are kept in the array before it is cut. */
const compactAfter = 1024;
