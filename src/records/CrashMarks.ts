/**
 * Requests that crash endpoints, by fingerprint. The first crash makes a request a suspect; two crashes, in one of
 * which it ran alone, quarantine it, in whatever order their reports come. A suspect that ends without a crash is
 * cleared. Marks carry versions, so that a cache can ask for what has changed.
 */
import {
    type BodyOf,
    type CommonReply,
    type CrashMark,
    type MarkReply,
    type MarksReply,
    ticketText,
} from "./Commands.js";
import { ExpiryQueue } from "./ExpiryQueue.js";

interface StoredMark extends CrashMark {
    /** True when the request ran alone in one of the crashes. */
    readonly alone: boolean;
    /** Tickets of the reports that made the mark, so that a repeated report counts once. */
    readonly reports: readonly string[];
    readonly forgetAtMs: number;
}

export interface CrashMarksSnapshot {
    readonly marks: readonly StoredMark[];
    readonly version: number;
    readonly forgottenVersion: number;
    readonly expiry: ReturnType<ExpiryQueue<string>["snapshot"]>;
}

export class CrashMarks {
    private readonly marks = new Map<string, StoredMark>();
    private readonly expiry = new ExpiryQueue<string>();
    private versionNow = 0;
    /** Version of the marks when one was last dropped: caches older than that start afresh. */
    private forgottenVersion = 0;

    public get version(): number {
        return this.versionNow;
    }

    /** Counts a crash. A repeated report counts once. */
    public crash(body: BodyOf<"crash">, nowMs: number): MarkReply {
        const known = this.marks.get(body.fingerprint);
        const report = ticketText(body.ticket);
        if (known?.reports.includes(report) === true) {
            return { kind: "mark", mark: toMark(known) };
        }
        const crashes = (known?.crashes ?? 0) + 1;
        const alone = body.alone || known?.alone === true;
        const mark = this.put({
            fingerprint: body.fingerprint,
            state: crashes > 1 && alone ? "quarantined" : "suspect",
            crashes,
            alone,
            reports: withReport(known, report),
            forgetAtMs: nowMs + body.retentionMs,
        });
        this.expiry.add(body.fingerprint, nowMs + body.retentionMs);
        this.bound();
        return { kind: "mark", mark: toMark(mark) };
    }

    /** Clears a suspect that ended without a crash. */
    public innocent(body: BodyOf<"innocent">): CommonReply {
        const known = this.marks.get(body.fingerprint);
        const report = ticketText(body.ticket);
        if (known?.state === "suspect" && !known.reports.includes(report)) {
            this.put({ ...known, state: "clear", crashes: 0, alone: false, reports: withReport(known, report) });
        }
        return { kind: "done" };
    }

    /** An operator's order to let a request run again. */
    public pardon(fingerprint: string): CommonReply {
        const known = this.marks.get(fingerprint);
        if (known !== undefined && known.state !== "clear") {
            this.put({ ...known, state: "clear", crashes: 0, alone: false });
        }
        return { kind: "done" };
    }

    public get(fingerprint: string): CrashMark | undefined {
        return this.marks.get(fingerprint);
    }

    /** Marks that changed after a version. */
    public since(version: number): MarksReply {
        const reset = version < this.forgottenVersion;
        const changed = [...this.marks.values()].filter(mark => reset || mark.version > version);
        const marks = changed.map(toMark);
        return { kind: "marks", reset, version: this.versionNow, marks };
    }

    /** Drops marks whose retention is over, at most `most` of them. */
    public sweep(nowMs: number, most: number): void {
        for (let taken = 0; taken < most; taken++) {
            const fingerprint = this.expiry.takeDue(nowMs);
            if (fingerprint === undefined) {
                return;
            }
            const known = this.marks.get(fingerprint);
            if (known !== undefined && known.forgetAtMs <= nowMs) {
                this.drop(fingerprint);
            }
        }
    }

    public snapshot(): CrashMarksSnapshot {
        return {
            marks: [...this.marks.values()],
            version: this.versionNow,
            forgottenVersion: this.forgottenVersion,
            expiry: this.expiry.snapshot(),
        };
    }

    public restore(snapshot: CrashMarksSnapshot): void {
        this.marks.clear();
        for (const mark of snapshot.marks) {
            this.marks.set(mark.fingerprint, mark);
        }
        this.versionNow = snapshot.version;
        this.forgottenVersion = snapshot.forgottenVersion;
        this.expiry.restore(snapshot.expiry);
    }

    private put(mark: Omit<StoredMark, "version">): StoredMark {
        this.versionNow += 1;
        const stored = { ...mark, version: this.versionNow };
        this.marks.set(mark.fingerprint, stored);
        return stored;
    }

    private drop(fingerprint: string): void {
        this.marks.delete(fingerprint);
        this.versionNow += 1;
        this.forgottenVersion = this.versionNow;
    }

    /** Makes room: cleared marks go first, then suspects, the oldest first. Quarantined ones go last. */
    private bound(): void {
        if (this.marks.size <= markLimit) {
            return;
        }
        const all = [...this.marks.values()];
        const order = ["clear", "suspect", "quarantined"] as const;
        for (const state of order) {
            const victim = all.find(mark => mark.state === state);
            if (victim !== undefined) {
                this.drop(victim.fingerprint);
                return;
            }
        }
    }
}

function toMark({ fingerprint, state, crashes, version }: StoredMark): CrashMark {
    return { fingerprint, state, crashes, version };
}

function withReport(mark: StoredMark | undefined, report: string): readonly string[] {
    return [...(mark?.reports ?? []), report].slice(-reportLimit);
}

/** Marks kept at most. */
const markLimit = 4096;
/** Reports kept for each mark, to tell repeated ones. */
const reportLimit = 8;
