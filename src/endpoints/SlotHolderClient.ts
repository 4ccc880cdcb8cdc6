/**
 * The holder's side of the slot protocol: one task for each owner, which sends all entries due for that owner's
 * endpoints in one message, with at most one message in flight.
 */
import { setMaxListeners } from "node:events";
import { type Either, Left } from "purify-ts";
import { Emitter } from "../common/Emitter.js";
import type { Clock, EndpointId, Event, HostId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { Membership } from "../membership/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { HeldEndpoint } from "./HeldEndpoint.js";
import type { OwnerAuthority } from "./OwnerAuthority.js";
import {
    type SlotAnswer,
    type SlotClaim,
    slotClaim,
    type SlotExchange,
    slotExchange,
    type SlotExchangeReply,
    type SlotPush,
    slotPush,
} from "./SlotMessages.js";
import type { SlotOwner } from "./SlotOwner.js";
import type { Slot, SlotError, SlotHolder, SlotRequest } from "./Types.js";

/** Interval between two checks for leases that need renewal. */
const renewalCheckMs = 100;
/** Pause after an unanswered message. */
const retryPauseMs = 100;
/** Consecutive unanswered messages after which waiting requests are refused. */
const maxUnansweredMessages = 2;

export interface SlotHolderClientOptions {
    readonly membership: Membership;
    readonly authority: OwnerAuthority;
    readonly config: ConfigSource;
    readonly registry: PeerRegistry;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    /** The owner's side on this host, called without the network. */
    readonly localOwner: SlotOwner;
}

export class SlotHolderClient implements SlotHolder {
    public readonly name = "slot-holder";
    private readonly held = new Map<EndpointId, HeldEndpoint>();
    private readonly tasks = new Map<HostId, Promise<void>>();
    private readonly wakers = new Map<HostId, () => void>();
    private readonly changes = new Emitter<EndpointId>();
    private signal: AbortSignal | undefined;

    public readonly onChange: Event<EndpointId> = this.changes.event;

    public constructor(private readonly options: SlotHolderClientOptions) {
        options.registry.handle(slotPush, async push => {
            this.applyPush(push);
            return undefined;
        });
        options.registry.handle(slotClaim, async ({ endpoint }) => this.claim(endpoint));
        options.localOwner.setLocalHolder(this);
    }

    /** Returns this host's calls in flight on an endpoint, for a new owner. */
    public claim(endpoint: EndpointId): SlotClaim {
        return { incarnation: this.options.membership.incarnation, inUse: this.held.get(endpoint)?.inUse ?? 0 };
    }

    /** Applies a changed number of slots; ignores a push meant for another incarnation of this host. */
    public applyPush(push: SlotPush): void {
        if (push.incarnation === this.options.membership.incarnation) {
            this.held.get(push.endpoint)?.applyPush(push);
            this.changes.fire(push.endpoint);
        }
    }

    public async acquire(endpoint: EndpointId, req: SlotRequest): Promise<Either<SlotError, Slot>> {
        const settings = this.options.config.current()?.settings.endpoints[endpoint];
        if (settings === undefined) {
            return Left({ kind: "owner-unreachable", endpoint });
        }
        const held = this.getOrCreate(endpoint, settings.coldLimit);
        if (held.owner === undefined) {
            this.findOwner(held);
        }
        return held.acquire(req);
    }

    /** The slots that this host holds on an endpoint; undefined before the endpoint's first use. */
    public peek(endpoint: EndpointId): HeldEndpoint | undefined {
        return this.held.get(endpoint);
    }

    /** Calls of this host in flight on all endpoints. */
    public get inFlight(): number {
        return [...this.held.values()].reduce((sum, held) => sum + held.inUse, 0);
    }

    public async run(signal: AbortSignal): Promise<void> {
        // Each owner's task adds a listener to the signal; the default maximum would log a warning.
        setMaxListeners(0, signal);
        this.signal = signal;
        while (!signal.aborted) {
            for (const held of this.held.values()) {
                this.findOwner(held);
                if (held.isDue(this.leaseMs)) {
                    this.wake(held);
                }
            }
            await this.options.clock.sleep(renewalCheckMs, signal);
        }
        await Promise.all(this.tasks.values());
        this.tasks.clear();
    }

    /** Waits up to `graceMs` for the calls in flight to end; `unfinished` counts those left, `what` describes them. */
    public async drain(graceMs: number): Promise<{ readonly unfinished: number; readonly what: string; }> {
        const { clock } = this.options;
        const untilMs = clock.nowMs() + graceMs;
        while (this.inFlight > 0 && clock.nowMs() < untilMs) {
            await clock.sleep(renewalCheckMs);
        }
        return { unfinished: this.inFlight, what: "calls in flight" };
    }

    private get leaseMs(): number {
        return this.options.config.current()?.settings.timing.slotLeaseMs ?? 1;
    }

    private getOrCreate(endpoint: EndpointId, coldLimit: number): HeldEndpoint {
        const known = this.held.get(endpoint);
        if (known !== undefined) {
            return known;
        }
        const held: HeldEndpoint = new HeldEndpoint(endpoint, this.options.clock, coldLimit, () => this.wake(held));
        this.held.set(endpoint, held);
        return held;
    }

    /**
     * Finds the owner of an endpoint: in the own data centre by the membership view, elsewhere by trying the hosts in
     * rendezvous order.
     */
    private findOwner(held: HeldEndpoint): void {
        const ownership = this.options.authority.ownership(held.id);
        if (ownership.owner !== undefined) {
            held.switchOwner(ownership.owner);
            return;
        }
        if (held.owner === undefined) {
            const candidates = this.options.authority.candidates(held.id);
            held.switchOwner(candidates[held.candidateIndex % Math.max(1, candidates.length)]);
        }
    }

    private wake(held: HeldEndpoint): void {
        const owner = held.owner;
        if (owner === undefined) {
            held.failWaiting({ kind: "owner-unreachable", endpoint: held.id });
            return;
        }
        if (this.signal !== undefined && !this.signal.aborted && !this.tasks.has(owner)) {
            this.tasks.set(owner, this.runOwner(owner, this.signal));
        }
        this.wakers.get(owner)?.();
    }

    /** Exchanges messages with one owner until the signal aborts. */
    private async runOwner(owner: HostId, signal: AbortSignal): Promise<void> {
        let failures = 0;
        while (!signal.aborted) {
            const due = [...this.held.values()].filter(held => held.owner === owner && held.isDue(this.leaseMs));
            if (due.length === 0) {
                await this.sleepUntilWoken(owner, signal);
                continue;
            }
            const answered = await this.exchangeWith(owner, due, signal);
            failures = answered ? 0 : failures + 1;
            if (!answered) {
                this.handleNoAnswer(due, failures >= maxUnansweredMessages);
                await this.options.clock.sleep(retryPauseMs, signal);
            }
        }
    }

    private async sleepUntilWoken(owner: HostId, signal: AbortSignal): Promise<void> {
        await new Promise<void>(resolve => {
            const finish = () => {
                this.wakers.delete(owner);
                signal.removeEventListener("abort", finish);
                resolve();
            };
            this.wakers.set(owner, finish);
            signal.addEventListener("abort", finish);
        });
    }

    private async exchangeWith(owner: HostId, due: readonly HeldEndpoint[], signal: AbortSignal): Promise<boolean> {
        const { membership, transport, localOwner, config } = this.options;
        const holder = { host: membership.self, incarnation: membership.incarnation };
        const message: SlotExchange = { holder, entries: due.map(held => held.createEntry()) };
        if (owner === membership.self) {
            // Calls that end in the same turn of the event loop share one message.
            await Promise.resolve();
            this.applyAnswers(due, localOwner.exchange(message));
            return true;
        }
        const timeoutMs = config.current()?.settings.timing.peerTimeoutMs ?? 1;
        const reply = await transport.call(owner, slotExchange, message, { timeoutMs, signal });
        return reply.caseOf({
            Left: () => false,
            Right: answers => {
                this.applyAnswers(due, answers);
                return true;
            },
        });
    }

    private applyAnswers(due: readonly HeldEndpoint[], reply: SlotExchangeReply): void {
        const answers = new Map<EndpointId, SlotAnswer>(reply.answers.map(answer => [answer.endpoint, answer]));
        for (const held of due) {
            const answer = answers.get(held.id);
            if (answer?.kind === "granted") {
                held.applyAnswer(answer);
            }
            else {
                held.handleNoAnswer();
                this.redirect(held, answer?.owner);
            }
            this.changes.fire(held.id);
        }
    }

    /** Switches to the owner named in the answer, or to the next candidate. */
    private redirect(held: HeldEndpoint, ownerHint: HostId | undefined): void {
        const former = held.owner;
        held.candidateIndex += 1;
        held.owner = undefined;
        if (
            ownerHint !== undefined && ownerHint !== former
            && this.options.authority.ownership(held.id).owner === undefined
        ) {
            held.switchOwner(ownerHint);
        }
        else {
            this.findOwner(held);
        }
        if (held.owner !== former) {
            held.hasUnsentChange = true;
            this.wake(held);
        }
    }

    private handleNoAnswer(due: readonly HeldEndpoint[], refusesWaiting: boolean): void {
        for (const held of due) {
            held.handleNoAnswer();
            held.hasUnsentChange = held.inUse > 0 || held.waiting > 0;
            if (refusesWaiting) {
                held.failWaiting({ kind: "owner-unreachable", endpoint: held.id });
                this.redirect(held, undefined);
            }
        }
    }
}
