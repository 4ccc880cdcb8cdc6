/**
 * One endpoint on a host that sends calls to it: the slots lent by the owner, the requests that wait for one, and what
 * ended calls have shown since the last message to the owner.
 */
import { type Either, Left, Right } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import type { Clock, Disposable, EndpointId, HostId } from "../common/Types.js";
import { scarceLimit } from "./SlotLedger.js";
import type { SlotAnswer, SlotEntry, SlotEvidence, SlotPush } from "./SlotMessages.js";
import type { CallEnd, CallEvidence, EndpointState, Slot, SlotError, SlotRequest } from "./Types.js";

/** Added to the longest call seen, so that the bound told to the owner serves until the next renewal. */
const boundHeadroomMs = 5000;
/** How long a refusal as closed is believed before the owner is asked again. */
const closedBeliefMs = 2000;
/** Times of calls kept for the median. */
const timesKept = 32;
/** First-byte times sent with one message at most. */
const firstBytesSent = 8;
/** Slots wanted beyond the recent peak, as a share of it. */
const spareShare = 0.25;

interface Waiter {
    readonly req: SlotRequest;
    readonly settle: (result: Either<SlotError, Slot>) => void;
    readonly timer: Disposable;
}

type Granted = Extract<SlotAnswer, { readonly kind: "granted"; }>;

export class HeldEndpoint {
    /** Host that is asked for slots, and how far down the list of candidates this is. */
    public owner: HostId | undefined;
    public candidate = 0;
    public state: EndpointState = "cold";
    public limit: number;
    public reported: { readonly running: number; readonly waiting: number; readonly atMs: number; } | undefined;
    /** True when the owner should hear of a change at once. */
    public dirty = false;
    private seq = 0;
    private grantNo = -1;
    private allowed = 0;
    /** Slots on which a call may begin, by the owner's latest word. */
    private covered = 0;
    /** Slots on which a call has begun. */
    private begun = 0;
    private tellsBelief = false;
    /** What the owner counts for this host at most. */
    private ceiling = 0;
    private leaseUntilMs = Number.NEGATIVE_INFINITY;
    private sentAtMs = 0;
    private callsEndMs = Number.NEGATIVE_INFINITY;
    private sentCallsEndMs = Number.NEGATIVE_INFINITY;
    private stateAtMs = Number.NEGATIVE_INFINITY;
    private scarce = false;
    private using = 0;
    private peak = 0;
    private usedAtMs = Number.NEGATIVE_INFINITY;
    private succeededAtMs = Number.NEGATIVE_INFINITY;
    private latestCallEndMs = 0;
    private longestCallMs = 0;
    private waiters: Waiter[] = [];
    private era = 0;
    private evidence = noEvidence(0);
    private sentEvidence: SlotEvidence | undefined;
    private times: number[] = [];

    public constructor(
        public readonly id: EndpointId,
        private readonly clock: Clock,
        coldLimit: number,
        /** Called when the owner should hear from this host soon. */
        private readonly wake: () => void,
    ) {
        this.limit = coldLimit;
    }

    public get inUse(): number {
        return this.using;
    }

    public get waiting(): number {
        return this.waiters.length;
    }

    /** Slots that can be taken at once. */
    public get credits(): number {
        return this.isLive() ? Math.max(0, this.allowed - this.using) : 0;
    }

    public get recentMs(): number | undefined {
        const sorted = [...this.times].sort((a, b) => a - b);
        return sorted[Math.floor(sorted.length / 2)];
    }

    /** True while the owner has lately said that the endpoint takes no new work. */
    public get isClosed(): boolean {
        const closed = this.state === "leaving" || this.state === "out";
        return closed && this.clock.nowMs() - this.stateAtMs < closedBeliefMs;
    }

