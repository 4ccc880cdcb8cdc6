/** How often a request may have run, and may run again: by its kind, its route and the fleet's retry budget. */
import type { Route, ServiceId } from "../fleet/Types.js";
import type { FleetRetryBudget } from "./FleetQuotas.js";
import { isRepeatable } from "./Types.js";

interface RequestRunsOptions {
    readonly route: Route;
    readonly service: ServiceId;
    readonly retries: FleetRetryBudget;
    /** Number of attempts, of those that are running or about to begin, in which the request may run. */
    readonly running: () => number;
    /** Aborted when the request has ended. */
    readonly signal: AbortSignal;
}

export class RequestRuns {
    private endedCount = 0;

    public constructor(private readonly options: RequestRunsOptions) {}

    /** Number of ended attempts in which the request may have run. */
    public get ended(): number {
        return this.endedCount;
    }

    /** Number of attempts in which it may run beside those that are running or about to begin. */
    public get left(): number {
        const { route, running } = this.options;
        return route.maxEndpoints - this.endedCount - running();
    }

    /** True when the request may be sent once more after the attempt that is running or about to begin. */
    public get mayRepeat(): boolean {
        const { route, service, retries } = this.options;
        return isRepeatable(route) && this.left > 0 && retries.isAvailable(service);
    }

    /** Records ended attempts in which the request may have run. */
    public recordEnded(count = 1): void {
        this.endedCount += count;
    }

    /** Counts a retry; false when the request may not be sent once more. */
    public tryRepeat(): boolean {
        const { route, service, retries, signal } = this.options;
        return isRepeatable(route)
            && !signal.aborted
            && this.endedCount < route.maxEndpoints
            && retries.tryAcquire(service);
    }
}
