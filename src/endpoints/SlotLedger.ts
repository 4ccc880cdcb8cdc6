/**
 * The owner's slot accounting for one endpoint: how many slots each holder may use and until when, plus orphaned slots
 * whose holder is gone or unknown. The total of counted slots is an upper bound of the calls in flight on all hosts.
 */
import { invariant } from "../common/Invariant.js";
import type { Clock, HostId } from "../common/Types.js";
import type { SlotEntry } from "./SlotMessages.js";
import type { HolderIdentity } from "./Types.js";

/**
 * On an endpoint with at most this limit, a slot that other holders wait for returns to the owner after each call, so
 * that priorities apply across all hosts.
 */
export const scarceLimit = 4;

/** The limit in force for an endpoint, and for how long slots are leased. */
export interface SlotTerms {
    /** Slots that this owner may grant in total. */
    readonly limit: number;
    readonly leaseMs: number;
    /** Bound on the drift between a holder's clock and the owner's during a lease, in milliseconds. */
    readonly driftMs: number;
    /** True while grants of former owners may still be valid: holders keep what they claim, nothing more is granted. */
    readonly claimsOnly: boolean;
    /** Number of slots up to which claims are confirmed while `claimsOnly` is set. */
    readonly claimLimit: number;
}

/** A holder's latest message, and the slots granted to it since. */
export interface HolderRecord {
    readonly holder: HolderIdentity;
    seq: number;
    grantNo: number;
    /** Upper bound of the slots that the holder may be using now. */
    counted: number;
    /** Number of slots in the latest answer or push to the holder. */
    allowed: number;
    /** Slots in use on which a call may still begin; fewer than `inUse` after the limit was lowered. */
    covered: number;
    inUse: number;
    /** Total number of slots wanted, including those in use. */
    want: number;
    waiting: number;
    priority: number;
    deadlineMs: number;
    /** End of the holder's lease on this owner's clock, clock drift included. */
    expiresAtMs: number;
    /** Time by which all calls of the holder have ended, on this owner's clock. */
    callsEndMs: number;
    /** True when slots were recalled since the holder's latest message. */
    recalled: boolean;
    /** The holder has a request waiting that must run alone on the endpoint. */
    wantsExclusive: boolean;
    /** The endpoint is reserved for one call of this holder. */
    exclusive: boolean;
    /** True once the holder has been told that other holders wait. */
    toldScarce: boolean;
}

/** Slots whose holder is gone or was never known; they count until the calls on them must have ended. */
interface OrphanedSlots {
    readonly holder: HolderIdentity | undefined;
    count: number;
    readonly sinceMs: number;
    readonly untilMs: number;
}

/** A holder whose number of allowed slots changed between two of its messages. */
export type GrantChange = HolderRecord;

export class SlotLedger {
    private readonly records = new Map<HostId, HolderRecord>();
    private orphans: OrphanedSlots[] = [];

    public constructor(private readonly clock: Clock) {}

    /** Upper bound of the slots in use on all hosts. */
    public get used(): number {
        let sum = this.orphaned;
        for (const record of this.records.values()) {
            sum += record.counted;
        }
        return sum;
    }

    /** Slots that count although their holder is gone or unknown. */
    public get orphaned(): number {
        return this.orphans.reduce((sum, one) => sum + one.count, 0);
    }

    /** Calls in flight by the holders' latest messages. */
    public get inUse(): number {
        let sum = 0;
        for (const record of this.records.values()) {
            sum += record.inUse;
        }
        return sum;
    }

    public get holders(): readonly HolderRecord[] {
        return [...this.records.values()];
    }

    /** True when a holder has waiting requests and too few slots for them. */
    public get scarce(): boolean {
        return this.holders.some(needsSlots);
    }

    /** Sequence number of the holder's latest message; 0 before the first. */
    public lastSeq(holder: HolderIdentity): number {
        const record = this.records.get(holder.host);
        return record !== undefined && isSameHolder(record.holder, holder) ? record.seq : 0;
    }

