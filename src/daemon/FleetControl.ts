/** Composition of a fleet's control host: replicated state, group members, endpoint list and operators' server. */
import { LeaseClock } from "../common/LeaseClock.js";
import type { Clock, HostId } from "../common/Types.js";
import { ControlGroupManager } from "../fleet/ControlGroupManager.js";
import { EndpointListReader } from "../fleet/EndpointListReader.js";
import { FleetPublisher } from "../fleet/FleetPublisher.js";
import { FleetState } from "../fleet/FleetState.js";
import { OperatorCallHandler } from "../fleet/OperatorCallHandler.js";
import { type OperatorDecoder, OperatorServer, type RolloutFormatter } from "../fleet/OperatorServer.js";
import { RolloutCalls } from "../fleet/RolloutCalls.js";
import type { DeploymentDecoder, EndpointListSource } from "../fleet/Types.js";
import { LoadBoard } from "../load/LoadBoard.js";
import { NodeDisk } from "../replication/NodeDisk.js";
import { RaftLog } from "../replication/RaftLog.js";
import type { GroupMembers } from "../replication/Types.js";
import type { Service } from "../supervise/Types.js";
import { FleetHost, type FleetHostOptions } from "./FleetHost.js";

/** The election timeout covers several heartbeats plus a stall of a busy host or a slow disk. */
const timing = { electionMs: 900, heartbeatMs: 200, clockDriftMs: 50 };
/** The log is compacted after few entries, since configurations are large and the disk is small. */
const compaction = { compactEntries: 256, keepEntries: 64, compactBytes: 8 * 1024 * 1024 };

interface FleetControlOptions extends FleetHostOptions {
    readonly dataDir: string;
    /** "ip:port" for operators. */
    readonly operatorAddress: string;
    readonly decoder: DeploymentDecoder;
    readonly listSource: EndpointListSource;
    readonly decodeOperator: OperatorDecoder;
    readonly formatRollout: RolloutFormatter;
}

/** Builds a control host and starts it. */
export function startFleetControl(options: FleetControlOptions): FleetHost {
    const { settings, decoder, listSource } = options;
    const host = new FleetHost(options);
    const { self, transport, peers: registry, metrics, log: events } = host;
    const clock = new LeaseClock(host.clock);
    const state = new FleetState();
    const log = openGroup(options, host, clock, state);
    const controlHosts = () => {
        const { voters, learners } = log.status().members;
        return [...voters, ...learners];
    };
    const publisher: FleetPublisher = new FleetPublisher({
        self,
        log,
        state,
        reader: () => reader,
        controls: controlHosts,
        transport,
        registry,
        clock,
        events,
        metrics,
        load: new LoadBoard({ endpoints: () => reader.current().endpoints, clock, log: events, metrics }),
    });
    const reader = new EndpointListReader({
        source: listSource,
        isLeader: () => log.status().role === "leader",
        clock: host.clock,
        log: events,
        metrics,
        onChange: () => publisher.notify(),
    });
    const { lossesBorne } = settings;
    const seeds = host.seedHosts;
    const groupManager = new ControlGroupManager({ self, log, seeds, lossesBorne, transport, registry, clock, events });
    const { rollouts: bounds } = settings.bounds;
    const endpoints = () => reader.current().endpoints;
    const rollouts = new RolloutCalls({ bounds, log, state, decoder, endpoints, publisher, clock, events });
    const operator = new OperatorCallHandler({ self, log, state, decoder, rollouts, clock, events, metrics });
    const replica: Service = log;
    host.start([
        replica,
        groupManager,
        publisher,
        reader,
        new OperatorServer({
            address: options.operatorAddress,
            operator,
            decode: options.decodeOperator,
            formatRollout: options.formatRollout,
            maxDescriptors: options.maxDescriptors,
            clock: host.clock,
            log: events,
            metrics,
            onFatal: host.onFatal,
        }),
    ]);
    return host;
}

/** On the first start of the whole fleet the group is bootstrapped with the seeds; every other host joins later. */
function initialMembers(isFirstStart: boolean, self: HostId, seeds: readonly HostId[]): GroupMembers {
    return { voters: isFirstStart && seeds.includes(self) ? seeds : [], learners: [] };
}

function openGroup(options: FleetControlOptions, host: FleetHost, clock: Clock, stateMachine: FleetState): RaftLog {
    const { self, transport, peers: registry, random, log } = host;
    return new RaftLog({
        group: "fleet",
        self,
        initialMembers: initialMembers(options.settings.isFirstStart, self, host.seedHosts()),
        transport,
        registry,
        disk: new NodeDisk(),
        dir: `${options.dataDir}/fleet`,
        clock,
        random,
        log,
        stateMachine,
        timing,
        compaction,
    });
}
