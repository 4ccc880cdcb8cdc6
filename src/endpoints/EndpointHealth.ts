/**
 * What the owner believes of an endpoint, from evidence: the results of calls, the endpoint's own reports, and the
 * identity of its process. It yields the state and the number of calls that the endpoint may have in flight.
 */
import type { Clock } from "../common/Types.js";
import type { SlotEvidence } from "./SlotMessages.js";
import type { EndpointState } from "./Types.js";
import type { LoadReportMessage } from "./Wire.js";

/** How long a sign of life is good for the whole limit. */
const provenForMs = 1500;
/** Fineness of era numbers, which start from the owner's clock. */
const erasPerMs = 16;
/** Between two halvings of the limit, so that one burst of refusals counts once. */
const halvingPauseMs = 250;
/** First and longest pause before the next probing call on a suspect endpoint. */
const firstProbePauseMs = 200;
const longestProbePauseMs = 3000;
/** A report of "warm" is believed when process and coldness are both older than any lag of the report. */
const believedAgeMs = 5000;
/** Calls lost in a row that make an endpoint suspect; one silent connection says little of the endpoint. */
const lostInRowBound = 3;
/** First-byte times kept to judge the next ones by. */
const firstByteWindow = 64;
const firstByteFewest = 16;
/** A first byte is out of line above this multiple of the recent median, and this much above it. */
const outOfLineFactor = 6;
const outOfLineMs = 300;
const outOfLineInRow = 3;

export interface HealthLimits {
    readonly coldLimit: number;
    readonly warmLimit: number;
}

export interface HealthRecord {
    readonly state: EndpointState;
    readonly limit: number;
    readonly incarnation: string | undefined;
}

export class EndpointHealth {
    private current: "cold" | "warming" | "warm" | "suspect" = "cold";
    private level: number;
    /** Below it the limit doubles with each round of successes; above, it rises by one. */
    private threshold: number;
    private currentEra = 0;
    /** When a success or a report last showed the same process at work. */
    private provenAtMs = Number.NEGATIVE_INFINITY;
    private successes = 0;
    private lostInRow = 0;
    private coldSinceMs = Number.NEGATIVE_INFINITY;
    /** Limit before the endpoint became suspect, for when the same process turns out to be well. */
    private formerLevel = 0;
    private formerIncarnation: string | undefined;
    private incarnation: string | undefined;
    private uptimeMs = 0;
    private halvedAtMs = Number.NEGATIVE_INFINITY;
    private probePauseMs = firstProbePauseMs;
    private probeNotBeforeMs = 0;
    private leavingWord = false;
    private firstBytes: number[] = [];
    private slowInRow = 0;
    private report: { readonly message: LoadReportMessage; readonly atMs: number; } | undefined;

    public constructor(private readonly clock: Clock, private limits: HealthLimits) {
        this.level = limits.coldLimit;
        this.threshold = limits.warmLimit;
        this.beginEra();
    }

    /** State by evidence alone; operators' and the platform's word go on top of it. */
    public get state(): EndpointState {
        return this.leavingWord ? "leaving" : this.current;
    }

    /** Calls in flight that the endpoint can bear now, over all hosts. */
    public get limit(): number {
        if (this.leavingWord) {
            return 0;
        }
        if (this.current === "suspect") {
            return this.clock.nowMs() >= this.probeNotBeforeMs ? 1 : 0;
        }
        // Without a recent sign of life the endpoint may have turned cold unseen: it is tried with few calls first.
        const level = this.isProven ? this.level : Math.min(this.level, this.limits.coldLimit);
        return Math.max(1, Math.floor(level));
    }

    private get isProven(): boolean {
        return this.clock.nowMs() - this.provenAtMs <= provenForMs;
    }

    /** The latest report and its age on the local clock. */
    public get latestReport(): { readonly message: LoadReportMessage; readonly ageMs: number; } | undefined {
        return this.report === undefined
            ? undefined
            : { message: this.report.message, ageMs: this.clock.nowMs() - this.report.atMs };
    }

    public setLimits(limits: HealthLimits): void {
        this.limits = limits;
        this.level = Math.min(this.level, limits.warmLimit);
        this.threshold = Math.min(this.threshold, limits.warmLimit);
    }

    /** Forgets the last sign of life: what happened since nobody has seen. */
    public distrust(): void {
        this.provenAtMs = Number.NEGATIVE_INFINITY;
    }

    /** For a planned hand-over. */
    public record(): HealthRecord {
        return { state: this.state, limit: this.level, incarnation: this.incarnation };
    }

    /** Changes whenever the endpoint is taken for cold. */
    public get era(): number {
        return this.currentEra;
    }

    /** Goes on from what the former owner knew. */
    public restore(record: HealthRecord, provenAgeMs: number = 0): void {
        this.provenAtMs = this.clock.nowMs() - provenAgeMs;
        this.incarnation = record.incarnation;
        this.current = "cold";
        this.level = this.limits.coldLimit;
        if (record.state === "warming" || record.state === "warm") {
            this.current = record.state;
            this.level = Math.min(record.limit, this.limits.warmLimit);
        }
    }

    /**
     * Takes in what ended calls have shown.
     * @returns true when the endpoint's process was seen to be another one than before.
     */
    public learn(evidence: SlotEvidence): boolean {
        const restarted = evidence.incarnation !== undefined && this.noteIncarnation(evidence.incarnation);
        if (evidence.leaving > 0) {
            this.leavingWord = true;
        }
        if (evidence.cold > 0) {
            this.turnCold();
        }
        this.lostInRow = evidence.succeeded > 0 ? 0 : this.lostInRow + evidence.lost;
        if (evidence.refused > 0 || evidence.crashed > 0 || this.lostInRow >= lostInRowBound) {
            this.turnSuspect();
        }
        if (evidence.overloaded > 0) {
            this.halve();
        }
        if (evidence.succeeded > 0 && evidence.era === this.currentEra) {
            this.provenAtMs = this.clock.nowMs();
            this.succeed(evidence.succeeded, evidence.overloaded > 0);
        }
        for (const firstByteMs of evidence.firstByteMs) {
            this.judgeFirstByte(firstByteMs);
        }
        return restarted;
    }

