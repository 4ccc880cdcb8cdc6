/**
 * Reserves endpoints for calls that have to run alone, and tracks endpoints with a recent failed call: a crash on such
 * an endpoint may have been caused by another call, so it is no evidence against the call that runs there now.
 */
import type { Clock, EndpointId } from "../common/Types.js";

/** An endpoint is quiet when no call has failed on it for this long. */
const quietPeriodMs = 250;
/** Share of a pool that may be reserved at once, in [0, 1]; one endpoint may always be reserved. */
const reservedShare = 1 / 3;

export class EndpointReservations {
    private readonly reserved = new Set<EndpointId>();
    private readonly lastFailureMs = new Map<EndpointId, number>();

    public constructor(private readonly clock: Clock) {}

    public isReserved(endpoint: EndpointId): boolean {
        return this.reserved.has(endpoint);
    }

    /** True while another endpoint of the pool may be reserved. */
    public canReserve(pool: readonly { readonly id: EndpointId; }[]): boolean {
        const reservedCount = pool.filter(one => this.reserved.has(one.id)).length;
        return reservedCount < Math.max(1, Math.floor(pool.length * reservedShare));
    }

    public reserve(endpoint: EndpointId): void {
        this.reserved.add(endpoint);
    }

    public release(endpoint: EndpointId): void {
        this.reserved.delete(endpoint);
    }

    /** Records whether a call of this host on the endpoint succeeded. */
    public recordEnd(endpoint: EndpointId, succeeded: boolean): void {
        if (!succeeded) {
            this.lastFailureMs.set(endpoint, this.clock.nowMs());
        }
    }

    /** True when no call of this host has failed on the endpoint recently. */
    public isQuiet(endpoint: EndpointId): boolean {
        const failedMs = this.lastFailureMs.get(endpoint);
        return failedMs === undefined || this.clock.nowMs() - failedMs >= quietPeriodMs;
    }
}
