/**
 * Access of one host to the replicated state: replicas of the config group and the records group on control hosts with
 * a data folder, remote clients of both groups on other hosts.
 */
import { join } from "node:path";
import type { HostId } from "../common/Types.js";
import { ConfigClient } from "../config/ConfigClient.js";
import { ConfigGroup } from "../config/ConfigGroup.js";
import { ConfigOperations } from "../config/ConfigOperations.js";
import { ConfigState } from "../config/ConfigState.js";
import { checkDocuments } from "../config/Loader.js";
import type { ConfigReader, ConfigSource, ConfigWriter, LeaseService } from "../config/Types.js";
import { RecordsClient } from "../records/RecordsClient.js";
import { RecordsState } from "../records/RecordsState.js";
import { RecordsUpdateClient, RecordsUpdateServer } from "../records/RecordsUpdates.js";
import { NodeDisk } from "../replication/NodeDisk.js";
import { RaftLog } from "../replication/RaftLog.js";
import { RemoteLog } from "../replication/RemoteLog.js";
import type { GroupAdmin, GroupMembers, StateMachine } from "../replication/Types.js";
import type { Service } from "../supervise/Types.js";
import type { DaemonBase } from "./Types.js";

const configGroup = "config";
const recordsGroup = "records";
/** The replicated groups of a deployment. Each stores its data in a folder of its name below the data folder. */
export const groupNames: readonly string[] = [configGroup, recordsGroup];

export interface ControlPlane {
    readonly config: ConfigSource & ConfigWriter & LeaseService;
    readonly records: RecordsClient;
    /** Replicas on this host; empty without a data folder. */
    readonly replicas: readonly RaftLog[];
    readonly operations: ConfigOperations;
    /** Services in start order. */
    readonly services: readonly Service[];
}

/** Builds the access to both groups. `seeds` has the configuration texts, by document, for a new config group. */
export function buildControlPlane(base: DaemonBase, seeds: Readonly<Record<string, string>>): ControlPlane {
    const { control } = hostSettings(base);
    const { dataDir } = base.settings.daemon;
    return control === "none" || dataDir === undefined ? buildClients(base) : buildReplicas(base, dataDir, seeds);
}

function buildReplicas(base: DaemonBase, dataDir: string, seeds: Readonly<Record<string, string>>): ControlPlane {
    const configState = new ConfigState();
    const configLog = buildReplica(base, dataDir, configGroup, configState);
    const config = new ConfigGroup({
        self: base.host,
        site: base.dataCentre,
        raft: configLog,
        state: configState,
        checker: checkDocuments,
        transport: base.transport,
        registry: base.registry,
        clock: base.clock,
        random: base.random,
        log: base.log,
        clockDriftMs: base.settings.timing.clockDriftMs,
        seeds,
    });
    const recordsState = new RecordsState();
    const recordsLog = buildReplica(base, dataDir, recordsGroup, recordsState);
    const records = new RecordsClient(recordsLog, base.clock, base.log, sessionOptions(base), recordsState);
    new RecordsUpdateServer(recordsState, recordsLog.onApplied, base.clock).register(base.registry);
    return {
        config,
        records,
        replicas: [configLog, recordsLog],
        operations: buildOperations(base, config, [configLog, recordsLog]),
        services: [configLog, recordsLog, config, records],
    };
}

function buildReplica(base: DaemonBase, dataDir: string, group: string, stateMachine: StateMachine): RaftLog {
    const { electionMs, groupHeartbeatMs, clockDriftMs } = base.settings.timing;
    return new RaftLog({
        group,
        self: base.host,
        initialMembers: initialMembers(base),
        transport: base.transport,
        registry: base.registry,
        disk: new NodeDisk(),
        dir: join(dataDir, group),
        clock: base.clock,
        random: base.random,
        log: base.log,
        stateMachine,
        timing: { electionMs, heartbeatMs: groupHeartbeatMs, clockDriftMs },
    });
}

function buildClients(base: DaemonBase): ControlPlane {
    const controlHosts = () => hostsWhere(base, host => host.control !== "none");
    const buildRemoteLog = (group: string) =>
        new RemoteLog({
            group,
            self: base.host,
            hosts: controlHosts,
            transport: base.transport,
            clock: base.clock,
            random: base.random,
        });
    const config = new ConfigClient({
        self: base.host,
        site: base.dataCentre,
        controlHosts,
        peers: () => hostsWhere(base, host => host.dataCentre === base.dataCentre),
        checker: checkDocuments,
        transport: base.transport,
        registry: base.registry,
        clock: base.clock,
        random: base.random,
        log: base.log,
    });
    const recordsLog = buildRemoteLog(recordsGroup);
    const updates = new RecordsUpdateClient({ sources: controlHosts, transport: base.transport, clock: base.clock });
    const records = new RecordsClient(recordsLog, base.clock, base.log, sessionOptions(base), undefined, updates);
    const operations = buildOperations(base, config, [buildRemoteLog(configGroup), recordsLog]);
    return { config, records, replicas: [], operations, services: [config, records, updates] };
}

function buildOperations(
    base: DaemonBase,
    config: ConfigWriter & ConfigReader,
    groups: readonly GroupAdmin[],
): ConfigOperations {
    return new ConfigOperations({ config, groups, checker: checkDocuments, clock: base.clock });
}

function sessionOptions(base: DaemonBase) {
    return { host: base.host, incarnation: base.incarnation, leaseMs: base.settings.timing.jobLeaseMs };
}

function initialMembers(base: DaemonBase): GroupMembers {
    return {
        voters: hostsWhere(base, host => host.control === "voter"),
        learners: hostsWhere(base, host => host.control === "learner"),
    };
}

function hostSettings(base: DaemonBase) {
    return base.settings.hosts[base.host] ?? { control: "none", dataCentre: base.dataCentre };
}

/** Returns the matching hosts, those of this data centre first. */
function hostsWhere(
    base: DaemonBase,
    matches: (host: { readonly control: string; readonly dataCentre: string; }) => boolean,
): readonly HostId[] {
    const entries = Object.entries(base.settings.hosts).filter(([, host]) => matches(host));
    const distanceTo = (dataCentre: string) => dataCentre === base.dataCentre ? 0 : 1;
    return entries
        .sort(([, a], [, b]) => distanceTo(a.dataCentre) - distanceTo(b.dataCentre))
        .map(([id]) => id as HostId);
}
