/**
 * Health of an endpoint as its owner infers it from call results, the endpoint's load reports, and the identity of its
 * process. Yields the endpoint's state and the number of calls that may be in flight on it.
 */
import type { Clock } from "../common/Types.js";
import type { SlotEvidence } from "./SlotMessages.js";
import type { EndpointState } from "./Types.js";
import type { LoadReportMessage } from "./Wire.js";

/** How long after a success or a report the full limit applies. */
const provenForMs = 1500;
/** Era numbers per millisecond of the owner's clock, from which they are derived. */
const erasPerMs = 16;
/** Minimum time between two halvings of the limit, so that one burst of refusals counts once. */
const minHalvingIntervalMs = 250;
/** Backoff before the next probing call on a suspect endpoint: first and longest pause. */
const firstProbePauseMs = 200;
const longestProbePauseMs = 3000;
/**
 * A "warm" report counts only when the process start and the last change to cold are at least this long ago. Reports
 * lag, so that an earlier one may describe the time before.
 */
const minWarmReportAgeMs = 5000;
/** Consecutive lost calls that make an endpoint suspect; a single silent connection may be a network fault. */
const lostInRowUntilSuspect = 3;
/** First-byte times kept for the median, and the number needed before later ones are compared with it. */
const maxFirstByteSamples = 64;
const minFirstByteSamples = 16;
/** A first byte is an outlier when it exceeds both this multiple of the recent median and the median plus this time. */
const outlierFactor = 6;
const outlierMarginMs = 300;
const outliersInRowUntilCold = 3;

export interface HealthLimits {
    /** Maximum calls in flight while the endpoint is cold. */
    readonly coldLimit: number;
    /** Maximum calls in flight while the endpoint is warm. */
    readonly warmLimit: number;
}

/** The part of the health that a planned hand-over passes on. */
export interface HealthRecord {
    readonly state: EndpointState;
    readonly limit: number;
    readonly incarnation: string | undefined;
}

export class EndpointHealth {
    private currentState: "cold" | "warming" | "warm" | "suspect" = "cold";
    /** Limit by evidence, before restrictions for a suspect, unproven or leaving endpoint. */
    private level: number;
    /** Below this level each round of successes doubles the limit; above it, the limit rises by one. */
    private slowStartThreshold: number;
    private currentEra = 0;
    /** When a success or a report last showed that the same process is running. */
    private provenAtMs = Number.NEGATIVE_INFINITY;
    private successes = 0;
    private lostInRow = 0;
    private coldSinceMs = Number.NEGATIVE_INFINITY;
    /** Limit before the endpoint became suspect; half of it is restored if the same process recovers. */
    private levelBeforeSuspect = 0;
    private incarnationBeforeSuspect: string | undefined;
    private incarnation: string | undefined;
    private uptimeMs = 0;
    private halvedAtMs = Number.NEGATIVE_INFINITY;
    private probePauseMs = firstProbePauseMs;
    private probeNotBeforeMs = 0;
    private reportsLeaving = false;
    private firstByteSamples: number[] = [];
    private outliersInRow = 0;
    private report: { readonly message: LoadReportMessage; readonly atMs: number; } | undefined;

    public constructor(private readonly clock: Clock, private limits: HealthLimits) {
        this.level = limits.coldLimit;
        this.slowStartThreshold = limits.warmLimit;
        this.beginEra();
    }

    /** State by evidence alone; states set by operators or the platform take precedence over it. */
    public get state(): EndpointState {
        return this.reportsLeaving ? "leaving" : this.currentState;
    }

