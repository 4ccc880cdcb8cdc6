/**
 * Limits that hold over all hosts, kept without messages: each host works within a share of its own, and the shares of
 * all hosts, cut-off ones included, stay within the limit. What counts is the number of hosts that were heard lately,
 * with some to spare for hosts that have only just come.
 */
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { FleetBounds, FleetSource, Service, ServiceId } from "../fleet/Types.js";

/** Hosts that may have come without being known here yet. */
const spareHosts = 2;
/** Part of a limit that is used at all; the rest covers arrivals bunched on their way. */
const usedPart = 0.7;
/** Hosts that send to one cold endpoint at most. */
const coldSenders = 5;
/** Arrivals of one host may bunch by one request within a second. */
const bunchedArrivals = 1;

/** Repeats of requests to one service by this host, within its share of the fleet's budget. */
export class FleetRetryBudget {
    private readonly requests = new Map<ServiceId, number[]>();
    private readonly repeats = new Map<ServiceId, number[]>();

    public constructor(
        private readonly bounds: FleetBounds,
        private readonly fleet: FleetSource,
        private readonly clock: Clock,
    ) {}

    public recordRequest(service: ServiceId): void {
        this.recent(this.requests, service).push(this.clock.nowMs());
    }

    /** True when the request may be sent once more; it then counts. */
    public tryAcquire(service: ServiceId): boolean {
        const { retryShare, retrySlack } = this.bounds;
        const hosts = this.fleet.view().hosts.length + spareHosts;
        const requests = this.recent(this.requests, service).length;
        const repeats = this.recent(this.repeats, service);
        const allowed = usedPart * (retryShare * requests + retrySlack / hosts);
        if (repeats.length + 1 > allowed) {
            return false;
        }
        repeats.push(this.clock.nowMs());
        return true;
    }

    private recent(times: Map<ServiceId, number[]>, service: ServiceId): number[] {
        const sinceMs = this.clock.nowMs() - this.bounds.retryWindowMs;
        const known = times.get(service) ?? [];
        const firstRecent = known.findIndex(atMs => atMs >= sinceMs);
        known.splice(0, firstRecent < 0 ? known.length : firstRecent);
        times.set(service, known);
        return known;
    }
}

/** Requests to cold endpoints: only the first hosts in an endpoint's rendezvous order send to it, at a low pace. */
export class ColdStartQuota {
    private readonly lastSentMs = new Map<EndpointId, number>();

    public constructor(
        private readonly self: HostId,
        private readonly bounds: FleetBounds,
        private readonly fleet: FleetSource,
        private readonly clock: Clock,
    ) {}

    /** True when this host may send a request to a cold endpoint now; {@link recordSend} is to follow. */
    public maySend(endpoint: EndpointId, service: Service): boolean {
        const hosts = this.fleet.view().hosts.map(one => one.host);
        const senders = rankByWeight(endpoint, hosts).slice(0, coldSenders);
        if (!senders.includes(this.self)) {
            return false;
        }
        const { coldOverrun, coldSlack } = this.bounds;
        // Two views of the hosts may be in use while they change, with senders of their own.
        const perSender = usedPart * (service.coldPerSecond * coldOverrun + coldSlack) / (2 * senders.length);
        const paceMs = 1000 / Math.max(perSender - bunchedArrivals, 0.5);
        return this.clock.nowMs() - (this.lastSentMs.get(endpoint) ?? -Infinity) >= paceMs;
    }

    public recordSend(endpoint: EndpointId): void {
        this.lastSentMs.set(endpoint, this.clock.nowMs());
    }
}
