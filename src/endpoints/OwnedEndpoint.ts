/**
 * One endpoint on the host that owns it: its health, its slot ledger, and the take-over wait during which nothing
 * beyond the holders' claims may be granted.
 */
import { invariant } from "../common/Invariant.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { EndpointSettings, TimingSettings } from "../config/Schema.js";
import type { HeartbeatTiming } from "../membership/HeartbeatTiming.js";
import { EndpointHealth } from "./EndpointHealth.js";
import { type Ownership, soleOwnerKeyPrefix } from "./OwnerAuthority.js";
import { type HolderRecord, SlotLedger, type SlotTerms } from "./SlotLedger.js";
import type { SlotEntry } from "./SlotMessages.js";
import type { EndpointState, HolderIdentity } from "./Types.js";
import type { LoadReportMessage } from "./Wire.js";

/** Bound on the lag of load reports. */
export const reportLagMs = 2000;

/** Inputs of a decision on an endpoint: settings, ownership, and the state of the data centre. */
export interface EndpointContext {
    readonly settings: EndpointSettings;
    readonly timing: TimingSettings;
    /** Heartbeat timing of the data centre; it bounds how long a host takes to notice a changed view. */
    readonly heartbeatTiming: HeartbeatTiming;
    readonly ownership: Ownership;
    /** Set to "leaving" or "out" by an operator or the platform; undefined when the endpoint takes work. */
    readonly closed: "leaving" | "out" | undefined;
    /** Longest duration of a call on the endpoint: the longest deadline of the pipelines that use it. */
    readonly callBoundMs: number;
    /** True when a host that may have had calls on the endpoint is dead or unreachable. */
    readonly hostsMissing: boolean;
}

/** A host's answer to a new owner that asks for its calls in flight. */
export interface HostClaim {
    readonly host: HostId;
    /** Calls of the host in flight on the endpoint. */
    readonly inUse: number;
}

export class OwnedEndpoint {
    public readonly health: EndpointHealth;
    public readonly ledger: SlotLedger;
    /** Key of the ownership in force; see {@link Ownership}. */
    private key = "none";
    private share: (limit: number) => number = () => 0;
    /** Shares since the last settled one, by ownership key; during a take-over the smallest of them is in force. */
    private readonly formerShares = new Map<string, (limit: number) => number>();
    /** End of the take-over wait: until then grants of former owners may still be valid. */
    private takeOverEndMs = Number.POSITIVE_INFINITY;
    private isSettled = false;
    private wasClosed = false;
    /** True once calls or load reports have given this owner evidence of its own. */
    private hasOwnEvidence = false;
    /** When a holder received the former owner's answer from which the state was restored. */
    private believedAtMs = Number.NEGATIVE_INFINITY;

    public constructor(
        public readonly id: EndpointId,
        private readonly clock: Clock,
        settings: EndpointSettings,
    ) {
        this.health = new EndpointHealth(clock, settings);
        this.ledger = new SlotLedger(clock);
    }

    /** True once the take-over wait is over and calls of unknown holders are counted. */
    public get isOpen(): boolean {
        return this.isSettled;
    }

    /** True when this host was the only one to grant slots of the endpoint. */
    public get isSole(): boolean {
        return this.key.startsWith(soleOwnerKeyPrefix);
    }

    /** The state set by an operator or the platform, otherwise the state by evidence. */
    public state(context: EndpointContext): EndpointState {
        return context.closed ?? this.health.state;
    }

    /** Maximum calls in flight on the endpoint from all hosts; 0 when it takes no new work. */
    public limit(context: EndpointContext): number {
        return context.closed === undefined ? this.health.limit : 0;
    }

    /**
     * Processes a holder's message and the evidence in it.
     * @returns the holder's record, or undefined for a message older than one already processed.
     */
    public exchange(holder: HolderIdentity, entry: SlotEntry, context: EndpointContext): HolderRecord | undefined {
        const isNew = entry.seq > this.ledger.lastSeq(holder);
        if (isNew && entry.believed !== undefined && !this.isSettled) {
            this.restoreBelieved(entry.believed);
        }
        if (isNew && entry.evidence !== undefined) {
            this.hasOwnEvidence ||= hasProcessEvidence(entry.evidence);
            if (this.health.applyEvidence(entry.evidence)) {
                this.ledger.clearOrphans();
            }
        }
        return this.ledger.exchange(holder, entry, this.terms(context));
    }

    /** Grants free slots; returns the records whose number of allowed slots has changed. */
    public distribute(context: EndpointContext): HolderRecord[] {
        const terms = this.terms(context);
        const usedBefore = this.ledger.used;
        const changed = this.ledger.distribute(terms);
        invariant(
            context.closed === undefined || this.ledger.used <= usedBefore,
            "no slot is given out for an endpoint that is leaving or out",
            { endpoint: this.id, closed: context.closed },
        );
        return changed;
    }