    /** True when the lease should be renewed or the owner told of something. */
    public isDue(leaseMs: number): boolean {
        if (this.dirty) {
            return true;
        }
        const nowMs = this.clock.nowMs();
        const isNeeded = this.using > 0 || this.waiters.length > 0 || nowMs - this.usedAtMs < leaseMs;
        return isNeeded && this.leaseUntilMs - nowMs < leaseMs / 2 && nowMs - this.sentAtMs >= leaseMs / 4;
    }

    public acquire(req: SlotRequest): Promise<Either<SlotError, Slot>> {
        this.usedAtMs = this.clock.nowMs();
        this.longestCallMs = Math.max(this.longestCallMs, req.deadlineMs - this.usedAtMs);
        if (this.isClosed) {
            return Promise.resolve(Left({ kind: "closed", endpoint: this.id, state: this.state }));
        }
        if (this.canTake(req)) {
            return Promise.resolve(Right(this.take(req)));
        }
        return this.wait(req);
    }

    /** Makes the next message. From now on this host keeps to what the message says it holds. */
    public compose(): SlotEntry {
        const nowMs = this.clock.nowMs();
        this.peak = Math.max(this.using + this.waiters.length, Math.floor(this.peak * (1 - spareShare)));
        const spare = this.scarce ? 0 : Math.ceil((this.peak + 1) * spareShare);
        const want = Math.max(this.using + this.waiters.length, this.scarce ? 0 : this.peak) + spare;
        const kept = this.isLive() ? Math.min(this.allowed, want) : 0;
        this.allowed = Math.max(kept, 0);
        const held = Math.max(this.using, this.allowed);
        const first = this.waiters[0]?.req;
        const believed = this.tellsBelief && this.stateAtMs > Number.NEGATIVE_INFINITY
            ? { believed: this.believed(nowMs) }
            : {};
        this.seq += 1;
        this.grantNo = -1;
        this.ceiling = held;
        this.sentAtMs = nowMs;
        this.dirty = false;
        this.sentCallsEndMs = Math.max(nowMs + this.longestCallMs + boundHeadroomMs, this.latestCallEndMs);
        this.callsEndMs = Math.min(this.callsEndMs, this.sentCallsEndMs);
        this.sentEvidence = this.evidence;
        this.evidence = noEvidence(this.era);
        return {
            endpoint: this.id,
            seq: this.seq,
            held,
            inUse: this.using,
            want,
            waiting: this.waiters.length,
            priority: first?.priority ?? 2,
            deadlineInMs: first === undefined ? 0 : first.deadlineMs - nowMs,
            callBoundMs: this.sentCallsEndMs - nowMs,
            evidence: this.sentEvidence,
            ...believed,
        };
    }

    private believed(nowMs: number): NonNullable<SlotEntry["believed"]> {
        const provenAgeMs = Math.min(nowMs - this.succeededAtMs, Number.MAX_SAFE_INTEGER);
        return { state: this.state, limit: this.limit, ageMs: nowMs - this.stateAtMs, provenAgeMs };
    }

    public apply(answer: Granted): void {
        if (answer.seq !== this.seq) {
            return;
        }
        this.leaseUntilMs = this.sentAtMs + answer.leaseMs;
        this.callsEndMs = this.sentCallsEndMs;
        this.sentEvidence = undefined;
        this.state = answer.state;
        this.stateAtMs = this.clock.nowMs();
        this.limit = answer.limit;
        this.followEra(answer.era);
        this.scarce = answer.scarce;
        const { reported } = answer;
        this.reported = reported === undefined
            ? undefined
            : { running: reported.running, waiting: reported.waiting, atMs: this.clock.nowMs() - reported.ageMs };
        this.tellsBelief = false;
        this.allow(answer.grantNo, answer.granted, answer.covered);
        if (this.isClosed) {
            this.failWaiters({ kind: "closed", endpoint: this.id, state: this.state });
        }
    }

    public applyPush(push: SlotPush): void {
        if (push.seq === this.seq && push.grantNo > this.grantNo) {
            this.scarce = push.scarce;
            this.allow(push.grantNo, push.granted, push.covered);
            this.tellWhatIsFree();
        }
    }

