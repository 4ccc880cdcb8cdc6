/**
 * HTTP servers for callers and for the load balancer's readiness checks. The limits of callers' requests follow the
 * configuration. On a planned stop the readiness check fails first. After the load balancer's lag no connection is
 * accepted any more, and each open one is closed after its last answer; other services are drained only when all are.
 */
import * as http from "node:http";
import { Server, type Socket } from "node:net";
import { closeServer, listen } from "../common/HttpServers.js";
import { InvariantError } from "../common/Invariant.js";
import type { Clock } from "../common/Types.js";
import type { FleetSource } from "../fleet/Types.js";
import type { DrainReport, Service } from "../supervise/Types.js";
import { EventQuota } from "../telemetry/EventQuota.js";
import { EventId } from "../telemetry/Events.js";
import { ServerLimits } from "../telemetry/ServerLimits.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { CallerConnections } from "./CallerConnections.js";
import type { Gateway } from "./Gateway.js";
import type { RequestProgress } from "./RequestProgress.js";

/** Idle connections stay open this much longer than callers may reuse them. */
const idleMarginMs = 1000;
/** Idle limit while no configuration is known. */
const defaultIdleMs = 15_000;
/** Heads of up to this size are read on any connection, whatever the limit is. */
const minParsedHeadBytes = 64 * 1024;
/** Interval at which the server checks for request heads that take too long. */
const headerCheckIntervalMs = 500;
/** The load balancer stops sending new connections after two failed checks, one second apart. */
const balancerLagMs = 2500;
/** Share of the grace period after which running requests are abandoned, so that the process ends by itself. */
const drainShare = 0.9;
const drainPollIntervalMs = 20;
/** Time for the answers to requests that are still running when the grace period is nearly over. */
const finalAnswersMs = 250;
/** The host is not ready when its view has not been confirmed for this long; other hosts serve callers better. */
const maxReadyAgeMs = 2200;
const readyPollIntervalMs = 200;
/** Length of the queue of pending connections; callers arrive in bursts. */
const listenBacklog = 1024;
const readyServerLimits = { descriptorShare: 1 / 32, maxLargeBodies: 0 };

const clientErrorStatuses: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

interface GatewayServerOptions {
    /** "ip:port" for callers. */
    readonly address: string;
    /** "ip:port" for the load balancer's checks. */
    readonly readyAddress: string;
    readonly isReadyPath: (path: string) => boolean;
    readonly gateway: Gateway;
    readonly fleet: FleetSource;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Number of descriptors that this process may have; undefined for any number. */
    readonly maxDescriptors?: number;
    readonly onFatal: (err: InvariantError) => void;
}

export class GatewayServer implements Service {
    public readonly name = "gateway-server";
    private readonly server: http.Server;
    private readonly readyServer: http.Server;
    private readonly connections: CallerConnections;
    private readonly quota: EventQuota;
    private isStopping = false;
    private wasReady = false;

    public constructor(private readonly options: GatewayServerOptions) {
        this.server = http.createServer({ connectionsCheckingInterval: headerCheckIntervalMs }, (req, res) => {
            const progress = this.connections.begin(req, res);
            this.serve(req, res, progress).catch((err: unknown) => this.handleError(err, res, progress));
        });
        const { clock, log, metrics, maxDescriptors = Infinity } = options;
        this.connections = new CallerConnections(clock, log, metrics, maxDescriptors);
        this.quota = new EventQuota(log, clock);
        this.connections.attach(this.server);
        this.server.requestTimeout = 0;
        // Where the system has no descriptor or memory for a connection, the server goes on with the next one.
        this.server.on("error", ({ code, message }: NodeJS.ErrnoException) => {
            this.quota.event(EventId.CallerBroken, { code, message });
        });
        this.server.on("clientError", (err, socket) => this.handleClientError(err, socket as Socket));
        const readyLimits = new ServerLimits({
            server: "ready-server",
            maxDescriptors: options.maxDescriptors,
            ...readyServerLimits,
            clock,
            log,
            metrics,
        });
        this.readyServer = readyLimits.connections.createServer((req, res) => {
            const status = !options.isReadyPath(req.url ?? "") ? 404 : this.isReady() ? 200 : 503;
            res.writeHead(status, { "content-length": 0 }).end();
        });
        options.fleet.onChange(() => this.applyLimits());
        this.applyLimits();
    }

