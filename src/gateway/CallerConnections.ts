/**
 * The connections of callers, and the requests that are open on them. A request is open until the system has taken its
 * whole answer, or its connection is closed. On a planned stop, connections are closed between requests. Records each
 * connection that this host closes, and each request that it had read whole and whose connection it closed before the
 * answer was complete.
 */
import type * as http from "node:http";
import type { Socket } from "node:net";
import type { Clock } from "../common/Types.js";
import { EventQuota } from "../telemetry/EventQuota.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { ConnectionLimit, type ConnectionState } from "./ConnectionLimit.js";
import { limitPipelining, type PipelinedInput } from "./PipelinedInput.js";
import { RequestProgress } from "./RequestProgress.js";

interface OpenRequest {
    readonly req: http.IncomingMessage;
    readonly res: http.ServerResponse;
    readonly progress: RequestProgress;
}

interface CallerConnection {
    readonly open: Set<OpenRequest>;
    readonly input: PipelinedInput;
    requests: number;
    /** True once the caller has closed or reset the connection. */
    hasLeft: boolean;
    /** Why this host closes the connection; undefined while it does not. */
    closeCause: string | undefined;
    /** True once something that is no request has arrived; it is closed after the answers that are due. */
    isInvalid: boolean;
    /** Number of bytes that had been read when the last answer, or the body of its request, ended; undefined before. */
    idleBytes: number | undefined;
}

/**
 * Requests of one connection that are in progress at the same time; further ones stay unread. Answers go out in the order
 * of the requests, so that another one in progress would wait with its answer, and hold an endpoint and memory for it.
 */
const maxOpenRequests = 1;
/** Once connections are being closed, a new one is kept this long for its first request. */
const firstRequestMs = 500;
/** Cause of a connection that is closed since this host stops. */
const stoppingCause = "stopping";
/** Cause of a connection that this host closed without saying why, as Node.js does. */
const unknownCause = "unknown";
/** Cause of a connection that is closed since there are more than this process has descriptors for. */
const noRoomCause = "no-room";
/**
 * Share of the descriptors that callers' connections and those to endpoints for their requests may have together. The
 * others are for kept connections to endpoints, peers, control hosts, readiness checks and logs.
 */
const descriptorShare = 0.6;
/** Cause of a connection that is closed after an answer that said so. */
const answeredCause = "answered";

export class CallerConnections {
    private readonly connections = new Map<Socket, CallerConnection>();
    private readonly limit: ConnectionLimit<Socket>;
    private readonly quota: EventQuota;
    private closingSinceMs: number | undefined;

    /** @param maxDescriptors Number of descriptors that this process may have. */
    public constructor(
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
        maxDescriptors: number,
    ) {
        this.limit = new ConnectionLimit(clock, Math.floor(maxDescriptors * descriptorShare));
        this.quota = new EventQuota(log, clock);
        // The series exists from the start, so that its absence can't be taken for a zero.
        metrics.count("requests_cut_off", {}, 0);
    }

    public get size(): number {
        return this.connections.size;
    }

    /** Number of requests that have not been answered completely. */
    public get openRequests(): number {
        return [...this.connections.values()].reduce((sum, { open }) => sum + open.size, 0);
    }

    /** Tells the callers of open requests to disconnect after their answers, where these have not begun. */
    public announceClose(): void {
        for (const { open } of this.connections.values()) {
            open.forEach(({ res }) => res.headersSent || res.setHeader("connection", "close"));
        }
    }

    /** Keeps idle connections for this time from now on; 0 for no limit. */
    public extendIdle(idleMs: number): void {
        for (const [socket, { open, requests }] of this.connections) {
            if (open.size === 0 && requests > 0) {
                socket.setTimeout(idleMs);
            }
        }
    }

    /** Closes connections that are between two requests, from now on each after its last answer. */
    public closeIdle(): void {
        this.closingSinceMs ??= this.clock.nowMs();
        this.connections.forEach((connection, socket) => this.closeIfIdle(socket, connection));
    }

    /** Closes all connections, also those with requests. */
    public closeAll(): void {
        this.connections.forEach((connection, socket) => {
            connection.closeCause ??= stoppingCause;
            socket.destroy();
        });
    }

    /** Follows the connections of a server from now on. */
    public attach(server: http.Server): void {
        server.on("connection", socket => this.follow(socket));
        server.on("timeout", (socket: Socket) => {
            this.recordClose(socket, "idle");
            socket.destroy();
        });
    }

    /** Follows a request until its answer is complete or its connection is closed. */
    public begin(req: http.IncomingMessage, res: http.ServerResponse): RequestProgress {
        const progress = new RequestProgress();
        const connection = this.connections.get(req.socket);
        const request = { req, res, progress };
        connection?.open.add(request);
        if (connection !== undefined) {
            connection.requests += 1;
            this.place(req.socket, "reading");
        }
        res.once("finish", () => {
            if (connection !== undefined) {
                this.endRequest(req.socket, connection, request);
            }
        });
        req.once("end", () => {
            if (connection === undefined) {
                return;
            }
            if (connection.open.has(request)) {
                this.place(req.socket, "running");
                return;
            }
            // The body of an answered request has been read since.
            this.place(req.socket, "idle");
            this.recordIdle(req.socket, connection);
        });
        return progress;
    }

    /** Records why this host is about to close a connection. The first cause counts. */
    public recordClose(socket: Socket, cause: string): void {
        const connection = this.connections.get(socket);
        if (connection !== undefined) {
            connection.closeCause ??= cause;
        }
    }

