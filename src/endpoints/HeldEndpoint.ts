/**
 * One endpoint on a host that sends calls to it: the slots leased from the owner, the requests that wait for a slot,
 * and the results of calls since the last message to the owner.
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

/** Added to the longest call so far, so that the bound sent to the owner stays valid until the next renewal. */
const callBoundMarginMs = 5000;
/** How long an answer that the endpoint is closed stays valid before the owner is asked again. */
const closedAnswerValidMs = 2000;
/** Slots requested beyond the recent peak, as a share of the peak. */
const spareShare = 0.25;
/** Retry hint of a refusal while no call duration is known. */
const defaultRetryAfterMs = 1000;

type GrantedAnswer = Extract<SlotAnswer, { readonly kind: "granted"; }>;

export class HeldEndpoint {
    /** Host that is asked for slots. */
    public owner: HostId | undefined;
    /** Index of the next host to ask in the list of candidates. */
    public candidateIndex = 0;
    public state: EndpointState = "cold";
    /** Maximum calls in flight from all hosts, by the owner's latest answer; the cold limit before the first. */
    public limit: number;
    /** Load report in the owner's latest answer. */
    public reported: { readonly running: number; readonly waiting: number; readonly atMs: number; } | undefined;
    /** True when a change has to be sent to the owner without delay. */
    public hasUnsentChange = false;
    /** Sequence number of the latest message to the owner. */
    private seq = 0;
    private grantNo = -1;
    /** Slots that this host may use while the lease is live. */
    private allowed = 0;
    /** Slots on which a call may begin, by the owner's latest answer or push. */
    private covered = 0;
    /** Slots on which a call has begun. */
    private begunCalls = 0;
    /** Upper bound of the slots that the owner counts for this host. */
    private ceiling = 0;
    /** True while the endpoint is reserved for one call of this host. */
    private exclusive = false;
    /** True until a new owner has answered: messages then carry the state known from the former owner. */
    private sendsBelieved = false;
    private leaseUntilMs = Number.NEGATIVE_INFINITY;
    private sentAtMs = 0;
    /** Latest deadline of a call that may take a slot; the owner assumes that all calls have ended by then. */
    private callsEndMs = Number.NEGATIVE_INFINITY;
    /** The same bound as declared in the latest message. */
    private sentCallsEndMs = Number.NEGATIVE_INFINITY;
    /** When the owner's answer with `state` arrived. */
    private stateAtMs = Number.NEGATIVE_INFINITY;
    /** True when other holders wait, by the owner's latest answer or push. */
    private scarce = false;
    private usedSlots = 0;
    /** Recent maximum of needed slots; decays with each message. */
    private recentPeak = 0;
    private lastUsedAtMs = Number.NEGATIVE_INFINITY;
    private lastSuccessAtMs = Number.NEGATIVE_INFINITY;
    /** Latest deadline of a request that has taken a slot. */
    private latestCallEndMs = 0;
    /** Longest time from a request for a slot to the request's deadline. */
    private longestCallMs = 0;
    private readonly queue: SlotQueue;
    private readonly exclusiveQueue: SlotQueue;
    private readonly evidence = new EvidenceBuffer();

    public constructor(
        public readonly id: EndpointId,
        private readonly clock: Clock,
        coldLimit: number,
        /** Called when a message to the owner is due. */
        private readonly wake: () => void,
    ) {
        this.limit = coldLimit;
        const createExpiredError = (): SlotError => {
            // The owner still counts this request as waiting; an update lets it serve other holders.
            this.hasUnsentChange = true;
            const retryAfterMs = Math.ceil(this.recentMs ?? defaultRetryAfterMs);
            return { kind: "no-slot", endpoint: this.id, retryAfterMs };
        };
        this.queue = new SlotQueue(clock, createExpiredError);
        this.exclusiveQueue = new SlotQueue(clock, createExpiredError);
    }

    public get inUse(): number {
        return this.usedSlots;
    }

    public get waiting(): number {
        return this.queue.size + this.exclusiveQueue.size;
    }

    /** Slots that can be taken without asking the owner. */
    public get credits(): number {
        return this.isLive() ? Math.max(0, this.allowed - this.usedSlots) : 0;
    }

    public get recentMs(): number | undefined {
        return this.evidence.recentMs;
    }

    /** True while a recent answer of the owner says that the endpoint takes no new work. */
    public get isClosed(): boolean {
        const closed = this.state === "leaving" || this.state === "out";
        return closed && this.clock.nowMs() - this.stateAtMs < closedAnswerValidMs;
    }

