/**
 * Runs the hosts of the replication experiment in one process, with real disk and the real transport on loopback plus a
 * configurable one-way delay. Counts the bytes of each host's peer connections.
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import * as http from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { SeededRandom } from "../../src/common/SeededRandom.js";
import { SystemClock } from "../../src/common/SystemClock.js";
import type { DataCentreId, HostId } from "../../src/common/Types.js";
import { ConfigClient } from "../../src/config/ConfigClient.js";
import { ConfigGroup } from "../../src/config/ConfigGroup.js";
import { ConfigState } from "../../src/config/ConfigState.js";
import { checkDocuments } from "../../src/config/Loader.js";
import { hostHeader, peerPath, TrpcPeerServer } from "../../src/peer/TrpcPeerServer.js";
import { TrpcPeerTransport } from "../../src/peer/TrpcPeerTransport.js";
import type { PeerTransport } from "../../src/peer/Types.js";
import { NodeDisk } from "../../src/replication/NodeDisk.js";
import { RaftLog } from "../../src/replication/RaftLog.js";
import type { GroupTiming, Json, StateMachine } from "../../src/replication/Types.js";
import { HybridLogicalClock } from "../../src/telemetry/HybridLogicalClock.js";
import { MetricsRegistry } from "../../src/telemetry/MetricsRegistry.js";
import type { EventLog } from "../../src/telemetry/Types.js";
import { testLimits } from "../../testing/TestLimits.js";

const timing: GroupTiming = { electionMs: 1200, heartbeatMs: 400, clockDriftMs: 50 };
const key = "bench";
const silentLog: EventLog = { event: () => undefined, with: () => silentLog };

export const baseText = readFileSync(resolve(import.meta.dirname, "../../../examples/bramwell/base.yaml"), "utf8");

export interface HostSpec {
    readonly id: HostId;
    readonly dataCentre: DataCentreId;
    readonly isVoter: boolean;
}

/** The eight hosts of the larger example site, with one voter in each of three data centres. */
export const siteHosts: readonly HostSpec[] = [
    ["harbour-1", "harbour", true],
    ["harbour-2", "harbour", false],
    ["harbour-3", "harbour", false],
    ["meadow-1", "meadow", true],
    ["meadow-2", "meadow", false],
    ["meadow-3", "meadow", false],
    ["quarry-1", "quarry", true],
    ["quarry-2", "quarry", false],
].map(([id, dataCentre, isVoter]) => ({
    id: id as HostId,
    dataCentre: dataCentre as DataCentreId,
    isVoter: isVoter as boolean,
}));

/** Counts commands, in place of the records' state machine, which is measured elsewhere. */
class CountingStateMachine implements StateMachine {
    private count = 0;

    public apply(): Json {
        this.count += 1;
        return this.count;
    }

    public snapshot(): Json {
        return this.count;
    }

    public restore(snapshot: Json): void {
        this.count = snapshot as number;
    }
}

export class RunningHost {
    public config: ConfigGroup | ConfigClient | undefined;
    public readonly replicas: RaftLog[] = [];
    public readonly stop = new AbortController();
    public server: http.Server | undefined;
    public transport: TrpcPeerTransport | undefined;
    public readonly running: Promise<void>[] = [];

    public constructor(public readonly host: HostSpec) {}
}

export interface SiteOptions {
    /** One-way network delay, in milliseconds. */
    readonly delayMs: number;
    readonly groups: readonly ("config" | "records")[];
    readonly hosts: readonly HostSpec[];
}

export class Site {
    public readonly clock = new SystemClock();
    public hosts: RunningHost[] = [];
    private readonly dir = mkdtempSync(join(tmpdir(), "replication-bench-"));
    private readonly ports = new Map<HostId, number>();
    private readonly sockets = new Map<Socket, { to: HostId; from: string | undefined; }>();
    private readonly closedBytes = new Map<string, number>();
    private starts = 0;

    public constructor(private readonly options: SiteOptions) {}

    public async start(): Promise<void> {
        for (const { id } of this.options.hosts) {
            if (!this.ports.has(id)) {
                this.ports.set(id, await freePort());
            }
        }
        this.hosts = this.options.hosts.map(host => this.buildHost(host));
        for (const host of this.hosts) {
            await this.listen(host);
        }
        this.hosts.forEach(host => this.run(host));
    }

    /** Stops and restarts one host while the others keep running. */
    public async restartHost(id: HostId): Promise<RunningHost> {
        const old = this.hosts.find(host => host.host.id === id)!;
        await this.stopHost(old);
        const restarted = this.buildHost(old.host);
        this.hosts = this.hosts.map(host => host === old ? restarted : host);
        await this.listen(restarted);
        this.run(restarted);
        return restarted;
    }

    public async stopHosts(): Promise<void> {
        this.hosts.forEach(host => host.stop.abort());
        for (const host of this.hosts) {
            await this.stopHost(host);
        }
    }

    public removeFiles(): void {
        rmSync(this.dir, { recursive: true, force: true });
    }

    public replicasOf(group: string): RaftLog[] {
        return this.hosts.flatMap(host => host.replicas).filter(replica => replica.group === group);
    }