    /** Applies a load report; after the take-over wait the report also completes the take-over. */
    public applyReport(report: LoadReportMessage, context: EndpointContext): void {
        if (this.health.applyReport(report)) {
            this.ledger.clearOrphans();
        }
        this.hasOwnEvidence = true;
        const calls = report.running + report.waiting;
        this.ledger.limitOrphans(calls, reportLagMs);
        const lagMs = context.hostsMissing ? reportLagMs : 0;
        if (!this.isSettled && this.clock.nowMs() >= this.takeOverEndMs + lagMs) {
            this.ledger.addOrphans(Math.max(0, calls - this.ledger.inUse), context.callBoundMs);
            this.isSettled = true;
        }
    }

    /**
     * True when the hosts have to be asked for their calls in flight: the take-over wait is over, and no load report of
     * the endpoint can complete the take-over.
     */
    public needsClaims(context: EndpointContext): boolean {
        return !this.isSettled && !context.settings.reportsLoad && this.clock.nowMs() >= this.takeOverEndMs;
    }

    /**
     * Counts the calls in flight that the hosts claimed after the take-over wait.
     * @param isWhole false when a host that may have calls on the endpoint did not answer; the claims are ignored then.
     */
    public applyClaims(claims: readonly HostClaim[], isWhole: boolean, context: EndpointContext): void {
        if (!isWhole || !this.needsClaims(context)) {
            return;
        }
        for (const { host, inUse } of claims) {
            const record = this.ledger.holders.find(one => one.holder.host === host);
            this.ledger.addOrphans(Math.max(0, inUse - (record?.counted ?? 0)), context.callBoundMs);
        }
        this.isSettled = true;
    }

    /** Adopts the state handed over by a former owner, which makes the take-over wait unnecessary. */
    public adopt(records: readonly HolderRecord[], orphans: number, context: EndpointContext): void {
        const newerRecords = records.filter(record => this.ledger.lastSeq(record.holder) < record.seq);
        this.ledger.adopt(newerRecords, orphans, context.callBoundMs);
        this.key = context.ownership.key;
        this.share = limit => context.ownership.share(limit);
        this.takeOverEndMs = this.clock.nowMs();
        this.isSettled = true;
    }

    /** Restores the most recent state known from the former owner, unless this owner has evidence of its own. */
    private restoreBelieved(believed: NonNullable<SlotEntry["believed"]>): void {
        const observedAtMs = this.clock.nowMs() - believed.ageMs;
        if (observedAtMs > this.believedAtMs && !this.hasOwnEvidence) {
            this.believedAtMs = observedAtMs;
            const { state, limit, provenAgeMs, incarnation } = believed;
            this.health.restore({ state, limit, incarnation }, provenAgeMs);
        }
    }

    /** Returns the terms in force now; applies a change of settings or ownership first. */
    public terms(context: EndpointContext): SlotTerms {
        this.health.setLimits(context.settings);
        if (this.wasClosed && context.closed === undefined) {
            // No call ran meanwhile, so it is not known whether the endpoint is still warm.
            this.health.markUnproven();
        }
        this.wasClosed = context.closed !== undefined;
        this.updateOwnership(context);
        this.settleAfterCallBound(context);
        const limit = this.limit(context);
        const ownLimit = this.share(limit);
        const formerLimits = [...this.formerShares.values()].map(share => share(limit));
        const limitInForce = this.isSettled ? ownLimit : Math.min(ownLimit, ...formerLimits);
        return {
            limit: limitInForce,
            leaseMs: context.timing.slotLeaseMs,
            driftMs: context.timing.clockDriftMs,
            claimsOnly: !this.isSettled && limitInForce === 0,
            claimLimit: ownLimit,
        };
    }

    private updateOwnership(context: EndpointContext): void {
        const { ownership, timing, heartbeatTiming: heartbeats } = context;
        if (ownership.key === this.key) {
            this.share = limit => ownership.share(limit);
            return;
        }
        const wasSoleOwner = this.key === "none" || this.isSole;
        const hasSoleOwner = ownership.key.startsWith(soleOwnerKeyPrefix);
        if (this.isSettled) {
            this.formerShares.clear();
        }
        this.formerShares.set(this.key, this.share);
        this.share = limit => ownership.share(limit);
        this.key = ownership.key;
        // A host with a different view gives up its share only once it has noticed the change.
        const noticeMs = wasSoleOwner && hasSoleOwner ? 0 : heartbeats.unreachableMs + 2 * heartbeats.heartbeatMs;
        this.takeOverEndMs = this.clock.nowMs() + noticeMs + timing.slotLeaseMs + timing.clockDriftMs;
        this.isSettled = false;
    }

    /** Completes the take-over after the longest duration of a call, when no earlier call can still be running. */
    private settleAfterCallBound(context: EndpointContext): void {
        this.isSettled ||= this.clock.nowMs() >= this.takeOverEndMs + context.callBoundMs;
    }
}

function hasProcessEvidence(evidence: NonNullable<SlotEntry["evidence"]>): boolean {
    return evidence.incarnation !== undefined || evidence.crashed + evidence.refused + evidence.cold > 0;
}