    /** True when a message to the owner is due: a change to report or a lease to renew. */
    public isDue(leaseMs: number): boolean {
        if (this.hasUnsentChange) {
            return true;
        }
        const nowMs = this.clock.nowMs();
        const isNeeded = this.usedSlots > 0 || this.waiting > 0 || nowMs - this.lastUsedAtMs < leaseMs;
        return isNeeded && this.leaseUntilMs - nowMs < leaseMs / 2 && nowMs - this.sentAtMs >= leaseMs / 4;
    }

    /** Takes a slot or queues the request; fails when the endpoint is closed or no slot is granted by the deadline. */
    public acquire(req: SlotRequest): Promise<Either<SlotError, Slot>> {
        this.lastUsedAtMs = this.clock.nowMs();
        this.longestCallMs = Math.max(this.longestCallMs, req.deadlineMs - this.lastUsedAtMs);
        if (this.isClosed) {
            return Promise.resolve(Left({ kind: "closed", endpoint: this.id, state: this.state }));
        }
        if (req.exclusive !== true && this.canTake(req)) {
            return Promise.resolve(Right(this.take(req, false)));
        }
        const slot = (req.exclusive === true ? this.exclusiveQueue : this.queue).add(req);
        this.hasUnsentChange = true;
        this.wake();
        return slot;
    }

    /** Creates the next message. From then on this host uses no more slots than the message declares as held. */
    public createEntry(): SlotEntry {
        const nowMs = this.clock.nowMs();
        const needed = this.usedSlots + this.queue.size;
        this.recentPeak = Math.max(needed, Math.floor(this.recentPeak * (1 - spareShare)));
        const want = this.scarce ? needed : this.recentPeak + Math.ceil((this.recentPeak + 1) * spareShare);
        this.allowed = this.isLive() ? Math.min(this.allowed, want) : 0;
        this.ceiling = Math.max(this.usedSlots, this.allowed);
        this.seq += 1;
        this.grantNo = -1;
        this.sentAtMs = nowMs;
        this.hasUnsentChange = false;
        this.sentCallsEndMs = Math.max(nowMs + this.longestCallMs + callBoundMarginMs, this.latestCallEndMs);
        this.callsEndMs = Math.min(this.callsEndMs, this.sentCallsEndMs);
        const first = this.queue.first ?? this.exclusiveQueue.first;
        return {
            endpoint: this.id,
            seq: this.seq,
            held: this.ceiling,
            inUse: this.usedSlots,
            want,
            waiting: this.queue.size,
            priority: first?.priority ?? 2,
            deadlineInMs: first === undefined ? 0 : first.deadlineMs - nowMs,
            callBoundMs: this.sentCallsEndMs - nowMs,
            evidence: this.evidence.takePending(),
            ...(this.exclusiveQueue.size > 0 ? { wantsExclusive: true } : {}),
            ...(this.exclusive ? { exclusive: true } : {}),
            ...(this.sendsBelieved && this.stateAtMs > Number.NEGATIVE_INFINITY ? { believed: this.believed() } : {}),
        };
    }

    /** Applies the owner's answer to the latest message; an answer to an earlier message is ignored. */
    public applyAnswer(answer: GrantedAnswer): void {
        if (answer.seq !== this.seq) {
            return;
        }
        this.leaseUntilMs = this.sentAtMs + answer.leaseMs;
        this.callsEndMs = this.sentCallsEndMs;
        this.state = answer.state;
        this.stateAtMs = this.clock.nowMs();
        this.limit = answer.limit;
        this.evidence.confirmSent(answer.era);
        const { reported } = answer;
        this.reported = reported === undefined
            ? undefined
            : { running: reported.running, waiting: reported.waiting, atMs: this.clock.nowMs() - reported.ageMs };
        this.sendsBelieved = false;
        this.applyGrant(answer);
        if (this.isClosed) {
            this.failWaiting({ kind: "closed", endpoint: this.id, state: this.state });
        }
    }

    /** Applies a changed grant for the latest message; a push for an earlier message is ignored. */
    public applyPush(push: SlotPush): void {
        if (push.seq === this.seq) {
            this.applyGrant(push);
            this.reportFreeSlots();
        }
    }

    /** Handles a message that got no answer: the failures in it go into the next message. */
    public handleNoAnswer(): void {
        this.evidence.restoreSent();
    }

    /** Switches to another owner; the next message tells it which slots this host holds. */
    public switchOwner(owner: HostId | undefined): void {
        if (this.owner !== owner) {
            this.owner = owner;
            this.sendsBelieved = true;
            this.hasUnsentChange = this.usedSlots > 0 || this.waiting > 0;
        }
    }