    /** The message was not answered: what it told of troubles is told again. */
    public unanswered(): void {
        const lost = this.sentEvidence;
        this.sentEvidence = undefined;
        if (lost !== undefined) {
            // Successes are dropped, since hearing of them twice would raise the limit too soon.
            addTroubles(this.evidence, lost);
        }
    }

    /** Another host is the owner now; it is told what this host holds. */
    public follow(owner: HostId | undefined): void {
        if (this.owner !== owner) {
            this.owner = owner;
            this.tellsBelief = true;
            this.dirty = this.using > 0 || this.waiters.length > 0;
        }
    }

    /** Refuses everybody who waits. */
    public failWaiters(error: SlotError): void {
        const waiters = this.waiters;
        this.waiters = [];
        for (const waiter of waiters) {
            waiter.timer.dispose();
            waiter.settle(Left(error));
        }
    }

    private isLive(): boolean {
        return this.clock.nowMs() < this.leaseUntilMs;
    }

    private canTake(req: SlotRequest): boolean {
        return this.isLive() && this.using < this.allowed && req.deadlineMs <= this.callsEndMs;
    }

    private followEra(era: number): void {
        if (era !== this.era) {
            this.era = era;
            this.evidence = { ...this.evidence, era, succeeded: 0, firstByteMs: [] };
        }
    }

    private allow(grantNo: number, granted: number, covered: number): void {
        if (grantNo > this.grantNo) {
            this.grantNo = grantNo;
            this.allowed = granted;
            this.ceiling = Math.max(this.ceiling, granted);
            this.covered = covered;
        }
        this.serve();
    }

    private serve(): void {
        for (let next = this.waiters[0]; next !== undefined; next = this.waiters[0]) {
            if (!this.canTake(next.req)) {
                return;
            }
            this.waiters.shift();
            next.timer.dispose();
            next.settle(Right(this.take(next.req)));
        }
    }

    private wait(req: SlotRequest): Promise<Either<SlotError, Slot>> {
        return new Promise(resolve => {
            const nowMs = this.clock.nowMs();
            const expire = () => {
                this.waiters = this.waiters.filter(one => one !== waiter);
                const retryAfterMs = Math.ceil(this.recentMs ?? 1000);
                waiter.settle(Left({ kind: "no-slot", endpoint: this.id, retryAfterMs }));
            };
            const aborted = () => {
                waiter.timer.dispose();
                expire();
            };
            const waiter: Waiter = {
                req,
                settle: result => {
                    req.signal?.removeEventListener("abort", aborted);
                    resolve(result);
                },
                timer: this.clock.setTimer(Math.max(0, req.deadlineMs - nowMs), expire),
            };
            this.waiters.push(waiter);
            this.waiters.sort((a, b) => a.req.priority - b.req.priority || a.req.deadlineMs - b.req.deadlineMs);
            req.signal?.addEventListener("abort", aborted, { once: true });
            if (req.signal?.aborted === true) {
                aborted();
                return;
            }
            this.dirty = true;
            this.wake();
        });
    }

    private take(req: SlotRequest): Slot {
        this.using += 1;
        this.peak = Math.max(this.peak, this.using);
        this.latestCallEndMs = Math.max(this.latestCallEndMs, req.deadlineMs);
        invariant(this.using <= this.ceiling, "a host uses no more slots than its owner counts for it", {
            endpoint: this.id,
            using: this.using,
            ceiling: this.ceiling,
        });
        return new HeldSlot(this.id, this.leaseUntilMs, {
            begin: () => this.begin(),
            end: (end, evidence, era) => {
                this.begun -= era === undefined ? 0 : 1;
                this.release(end, evidence, era === this.era);
            },
        });
    }

