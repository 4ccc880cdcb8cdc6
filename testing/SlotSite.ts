/**
 * Hosts of one or more data centres in one process: membership, slot owners and holders over a fake network and clock,
 * and fake endpoints that count the calls in flight on them.
 */
import type { Clock, DataCentreId, EndpointId, HostId, Incarnation } from "../src/common/Types.js";
import type { EndpointSettings, Settings } from "../src/config/Schema.js";
import { EndpointTable } from "../src/endpoints/EndpointTable.js";
import { OwnerAuthority } from "../src/endpoints/OwnerAuthority.js";
import { OwnerEpochs } from "../src/endpoints/OwnerEpochs.js";
import { SlotHolderClient } from "../src/endpoints/SlotHolderClient.js";
import { SlotOwner } from "../src/endpoints/SlotOwner.js";
import type { CallEnd, LoadSource, Priority } from "../src/endpoints/Types.js";
import type { LoadReportMessage } from "../src/endpoints/Wire.js";
import { HeartbeatMembership } from "../src/membership/HeartbeatMembership.js";
import { FakeClock } from "./FakeClock.js";
import { FakeLeases } from "./FakeLeases.js";
import { FakeNetwork } from "./FakeNetwork.js";
import { MemoryLog } from "./MemoryLog.js";
import { FixedConfig, testSettings, testView } from "./TestSettings.js";

/**
 * An endpoint that counts its calls in flight. When cold it can run `coldLimit` calls at once; each completed call adds
 * one, up to `warmLimit`.
 */
export class FakeEndpoint {
    public inFlight = 0;
    public maxInFlight = 0;
    /** Calls that exceeded the number that the endpoint could run at once. */
    public overloads = 0;
    public completed = 0;
    public received = 0;
    public refusesConnections = false;
    public lastCallAtMs = 0;
    /** When set, an overloading call crashes the endpoint: it refuses connections for this time, then is cold. */
    public crashOnOverloadMs: number | undefined;
    public crashes = 0;
    public starts = 1;
    private warmth = 0;
    private readonly history: { readonly atMs: number; readonly running: number; }[] = [];
    private startedAtMs: number;

    public constructor(
        public readonly id: EndpointId,
        public readonly settings: EndpointSettings,
        private readonly clock: Clock,
        private readonly reportLagMs: number = 300,
    ) {
        this.startedAtMs = clock.nowMs();
    }

    public get incarnation(): string {
        return `${this.id}.${this.starts}`;
    }

    /** Number of calls that the endpoint can run at once now. */
    public get bearable(): number {
        return Math.min(this.settings.warmLimit, this.settings.coldLimit + this.warmth);
    }

    /** Turns cold without a restart. */
    public turnCold(): void {
        this.warmth = 0;
    }

    /** Starts a new process; calls in flight end with the old one. */
    public restart(): void {
        this.starts += 1;
        this.startedAtMs = this.clock.nowMs();
        this.inFlight = 0;
        this.warmth = 0;
        this.recordLoad();
    }

    /** Crashes the process; after `forMs` the endpoint accepts connections again and is cold. */
    public async crash(forMs: number): Promise<void> {
        this.crashes += 1;
        this.refusesConnections = true;
        this.restart();
        await this.clock.sleep(forMs);
        this.refusesConnections = false;
    }

    /** Makes the endpoint warm at once. */
    public warmUp(): void {
        this.warmth = this.settings.warmLimit;
    }

    /** Runs one call that takes `durationMs`. */
    public async run(durationMs: number): Promise<CallEnd> {
        const start = this.starts;
        this.lastCallAtMs = this.clock.nowMs();
        this.received += 1;
        if (this.refusesConnections) {
            return "refused";
        }
        this.inFlight += 1;
        this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
        if (this.inFlight > this.bearable) {
            this.overloads += 1;
            if (this.crashOnOverloadMs !== undefined) {
                void this.crash(this.crashOnOverloadMs);
                return "crashed";
            }
        }
        this.recordLoad();
        await this.clock.sleep(durationMs);
        if (start !== this.starts) {
            return "crashed";
        }
        this.inFlight -= 1;
        this.completed += 1;
        this.warmth += 1;
        this.recordLoad();
        return "succeeded";
    }

    public report(): LoadReportMessage | undefined {
        if (!this.settings.reportsLoad || this.refusesConnections) {
            return undefined;
        }
        const seenUntilMs = this.clock.nowMs() - this.reportLagMs;
        const seen = this.history.filter(one => one.atMs <= seenUntilMs).at(-1);
        return {
            incarnation: this.incarnation,
            state: this.bearable >= this.settings.warmLimit ? "warm" : this.warmth > 0 ? "warming" : "cold",
            uptimeMs: this.clock.nowMs() - this.startedAtMs,
            running: seen?.running ?? 0,
            waiting: 0,
        };
    }

    private recordLoad(): void {
        this.history.push({ atMs: this.clock.nowMs(), running: this.inFlight });
        if (this.history.length > 2000) {
            this.history.splice(0, 1000);
        }
    }
}

export interface CallResult {
    readonly end: CallEnd | "no-slot" | "closed" | "owner-unreachable" | "lease-lost";
    readonly waitedMs: number;
}

export interface SlotSiteOptions {
    readonly settings?: Settings;
    readonly seed?: number;
    /** True to add a config group that confirms owner epochs. */
    readonly withEpochs?: boolean;
}

/** Membership and slot components of one host's process. */
export class SiteHost {
    public readonly membership: HeartbeatMembership;
    public readonly epochs: OwnerEpochs | undefined;
    public readonly authority: OwnerAuthority;
    public readonly owner: SlotOwner;
    public readonly holder: SlotHolderClient;
    public readonly table: EndpointTable;
    private readonly stop = new AbortController();

