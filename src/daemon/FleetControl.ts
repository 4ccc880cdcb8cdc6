/** A control host of a fleet: the replicated state, its members, the list of endpoints, and the operators' server. */
import { LeaseClock } from "../common/LeaseClock.js";
import type { Clock, HostId } from "../common/Types.js";
import { ControlGroupManager } from "../fleet/ControlGroupManager.js";
import { EndpointListReader } from "../fleet/EndpointListReader.js";
import { FleetPublisher } from "../fleet/FleetPublisher.js";
import { FleetState } from "../fleet/FleetState.js";
import { OperatorCallHandler } from "../fleet/OperatorCallHandler.js";
import { type OperatorDecoder, OperatorServer } from "../fleet/OperatorServer.js";
import type { DeploymentDecoder, EndpointListSource } from "../fleet/Types.js";
import { NodeDisk } from "../replication/NodeDisk.js";
import { RaftLog } from "../replication/RaftLog.js";
import type { GroupMembers } from "../replication/Types.js";
import type { Service } from "../supervise/Types.js";
import { FleetHost, type FleetHostOptions } from "./FleetHost.js";

/** Times of the group: an election is several heartbeats and a stall of a busy host or a slow disk. */
const timing = { electionMs: 900, heartbeatMs: 200, clockDriftMs: 50 };
/** Configurations are large and the disk is small: the log is compacted after few entries. */
const compaction = { compactEntries: 256, keepEntries: 64, compactBytes: 8 * 1024 * 1024 };

interface FleetControlOptions extends FleetHostOptions {
    readonly dataDir: string;
    /** "ip:port" for operators. */
    readonly operatorAddress: string;
    readonly decoder: DeploymentDecoder;
    readonly listSource: EndpointListSource;
    readonly decodeOperator: OperatorDecoder;
}

/** Puts a control host together and starts it. */
export function startFleetControl(options: FleetControlOptions): FleetHost {
    const { settings, decoder, listSource } = options;
    const host = new FleetHost(options);
    const { self, transport, peers: registry, metrics, log: events } = host;
    const clock = new LeaseClock(host.clock);
    const state = new FleetState();
    const log = openGroup(options, host, clock, state);
    const controls = () => {
        const { voters, learners } = log.status().members;
        return [...voters, ...learners];
    };
    const board: FleetPublisher = new FleetPublisher({
        self,
        log,
        state,
        reader: () => reader,
        controls,
        transport,
        registry,
        clock,
        events,
        metrics,
    });
    const reader = new EndpointListReader({
        source: listSource,
        isLeader: () => log.status().role === "leader",
        clock: host.clock,
        log: events,
        metrics,
        onChange: () => board.notify(),
    });
    const { lossesBorne } = settings;
    const seeds = host.seedHosts;
    const members = new ControlGroupManager({ self, log, seeds, lossesBorne, transport, registry, clock, events });
    const operator = new OperatorCallHandler({ log, state, decoder, clock, events, metrics });
    const replica: Service = log;
    host.start([
        replica,
        members,
        board,
        reader,
        new OperatorServer({
            address: options.operatorAddress,
            operator,
            decode: options.decodeOperator,
            log: events,
            onFatal: host.onFatal,
        }),
    ]);
    return host;
}

/** The seeds found the group when the whole fleet starts for the first time; every other host joins it. */
function foundersOf(isFirstStart: boolean, self: HostId, seeds: readonly HostId[]): GroupMembers {
    return { voters: isFirstStart && seeds.includes(self) ? seeds : [], learners: [] };
}

function openGroup(options: FleetControlOptions, host: FleetHost, clock: Clock, stateMachine: FleetState): RaftLog {
    const { self, transport, peers: registry, random, log } = host;
    return new RaftLog({
        group: "fleet",
        self,
        initialMembers: foundersOf(options.settings.isFirstStart, self, host.seedHosts()),
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
