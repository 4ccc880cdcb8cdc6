/**
 * What endpoints have said of themselves in the heads of their replies: that they are leaving, that they want no
 * request for a while, how many requests they take, or how many they can turn away (kept by {@link EndpointLimits}). A leaving endpoint gets nothing
 * more from this host whatever the endpoint list says, since the list lags; another start of it has another id. A pause
 * ends by itself, a little later on some hosts than on others, so that a paused endpoint is not met by all hosts at
 * once.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import { Emitter } from "../common/Emitter.js";
import type { Clock, EndpointId, Random } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { EndpointLimits, StatementOrigin } from "./EndpointLimits.js";

/** A longer pause is ignored as absurd: the endpoint list tells of endpoints that are away for longer. */
const maxPauseMs = 60_000;
/** The end of a pause is spread over this share of its length, and over this time at least. */
const spreadShare = 0.25;
const minSpreadMs = 50;
/** Maximum number of endpoints that are remembered; the oldest are forgotten first. */
const maxRemembered = 4096;

/** What an endpoint states of its load in the head of a reply. */
export interface LoadStatement {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes there now, as a percentage of the usual time; undefined when it does not say. */
    readonly speed: number | undefined;
}

/** A reply with a statement on the load of its endpoint. */
export interface StatedLoad {
    readonly endpoint: EndpointId;
    /** Undefined when it can't be read. */
    readonly load: LoadStatement | undefined;
}

/** What one reply says of the endpoint that sent it. */
export interface EndpointNotice {
    /** True when the endpoint is about to end. */
    readonly isLeaving: boolean;
    /** For how long it wants no request; undefined when it does not say, NaN when that can't be read. */
    readonly pauseMs: number | undefined;
    /** Requests per second that it takes from all hosts together; undefined for no limit, NaN when that can't be read. */
    readonly limitPerSecond: number | undefined;
    /** Requests per second that it can turn away for want of room; undefined for any, NaN when that can't be read. */
    readonly turnAwaysPerSecond: number | undefined;
    /** Its load; left out when it does not say. */
    readonly load?: LoadStatement | "unreadable";
}

/** The headers of a reply by lower-case name, as Node.js gives them. */
export type ReplyHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Reads a platform's headers for {@link EndpointNotice}. */
export interface NoticeDecoder {
    /** Undefined when the reply is from another endpoint that has taken over the address. */
    decodeNotice(status: number, headers: ReplyHeaders): EndpointNotice | undefined;
}

export class EndpointNotices {
    private readonly leaving = new BoundedMap<EndpointId, true>(maxRemembered);
    private readonly pauseEndsMs = new BoundedMap<EndpointId, number>(maxRemembered);
    private readonly leavingReplies = new Emitter<EndpointId>();
    /** Fires when a reply to this host is the first to say that an endpoint is leaving. */
    public readonly onLeaving = this.leavingReplies.event;
    private readonly loadReplies = new Emitter<StatedLoad>();
    /** Fires for each reply with a statement on load. */
    public readonly onLoad = this.loadReplies.event;

    public constructor(
        private readonly decoder: NoticeDecoder,
        private readonly limits: EndpointLimits,
        private readonly brittle: EndpointLimits,
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Reads the head of a reply, of whatever kind, that an endpoint has sent to this host. */
    public observe(endpoint: EndpointId, status: number, headers: ReplyHeaders): void {
        const notice = this.decoder.decodeNotice(status, headers);
        if (notice === undefined) {
            return;
        }
        const { isLeaving, pauseMs, limitPerSecond, turnAwaysPerSecond, load } = notice;
        this.limits.recordReply(endpoint, limitPerSecond);
        this.brittle.recordReply(endpoint, turnAwaysPerSecond);
        if (isLeaving && !this.leaving.has(endpoint)) {
            this.addLeaving(endpoint, "reply");
            this.leavingReplies.fire(endpoint);
        }
        if (pauseMs !== undefined) {
            this.pause(endpoint, pauseMs);
        }
        if (load !== undefined) {
            this.loadReplies.fire({ endpoint, load: load === "unreadable" ? undefined : load });
        }
    }

    /** Takes over from other hosts that an endpoint has said that it is leaving. */
    public adoptLeaving(endpoint: EndpointId): void {
        if (!this.leaving.has(endpoint)) {
            this.addLeaving(endpoint, "hosts");
        }
    }

    /** True once the endpoint has said that it is leaving. */
    public isLeaving(endpoint: EndpointId): boolean {
        return this.leaving.has(endpoint);
    }

    /** When the endpoint may get requests again, on the local clock; a time in the past when it may now. */
    public pauseEndMs(endpoint: EndpointId): number {
        return this.pauseEndsMs.get(endpoint) ?? -Infinity;
    }

    public isPaused(endpoint: EndpointId): boolean {
        return this.clock.nowMs() < this.pauseEndMs(endpoint);
    }

    /** Requests per second that the endpoint takes from all hosts together; undefined for no limit. */
    public limitPerSecond(endpoint: EndpointId): number | undefined {
        return this.limits.perSecond(endpoint);
    }

    private addLeaving(endpoint: EndpointId, from: StatementOrigin): void {
        this.leaving.set(endpoint, true);
        this.metrics.count("endpoint_notices", { kind: "leaving" });
        this.log.event(EventId.EndpointSaysLeaving, { endpoint, from });
    }

    private pause(endpoint: EndpointId, pauseMs: number): void {
        if (!(pauseMs >= 0 && pauseMs <= maxPauseMs)) {
            this.metrics.count("endpoint_notices", { kind: "ignored" });
            this.log.event(EventId.EndpointPauseIgnored, { endpoint, pauseMs: String(pauseMs) });
            return;
        }
        const spreadMs = Math.max(minSpreadMs, pauseMs * spreadShare) * this.random.next();
        const endMs = this.clock.nowMs() + pauseMs + spreadMs;
        if (endMs > this.pauseEndMs(endpoint)) {
            this.pauseEndsMs.set(endpoint, endMs);
            this.metrics.count("endpoint_notices", { kind: "pause" });
            this.log.event(EventId.EndpointPaused, { endpoint, pauseMs: Math.round(pauseMs) });
        }
    }
}