    /** @returns true when the report shows another process than before. */
    public learnReport(report: LoadReportMessage): boolean {
        const changed = this.incarnation !== undefined && this.incarnation !== report.incarnation;
        const restarted = report.uptimeMs < this.uptimeMs;
        // Reports lag: an endpoint that has turned cold may be seen as warming next, without ever being seen cold.
        const hasFallenBack = this.report?.message.state === "warm" && report.state === "warming";
        if (changed && !restarted) {
            // A lagging report of the former process must not undo what a reply of the new one has shown.
            return false;
        }
        this.uptimeMs = report.uptimeMs;
        this.incarnation = report.incarnation;
        this.report = { message: report, atMs: this.clock.nowMs() };
        this.provenAtMs = this.clock.nowMs();
        this.leavingWord = report.state === "leaving";
        if (restarted || ((report.state === "cold" || hasFallenBack) && this.current !== "suspect")) {
            this.turnCold();
        }
        else if (report.state === "warm" && this.current === "cold" && this.isBelieved(report)) {
            this.current = "warming";
            this.level = Math.max(this.level, Math.ceil(this.limits.warmLimit / 2));
        }
        return restarted;
    }

    /** Another number than any before, also than those of other owners. */
    private beginEra(): void {
        this.currentEra = Math.max(this.currentEra + 1, Math.floor(this.clock.nowMs() * erasPerMs));
    }

    private isBelieved(report: LoadReportMessage): boolean {
        return report.uptimeMs >= believedAgeMs && this.clock.nowMs() - this.coldSinceMs >= believedAgeMs;
    }

    private noteIncarnation(incarnation: string): boolean {
        const restarted = this.incarnation !== undefined && this.incarnation !== incarnation;
        if (this.incarnation === undefined && !this.isProven && this.current !== "suspect") {
            // What former owners knew may be of another process.
            this.turnCold();
        }
        this.incarnation = incarnation;
        if (restarted) {
            this.uptimeMs = 0;
            this.report = undefined;
            this.leavingWord = false;
            this.turnCold();
        }
        return restarted;
    }

    private turnCold(): void {
        this.current = "cold";
        this.beginEra();
        this.coldSinceMs = this.clock.nowMs();
        this.formerLevel = 0;
        this.level = this.limits.coldLimit;
        this.threshold = this.limits.warmLimit;
        this.successes = 0;
        this.firstBytes = [];
        this.slowInRow = 0;
    }

    private turnSuspect(): void {
        if (this.current === "suspect") {
            this.probePauseMs = Math.min(this.probePauseMs * 2, longestProbePauseMs);
        }
        const former = Math.max(this.formerLevel, this.level);
        this.turnCold();
        this.formerLevel = former;
        this.formerIncarnation = this.incarnation;
        this.lostInRow = 0;
        this.current = "suspect";
        this.probeNotBeforeMs = this.clock.nowMs() + this.probePauseMs;
    }

    private halve(): void {
        const nowMs = this.clock.nowMs();
        if (this.current === "suspect" || nowMs - this.halvedAtMs < halvingPauseMs) {
            return;
        }
        this.halvedAtMs = nowMs;
        this.level = Math.max(this.limits.coldLimit, Math.floor(this.level / 2));
        this.threshold = Math.max(this.level, this.limits.coldLimit);
        this.successes = 0;
        if (this.current === "warm") {
            this.current = "warming";
        }
    }

    private succeed(count: number, overloaded: boolean): void {
        if (this.current === "suspect") {
            this.endProbing();
            return;
        }
        this.successes += count;
        if (overloaded || this.successes < this.level || this.level >= this.limits.warmLimit) {
            this.current = this.level >= this.limits.warmLimit && this.current !== "cold" ? "warm" : this.current;
            return;
        }
        this.successes = 0;
        const next = this.level < this.threshold ? Math.min(this.level * 2, this.threshold) : this.level + 1;
        this.level = Math.min(next, this.limits.warmLimit);
        this.current = this.level >= this.limits.warmLimit ? "warm" : "warming";
    }

    /** The same process goes on at half of what it bore; another one has turned cold by its incarnation before. */
    private endProbing(): void {
        this.probePauseMs = firstProbePauseMs;
        this.current = "warming";
        const isSame = this.formerIncarnation !== undefined && this.formerIncarnation === this.incarnation;
        const former = isSame ? this.formerLevel : 0;
        this.level = Math.max(this.limits.coldLimit, Math.floor(former / 2));
        this.formerLevel = 0;
    }

    private judgeFirstByte(firstByteMs: number): void {
        const sorted = [...this.firstBytes].sort((a, b) => a - b);
        const medianMs = sorted[Math.floor(sorted.length / 2)] ?? 0;
        const slow = sorted.length >= firstByteFewest
            && firstByteMs > medianMs * outOfLineFactor
            && firstByteMs > medianMs + outOfLineMs;
        this.slowInRow = slow ? this.slowInRow + 1 : 0;
        if (this.slowInRow >= outOfLineInRow) {
            this.turnCold();
            return;
        }
        if (!slow) {
            this.firstBytes.push(firstByteMs);
            this.firstBytes = this.firstBytes.slice(-firstByteWindow);
        }
    }
}
