/** The endpoints of one cell: selects the endpoint of the next call and estimates the throughput of all of them. */
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { BatchTraits, ListedEndpoint } from "../fleet/Types.js";
import type { EndpointSpeeds } from "../load/Types.js";
import { BatchEndpoint } from "./BatchEndpoint.js";
import type { PieceResult } from "./Types.js";

/**
 * An endpoint slower than the fastest one by more than this factor gets a call only if waiting for a faster endpoint
 * would take longer.
 */
const maxSlowdown = 1.8;

export class BatchEndpoints {
    private readonly byId = new Map<EndpointId, BatchEndpoint>();
    /** Endpoints that may receive calls. The state of other endpoints is kept until their calls have ended. */
    private usableIds: ReadonlySet<EndpointId> = new Set();

    public constructor(
        private readonly clock: Clock,
        private readonly notices: EndpointNotices,
        private readonly speeds?: EndpointSpeeds,
    ) {}

    /** Sets the endpoints that may receive calls; returns those that were not known. */
    public setEndpoints(endpoints: readonly ListedEndpoint[]): readonly BatchEndpoint[] {
        const added: BatchEndpoint[] = [];
        const ids = new Set(endpoints.map(one => one.id));
        for (const [id, state] of this.byId) {
            if (!ids.has(id) && state.runningCalls === 0) {
                this.byId.delete(id);
            }
        }
        for (const endpoint of endpoints) {
            const known = this.byId.get(endpoint.id);
            if (known === undefined) {
                const one = new BatchEndpoint(endpoint, this.clock, this.notices, this.speeds);
                this.byId.set(endpoint.id, one);
                added.push(one);
            }
            else {
                known.setListed(endpoint);
            }
        }
        this.usableIds = ids;
        return added;
    }

    public get(id: EndpointId): BatchEndpoint | undefined {
        return this.byId.get(id);
    }

    /** Groups results by the endpoint that holds them; results of unknown endpoints are left out. */
    public groupByHolder(results: readonly PieceResult[]): ReadonlyMap<BatchEndpoint, readonly PieceResult[]> {
        const byEndpoint = new Map<BatchEndpoint, PieceResult[]>();
        for (const result of results) {
            const holder = this.byId.get(result.endpoint);
            const known = holder === undefined ? undefined : byEndpoint.get(holder);
            if (known !== undefined) {
                known.push(result);
            }
            else if (holder !== undefined) {
                byEndpoint.set(holder, [result]);
            }
        }
        return byEndpoint;
    }

    /** Endpoints that may receive calls. */
    public usable(): BatchEndpoint[] {
        return [...this.byId.values()].filter(({ id }) => this.usableIds.has(id) && !this.notices.isLeaving(id));
    }

    /** Data centres with at least one endpoint that is not suspect. */
    public healthyDataCentres(): ReadonlySet<DataCentreId> {
        return new Set(
            this.usable().filter(endpoint => !endpoint.isSuspect).map(endpoint => endpoint.listed.dataCentre),
        );
    }

    /** Throughput of all endpoints that are not suspect, in pieces per millisecond, with full batches. */
    public piecesPerMs(traits: BatchTraits): number {
        return this.usable()
            .filter(endpoint => !endpoint.isSuspect)
            .reduce((sum, endpoint) => sum + endpoint.piecesPerMs(traits), 0);
    }

    /**
     * Selects the endpoint of the next call: the fastest free one that is not suspect, else the fastest free one.
     * Undefined when none is free, or when a call at a faster one is expected to end sooner in spite of the wait.
     */
    public next(
        traits: BatchTraits,
        waitingPieces: number,
        excluded?: ReadonlySet<BatchEndpoint>,
    ): BatchEndpoint | undefined {
        const candidates = this.usable();
        const available = candidates.filter(endpoint =>
            endpoint.canStartCall(traits) && excluded?.has(endpoint) !== true
        );
        const callMsOf = (endpoint: BatchEndpoint) => endpoint.expectedMs(traits, traits.batch);
        const best =
            available.sort((a, b) => Number(a.isSuspect) - Number(b.isSuspect) || callMsOf(a) - callMsOf(b))[0];
        const fastestMs = Math.min(...candidates.map(callMsOf));
        if (best === undefined || callMsOf(best) <= fastestMs * maxSlowdown) {
            return best;
        }
        const fastEndpoints = candidates.filter(endpoint => callMsOf(endpoint) <= fastestMs * maxSlowdown).length;
        const waitMs = fastestMs * (1 + waitingPieces / traits.batch / Math.max(1, fastEndpoints));
        return callMsOf(best) < waitMs + fastestMs ? best : undefined;
    }
}
