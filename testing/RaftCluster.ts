/** Replicas of one group over the fakes for network, disk and clock; hosts can crash, restart and lose their disks. */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { Clock, HostId } from "../src/common/Types.js";
import { RaftLog } from "../src/replication/RaftLog.js";
import type { CompactionLimits } from "../src/replication/Replica.js";
import type { GroupMembers, GroupTiming, Json, StateMachine } from "../src/replication/Types.js";
import { FakeClock } from "./FakeClock.js";
import { type CrashLoss, FakeDisk } from "./FakeDisk.js";
import { FakeNetwork } from "./FakeNetwork.js";
import { MemoryLog } from "./MemoryLog.js";

export const testTiming: GroupTiming = { electionMs: 1200, heartbeatMs: 400, clockDriftMs: 50 };

/** A state machine that keeps every command in order. */
export class ListMachine implements StateMachine {
    public items: Json[] = [];

    public apply(command: Json): Json {
        this.items.push(command);
        return this.items.length;
    }

    public snapshot(): Json {
        return [...this.items];
    }

    public restore(snapshot: Json): void {
        this.items = [...snapshot as readonly Json[]];
    }
}

export interface ClusterHost<M extends StateMachine = StateMachine> {
    readonly id: HostId;
    disk: FakeDisk;
    raft: RaftLog;
    machine: M;
    stop: AbortController;
    running: Promise<void>;
    isUp: boolean;
}

export interface ClusterOptions<M extends StateMachine> {
    readonly seed?: number;
    readonly voters: readonly string[];
    readonly learners?: readonly string[];
    readonly makeMachine: () => M;
    readonly compaction?: CompactionLimits;
}

export class RaftCluster<M extends StateMachine> {
    public readonly clock = new FakeClock();
    public readonly network: FakeNetwork;
    public readonly hosts = new Map<HostId, ClusterHost<M>>();
    public readonly log = new MemoryLog();
    private starts = 0;

    public constructor(private readonly options: ClusterOptions<M>) {
        this.network = new FakeNetwork(this.clock, options.seed ?? 1);
        for (const name of [...options.voters, ...options.learners ?? []]) {
            this.start(name);
        }
    }

    /** Starts a host, or starts it again after a crash. */
    public start(name: string, disk?: FakeDisk, clock: Clock = this.clock): ClusterHost<M> {
        const id = name as HostId;
        const peers = this.network.addHost(id);
        const machine = this.options.makeMachine();
        const members: GroupMembers = {
            voters: this.options.voters as HostId[],
            learners: (this.options.learners ?? []) as HostId[],
        };
        this.starts += 1;
        const usedDisk = disk ?? new FakeDisk();
        const raft = new RaftLog({
            group: "test",
            self: id,
            initialMembers: members,
            transport: peers,
            registry: peers,
            disk: usedDisk,
            dir: "data",
            clock,
            random: new SeededRandom((this.options.seed ?? 1) * 1000 + this.starts),
            log: this.log.with({ host: name }),
            stateMachine: machine,
            timing: testTiming,
            ...(this.options.compaction === undefined ? {} : { compaction: this.options.compaction }),
        });
        const stop = new AbortController();
        const host = { id, disk: usedDisk, raft, machine, stop, running: raft.run(stop.signal), isUp: true };
        this.hosts.set(id, host);
        return host;
    }

    public host(name: string): ClusterHost<M> {
        return this.hosts.get(name as HostId)!;
    }

    /** Kills a host's process: nothing that it still does reaches network or disk. Returns its disk after the crash. */
    public crash(name: string, loss?: CrashLoss): FakeDisk {
        const host = this.host(name);
        const disk = host.disk.crash(loss);
        this.network.kill(host.id);
        host.stop.abort();
        host.isUp = false;
        return disk;
    }

    public restart(name: string, loss?: CrashLoss): ClusterHost<M> {
        return this.start(name, this.crash(name, loss));
    }

    /** Waits for a host that leads with a quorum; throws if there is none within `withinMs`. */
    public async leader(withinMs: number = 10_000): Promise<ClusterHost<M>> {
        for (let waited = 0; waited <= withinMs; waited += 50) {
            const leaders = this.up().filter(host => host.raft.status().hasQuorum);
            if (leaders[0] !== undefined) {
                return leaders[0];
            }
            await this.clock.advance(50);
        }
        throw new Error("no leader with a quorum in time");
    }

    public up(): readonly ClusterHost<M>[] {
        return [...this.hosts.values()].filter(host => host.isUp);
    }

    public followersOf(leader: ClusterHost<M>): readonly ClusterHost<M>[] {
        return this.up().filter(host => host !== leader);
    }

    /** Advances the clock until the promise is fulfilled; throws if it is not within `withinMs`. */
    public async settle<T>(promise: Promise<T>, withinMs: number = 30_000): Promise<T> {
        let result: { value: T; } | undefined;
        void promise.then(value => {
            result = { value };
        });
        for (let waited = 0; waited <= withinMs; waited += 10) {
            await this.clock.advance(10);
            if (result !== undefined) {
                return result.value;
            }
        }
        throw new Error("the promise was not fulfilled in time");
    }

    public async stopAll(): Promise<void> {
        this.up().forEach(host => host.stop.abort());
        await this.clock.advance(10);
    }
}
