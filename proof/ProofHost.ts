/**
 * One complete simulated host: the components of a daemon, on a fake network, disk, clock and endpoints. The socket
 * APIs for callers and operators are left out: requests go directly to the pipeline runner.
 */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { Clock, DataCentreId, HostId, Incarnation } from "../src/common/Types.js";
import { ConfigClient } from "../src/config/ConfigClient.js";
import { ConfigGroup } from "../src/config/ConfigGroup.js";
import { ConfigState } from "../src/config/ConfigState.js";
import { checkDocuments } from "../src/config/Loader.js";
import type { Settings } from "../src/config/Schema.js";
import type { ConfigSource, ConfigWriter, LeaseService } from "../src/config/Types.js";
import { JobWorker } from "../src/daemon/JobWorker.js";
import { EndpointTable } from "../src/endpoints/EndpointTable.js";
import type { EngineLink } from "../src/endpoints/EngineLink.js";
import { OrderIssuer } from "../src/endpoints/OrderIssuer.js";
import { OwnerAuthority } from "../src/endpoints/OwnerAuthority.js";
import { OwnerEpochs } from "../src/endpoints/OwnerEpochs.js";
import { SlotHolderClient } from "../src/endpoints/SlotHolderClient.js";
import { SlotOwner } from "../src/endpoints/SlotOwner.js";
import type { LoadSource, StageClient } from "../src/endpoints/Types.js";
import { HeartbeatMembership } from "../src/membership/HeartbeatMembership.js";
import type { PeerRegistry, PeerTransport } from "../src/peer/Types.js";
import { StagedPipelineRunner } from "../src/pipeline/StagedPipelineRunner.js";
import { PeerMarkAnnouncer } from "../src/records/PeerMarkAnnouncer.js";
import { RecordsClient } from "../src/records/RecordsClient.js";
import { RecordsState } from "../src/records/RecordsState.js";
import { ReplicatedClaims } from "../src/records/ReplicatedClaims.js";
import { ReplicatedJobs } from "../src/records/ReplicatedJobs.js";
import { ReplicatedQuarantine } from "../src/records/ReplicatedQuarantine.js";
import { RaftLog } from "../src/replication/RaftLog.js";
import { RemoteLog } from "../src/replication/RemoteLog.js";
import type { StateMachine } from "../src/replication/Types.js";
import { BlockPrefixIndex } from "../src/routing/BlockPrefixIndex.js";
import { CostRouter } from "../src/routing/CostRouter.js";
import { Supervisor } from "../src/supervise/Supervisor.js";
import type { Service } from "../src/supervise/Types.js";
import type { EventLog } from "../src/telemetry/Types.js";
import type { FakeDisk } from "../testing/FakeDisk.js";
import { MemoryMetrics } from "../testing/MemoryLog.js";
import { proofDocument } from "./ProofDocuments.js";

export interface ProofHostOptions {
    readonly id: HostId;
    readonly incarnation: Incarnation;
    readonly seed: number;
    readonly settings: Settings;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly peers: PeerRegistry & PeerTransport;
    readonly disk: FakeDisk;
    readonly stageClient: StageClient;
    readonly loads: LoadSource;
    readonly link: EngineLink;
    readonly onFatal: (err: Error) => void;
}

interface Control {
    readonly config: ConfigSource & ConfigWriter & LeaseService & Service;
    readonly records: RecordsClient;
    readonly replicas: readonly RaftLog[];
}

export class ProofHost {
    public readonly id: HostId;
    public readonly dataCentre: DataCentreId;
    public readonly config: Control["config"];
    public readonly replicas: readonly RaftLog[];
    public readonly jobs: ReplicatedJobs;
    public readonly runner: StagedPipelineRunner;
    public readonly owner: SlotOwner;
    public readonly issuer: OrderIssuer;
    /** False, as reported to the load balancer, once the host is stopping or dead. */
    public isReady = true;
    public isDead = false;
    private readonly supervisor: Supervisor;
    private readonly services: readonly Service[];

    public constructor(private readonly options: ProofHostOptions) {
        const { id, settings, clock, log, peers, incarnation } = options;
        this.id = id;
        this.dataCentre = settings.hosts[id]!.dataCentre;
        const control = settings.hosts[id]!.control === "voter" ? this.buildReplicas() : this.buildRemote();
        this.config = control.config;
        this.replicas = control.replicas;
        const shared = { registry: peers, transport: peers, config: this.config, clock, log };
        const membership = new HeartbeatMembership({ ...shared, self: id, dataCentre: this.dataCentre, incarnation });
        const leases = this.config;
        const epochs = new OwnerEpochs({ ...shared, membership, leases });
        const authority = new OwnerAuthority(membership, this.config, epochs);
        this.issuer = new OrderIssuer({ dataCentre: this.dataCentre, leases, link: options.link, clock, log });
        this.owner = new SlotOwner({ ...shared, membership, authority, loads: options.loads });
        const holder = new SlotHolderClient({ ...shared, membership, authority, localOwner: this.owner });
        const directory = new EndpointTable({ dataCentre: this.dataCentre, config: this.config, held: holder, clock });
        const limits = () => {
            const current = this.config.current()?.settings ?? settings;
            return { ...current.limits, ...current.timing };
        };
        this.jobs = new ReplicatedJobs(control.records, clock, log, limits);
        const others = () => (Object.keys(settings.hosts) as HostId[]).filter(host => host !== id);
        const quarantine = new ReplicatedQuarantine(
            control.records,
            clock,
            log,
            new PeerMarkAnnouncer(peers, peers, others),
        );
        this.runner = new StagedPipelineRunner({
            config: this.config,
            router: new CostRouter({
                directory,
                prefixes: new BlockPrefixIndex(log),
                dataCentre: this.dataCentre,
            }),
            directory,
            slots: holder,
            client: options.stageClient,
            claims: new ReplicatedClaims(control.records, clock, log, limits),
            quarantine,
            clock,
            log,
            metrics: new MemoryMetrics(),
            random: this.random(1),
        });
        const { jobs, runner, config, dataCentre } = this;
        const worker = new JobWorker({ jobs, runner, config, clock, dataCentre });
        this.services = [
            ...control.replicas,
            control.config,
            control.records,
            membership,
            epochs,
            this.owner,
            holder,
            this.issuer,
            quarantine,
            worker,
            this.callers(),
        ];
        this.supervisor = new Supervisor({ clock, log, onFatal: options.onFatal });
    }

