/**
 * The owner's side of slots: answers holders' messages for the endpoints that this host owns, pushes changed numbers
 * to holders that wait, reads load reports, and hands its endpoints over when the host stops.
 */
import { setMaxListeners } from "node:events";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import type { HostView, Membership, PlatformList } from "../membership/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { EndpointContexts } from "./EndpointContexts.js";
import { type HandOver, handOver, packHandOver, unpackRecords } from "./HandOver.js";
import { type EndpointContext, type HostClaim, OwnedEndpoint } from "./OwnedEndpoint.js";
import type { OwnerAuthority } from "./OwnerAuthority.js";
import type { HolderRecord } from "./SlotLedger.js";
import {
    type SlotAnswer,
    type SlotClaim,
    slotClaim,
    type SlotEntry,
    type SlotExchange,
    slotExchange,
    type SlotExchangeReply,
    type SlotPush,
    slotPush,
} from "./SlotMessages.js";
import type { EndpointState, HolderIdentity, LoadSource } from "./Types.js";

/** Between two looks at expired leases and freed slots. */
const tickMs = 100;
/** Between two load reports of an endpoint. */
const reportEveryMs = 1000;
/** How long the next owner is offered an account; after that it has waited out the leases by itself. */
const handOverWithinMs = 3000;

export interface SlotOwnerOptions {
    readonly membership: Membership;
    readonly authority: OwnerAuthority;
    readonly config: ConfigSource;
    readonly registry: PeerRegistry;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly loads: LoadSource;
    readonly platform?: PlatformList | undefined;
}

/** The holder of the same host. */
export interface SelfHolder {
    applyPush(push: SlotPush): void;
    claim(endpoint: EndpointId): SlotClaim;
}

/** What an owner knows of one of its endpoints, for status pages and tests. */
export interface OwnedView {
    readonly endpoint: EndpointId;
    readonly state: EndpointState;
    readonly limit: number;
    /** Upper bound of slots in use over all hosts. */
    readonly used: number;
    readonly open: boolean;
}

export class SlotOwner {
    public readonly name = "slot-owner";
    private readonly owned = new Map<EndpointId, OwnedEndpoint>();
    /** Endpoints that another host owns now and whose account it has not taken over yet. */
    private readonly departing = new Map<EndpointId, OwnedEndpoint>();
    private readonly states = new Map<EndpointId, EndpointState>();
    private readonly reportAtMs = new Map<EndpointId, number>();
    /** Endpoints whose claims are being collected. */
    private readonly collecting = new Set<EndpointId>();
    private readonly contexts: EndpointContexts;
    private selfHolder: SelfHolder | undefined;

    public constructor(private readonly options: SlotOwnerOptions) {
        this.contexts = new EndpointContexts(options);
        options.registry.handle(slotExchange, async (req, from) => {
            return req.holder.host === from ? this.exchange(req) : { answers: [] };
        });
        options.registry.handle(handOver, async req => this.takeOver(req));
    }

    /** Connects the holder of this host, which is reached without the network. */
    public connectSelf(holder: SelfHolder): void {
        this.selfHolder = holder;
    }

    public view(): readonly OwnedView[] {
        const views: OwnedView[] = [];
        for (const endpoint of this.owned.values()) {
            const context = this.contexts.of(endpoint.id);
            if (context?.ownership.isOwn === true) {
                const { limit } = endpoint.terms(context);
                const state = endpoint.state(context);
                views.push({ endpoint: endpoint.id, state, limit, used: endpoint.ledger.used, open: endpoint.isOpen });
            }
        }
        return views;
    }

    /** Calls running or waiting on the endpoints that this host owns. */
    public demand(): { readonly endpoint: EndpointId; readonly calls: number; }[] {
        return [...this.owned.values()].map(({ id, ledger }) => {
            const waiting = ledger.holders.reduce((sum, record) => sum + record.waiting, 0);
            return { endpoint: id, calls: ledger.inUse + waiting };
        });
    }

    /** Answers a holder's message. */
    public exchange(req: SlotExchange): SlotExchangeReply {
        const answers = req.entries.map(entry => this.answer(req.holder, entry));
        return { answers: answers.filter(answer => answer !== undefined) };
    }

