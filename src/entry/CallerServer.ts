/**
 * HTTP server for callers and the balancer's health checks. On a planned stop it keeps serving until the balancer has
 * seen that the host is not ready, and then ends when the last request has been answered.
 */
import type * as http from "node:http";
import { serveUntil } from "../common/HttpServers.js";
import { InvariantError } from "../common/Invariant.js";
import type { Clock } from "../common/Types.js";
import { writeJson } from "../common/WriteJson.js";
import type { DrainReport, Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import { ServerLimits } from "../telemetry/ServerLimits.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { CallerApi } from "./CallerApi.js";
import type { ReadinessSource } from "./Types.js";

/** Longer than balancers keep idle connections, so that they don't reuse one that is about to close. */
const keepAliveMs = 75_000;
/** How often a drain checks for requests in progress. */
const drainPollMs = 10;
/** Number of large bodies that are read at the same time; others wait. */
const maxLargeBodies = 64;
const descriptorShare = 1 / 2;

export interface CallerServerOptions {
    /** "ip:port". */
    readonly address: string;
    readonly api: CallerApi;
    readonly readiness: ReadinessSource;
    /** How long the balancer may take to notice that the host is not ready, in milliseconds. */
    readonly balancerLagMs: () => number;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Called when an invariant is broken; the process must stop. */
    readonly onFatal: (err: InvariantError) => void;
}

export class CallerServer implements Service {
    public readonly name = "caller-server";
    private readonly server: http.Server;
    private readonly limits: ServerLimits;
    private activeCount = 0;
    private stopping = false;

    public constructor(private readonly options: CallerServerOptions) {
        const { clock, log, metrics } = options;
        this.limits = new ServerLimits({ server: this.name, descriptorShare, maxLargeBodies, clock, log, metrics });
        this.server = this.limits.connections.createServer((req, res) => void this.serve(req, res));
        this.server.keepAliveTimeout = keepAliveMs;
    }

    /** Number of requests in progress. */
    public get active(): number {
        return this.activeCount;
    }

    public async run(signal: AbortSignal): Promise<void> {
        await serveUntil(this.server, this.options.address, signal);
    }

    /** Keeps serving for the balancer's lag, then waits for requests in progress. The host must already be unready. */
    public async drain(graceMs: number): Promise<DrainReport> {
        const deadlineMs = this.options.clock.nowMs() + graceMs;
        await this.options.clock.sleep(Math.min(graceMs, this.options.balancerLagMs()));
        this.stopping = true;
        this.server.closeIdleConnections();
        while (this.activeCount > 0 && this.options.clock.nowMs() < deadlineMs) {
            await this.options.clock.sleep(drainPollMs);
        }
        return { unfinished: this.activeCount, what: "requests" };
    }

    private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
        if (this.stopping) {
            res.setHeader("connection", "close");
        }
        const path = req.url ?? "/";
        if (path === "/v1/ready" || path === "/v1/live") {
            this.serveHealth(path, res);
            return;
        }
        this.activeCount += 1;
        try {
            await this.options.api.handle(req, res, this.limits.bodies);
        }
        catch (err) {
            this.handleError(err, res);
        }
        finally {
            this.activeCount -= 1;
        }
    }

    private serveHealth(path: string, res: http.ServerResponse): void {
        const readiness = this.options.readiness.readiness();
        const status = path === "/v1/live" || readiness.ready ? 200 : 503;
        writeJson(res, status, {}, path === "/v1/live" ? { live: true } : readiness);
    }

    private handleError(err: unknown, res: http.ServerResponse): void {
        if (err instanceof InvariantError) {
            this.options.onFatal(err);
        }
        else {
            this.options.log.event(EventId.ServiceFailed, { service: this.name, message: String(err) });
        }
        res.destroy();
    }
}