    /** Maximum calls in flight on the endpoint now, from all hosts. */
    public get limit(): number {
        if (this.reportsLeaving) {
            return 0;
        }
        if (this.currentState === "suspect") {
            return this.clock.nowMs() >= this.probeNotBeforeMs ? 1 : 0;
        }
        // Without a recent success or report the endpoint may have turned cold unnoticed: only few calls are allowed.
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

    /** Applies changed settings; lowers the current limit to the new warm limit if necessary. */
    public setLimits(limits: HealthLimits): void {
        this.limits = limits;
        this.level = Math.min(this.level, limits.warmLimit);
        this.slowStartThreshold = Math.min(this.slowStartThreshold, limits.warmLimit);
    }

    /** Discards the evidence that the same process is running, for when the endpoint was not observed for a while. */
    public markUnproven(): void {
        this.provenAtMs = Number.NEGATIVE_INFINITY;
    }

    /** The state to pass on in a planned hand-over. */
    public toRecord(): HealthRecord {
        return { state: this.state, limit: this.level, incarnation: this.incarnation };
    }

    /** Number of the current era; a new era begins whenever the endpoint is considered cold. */
    public get era(): number {
        return this.currentEra;
    }

    /** Restores the former owner's state; `provenAgeMs` is the time since the last success or report. */
    public restore(record: HealthRecord, provenAgeMs: number = 0): void {
        this.provenAtMs = this.clock.nowMs() - provenAgeMs;
        this.incarnation = record.incarnation;
        this.currentState = "cold";
        this.level = this.limits.coldLimit;
        if (record.state === "warming" || record.state === "warm") {
            this.currentState = record.state;
            this.level = Math.min(record.limit, this.limits.warmLimit);
        }
    }

    /**
     * Applies the results of ended calls.
     * @returns true when they show that the endpoint's process has changed.
     */
    public applyEvidence(evidence: SlotEvidence): boolean {
        const restarted = evidence.incarnation !== undefined && this.updateIncarnation(evidence.incarnation);
        if (evidence.leaving > 0) {
            this.reportsLeaving = true;
        }
        if (evidence.cold > 0) {
            this.turnCold();
        }
        this.lostInRow = evidence.succeeded > 0 ? 0 : this.lostInRow + evidence.lost;
        if (evidence.refused > 0 || evidence.crashed > 0 || this.lostInRow >= lostInRowUntilSuspect) {
            this.turnSuspect();
        }
        if (evidence.overloaded > 0) {
            this.halveLimit();
        }
        if (evidence.succeeded > 0 && evidence.era === this.currentEra) {
            this.provenAtMs = this.clock.nowMs();
            this.recordSuccesses(evidence.succeeded, evidence.overloaded > 0);
        }
        for (const firstByteMs of evidence.firstByteMs) {
            this.checkFirstByte(firstByteMs);
        }
        return restarted;
    }

    /**
     * Applies a load report.
     * @returns true when the report shows that the endpoint has restarted.
     */
    public applyReport(report: LoadReportMessage): boolean {
        const changed = this.incarnation !== undefined && this.incarnation !== report.incarnation;
        const restarted = report.uptimeMs < this.uptimeMs;
        // Reports lag: an endpoint that has turned cold may next report "warming" without ever having reported "cold".
        const hasFallenBack = this.report?.message.state === "warm" && report.state === "warming";
        if (changed && !restarted) {
            // A late report of the former process must not overwrite what a reply of the new process has shown.
            return false;
        }
        this.uptimeMs = report.uptimeMs;
        this.incarnation = report.incarnation;
        this.report = { message: report, atMs: this.clock.nowMs() };
        this.provenAtMs = this.clock.nowMs();
        this.reportsLeaving = report.state === "leaving";
        if (restarted || ((report.state === "cold" || hasFallenBack) && this.currentState !== "suspect")) {
            this.turnCold();
        }
        else if (report.state === "warm" && this.currentState === "cold" && this.isCredible(report)) {
            this.currentState = "warming";
            this.level = Math.max(this.level, Math.ceil(this.limits.warmLimit / 2));
        }
        return restarted;
    }

    /**
     * Starts an era. Its number is higher than all before and derived from the local monotonic clock, so that it is
     * unlikely to equal an era of another owner.
     */
    private beginEra(): void {
        this.currentEra = Math.max(this.currentEra + 1, Math.floor(this.clock.nowMs() * erasPerMs));
    }

    private isCredible(report: LoadReportMessage): boolean {
        return report.uptimeMs >= minWarmReportAgeMs && this.clock.nowMs() - this.coldSinceMs >= minWarmReportAgeMs;
    }

    private updateIncarnation(incarnation: string): boolean {
        const restarted = this.incarnation !== undefined && this.incarnation !== incarnation;
        if (this.incarnation === undefined && !this.isProven && this.currentState !== "suspect") {
            // The former owner's state may be that of another process.
            this.turnCold();
        }
        this.incarnation = incarnation;
        if (restarted) {
            this.uptimeMs = 0;
            this.report = undefined;
            this.reportsLeaving = false;
            this.turnCold();
        }
        return restarted;
    }

    private turnCold(): void {
        this.currentState = "cold";
        this.beginEra();
        this.coldSinceMs = this.clock.nowMs();
        this.levelBeforeSuspect = 0;
        this.level = this.limits.coldLimit;
        this.slowStartThreshold = this.limits.warmLimit;
        this.successes = 0;
        this.firstByteSamples = [];
        this.outliersInRow = 0;
    }

    private turnSuspect(): void {
        if (this.currentState === "suspect") {
            this.probePauseMs = Math.min(this.probePauseMs * 2, longestProbePauseMs);
        }
        const former = Math.max(this.levelBeforeSuspect, this.level);
        this.turnCold();
        this.levelBeforeSuspect = former;
        this.incarnationBeforeSuspect = this.incarnation;
        this.lostInRow = 0;
        this.currentState = "suspect";
        this.probeNotBeforeMs = this.clock.nowMs() + this.probePauseMs;
    }

    private halveLimit(): void {
        const nowMs = this.clock.nowMs();
        if (this.currentState === "suspect" || nowMs - this.halvedAtMs < minHalvingIntervalMs) {
            return;
        }
        this.halvedAtMs = nowMs;
        this.level = Math.max(this.limits.coldLimit, Math.floor(this.level / 2));
        this.slowStartThreshold = Math.max(this.level, this.limits.coldLimit);
        this.successes = 0;
        if (this.currentState === "warm") {
            this.currentState = "warming";
        }
    }

    private recordSuccesses(count: number, overloaded: boolean): void {
        if (this.currentState === "suspect") {
            this.endProbing();
            return;
        }
        this.successes += count;
        if (overloaded || this.successes < this.level || this.level >= this.limits.warmLimit) {
            this.currentState = this.level >= this.limits.warmLimit && this.currentState !== "cold"
                ? "warm"
                : this.currentState;
            return;
        }
        this.successes = 0;
        const next = this.level < this.slowStartThreshold
            ? Math.min(this.level * 2, this.slowStartThreshold)
            : this.level + 1;
        this.level = Math.min(next, this.limits.warmLimit);
        this.currentState = this.level >= this.limits.warmLimit ? "warm" : "warming";
    }

    /**
     * Ends the suspect state after a successful probing call: the same process gets half its former limit. A new one
     * gets the cold limit; the change of its incarnation has already turned the endpoint cold.
     */
    private endProbing(): void {
        this.probePauseMs = firstProbePauseMs;
        this.currentState = "warming";
        const isSame = this.incarnationBeforeSuspect !== undefined
            && this.incarnationBeforeSuspect === this.incarnation;
        const former = isSame ? this.levelBeforeSuspect : 0;
        this.level = Math.max(this.limits.coldLimit, Math.floor(former / 2));
        this.levelBeforeSuspect = 0;
    }

    /** Turns the endpoint cold after several outliers in a row; other first-byte times become samples. */
    private checkFirstByte(firstByteMs: number): void {
        const sorted = [...this.firstByteSamples].sort((a, b) => a - b);
        const medianMs = sorted[Math.floor(sorted.length / 2)] ?? 0;
        const isOutlier = sorted.length >= minFirstByteSamples
            && firstByteMs > medianMs * outlierFactor
            && firstByteMs > medianMs + outlierMarginMs;
        this.outliersInRow = isOutlier ? this.outliersInRow + 1 : 0;
        if (this.outliersInRow >= outliersInRowUntilCold) {
            this.turnCold();
            return;
        }
        if (!isOutlier) {
            this.firstByteSamples.push(firstByteMs);
            this.firstByteSamples = this.firstByteSamples.slice(-maxFirstByteSamples);
        }
    }
}
