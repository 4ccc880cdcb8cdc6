/** HTTP server for peers and operators, on the host's peer address. */
import * as http from "node:http";
import { serveUntil } from "../common/HttpServers.js";
import { InvariantError } from "../common/Invariant.js";
import { writeJson } from "../common/WriteJson.js";
import type { OperatorApi } from "../entry/OperatorApi.js";
import { peerPath, type TrpcPeerServer } from "../peer/TrpcPeerServer.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";

/** How long idle peer connections are kept open. */
const keepAliveMs = 30_000;

export interface PeerServerServices {
    /** "ip:port". */
    readonly address: string;
    readonly peers: TrpcPeerServer;
    /** Undefined when operators are served elsewhere. */
    readonly operators: OperatorApi | undefined;
    readonly log: EventLog;
    /** Called when an invariant is broken; the process must stop. */
    readonly onFatal: (err: InvariantError) => void;
}

export class PeerServer implements Service {
    public readonly name = "peer-server";

    public constructor(private readonly services: PeerServerServices) {}

    public async run(signal: AbortSignal): Promise<void> {
        const servePeer = this.services.peers.listener();
        const server = http.createServer((req, res) => {
            if (req.url?.startsWith(peerPath) === true) {
                servePeer(req, res);
                return;
            }
            if (this.services.operators === undefined) {
                writeJson(res, 404, {}, { error: "not found" });
                return;
            }
            this.services.operators.handle(req, res).catch((err: unknown) => this.handleError(err, res));
        });
        server.keepAliveTimeout = keepAliveMs;
        await serveUntil(server, this.services.address, signal);
    }

    private handleError(err: unknown, res: http.ServerResponse): void {
        if (err instanceof InvariantError) {
            this.services.onFatal(err);
        }
        this.services.log.event(EventId.ServiceFailed, { service: this.name, message: String(err) });
        res.destroy();
    }
}