    private endRequest(socket: Socket, connection: CallerConnection, request: OpenRequest): void {
        connection.open.delete(request);
        if (connection.open.size === 0) {
            this.place(socket, request.req.complete ? "idle" : "reading");
        }
        // Node.js has ended the connection by now if the answer said so.
        if (socket.writableEnded) {
            connection.closeCause ??= answeredCause;
        }
        else if (connection.isInvalid && !isAnswerDue(connection)) {
            socket.destroySoon();
        }
        if (!socket.writableEnded) {
            connection.input.continue();
        }
        this.recordIdle(socket, connection);
    }

    private recordIdle(socket: Socket, connection: CallerConnection): void {
        connection.idleBytes = socket.bytesRead;
        if (this.closingSinceMs !== undefined && !socket.writableEnded) {
            this.closeIfIdle(socket, connection);
        }
    }

    /** Closes a connection without an open request, unless a part of the next one has been read. */
    private closeIfIdle(socket: Socket, connection: CallerConnection): void {
        const { open, idleBytes, input } = connection;
        const isNew = socket.bytesRead === 0 && this.clock.nowMs() - (this.closingSinceMs ?? 0) < firstRequestMs;
        if (open.size === 0 && input.heldBytes === 0 && socket.bytesRead === (idleBytes ?? 0) && !isNew) {
            connection.closeCause ??= stoppingCause;
            socket.destroySoon();
        }
    }

    /** True once something that is no request has arrived on the connection. */
    public isInvalid(socket: Socket): boolean {
        return this.connections.get(socket)?.isInvalid === true;
    }

    /** Ends a connection on which something that is no request has arrived: at once by `answer`, or after due answers. */
    public endInvalid(socket: Socket, answer: () => void): void {
        const connection = this.connections.get(socket);
        if (connection !== undefined) {
            connection.isInvalid = true;
            connection.closeCause ??= "invalid";
        }
        if (connection !== undefined && isAnswerDue(connection)) {
            return;
        }
        if (connection?.input.isLate === true) {
            // What had come before the last answer ends the connection after that answer, without one of its own.
            socket.destroySoon();
        }
        else {
            answer();
        }
    }

    private follow(socket: Socket): void {
        const open = new Set<OpenRequest>();
        const connection: CallerConnection = {
            open,
            input: limitPipelining(socket, {
                received: () => this.recordData(socket, open),
                isFull: () => isFull(open),
                cutOff: () => this.endInvalid(socket, () => socket.destroySoon()),
            }),
            requests: 0,
            hasLeft: false,
            closeCause: undefined,
            idleBytes: undefined,
            isInvalid: false,
        };
        this.connections.set(socket, connection);
        this.limit.place(socket, "silent");
        socket.once("end", () => connection.hasLeft = true);
        socket.once("error", () => connection.hasLeft = true);
        socket.once("close", () => {
            this.connections.delete(socket);
            this.limit.remove(socket);
            this.metrics.gauge("caller_connections", this.limit.size);
            this.recordClosed(connection);
        });
        this.closeExcess();
    }

    /** Records the state of a connection that is not closed. */
    private place(socket: Socket, state: ConnectionState): void {
        if (!socket.destroyed) {
            this.limit.place(socket, state);
        }
        if (state === "running") {
            this.closeExcess();
        }
    }

    private recordData(socket: Socket, open: ReadonlySet<OpenRequest>): void {
        if (open.size === 0) {
            this.place(socket, "reading");
        }
    }

    private closeExcess(): void {
        for (const { connection: socket } of this.limit.takeExcess()) {
            this.recordClose(socket, noRoomCause);
            socket.destroy();
        }
        this.metrics.gauge("caller_connections", this.limit.size);
    }

    private recordClosed(connection: CallerConnection): void {
        const { open, requests, hasLeft, closeCause } = connection;
        const cutCauses = [...open].map(one => this.recordOpenRequest(one, connection)).filter(one =>
            one !== undefined
        );
        const cause = cutCauses[0] ?? closeCause ?? (hasLeft ? undefined : unknownCause);
        if (cause === undefined) {
            return;
        }
        this.metrics.count("caller_connections_closed", { cause });
        if (cause !== answeredCause) {
            this.quota.event(EventId.CallerConnectionClosed, { cause, requests });
        }
    }

    /** Records a request that is still open when its connection is closed; returns the cause if this host closed it. */
    private recordOpenRequest({ res, progress }: OpenRequest, connection: CallerConnection): string | undefined {
        const { request, stage, endCause } = progress;
        const { closeCause = unknownCause, hasLeft } = connection;
        const cause = endCause ?? (hasLeft ? undefined : closeCause);
        if (cause !== undefined && stage !== "reading") {
            const at = res.headersSent ? "answer" : stage;
            this.metrics.count("requests_cut_off");
            this.log.event(EventId.RequestCutOff, { request, cause, at });
        }
        return cause;
    }
}

/** True while nothing more is read. Where the last request has come with the end of another, its body waits as well. */
function isFull(open: ReadonlySet<OpenRequest>): boolean {
    return open.size > maxOpenRequests || open.size === maxOpenRequests && [...open].every(({ req }) => req.complete);
}

/** True when a request that was read whole waits for its answer; one whose body is incomplete never gets the rest. */
function isAnswerDue({ open }: CallerConnection): boolean {
    return [...open].some(({ req, res }) => req.complete || res.headersSent);
}