    public async run(signal: AbortSignal): Promise<void> {
        // One task for each peer listens to the signal.
        setMaxListeners(0, signal);
        while (!signal.aborted) {
            this.followConfig();
            for (const endpoint of this.owned.values()) {
                this.look(endpoint, signal);
            }
            await this.options.clock.sleep(tickMs, signal);
        }
    }

    /** Hands every owned endpoint to its next owner, so that nothing waits for a lease to run out. */
    public async drain(graceMs: number): Promise<{ readonly unfinished: number; readonly what: string; }> {
        const { membership, clock } = this.options;
        membership.announceLeaving();
        const untilMs = clock.nowMs() + graceMs;
        this.followConfig();
        while (this.departing.size > 0 && clock.nowMs() < untilMs) {
            await clock.sleep(tickMs);
        }
        return { unfinished: this.departing.size, what: "endpoints not handed over" };
    }

    private answer(holder: HolderIdentity, entry: SlotEntry): SlotAnswer | undefined {
        const id = entry.endpoint;
        const context = this.contexts.of(id);
        if (context?.ownership.isOwn !== true) {
            return { kind: "not-owner", endpoint: id, owner: context?.ownership.owner };
        }
        const endpoint = this.open(id, context);
        const record = endpoint.exchange(holder, entry, context);
        if (record === undefined) {
            return undefined;
        }
        this.pushAll(endpoint, context, record);
        this.noteState(endpoint, context);
        const report = endpoint.health.latestReport;
        return {
            kind: "granted",
            endpoint: id,
            seq: record.seq,
            grantNo: record.grantNo,
            granted: record.allowed,
            covered: record.covered,
            leaseMs: context.timing.slotLeaseMs,
            state: endpoint.state(context),
            limit: endpoint.limit(context),
            era: endpoint.health.era,
            scarce: endpoint.ledger.scarce,
            exclusive: record.exclusive,
            reported: report === undefined
                ? undefined
                : { running: report.message.running, waiting: report.message.waiting, ageMs: report.ageMs },
        };
    }

    private open(id: EndpointId, context: EndpointContext): OwnedEndpoint {
        const known = this.owned.get(id) ?? this.departing.get(id);
        this.departing.delete(id);
        if (known !== undefined) {
            this.owned.set(id, known);
            return known;
        }
        const endpoint = new OwnedEndpoint(id, this.options.clock, context.settings);
        this.owned.set(id, endpoint);
        this.options.log.event(EventId.EndpointOwned, { endpoint: id, ownership: context.ownership.key });
        return endpoint;
    }

    /** Owns what falls to this host, and forgets what does not any more. */
    private followConfig(): void {
        const endpoints = this.options.config.current()?.settings.endpoints ?? {};
        for (const id of Object.keys(endpoints) as EndpointId[]) {
            const context = this.contexts.of(id);
            if (context?.ownership.isOwn === true) {
                this.open(id, context);
            }
            else {
                this.release(id, context?.ownership.owner);
            }
        }
    }

    /** Gives nothing out any more, and passes the account on if there is a new owner. */
    private release(id: EndpointId, owner: HostId | undefined): void {
        const endpoint = this.owned.get(id);
        if (endpoint === undefined) {
            return;
        }
        this.owned.delete(id);
        this.options.log.event(EventId.EndpointReleased, { endpoint: id, owner });
        if (owner !== undefined && endpoint.isOpen && endpoint.isSole) {
            this.departing.set(id, endpoint);
            void this.handOver(endpoint, owner);
        }
    }

    private look(endpoint: OwnedEndpoint, signal: AbortSignal): void {
        const context = this.contexts.of(endpoint.id);
        if (context === undefined) {
            return;
        }
        this.pushAll(endpoint, context, undefined);
        this.noteState(endpoint, context);
        if (endpoint.needsClaims(context) && !this.collecting.has(endpoint.id)) {
            void this.collectClaims(endpoint);
        }
        const nowMs = this.options.clock.nowMs();
        if (context.settings.reportsLoad && (this.reportAtMs.get(endpoint.id) ?? 0) <= nowMs) {
            this.reportAtMs.set(endpoint.id, nowMs + reportEveryMs);
            void this.readReport(endpoint, signal);
        }
    }