    /**
     * Processes a holder's message.
     * @returns the holder's record, or undefined for a message older than one already processed.
     */
    public exchange(holder: HolderIdentity, entry: SlotEntry, terms: SlotTerms): HolderRecord | undefined {
        this.expire();
        const former = this.records.get(holder.host);
        if (former !== undefined && former.holder.incarnation === holder.incarnation) {
            if (entry.seq <= former.seq) {
                return entry.seq === former.seq ? former : undefined;
            }
        }
        else if (former !== undefined && former.holder.incarnation > holder.incarnation) {
            return undefined;
        }
        else if (former !== undefined) {
            this.orphanSlots(former);
        }
        const isKnownHolder = former?.holder.incarnation === holder.incarnation;
        this.orphans = this.orphans.filter(one => !isSameHolder(one.holder, holder));
        const record = this.createRecord(holder, entry, terms);
        record.allowed = this.allowance(record, this.termsWithExclusive(terms), isKnownHolder);
        record.counted = Math.max(record.counted, record.allowed);
        record.covered = this.coverage(record, terms.claimsOnly ? terms.claimLimit : terms.limit);
        record.toldScarce = this.scarce;
        return record;
    }

    /**
     * Grants free slots to waiting holders by priority, then deadline, and recalls idle ones.
     * @returns the records whose number of allowed slots has changed.
     */
    public distribute(terms: SlotTerms): GrantChange[] {
        this.expire();
        const changed = new Set<HolderRecord>();
        if (terms.claimsOnly) {
            return [];
        }
        this.grantExclusive(terms, changed);
        this.grantFreeSlots(this.termsWithExclusive(terms), changed);
        const { limit } = this.termsWithExclusive(terms);
        if (this.used > limit || (this.scarce && this.used === limit)) {
            this.recall(terms, limit, changed);
        }
        for (const record of changed) {
            record.grantNo += 1;
        }
        return [...changed];
    }

    /** Turns the slots of holders with an expired lease into orphaned slots, and drops those whose calls have ended. */
    public expire(): void {
        const nowMs = this.clock.nowMs();
        for (const record of this.records.values()) {
            if (record.expiresAtMs <= nowMs) {
                this.orphanSlots(record);
            }
        }
        this.orphans = this.orphans.filter(one => one.untilMs > nowMs && one.count > 0);
    }

    /** Drops all orphaned slots: the endpoint's former process has ended, and with it the calls on them. */
    public clearOrphans(): void {
        this.orphans = [];
    }

    /** Limits orphaned slots older than `lagMs` to the number of calls that the endpoint reports. */
    public limitOrphans(calls: number, lagMs: number): void {
        const nowMs = this.clock.nowMs();
        let left = calls;
        for (const one of this.orphans.filter(orphan => orphan.sinceMs + lagMs <= nowMs)) {
            one.count = Math.min(one.count, left);
            left -= one.count;
        }
    }

    /** Counts slots of unknown holders for `forMs` milliseconds. */
    public addOrphans(count: number, forMs: number): void {
        const nowMs = this.clock.nowMs();
        this.orphans.push({ holder: undefined, count, sinceMs: nowMs, untilMs: nowMs + forMs });
    }

    /** Adopts the records of a former owner, which has stopped granting. */
    public adopt(records: readonly HolderRecord[], orphans: number, orphansForMs: number): void {
        for (const record of records) {
            this.records.set(record.holder.host, { ...record });
        }
        if (orphans > 0) {
            this.addOrphans(orphans, orphansForMs);
        }
    }

    private createRecord(holder: HolderIdentity, entry: SlotEntry, terms: SlotTerms): HolderRecord {
        const nowMs = this.clock.nowMs();
        const driftFactor = 1 + terms.driftMs / terms.leaseMs;
        const record: HolderRecord = {
            holder,
            seq: entry.seq,
            grantNo: 0,
            counted: Math.max(entry.held, entry.inUse),
            allowed: 0,
            covered: 0,
            inUse: entry.inUse,
            want: entry.want,
            waiting: entry.waiting,
            priority: entry.priority,
            deadlineMs: nowMs + entry.deadlineInMs,
            expiresAtMs: nowMs + terms.leaseMs + terms.driftMs,
            callsEndMs: nowMs + entry.callBoundMs * driftFactor,
            recalled: false,
            wantsExclusive: entry.wantsExclusive === true,
            exclusive: entry.exclusive === true,
            toldScarce: false,
        };
        this.records.set(holder.host, record);
        return record;
    }

