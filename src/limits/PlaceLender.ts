/**
 * Lends the places of brittle endpoints: an endpoint that has to turn away too many requests in a second for want of
 * room ends. All hosts together hold no more places than it runs requests at the same time. After it has turned one
 * away, fewer are lent, none for a moment, and then again one more at a time.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock, EndpointId } from "../common/Types.js";
import type { EndpointLimits } from "../endpoints/EndpointLimits.js";
import type { PeerRegistry } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { type LenderPosition, type LenderRoles, lenderShares } from "./LenderRole.js";
import { limitMethods, type PlaceReply, type PlaceRequest, type PlaceReturn } from "./LimitMessages.js";

/** Factor on the places held when a request was turned away. */
const reduction = 0.7;
/** Time until one more place is lent after a reduction. */
const growthMs = 500;
/** The endpoint counts what it turns away over this time, in which nothing is lent after a share of it. */
const countedMs = 1000;
const turnAwayShare = 0.5;
/** Estimated time until a place is returned, for hosts that were denied one. */
const waitMs = 25;
/** Maximum number of endpoints for which a host lends; those asked for least recently are forgotten first. */
const maxEndpoints = 4096;

interface LentPlaces extends LenderPosition {
    /** Places held, with the time at which each ends by itself. */
    readonly held: Map<string, number>;
    /** Places that may be held, below the endpoint's own number after it has turned requests away. */
    room: number;
    roomSinceMs: number;
    /** When requests were turned away, within {@link countedMs}. */
    turnedAwayMs: number[];
}

interface PlaceLenderOptions {
    readonly roles: LenderRoles;
    readonly brittle: EndpointLimits;
    readonly registry: PeerRegistry;
    /** Includes time in system suspension. */
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class PlaceLender {
    private readonly lent = new BoundedMap<EndpointId, LentPlaces>(maxEndpoints);
    private lastPlace = 0;

    public constructor(private readonly options: PlaceLenderOptions) {
        options.registry.handle(limitMethods.place, async req => this.lend(req));
        options.registry.handle(limitMethods.returnPlace, async req => this.takeBack(req));
    }

    /** Lends a place for one request, or says when to ask again. */
    public lend(req: PlaceRequest): PlaceReply {
        const { roles, brittle, clock, metrics } = this.options;
        const { endpoint, dataCentre, slots, holdMs, perSecond, ageMs } = req;
        const nowMs = clock.nowMs();
        brittle.adopt(endpoint, { perSecond, statedMs: nowMs - ageMs });
        const stated = brittle.get(endpoint);
        const known = this.lent.get(endpoint);
        const position = roles.position(endpoint, dataCentre, known);
        if (position === undefined) {
            metrics.count("places", { outcome: "not-lender" });
            return { kind: "not-lender" };
        }
        if (stated?.perSecond === undefined) {
            return { kind: "unlimited", ageMs: stated === undefined ? 0 : nowMs - stated.statedMs };
        }
        const one = known ?? { ...position, held: new Map(), room: slots, roomSinceMs: nowMs, turnedAwayMs: [] };
        this.lent.set(endpoint, one);
        this.update(one, slots, nowMs);
        const places = Math.max(1, Math.floor(Math.min(slots, one.room) * lenderShares[roles.roleOf(one)]));
        const isFull = one.turnedAwayMs.length >= Math.max(1, stated.perSecond * turnAwayShare);
        if (isFull || one.held.size >= places) {
            metrics.count("places", { outcome: "denied" });
            const freeInMs = isFull ? (one.turnedAwayMs[0] ?? nowMs) + countedMs - nowMs : waitMs;
            return { kind: "denied", waitMs: Math.max(1, Math.ceil(freeInMs)) };
        }
        this.lastPlace += 1;
        const place = String(this.lastPlace);
        one.held.set(place, nowMs + holdMs);
        metrics.count("places", { outcome: "lent" });
        return { kind: "lent", place };
    }

    /** Takes a place back, and takes note when the endpoint had no room for its request. */
    public takeBack({ endpoint, place, wasTurnedAway }: PlaceReturn): Record<string, never> {
        const one = this.lent.get(endpoint);
        const nowMs = this.options.clock.nowMs();
        if (one !== undefined && wasTurnedAway) {
            one.turnedAwayMs.push(nowMs);
            one.room = Math.max(1, Math.floor(Math.min(one.room, one.held.size) * reduction));
            one.roomSinceMs = nowMs;
            this.options.log.event(EventId.PlacesReduced, { endpoint, held: one.held.size, places: one.room });
        }
        one?.held.delete(place);
        return {};
    }

    private update(one: LentPlaces, slots: number, nowMs: number): void {
        for (const [place, endMs] of one.held) {
            if (endMs <= nowMs) {
                one.held.delete(place);
            }
        }
        one.turnedAwayMs = one.turnedAwayMs.filter(atMs => nowMs - atMs < countedMs);
        const grown = Math.floor((nowMs - one.roomSinceMs) / growthMs);
        if (grown > 0) {
            one.room = Math.min(slots, one.room + grown);
            one.roomSinceMs += grown * growthMs;
        }
    }
}