    /** @returns the era in which the call begins, or undefined when it may not begin. */
    private begin(): number | undefined {
        if (!this.isLive() || this.isClosed || this.begun >= this.covered) {
            return undefined;
        }
        this.begun += 1;
        return this.era;
    }

    private release(end: CallEnd, evidence: CallEvidence | undefined, isOfThisEra: boolean): void {
        this.using -= 1;
        this.usedAtMs = this.clock.nowMs();
        this.learn(end, evidence, isOfThisEra);
        if (this.scarce && this.limit <= scarceLimit) {
            // Who goes next is for the owner to say.
            this.allowed = Math.min(this.allowed, this.using);
        }
        this.serve();
        this.tellWhatIsFree();
    }

    /** Tells the owner when it counts more for this host than the host can still use. */
    private tellWhatIsFree(): void {
        if (this.ceiling > Math.max(this.using, this.allowed)) {
            this.dirty = true;
        }
        if (this.dirty) {
            this.wake();
        }
    }

    private learn(end: CallEnd, evidence: CallEvidence | undefined, isOfThisEra: boolean): void {
        if (end === "succeeded" && !isOfThisEra) {
            return;
        }
        noteEnd(this.evidence, end);
        if (isOfThisEra && evidence?.endpointIncarnation !== undefined) {
            this.evidence.incarnation = evidence.endpointIncarnation;
        }
        if (evidence?.firstByteMs !== undefined && this.evidence.firstByteMs.length < firstBytesSent) {
            this.evidence.firstByteMs.push(evidence.firstByteMs);
        }
        if (end === "succeeded" && evidence !== undefined) {
            this.succeededAtMs = this.clock.nowMs();
            this.times = [...this.times, evidence.totalMs].slice(-timesKept);
        }
        const isTrouble = end !== "succeeded" && end !== "never-sent" && end !== "cancelled" && end !== "failed";
        if (end === "crashed" || end === "refused" || end === "cold") {
            // What is left of the credit was given for a warmer endpoint.
            this.allowed = 0;
            this.covered = this.begun;
        }
        // While an endpoint warms up, its owner raises the limit by the successes that it hears of.
        this.dirty ||= isTrouble || (this.state !== "warm" && this.evidence.succeeded >= Math.max(1, this.ceiling / 2));
    }
}

interface SlotHooks {
    begin(): number | undefined;
    end(end: CallEnd, evidence: CallEvidence | undefined, era: number | undefined): void;
}

class HeldSlot implements Slot {
    private era: number | undefined;
    private released = false;

    public constructor(
        public readonly endpoint: EndpointId,
        public readonly expiresAtMs: number,
        private readonly hooks: SlotHooks,
    ) {}

    public begin(): boolean {
        const isUnused = !this.released && this.era === undefined;
        invariant(isUnused, "a slot carries one call", { endpoint: this.endpoint });
        this.era = this.hooks.begin();
        return this.era !== undefined;
    }

    public release(end: CallEnd, evidence?: CallEvidence): void {
        invariant(!this.released, "a slot is released exactly once", { endpoint: this.endpoint });
        this.released = true;
        this.hooks.end(end, evidence, this.era);
    }
}

function noEvidence(era: number): SlotEvidence {
    return { era, succeeded: 0, overloaded: 0, cold: 0, lost: 0, crashed: 0, refused: 0, leaving: 0, firstByteMs: [] };
}

function noteEnd(evidence: SlotEvidence, end: CallEnd): void {
    switch (end) {
        case "succeeded":
        case "overloaded":
        case "cold":
        case "lost":
        case "crashed":
        case "refused":
        case "leaving":
            evidence[end] += 1;
            break;
        case "failed":
        case "cancelled":
        case "never-sent":
            break;
    }
}

function addTroubles(to: SlotEvidence, from: SlotEvidence): void {
    to.overloaded += from.overloaded;
    to.cold += from.cold;
    to.lost += from.lost;
    to.crashed += from.crashed;
    to.refused += from.refused;
    to.leaving += from.leaving;
}
