/**
 * The operators' limit on hedges: at most a share of the requests of each route over a sliding window. Each host keeps
 * it for its own requests, so that it holds for the fleet without messages.
 */
import { RecentTimes } from "../common/RecentTimes.js";
import type { Clock } from "../common/Types.js";

const windowMs = 10_000;

export class HedgeShareLimit<Route> {
    private readonly requests: RecentTimes<Route>;
    private readonly hedges: RecentTimes<Route>;

    /** `maxShare` returns the limit in force; 0 for no hedges. */
    public constructor(clock: Clock, private readonly maxShare: () => number) {
        this.requests = new RecentTimes(clock, windowMs);
        this.hedges = new RecentTimes(clock, windowMs);
    }

    public get isOff(): boolean {
        return this.maxShare() <= 0;
    }

    public recordRequest(route: Route): void {
        this.requests.record(route);
    }

    /** True when a request of the route may be hedged now. */
    public isAvailable(route: Route): boolean {
        return !this.isOff && this.hedges.count(route) + 1 <= this.maxShare() * this.requests.count(route);
    }

    /** Counts a hedge. */
    public recordHedge(route: Route): void {
        this.hedges.record(route);
    }
}
