/**
 * The owner's account of one endpoint: which holder may use how many slots until when, and what must still be counted
 * although nobody vouches for it. The sum of all that is counted bounds the calls in flight over all hosts.
 */
import { invariant } from "../common/Invariant.js";
import type { Clock, HostId } from "../common/Types.js";
import type { SlotEntry } from "./SlotMessages.js";
import type { HolderIdentity } from "./Types.js";

/** Up to this limit a scarce slot goes back to the owner after each call, so that priorities hold over all hosts. */
export const scarceLimit = 4;

/** What an endpoint may bear now, and for how long slots are lent. */
export interface SlotTerms {
    /** Slots that this owner may give out in all. */
    readonly limit: number;
    readonly leaseMs: number;
    readonly driftMs: number;
    /** True while former owners' grants may be live: holders keep what they claim, and nothing else is given. */
    readonly claimsOnly: boolean;
    /** Slots up to which claims are confirmed while `claimsOnly`. */
    readonly claimLimit: number;
}

export interface HolderRecord {
    readonly holder: HolderIdentity;
    seq: number;
    grantNo: number;
    /** Upper bound of the slots that the holder may be using. */
    counted: number;
    /** What the holder was last told. */
    allowed: number;
    /** Slots, of those in use, on which a call may still begin; fewer than in use when the limit has fallen. */
    covered: number;
    inUse: number;
    want: number;
    waiting: number;
    priority: number;
    deadlineMs: number;
    expiresAtMs: number;
    /** All calls of the holder end before then, on this owner's clock. */
    callsEndMs: number;
    recalled: boolean;
    /** The holder has a request that must be alone on the endpoint. */
    wantsExclusive: boolean;
    /** The endpoint is kept for one call of this holder. */
    exclusive: boolean;
    /** True once the holder knows that others wait. */
    toldScarce: boolean;
}

/** Slots whose holder has gone or was never known; counted until its calls have ended for certain. */
interface OrphanedSlots {
    readonly holder: HolderIdentity | undefined;
    count: number;
    readonly sinceMs: number;
    readonly untilMs: number;
}

/** Holders that were allowed another number between two of their messages. */
export type GrantChange = HolderRecord;

export class SlotLedger {
    private readonly records = new Map<HostId, HolderRecord>();
    private orphans: OrphanedSlots[] = [];

    public constructor(private readonly clock: Clock) {}

    /** Upper bound of the slots in use over all hosts. */
    public get used(): number {
        let sum = this.orphaned;
        for (const record of this.records.values()) {
            sum += record.counted;
        }
        return sum;
    }

    /** Slots counted although no holder vouches for them. */
    public get orphaned(): number {
        return this.orphans.reduce((sum, one) => sum + one.count, 0);
    }

    /** Calls in flight as holders last said. */
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

    /** True when a holder waits for more than it has. */
    public get scarce(): boolean {
        return this.holders.some(isHungry);
    }

    /** Number of the holder's latest message; 0 before the first. */
    public lastSeq(holder: HolderIdentity): number {
        const record = this.records.get(holder.host);
        return record !== undefined && isSame(record.holder, holder) ? record.seq : 0;
    }

    /**
     * Takes in a holder's message.
     * @returns the holder's record, or undefined when the message is older than one already seen.
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
            this.orphan(former);
        }
        const known = former?.holder.incarnation === holder.incarnation;
        this.orphans = this.orphans.filter(one => !isSame(one.holder, holder));
        const record = this.renew(holder, entry, terms);
        record.allowed = this.allowance(record, this.withExclusive(terms), known);
        record.counted = Math.max(record.counted, record.allowed);
        record.covered = this.coverage(record, terms.claimsOnly ? terms.claimLimit : terms.limit);
        record.toldScarce = this.scarce;
        return record;
    }

    /** Gives free slots to waiting holders by priority and deadline, and asks for idle ones back. */
    public distribute(terms: SlotTerms): GrantChange[] {
        this.expire();
        const changed = new Set<HolderRecord>();
        if (terms.claimsOnly) {
            return [];
        }
        this.giveExclusive(terms, changed);
        this.giveOut(this.withExclusive(terms), changed);
        const { limit } = this.withExclusive(terms);
        if (this.used > limit || (this.scarce && this.used === limit)) {
            this.recall(terms, limit, changed);
        }
        for (const record of changed) {
            record.grantNo += 1;
        }
        return [...changed];
    }

    /** Moves the slots of holders whose lease has run out to those that nobody vouches for; drops what has ended. */
    public expire(): void {
        const nowMs = this.clock.nowMs();
        for (const record of this.records.values()) {
            if (record.expiresAtMs <= nowMs) {
                this.orphan(record);
            }
        }
        this.orphans = this.orphans.filter(one => one.untilMs > nowMs && one.count > 0);
    }

    /** A process of the endpoint has ended, and its calls with it. */
    public endpointRestarted(): void {
        this.orphans = [];
    }

    /** An endpoint that itself says how many calls it has bounds those that nobody vouches for. */
    public learnReport(calls: number, lagMs: number): void {
        const nowMs = this.clock.nowMs();
        let left = calls;
        for (const one of this.orphans.filter(orphan => orphan.sinceMs + lagMs <= nowMs)) {
            one.count = Math.min(one.count, left);
            left -= one.count;
        }
    }

    /** Counts slots of holders that this owner has never heard of. */
    public addUnknown(count: number, forMs: number): void {
        const nowMs = this.clock.nowMs();
        this.orphans.push({ holder: undefined, count, sinceMs: nowMs, untilMs: nowMs + forMs });
    }

