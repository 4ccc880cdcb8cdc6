/**
 * The owner's side of the slot protocol: answers holders' messages for the endpoints that this host owns, pushes
 * changed grants to holders, reads load reports, and hands endpoints over when their owner changes or the host stops.
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

/** Interval between two checks for expired leases and freed slots. */
const checkIntervalMs = 100;
/** Interval between two load reports of an endpoint. */
const reportIntervalMs = 1000;
/** How long a hand-over is offered to the next owner; after that the next owner has waited for the leases to expire. */
const handOverTimeoutMs = 3000;

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

/** The holder's side on the same host, called without the network. */
export interface LocalHolder {
    applyPush(push: SlotPush): void;
    claim(endpoint: EndpointId): SlotClaim;
}

/** State of an owned endpoint, for status pages and tests. */
export interface OwnedView {
    readonly endpoint: EndpointId;
    readonly state: EndpointState;
    readonly limit: number;
    /** Upper bound of the slots in use on all hosts. */
    readonly used: number;
    /** True once the take-over from a former owner is complete. */
    readonly open: boolean;
}

export class SlotOwner {
    public readonly name = "slot-owner";
    private readonly owned = new Map<EndpointId, OwnedEndpoint>();
    /** Endpoints that another host owns now and whose hand-over it has not accepted yet. */
    private readonly handingOver = new Map<EndpointId, OwnedEndpoint>();
    private readonly loggedStates = new Map<EndpointId, EndpointState>();
    private readonly nextReportAtMs = new Map<EndpointId, number>();
    /** Endpoints for which claims are being collected. */
    private readonly collecting = new Set<EndpointId>();
    private readonly contexts: EndpointContexts;
    private localHolder: LocalHolder | undefined;

    public constructor(private readonly options: SlotOwnerOptions) {
        this.contexts = new EndpointContexts(options);
        options.registry.handle(slotExchange, async (req, from) => {
            return req.holder.host === from ? this.exchange(req) : { answers: [] };
        });
        options.registry.handle(handOver, async req => this.takeOver(req));
    }

    /** Sets the holder's side of this host, which is called without the network. */
    public setLocalHolder(holder: LocalHolder): void {
        this.localHolder = holder;
    }

    /** Returns the state of each endpoint that this host owns. */
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

