/** The in-memory part of a group's log: the entries after a base index, and the members that they set. */
import { invariant } from "../common/Invariant.js";
import type { LogEntry, Member } from "./Types.js";

export class EntryLog {
    private entries: LogEntry[] = [];
    private base = { index: 0, term: 0, members: [] as readonly Member[] };
    /** Indexes of the entries that set members, in ascending order. */
    private memberIndexes: number[] = [];

    /** Index after which the entries in memory start. */
    public get baseIndex(): number {
        return this.base.index;
    }

    public get baseTerm(): number {
        return this.base.term;
    }

    public get baseMembers(): readonly Member[] {
        return this.base.members;
    }

    public get lastIndex(): number {
        return this.base.index + this.entries.length;
    }

    public get lastTerm(): number {
        return this.entries.at(-1)?.term ?? this.base.term;
    }

    /** Members by the newest entry that sets them, committed or not. */
    public get members(): readonly Member[] {
        return this.membersAt(this.lastIndex);
    }

    /** Index of the newest entry that sets members; the base index when there is none. */
    public get membersIndex(): number {
        return this.memberIndexes.at(-1) ?? this.base.index;
    }

    /** Members by the newest entry up to `index` that sets them. */
    public membersAt(index: number): readonly Member[] {
        const memberIndex = this.memberIndexes.findLast(one => one <= index);
        const entry = memberIndex === undefined ? undefined : this.entryAt(memberIndex);
        return entry?.kind === "members" ? entry.members : this.base.members;
    }

    /** The entry at an index; undefined when it is not in memory. */
    public entryAt(index: number): LogEntry | undefined {
        return this.entries[index - this.base.index - 1];
    }

    /** Term of an entry or of the base; undefined when the log does not contain the index. */
    public termAt(index: number): number | undefined {
        return index === this.base.index ? this.base.term : this.entryAt(index)?.term;
    }

    /** At most `count` entries from `first` on. */
    public slice(first: number, count: number): readonly LogEntry[] {
        const start = first - this.base.index - 1;
        return this.entries.slice(start, start + count);
    }

    /** Replaces all entries from `first` on. */
    public replaceFrom(first: number, entries: readonly LogEntry[]): void {
        invariant(first > this.base.index && first <= this.lastIndex + 1, "entries join the log without a gap", {
            first,
            lastIndex: this.lastIndex,
        });
        this.entries.length = first - this.base.index - 1;
        this.memberIndexes = this.memberIndexes.filter(index => index < first);
        for (const entry of entries) {
            invariant(entry.term >= this.lastTerm, "terms never fall along the log", { first });
            this.entries.push(entry);
            if (entry.kind === "members") {
                this.memberIndexes.push(this.lastIndex);
            }
        }
    }

    /** Drops all entries and sets the base that the log continues from. */
    public reset(index: number, term: number, members: readonly Member[]): void {
        this.entries = [];
        this.memberIndexes = [];
        this.base = { index, term, members };
    }

    /** Drops the entries up to and including `index`, which becomes the base. */
    public dropUpTo(index: number): void {
        const term = this.termAt(index);
        if (term === undefined || index <= this.base.index) {
            return;
        }
        const members = this.membersAt(index);
        this.entries = this.entries.slice(index - this.base.index);
        this.memberIndexes = this.memberIndexes.filter(one => one > index);
        this.base = { index, term, members };
    }
}