    public start(): void {
        this.services.forEach(service => this.supervisor.start(service));
    }

    /** Planned stop: reports not ready, keeps serving for the load balancer's lag, and drains every service. */
    public async stop(): Promise<void> {
        this.isReady = false;
        await this.supervisor.stop(this.options.settings.timing.stopGraceMs);
        this.isDead = true;
    }

    /** Simulates the death of the process. Its pending promises keep running, but must have no effect any more. */
    public die(): void {
        this.isReady = false;
        this.isDead = true;
        void this.supervisor.abortAll();
    }

    private buildReplicas(): Control {
        const { id, clock, log, peers, settings } = this.options;
        const configState = new ConfigState();
        const configLog = this.replica("config", configState, 2);
        const config = new ConfigGroup({
            self: id,
            site: this.dataCentre,
            raft: configLog,
            state: configState,
            checker: checkDocuments,
            transport: peers,
            registry: peers,
            clock,
            random: this.random(3),
            log,
            clockDriftMs: settings.timing.clockDriftMs,
            seeds: { base: proofDocument() },
        });
        const recordsState = new RecordsState();
        const recordsLog = this.replica("records", recordsState, 4);
        const records = new RecordsClient(recordsLog, clock, log, this.sessionOptions(), recordsState);
        return { config, records, replicas: [configLog, recordsLog] };
    }

    private replica(group: string, stateMachine: StateMachine, salt: number): RaftLog {
        const { id, clock, log, peers, settings, disk } = this.options;
        const { electionMs, groupHeartbeatMs, clockDriftMs } = settings.timing;
        return new RaftLog({
            group,
            self: id,
            initialMembers: { voters: this.hostsWith("voter"), learners: [] },
            transport: peers,
            registry: peers,
            disk,
            dir: group,
            clock,
            random: this.random(salt),
            log,
            stateMachine,
            timing: { electionMs, heartbeatMs: groupHeartbeatMs, clockDriftMs },
        });
    }

    private buildRemote(): Control {
        const { id, clock, log, peers, settings } = this.options;
        const hosts = () => this.hostsWith("voter");
        const shared = { self: id, transport: peers, clock };
        const config = new ConfigClient({
            ...shared,
            site: this.dataCentre,
            controlHosts: hosts,
            peers: () =>
                (Object.keys(settings.hosts) as HostId[]).filter(
                    host => settings.hosts[host]!.dataCentre === this.dataCentre,
                ),
            checker: checkDocuments,
            registry: peers,
            random: this.random(5),
            log,
        });
        const recordsLog = new RemoteLog({ ...shared, group: "records", hosts, random: this.random(6) });
        const records = new RecordsClient(recordsLog, clock, log, this.sessionOptions());
        return { config, records, replicas: [] };
    }

    /** Replaces the callers' server: a planned stop waits for the load balancer's lag, then for the last request. */
    private callers(): Service {
        const { clock, settings } = this.options;
        return {
            name: "callers",
            run: async signal => {
                while (!signal.aborted) {
                    await clock.sleep(pollMs, signal);
                }
            },
            drain: async graceMs => {
                const untilMs = clock.nowMs() + graceMs;
                await clock.sleep(settings.timing.balancerLagMs);
                while (this.runner.inFlight > 0 && clock.nowMs() < untilMs) {
                    await clock.sleep(drainPollMs);
                }
                return { unfinished: this.runner.inFlight, what: "requests" };
            },
        };
    }

    private sessionOptions() {
        const { id, incarnation, settings } = this.options;
        return { host: id, incarnation, leaseMs: settings.timing.jobLeaseMs };
    }

    private hostsWith(control: string): readonly HostId[] {
        const { hosts } = this.options.settings;
        return (Object.keys(hosts) as HostId[]).filter(host => hosts[host]!.control === control);
    }

    private random(salt: number): SeededRandom {
        return new SeededRandom(this.options.seed * 1000 + Number(this.options.incarnation) * 10 + salt);
    }
}

const pollMs = 1000;
const drainPollMs = 10;
