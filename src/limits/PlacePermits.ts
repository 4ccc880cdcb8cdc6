/**
 * Obtains places at brittle endpoints. A place is held from before a request is sent until it has ended there. Without
 * an answer of a lender nothing is sent.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import type { EndpointLimits, StatementOrigin } from "../endpoints/EndpointLimits.js";
import type { ListedEndpoint } from "../fleet/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { LenderClient } from "./LenderClient.js";
import { limitMethods, type PlaceReturn } from "./LimitMessages.js";
import type { PlaceLender } from "./PlaceLender.js";

/** Time without requests to an endpoint when none of its lenders replies. */
const noLenderPauseMs = 250;
/** A returned place that gets lost on its way ends by itself. */
const returnTimeoutMs = 500;
const maxDenials = 4096;

/** What an outcome is based on, for the log. */
export interface PlaceBasis {
    readonly turnAwaysPerSecond: number;
    readonly statedAgeMs: number;
    readonly from: StatementOrigin;
    /** The host that replied; undefined when none did. */
    readonly lender: HostId | undefined;
}

/** A place that is held at an endpoint. */
export interface Place {
    readonly basis: PlaceBasis;
    /** Gives the place back; `wasTurnedAway` is true when the endpoint had no room for the request. */
    release(wasTurnedAway: boolean): void;
}

export type PlaceOutcome =
    /** The endpoint is not brittle. */
    | { readonly kind: "unlimited"; }
    | { readonly kind: "lent"; readonly place: Place; }
    | { readonly kind: "denied"; readonly basis: PlaceBasis; readonly waitMs: number; };

interface PlacePermitsOptions {
    readonly self: HostId;
    readonly brittle: EndpointLimits;
    readonly lenders: LenderClient;
    /** Of this host. */
    readonly lender: PlaceLender;
    readonly transport: PeerTransport;
    /** Includes time in system suspension. */
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class PlacePermits {
    private readonly deniedUntilMs = new BoundedMap<EndpointId, number>(maxDenials);

    public constructor(private readonly options: PlacePermitsOptions) {}

    /** Time until a place may be asked for again, in milliseconds; 0 when it may now. */
    public heldOffMs(endpoint: EndpointId): number {
        const { brittle, clock } = this.options;
        return brittle.perSecond(endpoint) === undefined
            ? 0
            : Math.max(0, (this.deniedUntilMs.get(endpoint) ?? 0) - clock.nowMs());
    }

    /** Obtains a place, which ends by itself after `holdMs`. */
    public async acquire(
        { id: endpoint, dataCentre, slots }: ListedEndpoint,
        holdMs: number,
    ): Promise<PlaceOutcome> {
        const { brittle, lenders, lender: own, clock, metrics } = this.options;
        const stated = brittle.get(endpoint);
        if (stated?.perSecond === undefined) {
            return { kind: "unlimited" };
        }
        const { perSecond, from } = stated;
        const ageMs = clock.nowMs() - stated.statedMs;
        const req = { endpoint, dataCentre, slots: Math.max(1, slots), holdMs, perSecond, ageMs };
        const { lender, reply } = await lenders.ask(limitMethods.place, req, one => own.lend(one));
        const basis = { turnAwaysPerSecond: perSecond, statedAgeMs: Math.round(ageMs), from, lender };
        metrics.count("place_requests", { outcome: reply.kind });
        if (reply.kind === "unlimited") {
            brittle.adopt(endpoint, { perSecond: undefined, statedMs: clock.nowMs() - reply.ageMs });
            return { kind: "unlimited" };
        }
        if (reply.kind === "lent" && lender !== undefined) {
            const { place } = reply;
            const release = (wasTurnedAway: boolean) => this.giveBack(lender, { endpoint, place, wasTurnedAway });
            return { kind: "lent", place: { basis, release } };
        }
        const waitMs = reply.kind === "denied" ? reply.waitMs : noLenderPauseMs;
        this.deniedUntilMs.set(endpoint, clock.nowMs() + waitMs);
        return { kind: "denied", basis, waitMs };
    }

    private giveBack(lender: HostId, req: PlaceReturn): void {
        const { self, lender: own, transport, log } = this.options;
        if (lender === self) {
            own.takeBack(req);
            return;
        }
        const returned = transport.call(lender, limitMethods.returnPlace, req, { timeoutMs: returnTimeoutMs });
        inBackground(log, "return-place", returned);
    }
}
