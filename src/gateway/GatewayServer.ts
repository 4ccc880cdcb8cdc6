/**
 * HTTP servers for callers and for the balancer's readiness checks. Limits of callers' requests follow the
 * configuration. On a planned stop the balancer is told first; open connections are served until their callers have
 * been told to leave and the last request has been answered.
 */
import * as http from "node:http";
import { closeServer, listen } from "../common/HttpServers.js";
import { InvariantError } from "../common/Invariant.js";
import type { Clock } from "../common/Types.js";
import type { FleetSource } from "../fleet/Types.js";
import type { DrainReport, Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { Gateway } from "./Gateway.js";

/** Idle connections stay open for this much longer than callers may reuse them. */
const idleMarginMs = 1000;
const defaultIdleMs = 15_000;
/** How often the server looks for heads that take too long. */
const headCheckMs = 500;
/** The balancer stops sending new connections after two missed checks, a second apart. */
const balancerLagMs = 2500;
/** Part of the grace time after which what still runs is given up, so that the process ends by itself. */
const graceShare = 0.9;
const drainPollMs = 20;
/** Without a confirmed view for this long, callers are better served by other hosts. */
const readyAgeMs = 2200;
const readyPollMs = 200;
/** Pending connections that the system keeps; callers arrive in bursts. */
const backlog = 1024;

interface GatewayServerOptions {
    /** "ip:port" for callers. */
    readonly address: string;
    /** "ip:port" for the balancer's checks. */
    readonly readyAddress: string;
    readonly isReadyPath: (path: string) => boolean;
    readonly gateway: Gateway;
    readonly fleet: FleetSource;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly onFatal: (err: InvariantError) => void;
}

export class GatewayServer implements Service {
    public readonly name = "gateway-server";
    private readonly server: http.Server;
    private readonly readyServer: http.Server;
    private isStopping = false;
    private isLeaving = false;
    private wasReady = false;

    public constructor(private readonly options: GatewayServerOptions) {
        this.server = http.createServer({ connectionsCheckingInterval: headCheckMs }, (req, res) => {
            this.serve(req, res).catch((err: unknown) => this.failed(err, res));
        });
        this.server.requestTimeout = 0;
        this.server.on("clientError", (err: NodeJS.ErrnoException, socket) => {
            options.log.event(EventId.CallerBroken, { code: err.code, message: err.message });
            if (socket.writable && err.code !== "ECONNRESET") {
                const status = err.code === "HPE_HEADER_OVERFLOW"
                    ? "431 Request Header Fields Too Large"
                    : "400 Bad Request";
                socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
                return;
            }
            socket.destroy();
        });
        this.readyServer = http.createServer((req, res) => {
            const status = !options.isReadyPath(req.url ?? "") ? 404 : this.isReady() ? 200 : 503;
            res.writeHead(status, { "content-length": 0 }).end();
        });
        options.fleet.onChange(() => this.takeLimits());
        this.takeLimits();
    }

    public async run(signal: AbortSignal): Promise<void> {
        await listen(this.server, this.options.address, backlog);
        await listen(this.readyServer, this.options.readyAddress);
        while (!signal.aborted) {
            this.noteReadiness();
            await this.options.clock.sleep(readyPollMs, signal);
        }
        await closeServer(this.server);
        await closeServer(this.readyServer);
    }

    /** Serves through the balancer's lag, then asks callers to leave and waits for the last request. */
    public async drain(graceMs: number): Promise<DrainReport> {
        const { clock, gateway } = this.options;
        const startMs = clock.nowMs();
        const untilMs = startMs + graceMs * graceShare;
        this.isStopping = true;
        gateway.scheduleStop(untilMs - startMs);
        this.noteReadiness();
        await clock.sleep(Math.min(graceMs * graceShare, balancerLagMs));
        this.isLeaving = true;
        this.server.closeIdleConnections();
        while (gateway.active > 0 && clock.nowMs() < untilMs) {
            await clock.sleep(drainPollMs);
        }
        return { unfinished: gateway.active, what: "requests" };
    }

    private isReady(): boolean {
        const { fleet } = this.options;
        return !this.isStopping && fleet.view().deployment !== undefined && fleet.ageMs() < readyAgeMs;
    }

    private noteReadiness(): void {
        const ready = this.isReady();
        if (ready !== this.wasReady) {
            this.wasReady = ready;
            const ageMs = Math.round(this.options.fleet.ageMs());
            const reason = this.isStopping ? "stopping" : `view confirmed ${ageMs} ms ago`;
            this.options.log.event(EventId.ReadinessChanged, { ready, reason });
        }
    }

    private takeLimits(): void {
        const limits = this.options.fleet.view().deployment?.limits;
        this.server.keepAliveTimeout = (limits?.idleTimeoutMs ?? defaultIdleMs) + idleMarginMs;
        if (limits !== undefined) {
            this.server.headersTimeout = limits.headerTimeoutMs;
            // The parser of each new connection reads its limit from here; it is no part of the public type.
            (this.server as { maxHeaderSize?: number; }).maxHeaderSize = limits.maxHeaderBytes;
        }
    }

    private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
        if (this.isStopping) {
            res.setHeader("connection", "close");
        }
        await this.options.gateway.handle(req, res);
        if (this.isLeaving) {
            this.server.closeIdleConnections();
        }
    }

    private failed(err: unknown, res: http.ServerResponse): void {
        if (err instanceof InvariantError) {
            this.options.onFatal(err);
        }
        else {
            const message = err instanceof Error ? err.stack : String(err);
            this.options.log.event(EventId.ServiceFailed, { service: this.name, message });
        }
        res.destroy();
    }
}
