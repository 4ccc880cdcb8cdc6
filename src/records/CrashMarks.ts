/**
 * Crash marks of requests that ran while an endpoint crashed, by fingerprint. The first crash makes a request a
 * suspect. Two crashes, in at least one of which it ran alone, quarantine it, in whatever order they are reported. A
 * suspect that ends without a crash is cleared. Marks carry versions, so that a cache can request only the changes.
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
    private currentVersion = 0;
    /** Version at which a mark was last dropped; caches older than that must reload all marks. */
    private forgottenVersion = 0;

    /** Rises with every change of any mark. */
    public get version(): number {
        return this.currentVersion;
    }

    /** Counts a crash. A repeated report is counted once. */
    public countCrash(body: BodyOf<"crash">, nowMs: number): MarkReply {
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
        this.evictExcess();
        return { kind: "mark", mark: toMark(mark) };
    }

    /** Clears a suspect that ended without a crash. */
    public clearSuspect(body: BodyOf<"innocent">): CommonReply {
        const known = this.marks.get(body.fingerprint);
        const report = ticketText(body.ticket);
        if (known?.state === "suspect" && !known.reports.includes(report)) {
            this.put({ ...known, state: "clear", crashes: 0, alone: false, reports: withReport(known, report) });
        }
        return { kind: "done" };
    }

    /** Clears a mark for an operator, so that the request may run again. */
    public clear(fingerprint: string): CommonReply {
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
        return { kind: "marks", reset, version: this.currentVersion, marks };
    }

    /** Drops marks whose retention time is over, at most `limit` of them. */
    public sweep(nowMs: number, limit: number): void {
        for (let removed = 0; removed < limit; removed++) {
            const fingerprint = this.expiry.popDue(nowMs);
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
            version: this.currentVersion,
            forgottenVersion: this.forgottenVersion,
            expiry: this.expiry.snapshot(),
        };
    }

    public restore(snapshot: CrashMarksSnapshot): void {
        this.marks.clear();
        for (const mark of snapshot.marks) {
            this.marks.set(mark.fingerprint, mark);
        }
        this.currentVersion = snapshot.version;
        this.forgottenVersion = snapshot.forgottenVersion;
        this.expiry.restore(snapshot.expiry);
    }

    private put(mark: Omit<StoredMark, "version">): StoredMark {
        this.currentVersion += 1;
        const stored = { ...mark, version: this.currentVersion };
        this.marks.set(mark.fingerprint, stored);
        return stored;
    }

    private drop(fingerprint: string): void {
        this.marks.delete(fingerprint);
        this.currentVersion += 1;
        this.forgottenVersion = this.currentVersion;
    }

    /** Drops a mark when there are too many: the oldest cleared one, else suspect, else quarantined one. */
    private evictExcess(): void {
        if (this.marks.size <= maxMarks) {
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
    return [...(mark?.reports ?? []), report].slice(-maxReportsPerMark);
}

/** Bound on marks that are kept. */
const maxMarks = 4096;
/** Bound on reports that are kept for each mark to detect repeated ones. */
const maxReportsPerMark = 8;
