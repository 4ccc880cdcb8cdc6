/**
 * Entry hosts that send requests to brittle endpoints, over simulated network and time. An endpoint runs as many
 * requests at the same time as it has room for, turns others away, and falls over when these are too many in a second.
 */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { HostId } from "../src/common/Types.js";
import { EndpointLimits } from "../src/endpoints/EndpointLimits.js";
import type { EntryHost, ListedEndpoint } from "../src/fleet/Types.js";
import type { EndpointPermits } from "../src/limits/EndpointPermits.js";
import { FakeClock } from "./FakeClock.js";
import { FakeNetwork } from "./FakeNetwork.js";
import { entryHosts, FixedFleet, listed, noMetrics, silentLog, testPermits } from "./FleetFixtures.js";

const stepMs = 20;
const runMs = 200;
const countedMs = 1000;
/** A request waits for an endpoint with a place for this long. */
const waitMs = 400;
const pauseMs = 20;
/** Way of a request to an endpoint, and of its reply. */
const wayMs = 1;

interface BrittleSiteOptions {
    readonly hosts: number;
    readonly endpoints: number;
    /** Requests that an endpoint says that it runs at the same time, and those that it has room for. */
    readonly slots: number;
    readonly room: number;
    /** Requests that an endpoint can turn away in a second. */
    readonly turnAways: number;
}

interface SimulatedEndpoint {
    readonly listed: ListedEndpoint;
    running: number;
    turnedAwayMs: number[];
}

interface SimulatedHost {
    readonly id: HostId;
    readonly fleet: FixedFleet;
    permits: EndpointPermits;
}

export class BrittleSite {
    public falls = 0;
    public served = 0;
    private readonly clock = new FakeClock();
    private readonly network = new FakeNetwork(this.clock);
    private readonly random = new SeededRandom(1);
    private readonly hosts: readonly SimulatedHost[];
    private readonly endpoints: readonly SimulatedEndpoint[];

    public constructor(private readonly options: BrittleSiteOptions) {
        this.network.faults.minDelayMs = 0.5;
        this.network.faults.maxDelayMs = 2;
        this.endpoints = Array.from({ length: options.endpoints }, (_, at) => ({
            listed: listed(`e${at}`, { slots: options.slots }),
            running: 0,
            turnedAwayMs: [],
        }));
        const all = entryHosts(options.hosts);
        this.hosts = all.map(({ host }) => {
            const fleet = new FixedFleet();
            const one = { id: host, fleet, permits: this.startPermits(host, fleet) };
            fleet.set({ hosts: all });
            return one;
        });
    }

    /** Requests per second that the endpoints have room for. */
    public get servedPerSecond(): number {
        return this.options.endpoints * this.options.room * 1000 / (runMs + 2 * wayMs);
    }

    public restartAll(): void {
        for (const host of this.hosts) {
            host.permits = this.startPermits(host.id, host.fleet);
            host.fleet.set({ hosts: [...host.fleet.view().hosts] });
        }
    }

    /** Cuts the first hosts off from all others. */
    public isolate(count: number): void {
        this.hosts.slice(0, count).forEach(one => this.network.isolate(one.id));
    }

    /** Sets which hosts a host believes to be live. */
    public setView(at: number, isLive: (index: number) => boolean): void {
        const { fleet } = this.hosts[at]!;
        const hosts = fleet.view().hosts.map((one: EntryHost, index) => ({ ...one, isLive: isLive(index) }));
        fleet.set({ hosts });
    }

    /** Sends `load` times the requests that the endpoints have room for, from hosts drawn by lot. */
    public async run(seconds: number, load: number, onStep: (atMs: number) => void): Promise<void> {
        const perStep = this.servedPerSecond * load * stepMs / 1000;
        let due = 0;
        for (let atMs = 0; atMs < seconds * 1000; atMs += stepMs) {
            onStep(atMs);
            for (due += perStep; due >= 1; due -= 1) {
                void this.send(this.hosts[this.random.below(this.hosts.length)]!);
            }
            await this.clock.advance(stepMs);
        }
    }

    private async send({ permits }: SimulatedHost): Promise<void> {
        const { clock, random, endpoints } = this;
        const untilMs = clock.nowMs() + waitMs;
        while (clock.nowMs() < untilMs) {
            const free = endpoints.filter(one => permits.heldOffMs(one.listed.id, 0) === 0);
            const endpoint = free[random.below(Math.max(1, free.length))];
            if (endpoint === undefined) {
                await clock.sleep(pauseMs);
                continue;
            }
            const permit = await permits.acquire(endpoint.listed, 0, { holdMs: 2 * runMs });
            if (permit.kind === "granted") {
                const isServed = await this.arrive(endpoint);
                permit.place?.release(!isServed);
                if (isServed) {
                    this.served += 1;
                    return;
                }
            }
        }
    }

    /** Runs a request at an endpoint; false when it was turned away. */
    private async arrive(endpoint: SimulatedEndpoint): Promise<boolean> {
        const { clock, options } = this;
        await clock.sleep(wayMs);
        const nowMs = clock.nowMs();
        if (endpoint.running < options.room) {
            endpoint.running += 1;
            await clock.sleep(runMs);
            endpoint.running -= 1;
            await clock.sleep(wayMs);
            return true;
        }
        endpoint.turnedAwayMs = [...endpoint.turnedAwayMs.filter(atMs => atMs > nowMs - countedMs), nowMs];
        if (endpoint.turnedAwayMs.length > options.turnAways) {
            endpoint.turnedAwayMs = [];
            this.falls += 1;
        }
        await clock.sleep(wayMs);
        return false;
    }

    private startPermits(self: HostId, fleet: FixedFleet): EndpointPermits {
        const { clock, network } = this;
        const limits = new EndpointLimits(clock, silentLog, noMetrics);
        const brittle = new EndpointLimits(clock, silentLog, noMetrics, "brittle");
        this.endpoints.forEach(({ listed: { id } }) => brittle.recordReply(id, this.options.turnAways));
        return testPermits({ self, fleet, limits, brittle, peers: network.addHost(self), clock });
    }
}