    /** Takes over the records of a former owner that has stopped granting. */
    public adopt(records: readonly HolderRecord[], orphans: number, orphansForMs: number): void {
        for (const record of records) {
            this.records.set(record.holder.host, { ...record });
        }
        if (orphans > 0) {
            this.addUnknown(orphans, orphansForMs);
        }
    }

    private renew(holder: HolderIdentity, entry: SlotEntry, terms: SlotTerms): HolderRecord {
        const nowMs = this.clock.nowMs();
        const stretch = 1 + terms.driftMs / terms.leaseMs;
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
            callsEndMs: nowMs + entry.callBoundMs * stretch,
            recalled: false,
            wantsExclusive: entry.wantsExclusive === true,
            exclusive: entry.exclusive === true,
            toldScarce: false,
        };
        this.records.set(holder.host, record);
        return record;
    }

    /** Slots that the holder is allowed by the answer to its message. */
    private allowance(record: HolderRecord, terms: SlotTerms, known: boolean): number {
        const claimed = known || terms.claimsOnly ? record.counted : record.inUse;
        const bound = terms.claimsOnly ? terms.claimLimit : terms.limit;
        const excess = Math.max(0, this.used - bound);
        const kept = Math.max(0, Math.min(claimed, record.want) - excess);
        if (terms.claimsOnly) {
            return kept;
        }
        const others = this.holders.filter(one => one !== record && isHungry(one));
        if (others.length > 0) {
            return Math.min(kept, this.fairShare(record, terms.limit));
        }
        if (record.want <= kept) {
            return kept;
        }
        const free = Math.max(0, terms.limit - this.used);
        const forWaiting = Math.max(0, Math.min(record.inUse + record.waiting - kept, free));
        // Half of what is left stays with the owner, so that the next host need not wait for a recall.
        const spare = Math.min(record.want - kept - forWaiting, Math.ceil((free - forWaiting) / 2));
        const granted = kept + forWaiting + Math.max(0, spare);
        this.assertWithin(terms, granted - record.counted);
        return granted;
    }

    /** While others wait, a holder keeps what it needs, up to an equal part of the limit. */
    private fairShare(record: HolderRecord, limit: number): number {
        const needy = this.holders.filter(one => one.inUse + one.waiting > 0).length;
        const part = Math.max(1, Math.ceil(limit / Math.max(1, needy)));
        return Math.min(record.inUse + record.waiting, part);
    }

    /** While a request waits to be alone on the endpoint, or is, nothing else is given out. */
    private withExclusive(terms: SlotTerms): SlotTerms {
        const isKept = this.holders.some(one => one.exclusive || one.wantsExclusive);
        return isKept && !terms.claimsOnly ? { ...terms, limit: 0 } : terms;
    }

    /** Keeps the endpoint for one request once every other call has ended. */
    private giveExclusive(terms: SlotTerms, changed: Set<HolderRecord>): void {
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

    private giveOut(terms: SlotTerms, changed: Set<HolderRecord>): void {
        while (this.used < terms.limit) {
            const next = this.holders.filter(isHungry).sort((a, b) => (comesBefore(a, b) ? -1 : 1))[0];
            if (next === undefined) {
                return;
            }
            this.assertWithin(terms, 1);
            next.allowed = Math.max(next.allowed, next.counted) + 1;
            next.counted = next.allowed;
            next.covered = Math.max(next.covered, next.allowed);
            changed.add(next);
        }
    }

    /** Asks for slots back where others wait for them, or where the limit has fallen. */
    private recall(terms: SlotTerms, limit: number, changed: Set<HolderRecord>): void {
        for (const record of this.records.values()) {
            const fair = Math.min(this.fairShare(record, limit), limit);
            const mustKnow = !record.toldScarce && this.scarce && limit <= scarceLimit && record.counted > 0;
            if ((!record.recalled && record.allowed > fair) || mustKnow) {
                record.allowed = Math.min(record.allowed, fair);
                record.toldScarce = this.scarce;
                record.covered = this.coverage(record, terms.limit);
                record.recalled = true;
                changed.add(record);
            }
        }
    }

    /** Slots in use on which a call may still begin: what the limit leaves beside everybody else. */
    private coverage(record: HolderRecord, bound: number): number {
        const left = Math.max(0, bound - (this.used - record.counted));
        return Math.max(record.allowed, Math.min(record.inUse, left));
    }

    private orphan(record: HolderRecord): void {
        this.records.delete(record.holder.host);
        this.orphans.push({
            holder: record.holder,
            count: record.counted,
            sinceMs: this.clock.nowMs(),
            untilMs: record.callsEndMs,
        });
    }

    private assertWithin(terms: SlotTerms, more: number): void {
        invariant(
            more <= 0 || this.used + more <= terms.limit,
            "slots given out over all hosts stay within the endpoint's limit",
            { used: this.used, more, limit: terms.limit },
        );
    }
}

function isHungry(record: HolderRecord): boolean {
    return record.waiting > 0 && record.counted < record.inUse + record.waiting;
}

function comesBefore(a: HolderRecord, b: HolderRecord): boolean {
    return a.priority !== b.priority ? a.priority < b.priority : a.deadlineMs < b.deadlineMs;
}

function isSame(a: HolderIdentity | undefined, b: HolderIdentity): boolean {
    return a !== undefined && a.host === b.host && a.incarnation === b.incarnation;
}
