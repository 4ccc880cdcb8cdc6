/**
 * One endpoint on the host that owns it: its health, the account of its slots, and the wait that a take-over needs
 * before anything beyond the holders' claims may be given out.
 */
import { invariant } from "../common/Invariant.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { EndpointSettings, TimingSettings } from "../config/Schema.js";
import type { HeartbeatTiming } from "../membership/HeartbeatTiming.js";
import { EndpointHealth } from "./EndpointHealth.js";
import { type Ownership, soleKey } from "./OwnerAuthority.js";
import { type HolderRecord, SlotLedger, type SlotTerms } from "./SlotLedger.js";
import type { SlotEntry } from "./SlotMessages.js";
import type { EndpointState, HolderIdentity } from "./Types.js";
import type { LoadReportMessage } from "./Wire.js";

/** Bound on the lag of load reports. */
export const reportLagMs = 2000;

/** What surrounds an endpoint at the moment of a decision. */
export interface EndpointContext {
    readonly settings: EndpointSettings;
    readonly timing: TimingSettings;
    /** Pace of the data centre's heartbeats, by which hosts notice that their view has changed. */
    readonly heartbeatTiming: HeartbeatTiming;
    readonly ownership: Ownership;
    /** "leaving" or "out" by operators or the platform; undefined when neither. */
    readonly closed: "leaving" | "out" | undefined;
    /** No call on the endpoint lasts longer, by the deadlines of the pipelines that use it. */
    readonly callBoundMs: number;
    /** True when a host that could have had calls on the endpoint is neither alive nor stopped as planned. */
    readonly hostsMissing: boolean;
}

export interface HostClaim {
    readonly host: HostId;
    /** Calls of the host in flight on the endpoint. */
    readonly inUse: number;
}

export class OwnedEndpoint {
    public readonly health: EndpointHealth;
    public readonly ledger: SlotLedger;
    private key = "none";
    private share: (limit: number) => number = () => 0;
    /** Shares since the last settled one, by key; the least of them is safe while the take-over lasts. */
    private readonly formerShares = new Map<string, (limit: number) => number>();
    /** Former owners' grants may be live until then. */
    private openAtMs = Number.POSITIVE_INFINITY;
    private settled = false;
    private wasClosed = false;
    /** True once calls or reports have told this owner of the endpoint. */
    private hasOwnEvidence = false;
    private believedAtMs = Number.NEGATIVE_INFINITY;

    public constructor(
        public readonly id: EndpointId,
        private readonly clock: Clock,
        settings: EndpointSettings,
    ) {
        this.health = new EndpointHealth(clock, settings);
        this.ledger = new SlotLedger(clock);
    }

    /** True once the take-over wait is over and calls of unknown holders are accounted for. */
    public get isOpen(): boolean {
        return this.settled;
    }

    /** True when no other host gave out slots beside this one. */
    public get isSole(): boolean {
        return this.key.startsWith(soleKey);
    }

    public state(context: EndpointContext): EndpointState {
        return context.closed ?? this.health.state;
    }

    /** Calls in flight that the endpoint can bear over all hosts; 0 when it takes no new work. */
    public limit(context: EndpointContext): number {
        return context.closed === undefined ? this.health.limit : 0;
    }

    /** Takes in a holder's message and what it tells of the endpoint. */
    public exchange(holder: HolderIdentity, entry: SlotEntry, context: EndpointContext): HolderRecord | undefined {
        const isNew = entry.seq > this.ledger.lastSeq(holder);
        if (isNew && entry.believed !== undefined && !this.settled) {
            this.believe(entry.believed);
        }
        if (isNew && entry.evidence !== undefined) {
            this.hasOwnEvidence ||= hasTold(entry.evidence);
            if (this.health.learn(entry.evidence)) {
                this.ledger.endpointRestarted();
            }
        }
        return this.ledger.exchange(holder, entry, this.terms(context));
    }

    /** Gives out free slots; returns the holders that are allowed another number. */
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