    /** Port on which callers are served; undefined while it is not open. */
    public get port(): number | undefined {
        const address = this.server.address();
        return typeof address === "object" ? address?.port : undefined;
    }

    public async run(signal: AbortSignal): Promise<void> {
        await listen(this.server, this.options.address, listenBacklog);
        await listen(this.readyServer, this.options.readyAddress);
        while (!signal.aborted) {
            this.logReadiness();
            await this.options.clock.sleep(readyPollIntervalMs, signal);
        }
        await closeServer(this.server);
        await closeServer(this.readyServer);
    }

    /** Keeps serving through the load balancer's lag, then waits until each connection is closed after its last answer. */
    public async drain(graceMs: number): Promise<DrainReport> {
        const { clock, gateway } = this.options;
        const { connections } = this;
        const startMs = clock.nowMs();
        const untilMs = startMs + graceMs * drainShare;
        this.isStopping = true;
        gateway.scheduleStop(untilMs - startMs);
        this.logReadiness();
        connections.announceClose();
        await clock.sleep(Math.min(graceMs * drainShare, balancerLagMs));
        // The method of http.Server also destroys connections whose answers have not been taken yet.
        Server.prototype.close.call(this.server);
        connections.closeIdle();
        while (connections.size > 0 && clock.nowMs() < untilMs) {
            await clock.sleep(drainPollIntervalMs);
            connections.closeIdle();
        }
        const unfinished = connections.openRequests;
        gateway.refuseRunning();
        while (connections.openRequests > 0 && clock.nowMs() < untilMs + finalAnswersMs) {
            await clock.sleep(drainPollIntervalMs);
        }
        connections.closeAll();
        return { unfinished, what: "requests" };
    }

    private isReady(): boolean {
        const { fleet } = this.options;
        return !this.isStopping && fleet.view().deployment !== undefined && fleet.ageMs() < maxReadyAgeMs;
    }

    private logReadiness(): void {
        const ready = this.isReady();
        if (ready !== this.wasReady) {
            this.wasReady = ready;
            const ageMs = Math.round(this.options.fleet.ageMs());
            const reason = this.isStopping ? "stopping" : `view confirmed ${ageMs} ms ago`;
            this.options.log.event(EventId.ReadinessChanged, { ready, reason });
        }
    }

    private applyLimits(): void {
        const { server } = this;
        const limits = this.options.gateway.limits.current;
        const idleMs = (limits?.idleTimeoutMs ?? defaultIdleMs) + idleMarginMs;
        if (idleMs > server.keepAliveTimeout) {
            this.connections.extendIdle(idleMs);
        }
        server.keepAliveTimeout = idleMs;
        if (limits !== undefined) {
            server.headersTimeout = limits.headerTimeoutMs;
            // Node.js reads the limit of each new connection from this property, which is not part of the public type.
            // It can't be changed for an open one, so that the exact limit is checked once the head has been read.
            (server as { maxHeaderSize?: number; }).maxHeaderSize = Math.max(limits.maxHeaderBytes, minParsedHeadBytes);
        }
    }

    private async serve(
        req: http.IncomingMessage,
        res: http.ServerResponse,
        progress: RequestProgress,
    ): Promise<void> {
        this.applyLimits();
        if (this.isStopping) {
            res.setHeader("connection", "close");
        }
        await this.options.gateway.handle(req, res, progress);
    }

    /** Answers what is no request, once the requests before it on the connection have been answered. */
    private handleClientError(err: NodeJS.ErrnoException, socket: Socket): void {
        if (this.connections.isInvalid(socket)) {
            return;
        }
        this.quota.event(EventId.CallerBroken, { code: err.code, message: err.message });
        if (err.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        const status = clientErrorStatuses[err.code ?? ""] ?? "400 Bad Request";
        this.connections.endInvalid(
            socket,
            () => socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`),
        );
    }

    private handleError(err: unknown, res: http.ServerResponse, progress: RequestProgress): void {
        if (err instanceof InvariantError) {
            this.options.onFatal(err);
        }
        else {
            const message = err instanceof Error ? err.stack : String(err);
            this.options.log.event(EventId.ServiceFailed, { service: this.name, message });
        }
        progress.recordEnd("error");
        res.destroy();
    }
}
