/**
 * Keeps endpoints free for calls that have to run alone, and remembers where calls ended badly a short while ago: a
 * crash on such an endpoint may be another call's doing and is no proof against the one that runs there now.
 */
import type { Clock, EndpointId } from "../common/Types.js";

/** An endpoint is quiet when no call has ended badly on it for this long. */
const quietMs = 250;
/** Part of a pool that may be reserved at once, in [0, 1]; one endpoint may be in any case. */
const reservedShare = 1 / 3;

export class EndpointReservations {
    private readonly reserved = new Set<EndpointId>();
    private readonly lastBadEndMs = new Map<EndpointId, number>();

    public constructor(private readonly clock: Clock) {}

    public isReserved(endpoint: EndpointId): boolean {
        return this.reserved.has(endpoint);
    }

    /** True when another endpoint of the pool may be reserved. */
    public hasRoom(pool: readonly { readonly id: EndpointId; }[]): boolean {
        const taken = pool.filter(one => this.reserved.has(one.id)).length;
        return taken < Math.max(1, Math.floor(pool.length * reservedShare));
    }

    public reserve(endpoint: EndpointId): void {
        this.reserved.add(endpoint);
    }

    public free(endpoint: EndpointId): void {
        this.reserved.delete(endpoint);
    }

    /** Records how a call of this host ended. */
    public noteEnd(endpoint: EndpointId, whole: boolean): void {
        if (!whole) {
            this.lastBadEndMs.set(endpoint, this.clock.nowMs());
        }
    }

    public isQuiet(endpoint: EndpointId): boolean {
        const badMs = this.lastBadEndMs.get(endpoint);
        return badMs === undefined || this.clock.nowMs() - badMs >= quietMs;
    }
}