    public constructor(
        public readonly site: SlotSite,
        public readonly id: HostId,
        public readonly config: FixedConfig,
        public readonly incarnation: Incarnation,
        public readonly log: MemoryLog,
        public readonly clock: Clock,
    ) {
        const node = site.network.addHost(id);
        const dataCentre = config.current()!.settings.hosts[id]!.dataCentre;
        const shared = { registry: node, transport: node, config, clock, log };
        this.membership = new HeartbeatMembership({ ...shared, self: id, dataCentre, incarnation });
        this.epochs = site.leases === undefined
            ? undefined
            : new OwnerEpochs({ ...shared, membership: this.membership, leases: site.leases.serviceOf(id, clock) });
        this.authority = new OwnerAuthority(this.membership, config, this.epochs);
        const common = { ...shared, membership: this.membership, authority: this.authority };
        this.owner = new SlotOwner({ ...common, loads: site.loads(this) });
        this.holder = new SlotHolderClient({ ...common, localOwner: this.owner });
        this.table = new EndpointTable({ dataCentre, config, held: this.holder, clock });
    }

    public get stopped(): boolean {
        return this.stop.signal.aborted;
    }

    public start(): void {
        for (const service of [this.membership, this.epochs, this.owner, this.holder]) {
            void service?.run(this.stop.signal);
        }
    }

    public abort(): void {
        this.stop.abort();
    }

    /** Makes one call on an endpoint, from the request for a slot to its release. */
    public async call(
        endpoint: EndpointId,
        durationMs: number,
        timeoutMs: number = 2000,
        priority: Priority = 1,
        beforeBegin: () => Promise<void> = () => Promise.resolve(),
    ): Promise<CallResult> {
        const startMs = this.clock.nowMs();
        const deadlineMs = startMs + timeoutMs;
        const acquired = await this.holder.acquire(endpoint, { priority, deadlineMs });
        const waitedMs = this.clock.nowMs() - startMs;
        if (acquired.isLeft()) {
            return { end: acquired.extract().kind, waitedMs };
        }
        const slot = acquired.unsafeCoerce();
        await beforeBegin();
        if (!slot.begin()) {
            slot.release("never-sent");
            return { end: "lease-lost", waitedMs };
        }
        const target = this.site.endpoint(endpoint);
        // A caller ends its call at the deadline.
        const leftMs = deadlineMs - this.clock.nowMs();
        const end = await target.run(Math.min(durationMs, leftMs));
        if (!this.stopped) {
            const firstByteMs = end === "succeeded" ? durationMs : undefined;
            const endpointIncarnation = end === "succeeded" ? target.incarnation : undefined;
            slot.release(end, { firstByteMs, totalMs: durationMs, endpointIncarnation });
        }
        return { end, waitedMs };
    }
}

export class SlotSite {
    public readonly clock = new FakeClock();
    public readonly network: FakeNetwork;
    public readonly settings: Settings;
    public readonly hosts = new Map<HostId, SiteHost>();
    private readonly endpoints = new Map<EndpointId, FakeEndpoint>();
    public readonly leases: FakeLeases | undefined;
    private incarnations = 0;
    /** Endpoints whose load report a host can't fetch, as `host>endpoint`. */
    private readonly unreachable = new Set<string>();

    public constructor(options: SlotSiteOptions = {}) {
        this.network = new FakeNetwork(this.clock, options.seed ?? 1);
        this.leases = options.withEpochs === true ? new FakeLeases(this.clock) : undefined;
        this.network.faults.minDelayMs = 0.5;
        this.network.faults.maxDelayMs = 1;
        this.settings = options.settings ?? testSettings();
        for (const [id, settings] of Object.entries(this.settings.endpoints)) {
            this.endpoints.set(id as EndpointId, new FakeEndpoint(id as EndpointId, settings, this.clock));
        }
    }

    /** Starts all hosts, or those of one data centre. */
    public startAll(dataCentre?: string): void {
        for (const [id, host] of Object.entries(this.settings.hosts)) {
            if (dataCentre === undefined || host.dataCentre === dataCentre as DataCentreId) {
                this.startHost(id);
            }
        }
    }

    /** Starts a process on a host, with its own clock offset. */
    public startHost(id: string): SiteHost {
        this.incarnations += 1;
        const config = this.hosts.get(id as HostId)?.config ?? new FixedConfig(testView(this.settings));
        const clock = this.clock.shifted(this.incarnations * 1000);
        const incarnation = this.incarnations as Incarnation;
        const host = new SiteHost(this, id as HostId, config, incarnation, new MemoryLog(), clock);
        this.hosts.set(id as HostId, host);
        host.start();
        return host;
    }

    public kill(id: string): void {
        this.host(id).abort();
        this.network.kill(id as HostId);
    }

    public host(id: string): SiteHost {
        return this.hosts.get(id as HostId)!;
    }

    public endpoint(id: string): FakeEndpoint {
        return this.endpoints.get(id as EndpointId)!;
    }

    public get live(): SiteHost[] {
        return [...this.hosts.values()].filter(host => !host.stopped);
    }

    /** Returns the host that, in its own view, owns an endpoint's whole limit. */
    public ownerOf(endpoint: string): SiteHost | undefined {
        return this.live.find(host => host.authority.ownership(endpoint as EndpointId).isOwn);
    }

    public loads(host: SiteHost): LoadSource {
        return {
            fetch: async endpoint => {
                await this.clock.sleep(1);
                return this.unreachable.has(`${host.id}>${endpoint}`) ? undefined : this.endpoint(endpoint).report();
            },
        };
    }

    public stopAll(): void {
        for (const host of this.hosts.values()) {
            host.abort();
        }
    }
}