    /** Number of calls running or waiting, for each endpoint that this host owns. */
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
        // Each pending load report adds a listener to the signal; the default maximum would log a warning.
        setMaxListeners(0, signal);
        while (!signal.aborted) {
            this.updateOwned();
            for (const endpoint of this.owned.values()) {
                this.checkEndpoint(endpoint, signal);
            }
            await this.options.clock.sleep(checkIntervalMs, signal);
        }
    }

    /**
     * Hands every owned endpoint to its next owner, which then need not wait for leases to expire. `unfinished` counts
     * the items named by `what`.
     */
    public async drain(graceMs: number): Promise<{ readonly unfinished: number; readonly what: string; }> {
        const { membership, clock } = this.options;
        membership.announceLeaving();
        const untilMs = clock.nowMs() + graceMs;
        this.updateOwned();
        while (this.handingOver.size > 0 && clock.nowMs() < untilMs) {
            await clock.sleep(checkIntervalMs);
        }
        return { unfinished: this.handingOver.size, what: "endpoints not handed over" };
    }

    private answer(holder: HolderIdentity, entry: SlotEntry): SlotAnswer | undefined {
        const id = entry.endpoint;
        const context = this.contexts.of(id);
        if (context?.ownership.isOwn !== true) {
            return { kind: "not-owner", endpoint: id, owner: context?.ownership.owner };
        }
        const endpoint = this.getOrCreate(id, context);
        const record = endpoint.exchange(holder, entry, context);
        if (record === undefined) {
            return undefined;
        }
        this.pushGrants(endpoint, context, record);
        this.logState(endpoint, context);
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

    private getOrCreate(id: EndpointId, context: EndpointContext): OwnedEndpoint {
        const known = this.owned.get(id) ?? this.handingOver.get(id);
        this.handingOver.delete(id);
        if (known !== undefined) {
            this.owned.set(id, known);
            return known;
        }
        const endpoint = new OwnedEndpoint(id, this.options.clock, context.settings);
        this.owned.set(id, endpoint);
        this.options.log.event(EventId.EndpointOwned, { endpoint: id, ownership: context.ownership.key });
        return endpoint;
    }

    /** Takes ownership of the endpoints assigned to this host, and releases those that no longer are. */
    private updateOwned(): void {
        const endpoints = this.options.config.current()?.settings.endpoints ?? {};
        for (const id of Object.keys(endpoints) as EndpointId[]) {
            const context = this.contexts.of(id);
            if (context?.ownership.isOwn === true) {
                this.getOrCreate(id, context);
            }
            else {
                this.release(id, context?.ownership.owner);
            }
        }
    }

    /** Stops granting slots, and starts the hand-over if there is a new owner. */
    private release(id: EndpointId, owner: HostId | undefined): void {
        const endpoint = this.owned.get(id);
        if (endpoint === undefined) {
            return;
        }
        this.owned.delete(id);
        this.options.log.event(EventId.EndpointReleased, { endpoint: id, owner });
        if (owner !== undefined && endpoint.isOpen && endpoint.isSole) {
            this.handingOver.set(id, endpoint);
            void this.handOver(endpoint, owner);
        }
    }

    private checkEndpoint(endpoint: OwnedEndpoint, signal: AbortSignal): void {
        const context = this.contexts.of(endpoint.id);
        if (context === undefined) {
            return;
        }
        this.pushGrants(endpoint, context, undefined);
        this.logState(endpoint, context);
        if (endpoint.needsClaims(context) && !this.collecting.has(endpoint.id)) {
            void this.collectClaims(endpoint);
        }
        const nowMs = this.options.clock.nowMs();
        if (context.settings.reportsLoad && (this.nextReportAtMs.get(endpoint.id) ?? 0) <= nowMs) {
            this.nextReportAtMs.set(endpoint.id, nowMs + reportIntervalMs);
            void this.readReport(endpoint, signal);
        }
    }

    /** Asks all hosts for their calls in flight. The claims count only if each host that may have calls answers. */
    private async collectClaims(endpoint: OwnedEndpoint): Promise<void> {
        const { membership, transport, config, clock } = this.options;
        const settings = config.current()?.settings;
        const timeoutMs = settings?.timing.peerTimeoutMs ?? 1;
        this.collecting.add(endpoint.id);
        const claims: HostClaim[] = [];
        const unansweredHosts: HostId[] = [];
        await Promise.all(
            Object.keys(settings?.hosts ?? {}).map(async id => {
                const host = id as HostId;
                const claim = host === membership.self
                    ? this.localHolder?.claim(endpoint.id)
                    : (await transport.call(host, slotClaim, { endpoint: endpoint.id }, { timeoutMs })).toMaybe()
                        .extract();
                if (claim === undefined) {
                    unansweredHosts.push(host);
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
        const hostsWithCalls = membership.view().local.filter(mayHaveCalls).map(one => one.host);
        if (context !== undefined && this.owned.get(endpoint.id) === endpoint) {
            endpoint.applyClaims(claims, !unansweredHosts.some(host => hostsWithCalls.includes(host)), context);
        }
        await clock.sleep(checkIntervalMs);
        this.collecting.delete(endpoint.id);
    }

    private async readReport(endpoint: OwnedEndpoint, signal: AbortSignal): Promise<void> {
        const report = await this.options.loads.fetch(endpoint.id, signal);
        const context = this.contexts.of(endpoint.id);
        if (report !== undefined && context !== undefined && this.owned.get(endpoint.id) === endpoint) {
            endpoint.applyReport(report, context);
        }
    }

    private logState(endpoint: OwnedEndpoint, context: EndpointContext): void {
        const state = endpoint.state(context);
        if (this.loggedStates.get(endpoint.id) !== state) {
            this.loggedStates.set(endpoint.id, state);
            const limit = endpoint.limit(context);
            this.options.log.event(EventId.EndpointStateChanged, { endpoint: endpoint.id, state, limit });
        }
    }

    private pushGrants(endpoint: OwnedEndpoint, context: EndpointContext, answered: HolderRecord | undefined): void {
        for (const record of endpoint.distribute(context)) {
            if (record === answered) {
                continue;
            }
            const { host, incarnation } = record.holder;
            const { seq, grantNo, allowed: granted, covered, exclusive } = record;
            const { scarce } = endpoint.ledger;
            const push = { endpoint: endpoint.id, seq, grantNo, granted, covered, scarce, exclusive, incarnation };
            if (host === this.options.membership.self) {
                this.localHolder?.applyPush(push);
            }
            else {
                void this.options.transport.call(host, slotPush, push, { timeoutMs: context.timing.peerTimeoutMs });
            }
        }
    }

    /** Offers the hand-over until the new owner accepts; it refuses while its view of ownership lags. */
    private async handOver(endpoint: OwnedEndpoint, owner: HostId): Promise<void> {
        const { clock, transport, log, config } = this.options;
        const timeoutMs = config.current()?.settings.timing.peerTimeoutMs ?? 1;
        const untilMs = clock.nowMs() + handOverTimeoutMs;
        while (this.handingOver.get(endpoint.id) === endpoint && clock.nowMs() < untilMs) {
            const message = packHandOver(endpoint, clock.nowMs());
            const reply = await transport.call(owner, handOver, message, { timeoutMs });
            const accepted = reply.caseOf({ Left: () => false, Right: value => value });
            if (accepted) {
                log.event(EventId.EndpointHandedOver, { endpoint: endpoint.id, to: owner, accepted });
                break;
            }
            await clock.sleep(checkIntervalMs);
        }
        if (this.handingOver.get(endpoint.id) === endpoint) {
            this.handingOver.delete(endpoint.id);
        }
    }

    /** Adopts an endpoint handed over by its former owner; false while this host is not the owner by its own view. */
    private takeOver(req: HandOver): boolean {
        const context = this.contexts.of(req.endpoint);
        if (context?.ownership.isOwn !== true) {
            return false;
        }
        const endpoint = this.getOrCreate(req.endpoint, context);
        endpoint.health.restore(req.health);
        endpoint.adopt(unpackRecords(req, this.options.clock.nowMs()), req.orphans, context);
        return true;
    }
}
