/** What ended calls of this host have shown of one endpoint since its owner was last told. */
import type { SlotEvidence } from "./SlotMessages.js";
import type { CallEnd, CallEvidence } from "./Types.js";

/** Times of calls kept for the median. */
const timesKept = 32;
/** First-byte times sent with one message at most. */
const firstBytesSent = 8;

export class EvidenceBuffer {
    private currentEra = 0;
    private pending = noEvidence(0);
    private sent: SlotEvidence | undefined;
    private times: number[] = [];
    private latestIncarnation: string | undefined;

    /** The owner's era; successes of calls begun in an earlier one prove nothing. */
    public get era(): number {
        return this.currentEra;
    }

    /** Successes that the owner has not heard of. */
    public get successes(): number {
        return this.pending.succeeded;
    }

    /** The endpoint's process as it last named itself to this host. */
    public get incarnation(): string | undefined {
        return this.latestIncarnation;
    }

    /** Median time of recent calls, in milliseconds. */
    public get recentMs(): number | undefined {
        const sorted = [...this.times].sort((a, b) => a - b);
        return sorted[Math.floor(sorted.length / 2)];
    }

    /** @returns true when the call's end tells of a trouble of the endpoint. */
    public note(end: CallEnd, evidence: CallEvidence | undefined, era: number | undefined): boolean {
        const isOfThisEra = era === this.currentEra;
        if (end === "succeeded" && evidence !== undefined) {
            this.times = [...this.times, evidence.totalMs].slice(-timesKept);
        }
        if (end === "succeeded" && !isOfThisEra) {
            return false;
        }
        if (isOfThisEra && evidence?.endpointIncarnation !== undefined) {
            this.pending.incarnation = evidence.endpointIncarnation;
            this.latestIncarnation = evidence.endpointIncarnation;
        }
        if (evidence?.firstByteMs !== undefined && this.pending.firstByteMs.length < firstBytesSent) {
            this.pending.firstByteMs.push(evidence.firstByteMs);
        }
        return count(this.pending, end);
    }

    /** Hands out what is to be told; what comes later goes with the next message. */
    public takeOut(): SlotEvidence {
        this.sent = this.pending;
        this.pending = noEvidence(this.currentEra);
        return this.sent;
    }

    public answered(era: number): void {
        this.sent = undefined;
        if (era !== this.currentEra) {
            this.currentEra = era;
            this.pending = { ...this.pending, era, succeeded: 0, firstByteMs: [] };
        }
    }

    /** Troubles are told again; successes are not, since hearing of them twice would raise the limit too soon. */
    public unanswered(): void {
        const { sent, pending } = this;
        this.sent = undefined;
        if (sent !== undefined) {
            for (const trouble of troubles) {
                pending[trouble] += sent[trouble];
            }
        }
    }
}

const troubles = ["overloaded", "cold", "lost", "crashed", "refused", "leaving"] as const;

function noEvidence(era: number): SlotEvidence {
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

function count(evidence: SlotEvidence, end: CallEnd): boolean {
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
