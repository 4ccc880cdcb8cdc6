/**
 * What this host knows for hedging the requests of callers: recent times to the first byte by route, whether a service
 * is short of capacity, and the limits on hedges. With the share of the operators' limit at 0 there are no hedges.
 */
import { LatencyTracker } from "../common/LatencyTracker.js";
import { RecentTimes } from "../common/RecentTimes.js";
import type { Clock } from "../common/Types.js";
import type { Route, RouteId, ServiceId } from "../fleet/Types.js";
import { type HedgeCapacity, hedgeDelayMs } from "../hedging/HedgeDecision.js";
import { HedgeShareLimit } from "../hedging/HedgeShareLimit.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { FleetRetryBudget } from "./FleetQuotas.js";
import { type AttemptOutcome, isRepeatable } from "./Types.js";

/** How long an attempt counts as recent when capacity is judged. */
const capacityWindowMs = 2000;
/** Statuses with which endpoints refuse requests for lack of capacity. */
const noCapacityStatuses: readonly number[] = [429, 503];

export interface HedgingSettings {
    /** Share of a route's requests that may be hedged over ten seconds; 0 for none. */
    readonly maxShare: number;
}

export class GatewayHedging {
    private readonly times: LatencyTracker;
    private readonly limit: HedgeShareLimit<RouteId>;
    private readonly attempts: RecentTimes<ServiceId>;
    private readonly heldUp: RecentTimes<ServiceId>;

    /** `settings` returns those in force, which may change at any time. */
    public constructor(
        clock: Clock,
        private readonly retries: FleetRetryBudget,
        settings: () => HedgingSettings,
    ) {
        this.times = new LatencyTracker(clock);
        this.limit = new HedgeShareLimit(clock, () => settings().maxShare);
        this.attempts = new RecentTimes(clock, capacityWindowMs);
        this.heldUp = new RecentTimes(clock, capacityWindowMs);
    }

    /** Counts a request of a caller, on which the operators' limit is based. */
    public recordRequest(route: RouteId): void {
        this.limit.recordRequest(route);
    }

    /** Records the time from the start of an attempt to the first byte of its answer, or for how long there was none. */
    public recordFirstByte(route: RouteId, takenMs: number): void {
        this.times.record(route, takenMs);
    }

    /** Records that a request has waited for an endpoint. */
    public recordWait(service: ServiceId): void {
        this.heldUp.record(service);
    }

    public recordOutcome(service: ServiceId, outcome: AttemptOutcome): void {
        this.attempts.record(service);
        if (outcome.kind === "not-run" && noCapacityStatuses.includes(outcome.status)) {
            this.heldUp.record(service);
        }
    }

    /** Time after which an attempt is hedged, when `leftMs` are left for the answer; undefined for no hedge. */
    public delayMs(route: Route, leftMs: number): number | undefined {
        return isRepeatable(route) && route.maxEndpoints > 1 && !this.limit.isOff
            ? hedgeDelayMs(percentile => this.times.percentileMs(route.id, percentile), leftMs)
            : undefined;
    }

    public capacity(service: ServiceId, usable: readonly EndpointRecord[]): HedgeCapacity {
        const running = usable.reduce((sum, one) => sum + one.running.size, 0);
        const slots = usable.reduce((sum, one) => sum + one.listed.slots, 0);
        return {
            busyShare: slots > 0 ? running / slots : 0,
            heldUpShare: this.heldUp.count(service) / Math.max(1, this.attempts.count(service)),
            suspectShare: usable.filter(one => one.isSuspect).length / Math.max(1, usable.length),
        };
    }

    /** True when the limits allow a hedge now. */
    public isWithinLimits(route: RouteId, service: ServiceId): boolean {
        return this.limit.isAvailable(route) && this.retries.isAvailable(service);
    }

    /** Returns true, and counts the hedge against the limits, when they allow it. */
    public tryTake(route: RouteId, service: ServiceId): boolean {
        const isTaken = this.limit.isAvailable(route) && this.retries.tryAcquire(service);
        if (isTaken) {
            this.limit.recordHedge(route);
        }
        return isTaken;
    }
}
