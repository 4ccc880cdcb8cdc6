/** Collects the results of this host's calls on one endpoint between two messages to the endpoint's owner. */
import type { SlotEvidence } from "./SlotMessages.js";
import type { CallEnd, CallEvidence } from "./Types.js";

/** Call durations kept for the median. */
const maxDurations = 32;
/** Maximum number of first-byte times in one message. */
const maxFirstBytesPerMessage = 8;

export class EvidenceBuffer {
    private currentEra = 0;
    private pending = emptyEvidence(0);
    private sent: SlotEvidence | undefined;
    private durationsMs: number[] = [];
    private latestIncarnation: string | undefined;

    /** The owner's era; successes of calls that began in an earlier era don't count. */
    public get era(): number {
        return this.currentEra;
    }

    /** Successes not yet sent to the owner. */
    public get successes(): number {
        return this.pending.succeeded;
    }

    /** Process identity in the endpoint's latest reply to this host. */
    public get incarnation(): string | undefined {
        return this.latestIncarnation;
    }

    /** Median duration of recent calls in milliseconds; undefined before the first. */
    public get recentMs(): number | undefined {
        const sorted = [...this.durationsMs].sort((a, b) => a - b);
        return sorted[Math.floor(sorted.length / 2)];
    }

    /**
     * Records the end of a call that began in `era`, or that never began when `era` is undefined.
     * @returns true when the end is a failure to be reported to the owner.
     */
    public record(end: CallEnd, evidence: CallEvidence | undefined, era: number | undefined): boolean {
        const isCurrentEra = era === this.currentEra;
        if (end === "succeeded" && evidence !== undefined) {
            this.durationsMs = [...this.durationsMs, evidence.totalMs].slice(-maxDurations);
        }
        if (end === "succeeded" && !isCurrentEra) {
            return false;
        }
        if (isCurrentEra && evidence?.endpointIncarnation !== undefined) {
            this.pending.incarnation = evidence.endpointIncarnation;
            this.latestIncarnation = evidence.endpointIncarnation;
        }
        if (evidence?.firstByteMs !== undefined && this.pending.firstByteMs.length < maxFirstBytesPerMessage) {
            this.pending.firstByteMs.push(evidence.firstByteMs);
        }
        return countEnd(this.pending, end);
    }

    /** Returns the results for the next message; later ones go into the message after it. */
    public takePending(): SlotEvidence {
        this.sent = this.pending;
        this.pending = emptyEvidence(this.currentEra);
        return this.sent;
    }

    /** The owner has answered: drops the results that were sent, and pending successes when the era has changed. */
    public confirmSent(era: number): void {
        this.sent = undefined;
        if (era !== this.currentEra) {
            this.currentEra = era;
            this.pending = { ...this.pending, era, succeeded: 0, firstByteMs: [] };
        }
    }

    /**
     * Adds the failures of an unanswered message to the next one. Successes are left out, since counting them twice
     * would raise the limit too soon.
     */
    public restoreSent(): void {
        const { sent, pending } = this;
        this.sent = undefined;
        if (sent !== undefined) {
            for (const kind of failureKinds) {
                pending[kind] += sent[kind];
            }
        }
    }
}

const failureKinds = ["overloaded", "cold", "lost", "crashed", "refused", "leaving"] as const;

function emptyEvidence(era: number): SlotEvidence {
    return {
        era,
        succeeded: 0,
        overloaded: 0,
        cold: 0,
        lost: 0,
        crashed: 0,
        refused: 0,
        leaving: 0,
        firstByteMs: [],
    };
}

function countEnd(evidence: SlotEvidence, end: CallEnd): boolean {
    switch (end) {
        case "succeeded":
            evidence.succeeded += 1;
            return false;
        case "failed":
        case "cancelled":
        case "never-sent":
            return false;
        default:
            evidence[end] += 1;
            return true;
    }
}
