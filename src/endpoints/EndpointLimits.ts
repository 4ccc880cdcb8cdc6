/**
 * Figures with which endpoints limit the fleet, as they state them in the heads of their replies: how many requests they
 * take in a second, or how many they can turn away. A figure holds for the sum of all hosts, from the first reply that
 * states it until one of the same start of the endpoint without it. Hosts tell each other what they have read; for each
 * endpoint the statement that was made last counts.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import { Emitter } from "../common/Emitter.js";
import type { Clock, EndpointId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";

/** A limit that can't be read, or is smaller than this, counts as this: few requests, whose replies may lift it. */
const minPerSecond = 0.25;
/** Maximum number of endpoints that are remembered; the oldest are forgotten first. */
const maxRemembered = 4096;

/** "limit": requests that an endpoint takes; "brittle": requests beyond its room that it can turn away, or it ends. */
export type LimitMatter = "limit" | "brittle";

const changeEvents = { limit: EventId.EndpointLimitChanged, brittle: EventId.EndpointBrittlenessChanged };

/** What an endpoint has last stated. */
export interface EndpointLimit {
    /** Requests per second over all hosts; undefined for no limit. */
    readonly perSecond: number | undefined;
    /** When it was stated, on the local clock. */
    readonly statedMs: number;
}

/** Whether this host has read a statement in a reply, or was told of it by other hosts. */
export type StatementOrigin = "reply" | "hosts";

interface KnownLimit extends EndpointLimit {
    readonly from: StatementOrigin;
}

export class EndpointLimits {
    private readonly limits = new BoundedMap<EndpointId, KnownLimit>(maxRemembered);
    private readonly replies = new Emitter<EndpointId>();
    /** Fires when a reply to this host has stated a limit, or has stated none where one was known. */
    public readonly onReply = this.replies.event;

    /** `clock` must include the time in which the machine is suspended, since ages are compared between hosts. */
    public constructor(
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
        public readonly matter: LimitMatter = "limit",
    ) {}

    /** Records the limit in a reply: requests per second, undefined for none, NaN when it can't be read. */
    public recordReply(endpoint: EndpointId, stated: number | undefined): void {
        const known = this.limits.get(endpoint);
        if (stated === undefined && known === undefined) {
            return;
        }
        if (stated !== undefined && !(stated >= 0)) {
            this.metrics.count("endpoint_notices", { kind: "ignored" });
            this.log.event(EventId.EndpointLimitUnreadable, {
                endpoint,
                matter: this.matter,
                known: known?.perSecond,
            });
        }
        const perSecond = stated === undefined ? undefined : readLimit(stated, known?.perSecond);
        this.set(endpoint, { perSecond, statedMs: this.clock.nowMs(), from: "reply" });
        this.replies.fire(endpoint);
    }

    /** Takes over what other hosts tell of an endpoint, unless a later statement is known. */
    public adopt(endpoint: EndpointId, told: EndpointLimit): void {
        const known = this.limits.get(endpoint);
        if (known === undefined ? told.perSecond !== undefined : told.statedMs > known.statedMs) {
            this.set(endpoint, { ...told, from: "hosts" });
        }
    }

    /** The last statement of an endpoint; undefined when none is known. */
    public get(endpoint: EndpointId): KnownLimit | undefined {
        return this.limits.get(endpoint);
    }

    /** Requests per second that the endpoint takes from all hosts together; undefined for no limit. */
    public perSecond(endpoint: EndpointId): number | undefined {
        return this.limits.get(endpoint)?.perSecond;
    }

    private set(endpoint: EndpointId, limit: KnownLimit): void {
        const before = this.limits.get(endpoint)?.perSecond;
        this.limits.set(endpoint, limit);
        const { perSecond, statedMs, from } = limit;
        if (perSecond !== before) {
            const ageMs = Math.round(this.clock.nowMs() - statedMs);
            this.metrics.count("endpoint_notices", { kind: this.matter });
            this.log.event(changeEvents[this.matter], { endpoint, perSecond, before, from, ageMs });
        }
    }
}

/** A limit that can't be read leaves the known one unchanged. */
function readLimit(stated: number, known: number | undefined): number {
    return Math.max(minPerSecond, stated >= 0 ? stated : known ?? 0);
}