    /** Waits until the group has a leader with a quorum, and returns the leader's replica. */
    public async leader(group: string): Promise<RaftLog> {
        for (;;) {
            const leader = this.replicasOf(group).find(replica => replica.status().hasQuorum);
            if (leader !== undefined) {
                return leader;
            }
            await this.clock.sleep(5);
        }
    }

    /** Waits until the configuration on every host has at least this version. */
    public async waitForVersion(version: number): Promise<void> {
        for (;;) {
            if (this.hosts.every(host => (host.config?.current()?.version ?? 0) >= version)) {
                return;
            }
            await this.clock.sleep(0);
        }
    }

    /** Bytes sent and received so far on each host's peer connections; "?" collects those of unidentified callers. */
    public bytesByHost(): ReadonlyMap<string, number> {
        const bytes = new Map(this.closedBytes);
        for (const [socket, { to, from }] of this.sockets) {
            const count = socket.bytesRead + socket.bytesWritten;
            bytes.set(to, (bytes.get(to) ?? 0) + count);
            bytes.set(from ?? "?", (bytes.get(from ?? "?") ?? 0) + count);
        }
        return bytes;
    }

    private listen(host: RunningHost): Promise<void> {
        return new Promise(done => host.server?.listen(this.ports.get(host.host.id), "127.0.0.1", done));
    }

    private run(host: RunningHost): void {
        host.replicas.forEach(replica => host.running.push(replica.run(host.stop.signal)));
        host.running.push(host.config?.run(host.stop.signal) ?? Promise.resolve());
    }

    private async stopHost(host: RunningHost): Promise<void> {
        host.stop.abort();
        host.transport?.dispose();
        host.server?.closeAllConnections();
        await new Promise(done => host.server?.close(done));
        await Promise.all(host.running);
    }

    private buildHost(host: HostSpec): RunningHost {
        const running = new RunningHost(host);
        const self = host.id;
        const { clock } = this;
        this.starts += 1;
        const hybridClock = new HybridLogicalClock(clock, self);
        const onFatal = (err: Error) => {
            throw err;
        };
        const metrics = new MetricsRegistry();
        const registry = new TrpcPeerServer({ key, clock: hybridClock, log: silentLog, onFatal, metrics });
        const addressOf = (other: HostId) => `127.0.0.1:${this.ports.get(other) ?? 0}`;
        const real = new TrpcPeerTransport({ self, key, addressOf, clock, hybridClock, log: silentLog });
        running.transport = real;
        const transport = this.withDelay(real);
        const random = new SeededRandom(this.starts);
        const shared = { self, transport, registry, clock, random, log: silentLog };
        const voters = this.options.hosts.filter(one => one.isVoter).map(one => one.id);
        if (host.isVoter) {
            for (const group of this.options.groups) {
                const state = new ConfigState();
                const stateMachine = group === "config" ? state : new CountingStateMachine();
                const dir = join(this.dir, self, group);
                const members = { voters, learners: [] };
                const disk = new NodeDisk();
                const raft = new RaftLog({
                    ...shared,
                    group,
                    initialMembers: members,
                    disk,
                    dir,
                    stateMachine,
                    timing,
                });
                running.replicas.push(raft);
                if (group === "config") {
                    const own = { site: host.dataCentre, raft, state, checker: checkDocuments, clockDriftMs: 50 };
                    running.config = new ConfigGroup({ ...shared, ...own, seeds: { base: baseText } });
                }
            }
        }
        else if (this.options.groups.includes("config")) {
            const near = voters.filter(id =>
                this.options.hosts.find(one => one.id === id)?.dataCentre === host.dataCentre
            );
            const controlHosts = [...near, ...voters.filter(id => !near.includes(id))];
            const own = { site: host.dataCentre, checker: checkDocuments, controlHosts: () => controlHosts };
            running.config = new ConfigClient({ ...shared, ...own, peers: () => [] });
        }
        running.server = this.buildServer(self, registry);
        return running;
    }

    private buildServer(self: HostId, registry: TrpcPeerServer): http.Server {
        const listener = registry.listener(testLimits());
        const server = http.createServer((req, res) => {
            const known = this.sockets.get(req.socket);
            const from = req.headers[hostHeader];
            if (known !== undefined && typeof from === "string") {
                known.from = from;
            }
            if (req.url?.startsWith(peerPath) === true) {
                listener(req, res);
            }
        });
        server.on("connection", (socket: Socket) => {
            this.sockets.set(socket, { to: self, from: undefined });
            socket.on("close", () => this.recordClosedSocket(socket));
        });
        return server;
    }

    private recordClosedSocket(socket: Socket): void {
        const known = this.sockets.get(socket);
        this.sockets.delete(socket);
        for (const host of [known?.to, known?.from]) {
            const bytes = socket.bytesRead + socket.bytesWritten;
            this.closedBytes.set(host ?? "?", (this.closedBytes.get(host ?? "?") ?? 0) + bytes);
        }
    }

    private withDelay(transport: PeerTransport): PeerTransport {
        const { delayMs } = this.options;
        if (delayMs === 0) {
            return transport;
        }
        return {
            call: async (to, method, req, options) => {
                await this.clock.sleep(delayMs);
                const reply = await transport.call(to, method, req, options);
                await this.clock.sleep(delayMs);
                return reply;
            },
        };
    }
}

function freePort(): Promise<number> {
    return new Promise(done => {
        const server = createServer();
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => done(port));
        });
    });
}
