/** The endpoints of one cell: which of them may be given calls, which comes next, and how much they make together. */
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { BatchTraits, ListedEndpoint } from "../fleet/Types.js";
import { BatchEndpoint } from "./BatchEndpoint.js";
import type { PieceResult } from "./Types.js";

/** An endpoint this much slower than the best one gets a call only where that is still sooner than waiting. */
const muchSlower = 1.8;

export class BatchEndpoints {
    private readonly desks = new Map<EndpointId, BatchEndpoint>();
    /** Endpoints that may be given calls; desks of others stay until their calls have ended. */
    private usableIds: ReadonlySet<EndpointId> = new Set();

    public constructor(private readonly clock: Clock) {}

    /** Names the endpoints that may be used now. */
    public setEndpoints(endpoints: readonly ListedEndpoint[]): void {
        const ids = new Set(endpoints.map(one => one.id));
        for (const [id, desk] of this.desks) {
            if (!ids.has(id) && desk.calls === 0) {
                this.desks.delete(id);
            }
        }
        for (const endpoint of endpoints) {
            const known = this.desks.get(endpoint.id);
            if (known === undefined) {
                this.desks.set(endpoint.id, new BatchEndpoint(endpoint, this.clock));
            }
            else {
                known.endpoint = endpoint;
            }
        }
        this.usableIds = ids;
    }

    public get(id: EndpointId): BatchEndpoint | undefined {
        return this.desks.get(id);
    }

    /** Handles of results by the endpoint that holds them; those of endpoints that have gone are left out. */
    public handlesAt(results: readonly PieceResult[]): ReadonlyMap<BatchEndpoint, readonly string[]> {
        const byDesk = new Map<BatchEndpoint, string[]>();
        for (const { endpoint, handle } of results) {
            const desk = this.desks.get(endpoint);
            if (desk !== undefined) {
                byDesk.set(desk, [...byDesk.get(desk) ?? [], handle]);
            }
        }
        return byDesk;
    }

    public usable(): BatchEndpoint[] {
        return [...this.desks.values()].filter(desk => this.usableIds.has(desk.id));
    }

    /** Data centres with an endpoint that is well. */
    public healthyDataCentres(): ReadonlySet<DataCentreId> {
        return new Set(this.usable().filter(desk => !desk.isSuspect).map(desk => desk.endpoint.dataCentre));
    }

    /** Pieces that all endpoints that are well make in a millisecond with full calls. */
    public piecesPerMs(traits: BatchTraits): number {
        return this.usable()
            .filter(desk => !desk.isSuspect)
            .reduce((sum, desk) => sum + traits.slots * traits.batch / desk.expectedMs(traits, traits.batch), 0);
    }

    /** The endpoint for the next call: the fastest free one, unless waiting for a faster one ends sooner. */
    public next(traits: BatchTraits, waitingPieces: number): BatchEndpoint | undefined {
        const desks = this.usable();
        const free = desks.filter(desk => desk.canStartCall(traits));
        const timeOf = (desk: BatchEndpoint) => desk.expectedMs(traits, traits.batch);
        const best = free.sort((a, b) => Number(a.isSuspect) - Number(b.isSuspect) || timeOf(a) - timeOf(b))[0];
        const fastestMs = Math.min(...desks.map(timeOf));
        if (best === undefined || timeOf(best) <= fastestMs * muchSlower) {
            return best;
        }
        const fast = desks.filter(desk => timeOf(desk) <= fastestMs * muchSlower).length;
        const waitMs = fastestMs * (1 + waitingPieces / traits.batch / Math.max(1, fast));
        return timeOf(best) < waitMs + fastestMs ? best : undefined;
    }
}
