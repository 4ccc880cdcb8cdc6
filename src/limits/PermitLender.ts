/**
 * Lends the permits of endpoints that limit the request rate of the whole fleet. For each endpoint the first two live
 * hosts in rendezvous order lend, those in the endpoint's data centre first; the second is asked only when the first
 * can't be reached. Each lends by itself, and no message passes between them. The rates below keep the sum within one
 * and a half times the limit while hosts restart, are suspended or cut off, or have different views of the fleet.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { EndpointLimits } from "../endpoints/EndpointLimits.js";
import { HostRanks } from "../fleet/HostRanks.js";
import type { FleetBounds, FleetSource, FleetView } from "../fleet/Types.js";
import type { PeerRegistry } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { limitMethods, type PermitReply, type PermitRequest } from "./LimitMessages.js";
import { PermitBucket } from "./PermitBucket.js";

/** Number of hosts that lend an endpoint's permits. */
export const lendersPerEndpoint = 2;
/**
 * Shares of the limit at which a host lends: as the first one; as the first one while another host may still count as
 * such, since the order has just changed or this host's view is not confirmed; and as the second one.
 */
const lenderShares = { first: 1, unsure: 0.5, second: 0.25 };
/** How long an order must have been unchanged; other hosts have seen the change by then. */
const settledMs = 4000;
/** Maximum number of endpoints for which a host lends; those asked for least recently are forgotten first. */
const maxBuckets = 4096;
const msPerS = 1000;

type Role = keyof typeof lenderShares;

interface LentEndpoint {
    readonly bucket: PermitBucket;
    position: number;
    /** Since when this host has had the position. */
    sinceMs: number;
    role: Role;
    askedMs: number;
}

interface PermitLenderOptions {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly limits: EndpointLimits;
    readonly bounds: FleetBounds;
    readonly registry: PeerRegistry;
    /** Includes time in system suspension. */
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class PermitLender {
    private readonly lent = new BoundedMap<EndpointId, LentEndpoint>(maxBuckets);
    private readonly ranks = new HostRanks();
    private liveHosts = "";
    /** Since when the live hosts in this host's view have been the same. */
    private liveSinceMs: number;

    public constructor(private readonly options: PermitLenderOptions) {
        const { fleet, registry, clock } = options;
        this.liveSinceMs = clock.nowMs();
        fleet.onChange(view => this.applyView(view));
        registry.handle(limitMethods.permit, async req => this.lend(req));
    }

    /** Lends a permit for one request, or says when to ask again. */
    public lend({ endpoint, dataCentre, priority, perSecond, ageMs, wasDenied }: PermitRequest): PermitReply {
        const { self, fleet, limits, clock, metrics } = this.options;
        const nowMs = clock.nowMs();
        limits.adopt(endpoint, { perSecond, statedMs: nowMs - ageMs });
        const limit = limits.get(endpoint);
        const position = this.ranks.live(endpoint, dataCentre, fleet.view().hosts).indexOf(self);
        if (position < 0 || position >= lendersPerEndpoint) {
            metrics.count("permits", { outcome: "not-lender" });
            return { kind: "not-lender" };
        }
        if (limit?.perSecond === undefined) {
            return { kind: "unlimited", ageMs: limit === undefined ? 0 : nowMs - limit.statedMs };
        }
        const one = this.lentEndpoint(endpoint, position, nowMs);
        const lentPerSecond = limit.perSecond * lenderShares[one.role];
        const denial = one.bucket.take(nowMs, lentPerSecond, priority, wasDenied);
        const countedMs = Math.min(nowMs - one.askedMs, settledMs);
        metrics.count("permit_allowance", {}, countedMs * limit.perSecond / msPerS);
        metrics.count("permits", { outcome: denial === undefined ? "lent" : "denied" });
        one.askedMs = nowMs;
        return denial === undefined ? { kind: "lent" } : { kind: "denied", ...denial };
    }

    private lentEndpoint(endpoint: EndpointId, position: number, nowMs: number): LentEndpoint {
        const one = this.lent.get(endpoint)
            ?? {
                bucket: new PermitBucket(nowMs),
                position,
                sinceMs: this.liveSinceMs,
                role: "unsure" as const,
                askedMs: nowMs,
            };
        if (one.position !== position) {
            one.position = position;
            one.sinceMs = nowMs;
        }
        const role = this.roleOf(one, nowMs);
        if (role !== one.role || !this.lent.has(endpoint)) {
            one.role = role;
            this.options.log.event(EventId.PermitLenderRole, { endpoint, role, share: lenderShares[role] });
        }
        this.lent.set(endpoint, one);
        return one;
    }

    private roleOf({ position, sinceMs }: LentEndpoint, nowMs: number): Role {
        const { fleet, bounds } = this.options;
        if (position > 0) {
            return "second";
        }
        return nowMs - sinceMs >= settledMs && fleet.ageMs() <= bounds.configApplyMs ? "first" : "unsure";
    }

    private applyView({ hosts }: FleetView): void {
        const liveHosts = hosts.filter(one => one.isLive).map(one => one.host).join(" ");
        if (liveHosts !== this.liveHosts) {
            this.liveHosts = liveHosts;
            this.liveSinceMs = this.options.clock.nowMs();
        }
    }
}
