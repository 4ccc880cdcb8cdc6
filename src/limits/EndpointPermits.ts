/** Obtains what a request needs before it may be sent to an endpoint that limits the whole fleet. */
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { EndpointLimits } from "../endpoints/EndpointLimits.js";
import type { FleetBounds, FleetSource, ListedEndpoint } from "../fleet/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { LenderClient } from "./LenderClient.js";
import { LenderRoles } from "./LenderRole.js";
import { PermitLender } from "./PermitLender.js";
import { PlaceLender } from "./PlaceLender.js";
import { type Place, type PlaceBasis, PlacePermits } from "./PlacePermits.js";
import { type PermitBasis, RatePermits } from "./RatePermits.js";

export type EndpointPermit =
    /** `limit` and `place` are undefined where the endpoint limits nothing. The holder releases the place. */
    | { readonly kind: "granted"; readonly limit: PermitBasis | undefined; readonly place: Place | undefined; }
    | { readonly kind: "denied"; readonly basis: PermitBasis | PlaceBasis; readonly waitMs: number; };

interface PermitNeeds {
    /** True when the request was denied a permit before, at this or another endpoint. */
    readonly wasDenied?: boolean;
    /** How long the request may take up room at the endpoint; undefined when it takes none. */
    readonly holdMs: number | undefined;
}

export class EndpointPermits {
    public constructor(private readonly rates: RatePermits, private readonly places: PlacePermits) {}

    /** Time until a request of the given priority may ask again, in milliseconds; 0 when it may now. */
    public heldOffMs(endpoint: EndpointId, priority: number): number {
        return Math.max(this.rates.heldOffMs(endpoint, priority), this.places.heldOffMs(endpoint));
    }

    /** Time after which a request is likely to be granted, in milliseconds; 0 when none was denied lately. */
    public retryAfterMs(endpoint: EndpointId, priority: number): number {
        return Math.max(this.rates.retryAfterMs(endpoint, priority), this.places.heldOffMs(endpoint));
    }

    /** Obtains a permit for a request to an endpoint, which is sent at once. */
    public async acquire(
        endpoint: ListedEndpoint,
        priority: number,
        { wasDenied = false, holdMs }: PermitNeeds,
    ): Promise<EndpointPermit> {
        // The place first: it can be given back, and a permit of a rate is lost unless it is used.
        const place = holdMs === undefined
            ? { kind: "unlimited" as const }
            : await this.places.acquire(endpoint, holdMs);
        if (place.kind === "denied") {
            return place;
        }
        const held = place.kind === "lent" ? place.place : undefined;
        const rate = await this.rates.acquire(endpoint, priority, wasDenied);
        if (rate.kind === "denied") {
            held?.release(false);
            return rate;
        }
        return { kind: "granted", limit: rate.kind === "lent" ? rate.basis : undefined, place: held };
    }
}

interface PermitParts {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly bounds: FleetBounds;
    readonly limits: EndpointLimits;
    readonly brittle: EndpointLimits;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    /** Includes time in system suspension. */
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Builds both roles of a host: the lender for some endpoints, and the borrower for all. */
export function createEndpointPermits(parts: PermitParts): EndpointPermits {
    const roles = new LenderRoles(parts);
    const lenders = new LenderClient(parts);
    const rates = new RatePermits({ ...parts, lenders, lender: new PermitLender({ ...parts, roles }) });
    const places = new PlacePermits({ ...parts, lenders, lender: new PlaceLender({ ...parts, roles }) });
    return new EndpointPermits(rates, places);
}