    /** Refuses all waiting requests. */
    public failWaiting(error: SlotError): void {
        this.queue.failAll(error);
        this.exclusiveQueue.failAll(error);
    }

    private isLive(): boolean {
        return this.clock.nowMs() < this.leaseUntilMs;
    }

    private canTake(req: SlotRequest): boolean {
        return this.isLive() && this.usedSlots < this.allowed && req.deadlineMs <= this.callsEndMs;
    }

    private believed(): NonNullable<SlotEntry["believed"]> {
        const nowMs = this.clock.nowMs();
        const provenAgeMs = Math.min(nowMs - this.lastSuccessAtMs, Number.MAX_SAFE_INTEGER);
        const { incarnation } = this.evidence;
        return { state: this.state, limit: this.limit, ageMs: nowMs - this.stateAtMs, provenAgeMs, incarnation };
    }

    private applyGrant(grant: Pick<SlotPush, "grantNo" | "granted" | "covered" | "scarce" | "exclusive">): void {
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
        this.serveWaiting();
    }

    /** Takes the exclusive slot: no other call is in flight and the endpoint is reserved for one call of this host. */
    private takeExclusive(): void {
        const first = this.exclusiveQueue.first;
        if (first !== undefined && this.isLive() && first.deadlineMs <= this.callsEndMs && this.usedSlots === 0) {
            this.exclusive = true;
            this.exclusiveQueue.serveFirst(req => this.take(req, true));
            return;
        }
        // No request can use the slot any more: the next message releases the endpoint.
        this.hasUnsentChange = true;
    }

    private serveWaiting(): void {
        for (let first = this.queue.first; first !== undefined && this.canTake(first); first = this.queue.first) {
            this.queue.serveFirst(req => this.take(req, false));
        }
    }

    private take(req: SlotRequest, exclusive: boolean): Slot {
        this.usedSlots += 1;
        this.recentPeak = Math.max(this.recentPeak, this.usedSlots);
        this.latestCallEndMs = Math.max(this.latestCallEndMs, req.deadlineMs);
        const { usedSlots: using, ceiling } = this;
        const details = { endpoint: this.id, using, ceiling };
        invariant(using <= ceiling, "a host uses no more slots than its owner counts for it", details);
        return new HeldSlot(this.id, this.leaseUntilMs, exclusive, {
            begin: () => this.begin(),
            end: (end, evidence, era) => this.release(end, evidence, era, exclusive),
        });
    }

    private begin(): number | undefined {
        if (!this.isLive() || this.isClosed || this.begunCalls >= this.covered) {
            return undefined;
        }
        this.begunCalls += 1;
        return this.evidence.era;
    }

    private release(
        end: CallEnd,
        evidence: CallEvidence | undefined,
        era: number | undefined,
        exclusive: boolean,
    ): void {
        this.usedSlots -= 1;
        this.begunCalls -= era === undefined ? 0 : 1;
        this.lastUsedAtMs = this.clock.nowMs();
        this.lastSuccessAtMs = end === "succeeded" ? this.lastUsedAtMs : this.lastSuccessAtMs;
        this.exclusive = this.exclusive && !exclusive;
        this.hasUnsentChange ||= exclusive;
        this.recordEvidence(end, evidence, era);
        if (this.scarce && this.limit <= scarceLimit) {
            // The owner decides which holder gets the slot next.
            this.allowed = Math.min(this.allowed, this.usedSlots);
        }
        this.serveWaiting();
        this.reportFreeSlots();
    }

    /** Sends a message when the owner counts more slots for this host than the host can still use. */
    private reportFreeSlots(): void {
        if (this.ceiling > Math.max(this.usedSlots, this.allowed)) {
            this.hasUnsentChange = true;
        }
        if (this.hasUnsentChange) {
            this.wake();
        }
    }

    private recordEvidence(end: CallEnd, evidence: CallEvidence | undefined, era: number | undefined): void {
        const isFailure = this.evidence.record(end, evidence, era);
        if (end === "crashed" || end === "refused" || end === "cold") {
            // The remaining slots were granted for a warmer endpoint.
            this.allowed = 0;
            this.covered = this.begunCalls;
        }
        // While an endpoint warms up, its owner raises the limit only by the successes reported to it.
        const isRoundDone = this.state !== "warm" && this.evidence.successes >= Math.max(1, this.ceiling / 2);
        this.hasUnsentChange ||= isFailure || isRoundDone;
    }
}
