/** Control hosts and entry hosts of a fleet over the fakes for network, disk and clock. */
import { Right } from "purify-ts";
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { DataCentreId, HostId, Incarnation } from "../src/common/Types.js";
import { ControlGroupManager } from "../src/fleet/ControlGroupManager.js";
import { EndpointListReader } from "../src/fleet/EndpointListReader.js";
import { FleetClient } from "../src/fleet/FleetClient.js";
import { FleetPublisher } from "../src/fleet/FleetPublisher.js";
import { FleetState } from "../src/fleet/FleetState.js";
import { OperatorCallHandler } from "../src/fleet/OperatorCallHandler.js";
import { RolloutCalls } from "../src/fleet/RolloutCalls.js";
import type { DeploymentDecoder, EndpointListSource, ListedEndpoint } from "../src/fleet/Types.js";
import { HostLoad } from "../src/load/HostLoad.js";
import { LoadBoard } from "../src/load/LoadBoard.js";
import { RaftLog } from "../src/replication/RaftLog.js";
import type { CompactionLimits } from "../src/replication/Replica.js";
import type { RolloutBounds } from "../src/rollouts/Types.js";
import type { EventLog } from "../src/telemetry/Types.js";
import { FakeClock } from "./FakeClock.js";
import { type CrashLoss, FakeDisk } from "./FakeDisk.js";
import { FakeNetwork } from "./FakeNetwork.js";
import { deployment, noMetrics, silentLog } from "./FleetFixtures.js";

const timing = { electionMs: 900, heartbeatMs: 200, clockDriftMs: 50 };

/** Decodes a configuration whose text is only its version number. */
export const versionDecoder: DeploymentDecoder = {
    decode: text => Right({ ...deployment([], []), version: Number(text) }),
};

export interface ControlHost {
    readonly id: HostId;
    readonly log: RaftLog;
    readonly state: FleetState;
    readonly operator: OperatorCallHandler;
    readonly reader: EndpointListReader;
    readonly groupManager: ControlGroupManager;
    readonly disk: FakeDisk;
    readonly stop: AbortController;
}

export class FleetCluster {
    public readonly clock = new FakeClock();
    public readonly network: FakeNetwork;
    public readonly controls = new Map<string, ControlHost>();
    public readonly entries = new Map<string, FleetClient>();
    /** Load of the fleet as known to entry hosts. */
    public readonly loads = new Map<string, HostLoad>();
    /** Whether hosts that are started from now on report load; false for those of an older version. */
    public sharesLoad = true;
    /** The endpoints that the platform lists; control hosts read them. */
    public listed: readonly ListedEndpoint[] = [];
    public listReads = 0;
    /** Bounds of roll-outs; undefined for a deployment without them. */
    public rolloutBounds: RolloutBounds | undefined;
    public decoder = versionDecoder;
    /** When control hosts that are started from now on compact their logs. */
    public compaction: CompactionLimits | undefined;
    /** Receives the log events of control hosts that roll-outs write. */
    public events: EventLog = silentLog;
    private starts = 0;

    public constructor(private readonly seeds: readonly string[], private readonly lossesBorne: number = 1) {
        this.network = new FakeNetwork(this.clock, 1);
    }