    /** Asks all hosts for their calls in flight. A host of this data centre that was seen must answer. */
    private async collectClaims(endpoint: OwnedEndpoint): Promise<void> {
        const { membership, transport, config, clock } = this.options;
        const settings = config.current()?.settings;
        const timeoutMs = settings?.timing.peerTimeoutMs ?? 1;
        this.collecting.add(endpoint.id);
        const claims: HostClaim[] = [];
        const silent: HostId[] = [];
        await Promise.all(
            Object.keys(settings?.hosts ?? {}).map(async id => {
                const host = id as HostId;
                const claim = host === membership.self
                    ? this.selfHolder?.claim(endpoint.id)
                    : (await transport.call(host, slotClaim, { endpoint: endpoint.id }, { timeoutMs })).toMaybe()
                        .extract();
                if (claim === undefined) {
                    silent.push(host);
                }
                else {
                    claims.push({ host, inUse: claim.inUse });
                }
            }),
        );
        const context = this.contexts.of(endpoint.id);
        const nowMs = clock.nowMs();
        const mayHaveCalls = (one: HostView) =>
            one.incarnation > 0 && (one.state !== "dead" || nowMs - one.sinceMs < (context?.callBoundMs ?? 0));
        const seen = membership.view().local.filter(mayHaveCalls).map(one => one.host);
        if (context !== undefined && this.owned.get(endpoint.id) === endpoint) {
            endpoint.learnClaims(claims, !silent.some(host => seen.includes(host)), context);
        }
        await clock.sleep(tickMs);
        this.collecting.delete(endpoint.id);
    }

    private async readReport(endpoint: OwnedEndpoint, signal: AbortSignal): Promise<void> {
        const report = await this.options.loads.fetch(endpoint.id, signal);
        const context = this.contexts.of(endpoint.id);
        if (report !== undefined && context !== undefined && this.owned.get(endpoint.id) === endpoint) {
            endpoint.learnReport(report, context);
        }
    }

    private noteState(endpoint: OwnedEndpoint, context: EndpointContext): void {
        const state = endpoint.state(context);
        if (this.states.get(endpoint.id) !== state) {
            this.states.set(endpoint.id, state);
            const limit = endpoint.limit(context);
            this.options.log.event(EventId.EndpointStateChanged, { endpoint: endpoint.id, state, limit });
        }
    }

    private pushAll(endpoint: OwnedEndpoint, context: EndpointContext, answered: HolderRecord | undefined): void {
        for (const record of endpoint.distribute(context)) {
            if (record === answered) {
                continue;
            }
            const { host, incarnation } = record.holder;
            const { seq, grantNo, allowed: granted, covered, exclusive } = record;
            const { scarce } = endpoint.ledger;
            const push = { endpoint: endpoint.id, seq, grantNo, granted, covered, scarce, exclusive, incarnation };
            if (host === this.options.membership.self) {
                this.selfHolder?.applyPush(push);
            }
            else {
                void this.options.transport.call(host, slotPush, push, { timeoutMs: context.timing.peerTimeoutMs });
            }
        }
    }

    /** Offers the account until the new owner, whose view may lag, takes it. */
    private async handOver(endpoint: OwnedEndpoint, owner: HostId): Promise<void> {
        const { clock, transport, log, config } = this.options;
        const timeoutMs = config.current()?.settings.timing.peerTimeoutMs ?? 1;
        const untilMs = clock.nowMs() + handOverWithinMs;
        while (this.departing.get(endpoint.id) === endpoint && clock.nowMs() < untilMs) {
            const message = packHandOver(endpoint, clock.nowMs());
            const reply = await transport.call(owner, handOver, message, { timeoutMs });
            const accepted = reply.caseOf({ Left: () => false, Right: value => value });
            if (accepted) {
                log.event(EventId.EndpointHandedOver, { endpoint: endpoint.id, to: owner, accepted });
                break;
            }
            await clock.sleep(tickMs);
        }
        if (this.departing.get(endpoint.id) === endpoint) {
            this.departing.delete(endpoint.id);
        }
    }

    private takeOver(req: HandOver): boolean {
        const context = this.contexts.of(req.endpoint);
        if (context?.ownership.isOwn !== true) {
            return false;
        }
        const endpoint = this.open(req.endpoint, context);
        endpoint.health.restore(req.health);
        endpoint.adopt(unpackRecords(req, this.options.clock.nowMs()), req.orphans, context);
        return true;
    }
}
