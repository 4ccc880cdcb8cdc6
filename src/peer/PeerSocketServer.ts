/** Serves calls of peers over WebSockets, which the HTTP server of the peer port hands over after their upgrade. */
import type { AnyTRPCRouter } from "@trpc/server";
import type * as http from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { type RawData, type WebSocket, WebSocketServer } from "ws";
import type { Disposable, HostId } from "../common/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import type { EventQuota } from "../telemetry/EventQuota.js";
import { EventId } from "../telemetry/Events.js";
import type { ServerLimits } from "../telemetry/ServerLimits.js";
import type { EventLog, HybridClock } from "../telemetry/Types.js";
import { keyHeader, keyMatches } from "./Keys.js";
import { callProcedure, type ProcedureError } from "./ProcedureCalls.js";
import {
    maxFrameBytes,
    parseCallFrame,
    type ReplyFrame,
    socketKeepAliveMs,
    socketPath,
    textOf,
} from "./SocketFrames.js";

/** Close code of RFC 6455 for a message that is not of the expected form. */
const malformedCode = 1007;
/** Codes of the library's errors on bytes that are no WebSocket frames. */
const protocolErrorPrefix = "WS_ERR_";

interface PeerSocketServerOptions {
    /** Shared key that each upgrade must present. */
    readonly key: string;
    readonly router: AnyTRPCRouter;
    readonly clock: HybridClock;
    readonly log: EventLog;
    readonly limits: ServerLimits;
    /** The calling host, from the upgrade request. */
    readonly hostOf: (req: http.IncomingMessage) => HostId;
    readonly createContext: (from: HostId) => unknown;
    readonly onError: (error: ProcedureError["error"]) => void;
}

export class PeerSocketServer implements Disposable {
    private readonly sockets = new WebSocketServer({
        noServer: true,
        perMessageDeflate: false,
        maxPayload: maxFrameBytes,
    });

    private readonly quota: EventQuota;

    public constructor(private readonly options: PeerSocketServerOptions) {
        this.quota = options.limits.eventQuota();
    }

    /** Takes the upgrade requests of a server. */
    public attach(server: http.Server): void {
        server.on("upgrade", (req, connection, head) => this.accept(req, connection, head));
    }

    /** Closes all sockets at once. */
    public dispose(): void {
        this.sockets.clients.forEach(one => one.terminate());
    }

    private accept(req: http.IncomingMessage, connection: Duplex, head: Buffer): void {
        const { key, limits, hostOf } = this.options;
        // Errors are followed by "close".
        connection.on("error", () => undefined);
        if (req.url !== socketPath) {
            limits.refuseUpgrade(connection, answerOf("404 Not Found"));
            return;
        }
        const from = hostOf(req);
        if (!keyMatches(key, req.headers[keyHeader])) {
            this.quota.event(EventId.PeerRejected, { peer: from, message: "wrong key" });
            limits.refuseUpgrade(connection, answerOf("401 Unauthorized"));
            return;
        }
        if (connection instanceof Socket) {
            connection.setKeepAlive(true, socketKeepAliveMs);
        }
        this.sockets.handleUpgrade(req, connection, head, socket => this.serve(socket, connection, from));
    }

    private serve(socket: WebSocket, connection: Duplex, from: HostId): void {
        const { log, limits } = this.options;
        const source = {
            pause: () => socket.pause(),
            resume: () => socket.resume(),
            giveUp: () => socket.terminate(),
        };
        let message = limits.bodies.begin(source);
        connection.prependListener("data", (part: Buffer) => message.add(part.length));
        socket.on("close", () => message.dispose());
        socket.on("error", (err: NodeJS.ErrnoException) => {
            // Errors of the connection are followed by "close", which says enough.
            if (err.code?.startsWith(protocolErrorPrefix) === true) {
                this.quota.event(EventId.PeerRejected, { peer: from, message: err.message });
            }
        });
        socket.on("message", (data: RawData) => {
            message.dispose();
            message = limits.bodies.begin(source);
            inBackground(log, "peer-call", this.answer(socket, from, data));
        });
    }

    private async answer(socket: WebSocket, from: HostId, data: RawData): Promise<void> {
        const { router, clock, createContext, onError } = this.options;
        const call = parseCallFrame(textOf(data));
        if (call === undefined) {
            this.quota.event(EventId.PeerRejected, { peer: from, message: "malformed frame" });
            socket.close(malformedCode);
            return;
        }
        clock.observe(call.clock);
        const ended = await callProcedure(router, call.method, call.input, createContext(from));
        const outcome = ended.caseOf<Omit<ReplyFrame, "id" | "clock">>({
            Left: ({ error, shape }) => {
                onError(error);
                return { data: undefined, error: shape as ReplyFrame["error"] };
            },
            Right: result => ({ data: result }),
        });
        if (socket.bufferedAmount > maxFrameBytes) {
            this.quota.event(EventId.PeerRejected, { peer: from, message: "replies are not read" });
            socket.terminate();
            return;
        }
        const reply: ReplyFrame = { id: call.id, clock: clock.stamp(), ...outcome };
        // A caller whose socket has closed takes the call for one without a reply.
        socket.send(JSON.stringify(reply), () => undefined);
    }
}

function answerOf(status: string): string {
    return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
