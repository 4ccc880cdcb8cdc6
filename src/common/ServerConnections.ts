/**
 * Bounds the connections of a server whose clients may keep to no limits: how many there are, how long the head of a
 * request may take, how many requests of one connection wait for the answers before them, and how much is read of a
 * body that is not needed. Requests of one connection are handled one after the other.
 *
 * Where there is no room for a connection, another one is closed: the oldest of those on which no request has been
 * served, or else the one whose request has been coming in for longest, or else the one that has been idle for longest.
 */
import * as http from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Clock, Disposable } from "./Types.js";

/**
 * Why a connection was closed: no room for all, too many requests at once, or a refused body that goes on; "accept" for one
 * that the system could not accept.
 */
export type CloseReason = "room" | "pipelining" | "refused-body" | "accept";

interface ServerConnectionsOptions {
    readonly maxConnections: number;
    readonly clock: Clock;
    readonly onClose: (reason: CloseReason) => void;
}

/** Time limits for the head of a request and for a whole request, in milliseconds. */
const headersTimeout = 10_000;
const requestTimeout = 60_000;
const connectionsCheckingInterval = 1000;
/** Maximum number of requests of one connection that have not been answered. */
const maxOpenRequests = 32;
/** How much is read, and for how long, of what follows a refusal, so that it reaches the client before a reset. */
const maxDiscardedBytes = 16 * 1024 * 1024;
const maxDiscardMs = 2000;

/** A request whose body has been coming in for less than this is not closed for room. */
const minReceiveMs = 2000;

/** Requests of a connection that have not been answered; the first one is being handled. */
type OpenRequests = (() => void)[];

export class ServerConnections {
    private readonly connections = new Map<Socket, OpenRequests>();
    /** Connections without an open request: those on which none has been served, and the others; longest first. */
    private readonly unserved = new Set<Socket>();
    private readonly idle = new Set<Socket>();
    private readonly upgraded = new WeakSet<Socket>();
    /** Connections whose requests are not complete, in the order in which these began. */
    private readonly receiving = new Map<Socket, { readonly req: http.IncomingMessage; readonly sinceMs: number; }>();

    public constructor(private readonly options: ServerConnectionsOptions) {}

    public get size(): number {
        return this.connections.size;
    }

    /** Creates a server with these limits. */
    public createServer(listener: http.RequestListener): http.Server {
        const limits = { headersTimeout, requestTimeout, connectionsCheckingInterval };
        const server = http.createServer(limits, (req, res) => this.handle(req, res, listener));
        server.on("connection", socket => this.accept(socket));
        // Where the system has no descriptor or memory for a connection, the server goes on with the next one.
        server.on("error", () => {
            if (server.listening) {
                this.options.onClose("accept");
            }
        });
        server.on("upgrade", ({ socket }) => this.addUpgraded(socket));
        server.on("connect", ({ socket }) => this.addUpgraded(socket));
        return server;
    }

    private accept(socket: Socket): void {
        const leastUseful = this.connections.size < this.options.maxConnections ? undefined : this.leastUseful();
        this.connections.set(socket, []);
        this.unserved.add(socket);
        socket.once("close", () => this.forget(socket));
        if (this.connections.size > this.options.maxConnections) {
            this.close(leastUseful ?? socket, "room");
        }
    }

    /** The connection to be closed first; undefined if all carry requests, or other protocols after an upgrade. */
    private leastUseful(): Socket | undefined {
        for (const socket of this.unserved) {
            // A refused upgrade ends the connection.
            if (!this.upgraded.has(socket) || socket.writableEnded) {
                return socket;
            }
            this.unserved.delete(socket);
        }
        for (const [socket, { req, sinceMs }] of this.receiving) {
            if (!req.complete) {
                const isLong = this.options.clock.nowMs() - sinceMs >= minReceiveMs;
                return isLong ? socket : this.idle.values().next().value;
            }
            this.receiving.delete(socket);
        }
        return this.idle.values().next().value;
    }

    private addUpgraded(socket: Socket): void {
        this.idle.delete(socket);
        this.unserved.add(socket);
        this.upgraded.add(socket);
    }

    private handle(req: http.IncomingMessage, res: http.ServerResponse, listener: http.RequestListener): void {
        const { socket } = req;
        const open = this.connections.get(socket);
        if (open === undefined || socket.destroyed) {
            return;
        }
        this.unserved.delete(socket);
        this.idle.delete(socket);
        this.receiving.delete(socket);
        this.receiving.set(socket, { req, sinceMs: this.options.clock.nowMs() });
        const isFirst = open.push(() => listener(req, res)) === 1;
        res.once("finish", () => this.discardRest(req));
        res.once("close", () => this.endRequest(socket, open, res.statusCode));
        if (open.length > maxOpenRequests) {
            this.close(socket, "pipelining");
        }
        else if (isFirst) {
            open[0]?.();
        }
    }

    private endRequest(socket: Socket, open: OpenRequests, status: number): void {
        open.shift();
        if (this.receiving.get(socket)?.req.complete === true) {
            this.receiving.delete(socket);
        }
        if (socket.destroyed) {
            return;
        }
        if (open.length > 0) {
            open[0]?.();
            return;
        }
        (status < 400 ? this.idle : this.unserved).add(socket);
    }

    /** Reads what follows of a body whose request has been answered, within limits. */
    private discardRest(req: http.IncomingMessage): void {
        if (req.complete || req.destroyed) {
            return;
        }
        discard(req, req.socket, this.options.clock, () => this.close(req.socket, "refused-body"));
    }

    private close(socket: Socket, reason: CloseReason): void {
        this.forget(socket);
        socket.destroy();
        this.options.onClose(reason);
    }

    private forget(socket: Socket): void {
        this.connections.delete(socket);
        this.unserved.delete(socket);
        this.idle.delete(socket);
        this.receiving.delete(socket);
    }
}

/** Writes the last answer on a connection, and closes it once the client has, or after a limit. */
export function endConnection(connection: Duplex, answer: string, clock: Clock): void {
    connection.end(answer);
    discard(connection, connection, clock, () => connection.destroy());
}

function discard(stream: Duplex | http.IncomingMessage, connection: Duplex, clock: Clock, onLimit: () => void): void {
    let bytes = 0;
    const timer: Disposable = clock.setTimer(maxDiscardMs, onLimit);
    stream.on("data", (part: Buffer) => {
        bytes += part.length;
        if (bytes > maxDiscardedBytes && !connection.destroyed) {
            onLimit();
        }
    });
    stream.resume();
    stream.once("close", () => timer.dispose());
    connection.once("close", () => timer.dispose());
}