    public learnReport(report: LoadReportMessage, context: EndpointContext): void {
        if (this.health.learnReport(report)) {
            this.ledger.endpointRestarted();
        }
        this.hasOwnEvidence = true;
        const calls = report.running + report.waiting;
        this.ledger.learnReport(calls, reportLagMs);
        const lagMs = context.hostsMissing ? reportLagMs : 0;
        if (!this.settled && this.clock.nowMs() >= this.openAtMs + lagMs) {
            this.ledger.addUnknown(Math.max(0, calls - this.ledger.inUse), context.callBoundMs);
            this.settled = true;
        }
    }

    /** True while only the hosts themselves can tell which calls are in flight. */
    public needsClaims(context: EndpointContext): boolean {
        return !this.settled && !context.settings.reportsLoad && this.clock.nowMs() >= this.openAtMs;
    }

    /** Takes in what all hosts have said, asked after the wait; `isWhole` unless one that matters did not answer. */
    public learnClaims(claims: readonly HostClaim[], isWhole: boolean, context: EndpointContext): void {
        if (!isWhole || !this.needsClaims(context)) {
            return;
        }
        for (const { host, inUse } of claims) {
            const record = this.ledger.holders.find(one => one.holder.host === host);
            this.ledger.addUnknown(Math.max(0, inUse - (record?.counted ?? 0)), context.callBoundMs);
        }
        this.settled = true;
    }

    /** Goes on exactly where a former owner has stopped, without a wait. */
    public adopt(records: readonly HolderRecord[], orphans: number, context: EndpointContext): void {
        const unseen = records.filter(record => this.ledger.lastSeq(record.holder) < record.seq);
        this.ledger.adopt(unseen, orphans, context.callBoundMs);
        this.key = context.ownership.key;
        this.share = limit => context.ownership.share(limit);
        this.openAtMs = this.clock.nowMs();
        this.settled = true;
    }

    /** Until this owner has evidence of its own, the freshest word of the former owner counts. */
    private believe(believed: NonNullable<SlotEntry["believed"]>): void {
        const heardAtMs = this.clock.nowMs() - believed.ageMs;
        if (heardAtMs > this.believedAtMs && !this.hasOwnEvidence) {
            this.believedAtMs = heardAtMs;
            const { state, limit, provenAgeMs, incarnation } = believed;
            this.health.restore({ state, limit, incarnation }, provenAgeMs);
        }
    }

    /** The terms in force now, after a change of ownership if there was one. */
    public terms(context: EndpointContext): SlotTerms {
        this.health.setLimits(context.settings);
        if (this.wasClosed && context.closed === undefined) {
            // Without work nothing has shown whether it is still as warm as it was.
            this.health.distrust();
        }
        this.wasClosed = context.closed !== undefined;
        this.followOwnership(context);
        this.settleByTime(context);
        const limit = this.limit(context);
        const full = this.share(limit);
        const formers = [...this.formerShares.values()].map(share => share(limit));
        const inForce = this.settled ? full : Math.min(full, ...formers);
        return {
            limit: inForce,
            leaseMs: context.timing.slotLeaseMs,
            driftMs: context.timing.clockDriftMs,
            claimsOnly: !this.settled && inForce === 0,
            claimLimit: full,
        };
    }

    private followOwnership(context: EndpointContext): void {
        const { ownership, timing, heartbeatTiming: pace } = context;
        if (ownership.key === this.key) {
            this.share = limit => ownership.share(limit);
            return;
        }
        const wasSure = this.key === "none" || this.isSole;
        const isSure = ownership.key.startsWith(soleKey);
        if (this.settled) {
            this.formerShares.clear();
        }
        this.formerShares.set(this.key, this.share);
        this.share = limit => ownership.share(limit);
        this.key = ownership.key;
        // A host with another view gives up its part only once it has noticed.
        const noticeMs = wasSure && isSure ? 0 : pace.unreachableMs + 2 * pace.heartbeatMs;
        this.openAtMs = this.clock.nowMs() + noticeMs + timing.slotLeaseMs + timing.clockDriftMs;
        this.settled = false;
    }

    /** After a call's longest time nothing of before can be left, whoever made it. */
    private settleByTime(context: EndpointContext): void {
        this.settled ||= this.clock.nowMs() >= this.openAtMs + context.callBoundMs;
    }
}

function hasTold(evidence: NonNullable<SlotEntry["evidence"]>): boolean {
    return evidence.incarnation !== undefined || evidence.crashed + evidence.refused + evidence.cold > 0;
}
