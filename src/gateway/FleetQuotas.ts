/**
 * Fleet-wide limits that hosts keep without exchanging messages: each host stays within its own quota, and the quotas
 * of all hosts, including isolated ones, add up to no more than the limit. A quota depends on the number of recently
 * seen hosts, plus a reserve for hosts that have just joined.
 */
import { RecentTimes } from "../common/RecentTimes.js";
import type { Clock, EndpointId, HostId } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { EntryHost, FleetBounds, FleetSource, Service, ServiceId } from "../fleet/Types.js";

/** Number of hosts that may have joined without being known here yet. */
const reserveHosts = 2;
/** Share of a limit that is used; the rest covers requests that arrive bunched. */
const usedShare = 0.7;
/** Maximum number of hosts that send to one cold endpoint. */
const maxColdSenders = 5;
/** Number of additional requests of one host that may arrive within a second because of bunching. */
const bunchedArrivals = 1;

/** Limits the retries of this host, for each service, to its share of the fleet's retry budget. */
export class FleetRetryBudget {
    private readonly requests: RecentTimes<ServiceId>;
    private readonly retries: RecentTimes<ServiceId>;

    public constructor(
        private readonly bounds: FleetBounds,
        private readonly fleet: FleetSource,
        clock: Clock,
    ) {
        this.requests = new RecentTimes(clock, bounds.retryWindowMs);
        this.retries = new RecentTimes(clock, bounds.retryWindowMs);
    }

    /** Counts a request of a caller, on which the retry budget is based. */
    public recordRequest(service: ServiceId): void {
        this.requests.record(service);
    }

    /** True when a request may be sent again. */
    public isAvailable(service: ServiceId): boolean {
        const { retryShare, retrySlack } = this.bounds;
        const hosts = this.fleet.view().hosts.length + reserveHosts;
        const requests = this.requests.count(service);
        const retries = this.retries.count(service);
        return retries + 1 <= usedShare * (retryShare * requests + retrySlack / hosts);
    }

    /** Returns true, and counts the retry, when a request may be sent again. */
    public tryAcquire(service: ServiceId): boolean {
        const isAvailable = this.isAvailable(service);
        if (isAvailable) {
            this.retries.record(service);
        }
        return isAvailable;
    }
}

/**
 * Limits requests to cold endpoints: only the first hosts in an endpoint's rendezvous order send to it, at a low rate.
 */
export class ColdStartQuota {
    private readonly lastSentMs = new Map<EndpointId, number>();
    private readonly senders = new Map<EndpointId, readonly HostId[]>();
    private hosts: readonly EntryHost[] = [];

    public constructor(
        private readonly self: HostId,
        private readonly bounds: FleetBounds,
        private readonly fleet: FleetSource,
        private readonly clock: Clock,
    ) {}

    /** True when this host may send a request to a cold endpoint now; the caller then calls {@link recordSend}. */
    public maySend(endpoint: EndpointId, service: Service): boolean {
        const senders = this.sendersTo(endpoint);
        if (!senders.includes(this.self)) {
            return false;
        }
        const { coldOverrun, coldSlack } = this.bounds;
        // While the list of hosts changes, two versions with different senders may be in use, hence half of the rate.
        const ratePerSender = usedShare * (service.coldPerSecond * coldOverrun + coldSlack) / (2 * senders.length);
        const intervalMs = 1000 / Math.max(ratePerSender - bunchedArrivals, 0.5);
        return this.clock.nowMs() - (this.lastSentMs.get(endpoint) ?? -Infinity) >= intervalMs;
    }

    public recordSend(endpoint: EndpointId): void {
        this.lastSentMs.set(endpoint, this.clock.nowMs());
    }

    /** The hosts that may send to a cold endpoint; worked out again only when the list of hosts has changed. */
    private sendersTo(endpoint: EndpointId): readonly HostId[] {
        const { hosts } = this.fleet.view();
        if (hosts !== this.hosts) {
            this.hosts = hosts;
            this.senders.clear();
        }
        const known = this.senders.get(endpoint)
            ?? rankByWeight(endpoint, hosts.map(one => one.host)).slice(0, maxColdSenders);
        this.senders.set(endpoint, known);
        return known;
    }
}
