/**
 * Entry hosts that share the limits of endpoints, over simulated network and time. A send is a request with a permit.
 */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { DataCentreId, HostId } from "../src/common/Types.js";
import { EndpointLimits } from "../src/endpoints/EndpointLimits.js";
import type { EntryHost, ListedEndpoint } from "../src/fleet/Types.js";
import type { EndpointPermits } from "../src/limits/EndpointPermits.js";
import type { PeerTransport } from "../src/peer/Types.js";
import { FakeClock } from "./FakeClock.js";
import { FakeNetwork } from "./FakeNetwork.js";
import { entryHosts, FixedFleet, listed, noMetrics, silentLog, testPermits } from "./FleetFixtures.js";
import { mostInWindow } from "./LimitRule.js";

const stepMs = 20;

interface PermitHost {
    readonly id: HostId;
    readonly fleet: FixedFleet;
    permits: EndpointPermits;
}

export interface Send {
    readonly host: HostId;
    readonly endpoint: ListedEndpoint;
    readonly priority: number;
    readonly atMs: number;
}

export class PermitSite {
    public readonly clock = new FakeClock();
    public readonly network = new FakeNetwork(this.clock);
    public readonly sends: Send[] = [];
    /** Number of requests by priority that got no permit at any endpoint. */
    public readonly refused = new Map<number, number>();
    public readonly hosts: readonly PermitHost[];
    public readonly endpoints: readonly ListedEndpoint[];
    private readonly random = new SeededRandom(1);

    /** All hosts and endpoints are spread over `dataCentres`, and the hosts know each other. */
    public constructor(hosts: number, endpoints: number, public perSecond: number, dataCentres: number = 1) {
        const centreOf = (at: number) => `dc${at % dataCentres}` as DataCentreId;
        const all = entryHosts(hosts).map((one, at) => ({ ...one, dataCentre: centreOf(at) }));
        this.network.faults.minDelayMs = 0.5;
        this.network.faults.maxDelayMs = 2;
        this.endpoints = Array.from({ length: endpoints }, (_, at) => listed(`e${at}`, { dataCentre: centreOf(at) }));
        this.hosts = all.map(({ host }) => {
            const fleet = new FixedFleet();
            const started = { id: host, fleet, permits: this.startPermits(host, fleet) };
            fleet.set({ hosts: all });
            return started;
        });
    }

    /** Starts the process of a host anew, with nothing remembered. */
    public restart(at: number): void {
        const host = this.hosts[at]!;
        host.permits = this.startPermits(host.id, host.fleet);
        host.fleet.set({ hosts: [...host.fleet.view().hosts] });
    }

    /** Sets which hosts a host believes to be live. */
    public setView(at: number, isLive: (host: EntryHost, at: number) => boolean): void {
        const { fleet } = this.hosts[at]!;
        fleet.set({ hosts: fleet.view().hosts.map((one, index) => ({ ...one, isLive: isLive(one, index) })) });
    }

    /**
     * Each of the hosts sends requests at `perHost` a second, each to the first endpoint in a random order that lends a
     * permit. `onStep` is called with the time since the start.
     */
    public async run(
        seconds: number,
        perHost: number,
        priorities: readonly number[] = [0],
        onStep: (atMs: number) => void = () => undefined,
    ): Promise<void> {
        for (let atMs = 0; atMs < seconds * 1000; atMs += stepMs) {
            onStep(atMs);
            for (const host of this.hosts) {
                if (this.random.next() < perHost * stepMs / 1000) {
                    void this.send(host, priorities[this.random.below(priorities.length)] ?? 0);
                }
            }
            await this.clock.advance(stepMs);
        }
    }

    /** Largest number of requests that an endpoint has got within a window. */
    public mostInWindow(): number {
        const timesAt = (endpoint: ListedEndpoint) =>
            this.sends.filter(one => one.endpoint === endpoint).map(one => one.atMs);
        return Math.max(...this.endpoints.map(endpoint => mostInWindow(timesAt(endpoint))));
    }

    private async send(host: PermitHost, priority: number): Promise<void> {
        const first = this.random.below(this.endpoints.length);
        for (const endpoint of [...this.endpoints.slice(first), ...this.endpoints.slice(0, first)]) {
            if (host.permits.heldOffMs(endpoint.id, priority) > 0) {
                continue;
            }
            const outcome = await host.permits.acquire(endpoint, priority, { holdMs: undefined });
            if (outcome.kind !== "denied") {
                this.sends.push({ host: host.id, endpoint, priority, atMs: this.clock.nowMs() });
                return;
            }
        }
        this.refused.set(priority, (this.refused.get(priority) ?? 0) + 1);
    }

    /**
     * Starts a process of a host, to which all endpoints have stated their limits. With `transport`, its requests to
     * other hosts go there.
     */
    public startPermits(self: HostId, fleet: FixedFleet, transport?: PeerTransport): EndpointPermits {
        const { clock, network } = this;
        const limits = new EndpointLimits(clock, silentLog, noMetrics);
        this.endpoints.forEach(({ id }) => limits.recordReply(id, this.perSecond));
        return testPermits({ self, fleet, limits, peers: network.addHost(self), clock }, transport);
    }
}
