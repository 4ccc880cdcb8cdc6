/**
 * Obtains permits for requests to endpoints that limit their request rate. A permit is for one request, which is sent
 * at once. Without an answer of a lender nothing is sent, so that a host which is cut off exceeds no limit.
 */
import { Right } from "purify-ts";
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { EndpointLimits, StatementOrigin } from "../endpoints/EndpointLimits.js";
import { HostRanks } from "../fleet/HostRanks.js";
import type { FleetSource, ListedEndpoint } from "../fleet/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { limitMethods, type PermitReply, type PermitRequest } from "./LimitMessages.js";
import { lendersPerEndpoint, type PermitLender } from "./PermitLender.js";

/** Time limit for a lender's reply: many round trips, and short against a request's objective. */
const replyTimeoutMs = 150;
/** A lender that did not reply is passed over for this long. */
const lenderLostMs = 1000;
/** Time without requests to an endpoint when none of its lenders replies. */
const noLenderPauseMs = 250;
/** A permit is void after this time, which passes only when this host was suspended. */
const permitValidMs = 500;
const minWaitMs = 10;
/** Maximum number of endpoints with a remembered denial; the oldest are forgotten first. */
const maxDenials = 4096;

/** The limit that an outcome is based on, for the log. */
export interface PermitBasis {
    readonly perSecond: number;
    readonly statedAgeMs: number;
    readonly from: StatementOrigin;
    /** The host that replied; undefined when none did. */
    readonly lender: HostId | undefined;
}

export type PermitOutcome =
    /** The endpoint limits nothing. */
    | { readonly kind: "unlimited"; }
    | { readonly kind: "lent"; readonly basis: PermitBasis; }
    | { readonly kind: "denied"; readonly basis: PermitBasis; readonly waitMs: number; };

interface Denial {
    readonly priority: number;
    /** No further permit is requested until then. */
    readonly untilMs: number;
    /** A caller that is refused now is likely to be served then. */
    readonly retryAtMs: number;
}

interface RatePermitsOptions {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly limits: EndpointLimits;
    /** Of this host. */
    readonly lender: PermitLender;
    readonly transport: PeerTransport;
    /** Includes time in system suspension. */
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class RatePermits {
    private readonly ranks = new HostRanks();
    private readonly denials = new BoundedMap<EndpointId, readonly Denial[]>(maxDenials);
    private readonly lostUntilMs = new Map<HostId, number>();

    public constructor(private readonly options: RatePermitsOptions) {}

    /**
     * Time until a request of the given priority may ask for a permit again, in milliseconds; 0 when it may now.
     * Requests of a higher priority may be lent a permit where others are denied one.
     */
    public heldOffMs(endpoint: EndpointId, priority: number): number {
        return this.maxMs(endpoint, priority, one => one.untilMs);
    }

    /** Time after which a request is likely to get a permit, in milliseconds; 0 when none was denied lately. */
    public retryAfterMs(endpoint: EndpointId, priority: number): number {
        return this.maxMs(endpoint, priority, one => one.retryAtMs);
    }

    /**
     * Obtains a permit for a request to an endpoint; it is used at once, or is lost. `wasDenied` is true when the
     * request was denied one before, at this or another endpoint.
     */
    public async acquire(endpoint: ListedEndpoint, priority: number, wasDenied = false): Promise<PermitOutcome> {
        const { limits, clock, metrics } = this.options;
        const limit = limits.get(endpoint.id);
        if (limit?.perSecond === undefined) {
            return { kind: "unlimited" };
        }
        const askedMs = clock.nowMs();
        const { perSecond, from } = limit;
        const ageMs = askedMs - limit.statedMs;
        const { id, dataCentre } = endpoint;
        const req = { endpoint: id, dataCentre, priority, perSecond, ageMs, wasDenied };
        const { lender, reply } = await this.ask(req);
        const basis = { perSecond, statedAgeMs: Math.round(ageMs), from, lender };
        const nowMs = clock.nowMs();
        if (reply.kind === "unlimited") {
            limits.adopt(endpoint.id, { perSecond: undefined, statedMs: nowMs - reply.ageMs });
            return { kind: "unlimited" };
        }
        if (reply.kind === "lent" && nowMs - askedMs <= permitValidMs) {
            metrics.count("permit_requests", { outcome: "lent" });
            return { kind: "lent", basis };
        }
        const isAnswered = reply.kind === "denied";
        const waitMs = Math.max(minWaitMs, isAnswered ? reply.waitMs : noLenderPauseMs);
        const retryAtMs = nowMs + Math.max(waitMs, isAnswered ? reply.retryAfterMs : 0);
        this.remember(endpoint.id, { priority, untilMs: nowMs + waitMs, retryAtMs });
        metrics.count("permit_requests", { outcome: isAnswered ? "denied" : "no-lender" });
        return { kind: "denied", basis, waitMs };
    }

    /** Asks the endpoint's lenders in their order; the next one only when one can't be reached. */
    private async ask(req: PermitRequest): Promise<{ readonly lender?: HostId; readonly reply: PermitReply; }> {
        const { self, fleet, lender: own, transport, clock, log } = this.options;
        const lenders = this.ranks.live(req.endpoint, req.dataCentre, fleet.view().hosts).slice(0, lendersPerEndpoint);
        for (const lender of lenders) {
            if (clock.nowMs() < (this.lostUntilMs.get(lender) ?? -Infinity)) {
                continue;
            }
            const replied = lender === self
                ? Right(own.lend(req))
                : await transport.call(lender, limitMethods.permit, req, { timeoutMs: replyTimeoutMs });
            replied.ifLeft(error => {
                this.lostUntilMs.set(lender, clock.nowMs() + lenderLostMs);
                log.event(EventId.PermitLenderLost, { lender, endpoint: req.endpoint, ...error });
            });
            const reply = replied.toMaybe().extract();
            if (reply !== undefined && reply.kind !== "not-lender") {
                return { lender, reply };
            }
        }
        return { reply: { kind: "not-lender" } };
    }

    private remember(endpoint: EndpointId, denial: Denial): void {
        const others = (this.denials.get(endpoint) ?? [])
            .filter(one => one.priority !== denial.priority && one.retryAtMs > this.options.clock.nowMs());
        this.denials.set(endpoint, [...others, denial]);
    }

    private maxMs(endpoint: EndpointId, priority: number, timeOf: (denial: Denial) => number): number {
        const denials = this.denials.get(endpoint);
        if (denials === undefined || this.options.limits.perSecond(endpoint) === undefined) {
            return 0;
        }
        const nowMs = this.options.clock.nowMs();
        return Math.max(0, ...denials.filter(one => one.priority <= priority).map(one => timeOf(one) - nowMs));
    }
}