    /** Starts a control host. On its first start a seed has all seeds as voters; other hosts start without members. */
    public startControl(name: string, isFirstStart: boolean, disk: FakeDisk = new FakeDisk()): ControlHost {
        const { clock } = this;
        const id = name as HostId;
        const seeds = this.seeds as HostId[];
        const peers = this.network.addHost(id);
        const state = new FleetState();
        this.starts += 1;
        const common = { self: id, transport: peers, registry: peers, clock, random: new SeededRandom(this.starts) };
        const log = new RaftLog({
            ...common,
            group: "fleet",
            initialMembers: { voters: isFirstStart && seeds.includes(id) ? seeds : [], learners: [] },
            disk,
            dir: "fleet",
            log: silentLog,
            stateMachine: state,
            timing,
            ...(this.compaction === undefined ? {} : { compaction: this.compaction }),
        });
        const source: EndpointListSource = {
            read: async () => {
                this.listReads += 1;
                return Right({ endpoints: this.listed, faults: [] });
            },
        };
        const quiet = { log: silentLog, metrics: noMetrics };
        const publisher: FleetPublisher = new FleetPublisher({
            ...common,
            log,
            state,
            reader: () => reader,
            controls: () => log.status().members.voters,
            events: this.events,
            metrics: noMetrics,
            ...(this.sharesLoad
                ? { load: new LoadBoard({ ...common, ...quiet, endpoints: () => reader.current().endpoints }) }
                : {}),
        });
        const reader = new EndpointListReader({
            source,
            isLeader: () => log.status().role === "leader",
            clock,
            log: silentLog,
            metrics: noMetrics,
            onChange: () => publisher.notify(),
        });
        const { lossesBorne } = this;
        const groupManager = new ControlGroupManager({
            ...common,
            log,
            seeds: () => seeds,
            lossesBorne,
            events: silentLog,
        });
        const stop = new AbortController();
        [log, publisher, reader, groupManager].forEach(one => void one.run(stop.signal));
        const rollouts = new RolloutCalls({
            bounds: this.rolloutBounds,
            log,
            state,
            decoder: this.decoder,
            endpoints: () => reader.current().endpoints,
            publisher,
            clock,
            events: this.events,
        });
        const operator = new OperatorCallHandler({
            self: id,
            log,
            state,
            decoder: this.decoder,
            rollouts,
            clock,
            events: silentLog,
            metrics: noMetrics,
        });
        const host = { id, log, state, operator, reader, groupManager, disk, stop };
        this.controls.set(name, host);
        return host;
    }

    public startEntry(name: string, dataCentre: string = "a", incarnation: number = 1): FleetClient {
        const peers = this.network.addHost(name as HostId);
        const load = new HostLoad({
            view: () => client.view(),
            clock: this.clock,
            log: silentLog,
            metrics: noMetrics,
        });
        this.loads.set(name, load);
        const client: FleetClient = new FleetClient({
            ...(this.sharesLoad ? { load } : {}),
            self: name as HostId,
            dataCentre: dataCentre as DataCentreId,
            incarnation: incarnation as Incarnation,
            seeds: () => this.seeds as HostId[],
            decoder: this.decoder,
            transport: peers,
            clock: this.clock,
            log: silentLog,
            metrics: noMetrics,
            stopping: new AbortController().signal,
        });
        void client.run(new AbortController().signal);
        this.entries.set(name, client);
        return client;
    }

    /** Stops a control host as a power loss does, and returns its disk as the next start finds it. */
    public crash(name: string, loss?: CrashLoss): FakeDisk {
        const host = this.controls.get(name);
        this.network.kill(name as HostId);
        host?.stop.abort();
        this.controls.delete(name);
        return host?.disk.crash(loss) ?? new FakeDisk();
    }

    public leader(): ControlHost | undefined {
        return [...this.controls.values()].find(one => one.log.status().role === "leader");
    }

    /** Puts a configuration through one control host; returns true if it was acknowledged. */
    public async put(name: string, version: number): Promise<boolean> {
        const answer = this.controls.get(name)?.operator.handle({ kind: "put-config", text: String(version) });
        let kind = "";
        void answer?.then(one => kind = one.kind);
        await this.clock.advance(3000);
        return kind === "done";
    }

    /** Returns the configuration that a control host reads; undefined if it can't confirm that it is current. */
    public async get(name: string): Promise<string | undefined> {
        const answer = this.controls.get(name)?.operator.handle({ kind: "get-config" });
        let text: string | undefined;
        void answer?.then(one => text = one.kind === "config" ? one.text : undefined);
        await this.clock.advance(1500);
        return text;
    }

    public async stopAll(): Promise<void> {
        this.controls.forEach(({ stop }) => stop.abort());
        await this.clock.advance(1000);
    }
}
