/**
 * Obtains permits for requests to endpoints that limit their request rate. A permit is for one request, which is sent
 * at once. Without an answer of a lender nothing is sent, so that a host which is cut off exceeds no limit.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { EndpointLimits, StatementOrigin } from "../endpoints/EndpointLimits.js";
import type { ListedEndpoint } from "../fleet/Types.js";
import type { Metrics } from "../telemetry/Types.js";
import type { LenderClient } from "./LenderClient.js";
import { limitMethods } from "./LimitMessages.js";
import type { PermitLender } from "./PermitLender.js";

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
    readonly limits: EndpointLimits;
    readonly lenders: LenderClient;
    /** Of this host. */
    readonly lender: PermitLender;
    /** Includes time in system suspension. */
    readonly clock: Clock;
    readonly metrics: Metrics;
}

export class RatePermits {
    private readonly denials = new BoundedMap<EndpointId, readonly Denial[]>(maxDenials);

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
        const { limits, lenders, lender: own, clock, metrics } = this.options;
        const limit = limits.get(endpoint.id);
        if (limit?.perSecond === undefined) {
            return { kind: "unlimited" };
        }
        const askedMs = clock.nowMs();
        const { perSecond, from } = limit;
        const ageMs = askedMs - limit.statedMs;
        const { id, dataCentre } = endpoint;
        const req = { endpoint: id, dataCentre, priority, perSecond, ageMs, wasDenied };
        const { lender, reply } = await lenders.ask(limitMethods.permit, req, one => own.lend(one));
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
