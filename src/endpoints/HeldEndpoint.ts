/**
 * One endpoint on a host that sends calls to it: the slots lent by the owner, the requests that wait for one, and what
 * ended calls have shown since the last message to the owner.
 */
import { type Either, Left, Right } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import { EvidenceBuffer } from "./EvidenceBuffer.js";
import { HeldSlot } from "./HeldSlot.js";
import { scarceLimit } from "./SlotLedger.js";
import type { SlotAnswer, SlotEntry, SlotPush } from "./SlotMessages.js";
import { SlotQueue } from "./SlotQueue.js";
import type { CallEnd, CallEvidence, EndpointState, Slot, SlotError, SlotRequest } from "./Types.js";

/** Added to the longest call seen, so that the bound told to the owner serves until the next renewal. */
const boundHeadroomMs = 5000;
/** How long a refusal as closed is believed before the owner is asked again. */
const closedBeliefMs = 2000;
/** Slots wanted beyond the recent peak, as a share of it. */
const spareShare = 0.25;
/** Retry hint before the first call has shown how long one takes. */
const defaultRetryMs = 1000;

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
    /** What the owner counts for this host at most. */
    private ceiling = 0;
    /** True while this host alone may have a call on the endpoint. */
    private exclusive = false;
    private tellsBelief = false;
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
    private readonly waiters: SlotQueue;
    private readonly lonelyWaiters: SlotQueue;
    private readonly evidence = new EvidenceBuffer();

    public constructor(
        public readonly id: EndpointId,
        private readonly clock: Clock,
        coldLimit: number,
        /** Called when the owner should hear from this host soon. */
        private readonly wake: () => void,
    ) {
        this.limit = coldLimit;
        const expired = (): SlotError => {
            // A queue that has ended must not hold back the rest of the endpoint's work.
            this.dirty = true;
            const retryAfterMs = Math.ceil(this.recentMs ?? defaultRetryMs);
            return { kind: "no-slot", endpoint: this.id, retryAfterMs };
        };
        this.waiters = new SlotQueue(clock, expired);
        this.lonelyWaiters = new SlotQueue(clock, expired);
    }

    public get inUse(): number {
        return this.using;
    }

    public get waiting(): number {
        return this.waiters.size + this.lonelyWaiters.size;
    }

    /** Slots that can be taken at once. */
    public get credits(): number {
        return this.isLive() ? Math.max(0, this.allowed - this.using) : 0;
    }

    public get recentMs(): number | undefined {
        return this.evidence.recentMs;
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
        const isNeeded = this.using > 0 || this.waiting > 0 || nowMs - this.usedAtMs < leaseMs;
        return isNeeded && this.leaseUntilMs - nowMs < leaseMs / 2 && nowMs - this.sentAtMs >= leaseMs / 4;
    }

    public acquire(req: SlotRequest): Promise<Either<SlotError, Slot>> {
        this.usedAtMs = this.clock.nowMs();
        this.longestCallMs = Math.max(this.longestCallMs, req.deadlineMs - this.usedAtMs);
        if (this.isClosed) {
            return Promise.resolve(Left({ kind: "closed", endpoint: this.id, state: this.state }));
        }
        if (req.exclusive !== true && this.canTake(req)) {
            return Promise.resolve(Right(this.take(req, false)));
        }
        const slot = (req.exclusive === true ? this.lonelyWaiters : this.waiters).add(req);
        this.dirty = true;
        this.wake();
        return slot;
    }

    /** Makes the next message. From now on this host keeps to what the message says it holds. */
    public compose(): SlotEntry {
        const nowMs = this.clock.nowMs();
        const needed = this.using + this.waiters.size;
        this.peak = Math.max(needed, Math.floor(this.peak * (1 - spareShare)));
        const want = this.scarce ? needed : this.peak + Math.ceil((this.peak + 1) * spareShare);
        this.allowed = this.isLive() ? Math.min(this.allowed, want) : 0;
        this.ceiling = Math.max(this.using, this.allowed);
        this.seq += 1;
        this.grantNo = -1;
        this.sentAtMs = nowMs;
        this.dirty = false;
        this.sentCallsEndMs = Math.max(nowMs + this.longestCallMs + boundHeadroomMs, this.latestCallEndMs);
        this.callsEndMs = Math.min(this.callsEndMs, this.sentCallsEndMs);
        const first = this.waiters.first ?? this.lonelyWaiters.first;
        return {
            endpoint: this.id,
            seq: this.seq,
            held: this.ceiling,
            inUse: this.using,
            want,
            waiting: this.waiters.size,
            priority: first?.priority ?? 2,
            deadlineInMs: first === undefined ? 0 : first.deadlineMs - nowMs,
            callBoundMs: this.sentCallsEndMs - nowMs,
            evidence: this.evidence.takeOut(),
            ...(this.lonelyWaiters.size > 0 ? { wantsExclusive: true } : {}),
            ...(this.exclusive ? { exclusive: true } : {}),
            ...(this.tellsBelief && this.stateAtMs > Number.NEGATIVE_INFINITY ? { believed: this.believed() } : {}),
        };
    }

    public apply(answer: Granted): void {
        if (answer.seq !== this.seq) {
            return;
        }
        this.leaseUntilMs = this.sentAtMs + answer.leaseMs;
        this.callsEndMs = this.sentCallsEndMs;
        this.state = answer.state;
        this.stateAtMs = this.clock.nowMs();
        this.limit = answer.limit;
        this.evidence.answered(answer.era);
        const { reported } = answer;
        this.reported = reported === undefined
            ? undefined
            : { running: reported.running, waiting: reported.waiting, atMs: this.clock.nowMs() - reported.ageMs };
        this.tellsBelief = false;
        this.allow(answer);
        if (this.isClosed) {
            this.failWaiters({ kind: "closed", endpoint: this.id, state: this.state });
        }
    }

    public applyPush(push: SlotPush): void {
        if (push.seq === this.seq) {
            this.allow(push);
            this.tellWhatIsFree();
        }
    }

    /** The message was not answered: what it told of troubles is told again. */
    public unanswered(): void {
        this.evidence.unanswered();
    }

    /** Another host is the owner now; it is told what this host holds. */
    public follow(owner: HostId | undefined): void {
        if (this.owner !== owner) {
            this.owner = owner;
            this.tellsBelief = true;
            this.dirty = this.using > 0 || this.waiting > 0;
        }
    }

    /** Refuses everybody who waits. */
    public failWaiters(error: SlotError): void {
        this.waiters.failAll(error);
        this.lonelyWaiters.failAll(error);
    }

    private isLive(): boolean {
        return this.clock.nowMs() < this.leaseUntilMs;
    }

    private canTake(req: SlotRequest): boolean {
        return this.isLive() && this.using < this.allowed && req.deadlineMs <= this.callsEndMs;
    }

    private believed(): NonNullable<SlotEntry["believed"]> {
        const nowMs = this.clock.nowMs();
        const provenAgeMs = Math.min(nowMs - this.succeededAtMs, Number.MAX_SAFE_INTEGER);
        const { incarnation } = this.evidence;
        return { state: this.state, limit: this.limit, ageMs: nowMs - this.stateAtMs, provenAgeMs, incarnation };
    }

    private allow(grant: Pick<SlotPush, "grantNo" | "granted" | "covered" | "scarce" | "exclusive">): void {
        if (grant.grantNo > this.grantNo) {
            this.grantNo = grant.grantNo;
            this.scarce = grant.scarce;
            this.allowed = grant.granted;
            this.covered = grant.covered;
            this.ceiling = Math.max(this.ceiling, grant.granted, grant.exclusive ? 1 : 0);
            if (grant.exclusive && !this.exclusive) {
                this.takeExclusive();
            }
        }
        this.serve();
    }

    /** The endpoint is empty and kept for one call of this host. */
    private takeExclusive(): void {
        const first = this.lonelyWaiters.first;
        if (first !== undefined && this.isLive() && first.deadlineMs <= this.callsEndMs && this.using === 0) {
            this.exclusive = true;
            this.lonelyWaiters.serve(req => this.take(req, true));
            return;
        }
        // Nobody waits any more: the next message gives the endpoint free again.
        this.dirty = true;
    }

    private serve(): void {
        for (let first = this.waiters.first; first !== undefined && this.canTake(first); first = this.waiters.first) {
            this.waiters.serve(req => this.take(req, false));
        }
    }

    private take(req: SlotRequest, exclusive: boolean): Slot {
        this.using += 1;
        this.peak = Math.max(this.peak, this.using);
        this.latestCallEndMs = Math.max(this.latestCallEndMs, req.deadlineMs);
        const { using, ceiling } = this;
        const details = { endpoint: this.id, using, ceiling };
        invariant(using <= ceiling, "a host uses no more slots than its owner counts for it", details);
        return new HeldSlot(this.id, this.leaseUntilMs, exclusive, {
            begin: () => this.begin(),
            end: (end, evidence, era) => this.release(end, evidence, era, exclusive),
        });
    }

    private begin(): number | undefined {
        if (!this.isLive() || this.isClosed || this.begun >= this.covered) {
            return undefined;
        }
        this.begun += 1;
        return this.evidence.era;
    }

    private release(
        end: CallEnd,
        evidence: CallEvidence | undefined,
        era: number | undefined,
        exclusive: boolean,
    ): void {
        this.using -= 1;
        this.begun -= era === undefined ? 0 : 1;
        this.usedAtMs = this.clock.nowMs();
        this.succeededAtMs = end === "succeeded" ? this.usedAtMs : this.succeededAtMs;
        this.exclusive = this.exclusive && !exclusive;
        this.dirty ||= exclusive;
        this.learn(end, evidence, era);
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

    private learn(end: CallEnd, evidence: CallEvidence | undefined, era: number | undefined): void {
        const isTrouble = this.evidence.note(end, evidence, era);
        if (end === "crashed" || end === "refused" || end === "cold") {
            // What is left of the credit was given for a warmer endpoint.
            this.allowed = 0;
            this.covered = this.begun;
        }
        // While an endpoint warms up, its owner raises the limit by the successes that it hears of.
        const isRoundDone = this.state !== "warm" && this.evidence.successes >= Math.max(1, this.ceiling / 2);
        this.dirty ||= isTrouble || isRoundDone;
    }
}
