/**
 * The holder's side of slots: one task for each owner, which sends what is due for all of that owner's endpoints in one
 * message, one message at a time.
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

/** Between two looks at leases that need renewal. */
const renewalTickMs = 100;
/** Pause after an unanswered message. */
const retryPauseMs = 100;
/** Unanswered messages in a row after which waiting requests are refused. */
const patienceMessages = 2;

export interface SlotHolderClientOptions {
    readonly membership: Membership;
    readonly authority: OwnerAuthority;
    readonly config: ConfigSource;
    readonly registry: PeerRegistry;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    /** The owner part of this same host. */
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
        options.localOwner.connectSelf(this);
    }

    /** Calls of this host in flight on an endpoint, for a new owner. */
    public claim(endpoint: EndpointId): SlotClaim {
        return { incarnation: this.options.membership.incarnation, inUse: this.held.get(endpoint)?.inUse ?? 0 };
    }

    /** Takes in a changed number of slots. */
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
        const held = this.get(endpoint, settings.coldLimit);
        if (held.owner === undefined) {
            this.findOwner(held);
        }
        return held.acquire(req);
    }

    /** What this host holds on an endpoint; undefined before it was first used. */
    public peek(endpoint: EndpointId): HeldEndpoint | undefined {
        return this.held.get(endpoint);
    }

    /** Calls of this host in flight, over all endpoints. */
    public get inFlight(): number {
        return [...this.held.values()].reduce((sum, held) => sum + held.inUse, 0);
    }

    public async run(signal: AbortSignal): Promise<void> {
        // One task for each peer listens to the signal.
        setMaxListeners(0, signal);
        this.signal = signal;
        while (!signal.aborted) {
            for (const held of this.held.values()) {
                this.findOwner(held);
                if (held.isDue(this.leaseMs)) {
                    this.wake(held);
                }
            }
            await this.options.clock.sleep(renewalTickMs, signal);
        }
        await Promise.all(this.tasks.values());
        this.tasks.clear();
    }

    /** Waits for calls in flight to end. */
    public async drain(graceMs: number): Promise<{ readonly unfinished: number; readonly what: string; }> {
        const { clock } = this.options;
        const untilMs = clock.nowMs() + graceMs;
        while (this.inFlight > 0 && clock.nowMs() < untilMs) {
            await clock.sleep(renewalTickMs);
        }
        return { unfinished: this.inFlight, what: "calls in flight" };
    }

    private get leaseMs(): number {
        return this.options.config.current()?.settings.timing.slotLeaseMs ?? 1;
    }

    private get(endpoint: EndpointId, coldLimit: number): HeldEndpoint {
        const known = this.held.get(endpoint);
        if (known !== undefined) {
            return known;
        }
        const held: HeldEndpoint = new HeldEndpoint(endpoint, this.options.clock, coldLimit, () => this.wake(held));
        this.held.set(endpoint, held);
        return held;
    }

    /** In the own data centre the view tells the owner; elsewhere its hosts are asked in rendezvous order. */
    private findOwner(held: HeldEndpoint): void {
        const ownership = this.options.authority.ownership(held.id);
        if (ownership.owner !== undefined) {
            held.follow(ownership.owner);
            return;
        }
        if (held.owner === undefined) {
            const candidates = this.options.authority.candidates(held.id);
            held.follow(candidates[held.candidate % Math.max(1, candidates.length)]);
        }
    }

    private wake(held: HeldEndpoint): void {
        const owner = held.owner;
        if (owner === undefined) {
            held.failWaiters({ kind: "owner-unreachable", endpoint: held.id });
            return;
        }
        if (this.signal !== undefined && !this.signal.aborted && !this.tasks.has(owner)) {
            this.tasks.set(owner, this.runOwner(owner, this.signal));
        }
        this.wakers.get(owner)?.();
    }

    /** Talks to one owner for as long as the process runs. */
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
                this.noteFailure(due, failures >= patienceMessages);
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
        const message: SlotExchange = { holder, entries: due.map(held => held.compose()) };
        if (owner === membership.self) {
            // Lets calls that end in the same turn share one message.
            await Promise.resolve();
            this.applyAll(due, localOwner.exchange(message));
            return true;
        }
        const timeoutMs = config.current()?.settings.timing.peerTimeoutMs ?? 1;
        const reply = await transport.call(owner, slotExchange, message, { timeoutMs, signal });
        return reply.caseOf({
            Left: () => false,
            Right: answers => {
                this.applyAll(due, answers);
                return true;
            },
        });
    }

    private applyAll(due: readonly HeldEndpoint[], reply: SlotExchangeReply): void {
        const answers = new Map<EndpointId, SlotAnswer>(reply.answers.map(answer => [answer.endpoint, answer]));
        for (const held of due) {
            const answer = answers.get(held.id);
            if (answer?.kind === "granted") {
                held.apply(answer);
            }
            else {
                held.unanswered();
                this.redirect(held, answer?.owner);
            }
            this.changes.fire(held.id);
        }
    }

    /** Another host owns the endpoint: the one that was named, else the next candidate. */
    private redirect(held: HeldEndpoint, hint: HostId | undefined): void {
        const former = held.owner;
        held.candidate += 1;
        held.owner = undefined;
        if (hint !== undefined && hint !== former && this.options.authority.ownership(held.id).owner === undefined) {
            held.follow(hint);
        }
        else {
            this.findOwner(held);
        }
        if (held.owner !== former) {
            held.dirty = true;
            this.wake(held);
        }
    }

    private noteFailure(due: readonly HeldEndpoint[], givesUp: boolean): void {
        for (const held of due) {
            held.unanswered();
            held.dirty = held.inUse > 0 || held.waiting > 0;
            if (givesUp) {
                held.failWaiters({ kind: "owner-unreachable", endpoint: held.id });
                this.redirect(held, undefined);
            }
        }
    }
}
