/**
 * The config group (a Raft group) on a host with a replica: the configuration in force, changes, leases, and the
 * distribution to hosts without a replica.
 */
import type { Either } from "purify-ts";
import type { Clock, DataCentreId, HostId, Random } from "../common/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { LeaderClient } from "../replication/LeaderClient.js";
import type { ReplicatedLog } from "../replication/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import { ChangeProposer } from "./ChangeProposer.js";
import { ConfigDistribution } from "./ConfigDistribution.js";
import {
    changeMethod,
    type ChangeReply,
    type ConfigReadReply,
    leaseMethod,
    readMethod,
    releaseMethod,
} from "./ConfigMessages.js";
import { collectReports } from "./ConfigReports.js";
import type { ConfigState } from "./ConfigState.js";
import { LeaseServiceClient, toLeaderReply } from "./LeaseServiceClient.js";
import { LeaseTable } from "./LeaseTable.js";
import type {
    CommittedConfig,
    ConfigChange,
    ConfigChangeError,
    ConfigChangeResult,
    ConfigReader,
    ConfigSource,
    ConfigView,
    ConfigWriter,
    ConfirmedConfig,
    DocumentChecker,
    DocumentName,
    HostReport,
    Lease,
    LeaseError,
    LeaseService,
} from "./Types.js";
import { ViewPublisher } from "./ViewPublisher.js";

/** Interval between attempts to seed the group, and between reports of the version in force once it is seeded. */
const seedRetryMs = 500;
const reportIntervalMs = 5000;
const seedTimeoutMs = 2000;
/** Timeout of the quorum check before a seed, and for a pull that requests a confirmed state. */
const confirmTimeoutMs = 1000;
const leaderRetryPauseMs = 100;

export interface ConfigGroupOptions {
    readonly self: HostId;
    readonly site: DataCentreId;
    readonly raft: ReplicatedLog;
    /** The state machine that `raft` applies its entries to. */
    readonly state: ConfigState;
    readonly checker: DocumentChecker;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
    /** Bound on how far two monotonic clocks drift apart within one lease, in milliseconds. */
    readonly clockDriftMs: number;
    /** Texts of this host's own files by document name: the initial configuration of a new group. */
    readonly seeds: Readonly<Record<DocumentName, string>>;
}

export class ConfigGroup implements ConfigSource, ConfigWriter, ConfigReader, LeaseService {
    public readonly name = "config group";
    public readonly onChange: ConfigSource["onChange"];
    private readonly views: ViewPublisher;
    private readonly proposer: ChangeProposer;
    private readonly distribution: ConfigDistribution;
    private readonly leaseTable: LeaseTable;
    private readonly leases: LeaseServiceClient;
    private readonly leaderClient: LeaderClient;

    public constructor(private readonly options: ConfigGroupOptions) {
        const { self, site, raft, state, checker, transport, clock, random, log } = options;
        this.views = new ViewPublisher(site, checker, log);
        this.onChange = this.views.onChange;
        this.proposer = new ChangeProposer(self, raft, state, checker, clock);
        this.distribution = new ConfigDistribution(this.committedSource(), clock);
        this.leaseTable = new LeaseTable(state, raft, clock, options.clockDriftMs);
        this.leaderClient = new LeaderClient({
            self,
            transport,
            clock,
            hosts: () => raft.status().members.voters,
            pauseMs: leaderRetryPauseMs,
            leadsSelf: () => raft.status().role === "leader",
        });
        this.leases = new LeaseServiceClient(self, clock, this.leaderClient, random, this.leaseTable);
        this.register(options.registry);
        raft.onApplied(() => this.publish());
        raft.onRoleChange(() => this.distribution.notify());
    }

    public current(): ConfigView | undefined {
        return this.views.current();
    }

    public change(
        change: ConfigChange,
        timeoutMs: number,
    ): Promise<Either<ConfigChangeError, ConfigChangeResult>> {
        return this.proposer.change(change, timeoutMs);
    }

    public acquire(name: string, durationMs: number, timeoutMs: number): Promise<Either<LeaseError, Lease>> {
        this.leaderClient.hint(this.options.raft.status().leader);
        return this.leases.acquire(name, durationMs, timeoutMs);
    }

    public release(name: string): Promise<void> {
        this.leaderClient.hint(this.options.raft.status().leader);
        return this.leases.release(name);
    }

    public async read(timeoutMs: number): Promise<Either<string, ConfirmedConfig>> {
        const { raft, state } = this.options;
        const barrier = await raft.readBarrier(timeoutMs);
        return barrier
            .mapLeft(error => error.message)
            .map(() => ({ config: state.committed(), history: state.history }));
    }

    public reports(): Promise<readonly HostReport[]> {
        const { raft, self, transport } = this.options;
        const { voters, learners } = raft.status().members;
        const others = [...voters, ...learners].filter(host => host !== self);
        return collectReports(others, transport, this.distribution.listReports());
    }

    /** Seeds a new group from this host's files, and keeps reporting the version in force on this host. */
    public async run(signal: AbortSignal): Promise<void> {
        const { clock, self } = this.options;
        this.publish();
        let isSeeded = false;
        while (!signal.aborted) {
            isSeeded ||= await this.trySeed();
            this.distribution.report(self, this.views.version);
            await clock.sleep(isSeeded ? reportIntervalMs : seedRetryMs, signal);
        }
    }

    private publish(): void {
        this.views.publish(this.options.state.committed());
        this.distribution.report(this.options.self, this.views.version);
        this.distribution.notify();
    }

    /** Returns true once the group has a document for each of this host's files. */
    private async trySeed(): Promise<boolean> {
        const { raft, state, seeds, log } = this.options;
        const read = await raft.readBarrier(confirmTimeoutMs);
        if (read.isLeft()) {
            return false;
        }
        const committed = state.committed().documents;
        const missing = Object.keys(seeds).filter(name => committed[name] === undefined);
        if (missing.length > 0) {
            const seeded = await this.proposer.seed(seeds, seedTimeoutMs);
            seeded.ifLeft(error => {
                if (error.kind === "invalid") {
                    log.event(EventId.ConfigSeedInvalid, { issues: error.issues });
                }
            });
            return false;
        }
        for (const [document, text] of Object.entries(seeds)) {
            if (committed[document]?.text !== text) {
                log.event(EventId.ConfigFileDiffers, { document, committedVersion: committed[document]?.version });
            }
        }
        return true;
    }

    private committedSource() {
        const { raft, state } = this.options;
        return {
            committed: (): CommittedConfig | undefined => state.committed(),
            isCurrent: () => raft.status().leader !== undefined,
            confirm: async () => (await raft.readBarrier(confirmTimeoutMs)).isRight(),
        };
    }

    private register(registry: PeerRegistry): void {
        const { raft } = this.options;
        this.distribution.register(registry);
        registry.handle(changeMethod, async req => {
            const outcome = await this.change(req.change, req.timeoutMs);
            return outcome.caseOf<ChangeReply>({
                Left: error => error,
                Right: result => ({ kind: "answered", result }),
            });
        });
        registry.handle(readMethod, async req => {
            const read = await this.read(req.timeoutMs);
            return read.caseOf<ConfigReadReply>({
                Left: message => ({ kind: "failed", message }),
                Right: confirmed => ({ kind: "read", confirmed }),
            });
        });
        registry.handle(
            leaseMethod,
            async req => toLeaderReply(await this.leaseTable.acquire(req), raft.status().leader),
        );
        registry.handle(
            releaseMethod,
            async req => toLeaderReply(await this.leaseTable.release(req), raft.status().leader),
        );
    }
}