    /** Number of slots that the answer to a holder's message allows. */
    private allowance(record: HolderRecord, terms: SlotTerms, isKnownHolder: boolean): number {
        const claimed = isKnownHolder || terms.claimsOnly ? record.counted : record.inUse;
        const bound = terms.claimsOnly ? terms.claimLimit : terms.limit;
        const excess = Math.max(0, this.used - bound);
        const kept = Math.max(0, Math.min(claimed, record.want) - excess);
        if (terms.claimsOnly) {
            return kept;
        }
        const others = this.holders.filter(one => one !== record && needsSlots(one));
        if (others.length > 0) {
            return Math.min(kept, this.fairShare(record, terms.limit));
        }
        if (record.want <= kept) {
            return kept;
        }
        const free = Math.max(0, terms.limit - this.used);
        const forWaiting = Math.max(0, Math.min(record.inUse + record.waiting - kept, free));
        // Half of the remaining slots stays with the owner, so that the next host need not wait for a recall.
        const spare = Math.min(record.want - kept - forWaiting, Math.ceil((free - forWaiting) / 2));
        const granted = kept + forWaiting + Math.max(0, spare);
        this.assertWithinLimit(terms, granted - record.counted);
        return granted;
    }

    /** Slots that a holder keeps while others wait: what it needs, up to an equal share of the limit. */
    private fairShare(record: HolderRecord, limit: number): number {
        const activeHolders = this.holders.filter(one => one.inUse + one.waiting > 0).length;
        const equalShare = Math.max(1, Math.ceil(limit / Math.max(1, activeHolders)));
        return Math.min(record.inUse + record.waiting, equalShare);
    }

    /** Returns the terms with a limit of 0 while a request waits for exclusive use of the endpoint or has it. */
    private termsWithExclusive(terms: SlotTerms): SlotTerms {
        const isReserved = this.holders.some(one => one.exclusive || one.wantsExclusive);
        return isReserved && !terms.claimsOnly ? { ...terms, limit: 0 } : terms;
    }

    /** Reserves the endpoint for one request once all other calls have ended. */
    private grantExclusive(terms: SlotTerms, changed: Set<HolderRecord>): void {
        const next = this.holders.filter(one => one.wantsExclusive).sort((a, b) => (comesBefore(a, b) ? -1 : 1))[0];
        if (next === undefined || terms.limit < 1 || this.used > 0 || this.holders.some(one => one.exclusive)) {
            return;
        }
        next.wantsExclusive = false;
        next.exclusive = true;
        next.counted = 1;
        next.covered = 1;
        changed.add(next);
    }

    private grantFreeSlots(terms: SlotTerms, changed: Set<HolderRecord>): void {
        while (this.used < terms.limit) {
            const next = this.holders.filter(needsSlots).sort((a, b) => (comesBefore(a, b) ? -1 : 1))[0];
            if (next === undefined) {
                return;
            }
            this.assertWithinLimit(terms, 1);
            next.allowed = Math.max(next.allowed, next.counted) + 1;
            next.counted = next.allowed;
            next.covered = Math.max(next.covered, next.allowed);
            changed.add(next);
        }
    }

    /** Recalls slots that other holders wait for or that exceed a lowered limit. */
    private recall(terms: SlotTerms, limit: number, changed: Set<HolderRecord>): void {
        for (const record of this.records.values()) {
            const fair = Math.min(this.fairShare(record, limit), limit);
            const needsScarceNotice = !record.toldScarce && this.scarce && limit <= scarceLimit && record.counted > 0;
            if ((!record.recalled && record.allowed > fair) || needsScarceNotice) {
                record.allowed = Math.min(record.allowed, fair);
                record.toldScarce = this.scarce;
                record.covered = this.coverage(record, terms.limit);
                record.recalled = true;
                changed.add(record);
            }
        }
    }

    /** Slots in use on which a call may still begin: the bound less the slots counted for all others. */
    private coverage(record: HolderRecord, bound: number): number {
        const left = Math.max(0, bound - (this.used - record.counted));
        return Math.max(record.allowed, Math.min(record.inUse, left));
    }

    private orphanSlots(record: HolderRecord): void {
        this.records.delete(record.holder.host);
        this.orphans.push({
            holder: record.holder,
            count: record.counted,
            sinceMs: this.clock.nowMs(),
            untilMs: record.callsEndMs,
        });
    }

    private assertWithinLimit(terms: SlotTerms, more: number): void {
        invariant(
            more <= 0 || this.used + more <= terms.limit,
            "slots given out over all hosts stay within the endpoint's limit",
            { used: this.used, more, limit: terms.limit },
        );
    }
}

function needsSlots(record: HolderRecord): boolean {
    return record.waiting > 0 && record.counted < record.inUse + record.waiting;
}

function comesBefore(a: HolderRecord, b: HolderRecord): boolean {
    return a.priority !== b.priority ? a.priority < b.priority : a.deadlineMs < b.deadlineMs;
}

function isSameHolder(a: HolderIdentity | undefined, b: HolderIdentity): boolean {
    return a !== undefined && a.host === b.host && a.incarnation === b.incarnation;
}
