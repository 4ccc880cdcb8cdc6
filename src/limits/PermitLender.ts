/** Lends the permits of endpoints that limit the request rate of the whole fleet, each from a token bucket. */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId } from "../common/Types.js";
import type { EndpointLimits } from "../endpoints/EndpointLimits.js";
import type { PeerRegistry } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { type LenderPosition, type LenderRole, type LenderRoles, lenderShares, settledMs } from "./LenderRole.js";
import { limitMethods, type PermitReply, type PermitRequest } from "./LimitMessages.js";
import { PermitBucket } from "./PermitBucket.js";

/** Maximum number of endpoints for which a host lends; those asked for least recently are forgotten first. */
const maxBuckets = 4096;
const msPerS = 1000;

interface LentEndpoint extends LenderPosition {
    readonly bucket: PermitBucket;
    role: LenderRole;
    askedMs: number;
}

interface PermitLenderOptions {
    readonly roles: LenderRoles;
    readonly limits: EndpointLimits;
    readonly registry: PeerRegistry;
    /** Includes time in system suspension. */
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class PermitLender {
    private readonly lent = new BoundedMap<EndpointId, LentEndpoint>(maxBuckets);

    public constructor(private readonly options: PermitLenderOptions) {
        options.registry.handle(limitMethods.permit, async req => this.lend(req));
    }

    /** Lends a permit for one request, or says when to ask again. */
    public lend({ endpoint, dataCentre, priority, perSecond, ageMs, wasDenied }: PermitRequest): PermitReply {
        const { roles, limits, clock, metrics } = this.options;
        const nowMs = clock.nowMs();
        limits.adopt(endpoint, { perSecond, statedMs: nowMs - ageMs });
        const limit = limits.get(endpoint);
        const known = this.lent.get(endpoint);
        const position = roles.position(endpoint, dataCentre, known);
        if (position === undefined) {
            metrics.count("permits", { outcome: "not-lender" });
            return { kind: "not-lender" };
        }
        if (limit?.perSecond === undefined) {
            return { kind: "unlimited", ageMs: limit === undefined ? 0 : nowMs - limit.statedMs };
        }
        const one = known ?? { ...position, bucket: new PermitBucket(nowMs), role: "unsure" as const, askedMs: nowMs };
        this.setRole(endpoint, one);
        const lentPerSecond = limit.perSecond * lenderShares[one.role];
        const denial = one.bucket.take(nowMs, lentPerSecond, priority, wasDenied);
        const countedMs = Math.min(nowMs - one.askedMs, settledMs);
        metrics.count("permit_allowance", {}, countedMs * limit.perSecond / msPerS);
        metrics.count("permits", { outcome: denial === undefined ? "lent" : "denied" });
        one.askedMs = nowMs;
        return denial === undefined ? { kind: "lent" } : { kind: "denied", ...denial };
    }

    private setRole(endpoint: EndpointId, one: LentEndpoint): void {
        const role = this.options.roles.roleOf(one);
        if (role !== one.role || !this.lent.has(endpoint)) {
            one.role = role;
            this.options.log.event(EventId.PermitLenderRole, { endpoint, role, share: lenderShares[role] });
        }
        this.lent.set(endpoint, one);
    }
}
