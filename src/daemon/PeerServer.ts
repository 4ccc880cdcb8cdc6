/** HTTP server for peers and operators, on the host's peer address. */
import type * as http from "node:http";
import { serveUntil } from "../common/HttpServers.js";
import { InvariantError } from "../common/Invariant.js";
import type { Clock } from "../common/Types.js";
import { writeJson } from "../common/WriteJson.js";
import type { OperatorApi } from "../entry/OperatorApi.js";
import { peerPath, type TrpcPeerServer } from "../peer/TrpcPeerServer.js";
import type { TunnelServer } from "../peer/TunnelServer.js";
import type { DrainReport, Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import { ServerLimits } from "../telemetry/ServerLimits.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";

/** How long idle peer connections are kept open. */
const keepAliveMs = 30_000;
/** Number of large calls that are read at the same time; others wait. */
const maxLargeBodies = 4;
const descriptorShare = 3 / 8;

export interface PeerServerServices {
    /** "ip:port". */
    readonly address: string;
    readonly peers: TrpcPeerServer;
    /** Undefined when this host serves no tunnels. */
    readonly tunnels?: TunnelServer;
    /** Undefined when operators are served elsewhere. */
    readonly operators: OperatorApi | undefined;
    /** Number of descriptors that this process may have; the operating system's limit when undefined. */
    readonly maxDescriptors?: number;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Called when an invariant is broken; the process must stop. */
    readonly onFatal: (err: InvariantError) => void;
}

export class PeerServer implements Service {
    public readonly name = "peer-server";

    public constructor(private readonly services: PeerServerServices) {}

    public async run(signal: AbortSignal): Promise<void> {
        const { address, tunnels, peers, maxDescriptors, clock, log, metrics } = this.services;
        const limits = new ServerLimits({
            server: this.name,
            maxDescriptors,
            descriptorShare,
            maxLargeBodies,
            clock,
            log,
            metrics,
        });
        const servePeer = peers.listener(limits);
        const server = limits.connections.createServer((req, res) => {
            if (req.url?.startsWith(peerPath) === true) {
                servePeer(req, res);
                return;
            }
            if (this.services.operators === undefined) {
                writeJson(res, 404, {}, { error: "not found" });
                return;
            }
            this.services.operators.handle(req, res, limits.bodies).catch((err: unknown) => this.handleError(err, res));
        });
        server.keepAliveTimeout = keepAliveMs;
        const sockets = peers.sockets(limits);
        sockets.attach(server);
        tunnels?.attach(server);
        const closeAll = () => {
            sockets.dispose();
            tunnels?.dispose();
        };
        // The server does not close until they are closed.
        signal.addEventListener("abort", closeAll, { once: true });
        await serveUntil(server, address, signal);
    }

    /** Waits for the exchanges that other hosts have through this one. */
    public async drain(graceMs: number): Promise<DrainReport> {
        return { unfinished: await this.services.tunnels?.drain(graceMs) ?? 0, what: "tunnels" };
    }

    private handleError(err: unknown, res: http.ServerResponse): void {
        if (err instanceof InvariantError) {
            this.services.onFatal(err);
        }
        this.services.log.event(EventId.ServiceFailed, { service: this.name, message: String(err) });
        res.destroy();
    }
}
