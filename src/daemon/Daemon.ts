/**
 * One host's process: an entry host, and a control host where the settings give it a data folder. Puts the parts
 * together, runs them under a supervisor, and stops them as planned without cutting a request.
 */
import { createHash } from "node:crypto";
import { nextIncarnation, parseRequestId } from "../common/Ids.js";
import type { InvariantError } from "../common/Invariant.js";
import { invariant } from "../common/Invariant.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { SystemClock } from "../common/SystemClock.js";
import type { RequestId } from "../common/Types.js";
import { CallerApi } from "../entry/CallerApi.js";
import { CallerServer } from "../entry/CallerServer.js";
import { JobApi } from "../entry/JobApi.js";
import { OperatorApi } from "../entry/OperatorApi.js";
import { TrpcPeerServer } from "../peer/TrpcPeerServer.js";
import { TrpcPeerTransport } from "../peer/TrpcPeerTransport.js";
import { Supervisor } from "../supervise/Supervisor.js";
import type { DrainReport, Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import { HybridLogicalClock } from "../telemetry/HybridLogicalClock.js";
import { JsonEventLog } from "../telemetry/JsonEventLog.js";
import { MetricsRegistry } from "../telemetry/MetricsRegistry.js";
import { configRoutes } from "./ConfigRoutes.js";
import { buildControlPlane, type ControlPlane } from "./ControlPlane.js";
import { buildDataPlane, type DataPlane } from "./DataPlane.js";
import { EffectiveConfig, peerAddressOf } from "./EffectiveConfig.js";
import { HostReadiness } from "./HostReadiness.js";
import { jobRoutes } from "./JobRoutes.js";
import { PeerServer } from "./PeerServer.js";
import { statusRoute } from "./StatusRoute.js";
import type { DaemonBase, DaemonOptions } from "./Types.js";

/** How often a start looks whether this host can serve. */
const startPollMs = 20;
/** A start waits this long at most for its endpoints' slots and for the records group, which may be cut off. */
const maxSettleMs = 6000;
/** One question to the records group during a start. */
const recordsCheckMs = 1000;

export class Daemon {
    private readonly base: DaemonBase;
    private readonly hybridClock: HybridLogicalClock;
    private readonly peers: TrpcPeerServer;
    private readonly transport: TrpcPeerTransport;
    private readonly control: ControlPlane;
    private readonly work: DataPlane;
    private readonly config: EffectiveConfig;
    private readonly readiness: HostReadiness;
    private readonly supervisor: Supervisor;
    private requestCount = 0;
    private stopped: Promise<readonly DrainReport[]> | undefined;
    private resolveStopped: (left: readonly DrainReport[]) => void = () => undefined;

    /** Resolves once a planned stop has ended, whoever asked for it. */
    public readonly whenStopped = new Promise<readonly DrainReport[]>(resolve => this.resolveStopped = resolve);

    public constructor(private readonly options: DaemonOptions) {
        const { settings, keys, sink } = options;
        const { host } = settings.daemon;
        const hostSettings = settings.hosts[host];
        invariant(hostSettings !== undefined, "a daemon's host is configured", { host });
        const clock = new SystemClock();
        const incarnation = nextIncarnation(clock.wallMs());
        this.hybridClock = new HybridLogicalClock(clock, host);
        const log = new JsonEventLog(host, this.hybridClock, sink);
        const metrics = new MetricsRegistry();
        this.peers = new TrpcPeerServer({
            key: keys.peerKey,
            clock: this.hybridClock,
            log,
            metrics,
            onFatal: err => this.fatal(err),
        });
        this.transport = new TrpcPeerTransport({
            self: host,
            key: keys.peerKey,
            addressOf: other => peerAddressOf(other, this.config.current()?.settings ?? settings, settings.daemon),
            clock,
            hybridClock: this.hybridClock,
            log,
        });
        this.base = {
            host,
            dataCentre: hostSettings.dataCentre,
            incarnation,
            settings,
            clock,
            random: new SeededRandom(seedOf(`${host}/${incarnation}`)),
            log,
            metrics,
            transport: this.transport,
            registry: this.peers,
        };
        this.control = buildControlPlane(this.base, options.seeds);
        this.config = new EffectiveConfig(this.control.config, settings.daemon);
        this.work = buildDataPlane(this.base, this.control, this.config);
        this.readiness = new HostReadiness(hostSettings.dataCentre, this.config, log);
        this.supervisor = new Supervisor({ clock, log, onFatal: err => this.fatal(err) });
    }

    /** Starts every part and resolves once a committed configuration is in force here and callers are served. */
    public async start(signal?: AbortSignal): Promise<void> {
        const { clock, log, incarnation, dataCentre } = this.base;
        const services: Service[] = [
            this.buildPeerServer(),
            ...this.control.services,
            ...this.work.services,
            this.buildCallerServer(),
        ];
        services.forEach(service => this.supervisor.start(service));
        while (this.config.current() === undefined && signal?.aborted !== true && this.stopped === undefined) {
            await clock.sleep(startPollMs, signal);
        }
        await this.waitUntilSettled(signal);
        this.readiness.markStarted();
        log.event(EventId.ProcessStarted, { incarnation, dataCentre });
    }

    /**
     * Waits until the peers are known, every endpoint that this host owns may be given out, and claims can be recorded.
     */
    private async waitUntilSettled(signal: AbortSignal | undefined): Promise<void> {
        const { clock, settings } = this.base;
        const settledMs = clock.nowMs() + 2 * settings.timing.heartbeatMs;
        const untilMs = clock.nowMs() + maxSettleMs;
        const isSettled = () =>
            clock.nowMs() >= settledMs
            && this.work.membership.view().certain
            && this.work.owner.view().every(endpoint => endpoint.open);
        const mayWait = () => clock.nowMs() < untilMs && signal?.aborted !== true && this.stopped === undefined;
        while (!isSettled() && mayWait()) {
            await clock.sleep(startPollMs, signal);
        }
        while (mayWait() && (await this.control.records.confirmReachable(recordsCheckMs)).isLeft()) {
            await clock.sleep(startPollMs, signal);
        }
    }

    /**
     * Stops as planned: tells the balancer and the peers, goes on serving through the balancer's lag, ends or hands
     * over what runs, and exits. Gives what the grace time left unfinished. A second call gives the same.
     */
    public stop(reason: string): Promise<readonly DrainReport[]> {
        this.stopped ??= this.stopOnce(reason);
        return this.stopped;
    }

    /** Ends at once, as a crash would, but closes sockets. */
    public async abort(): Promise<void> {
        await this.supervisor.abortAll();
        this.work.dispose();
        this.transport.dispose();
    }

    private async stopOnce(reason: string): Promise<readonly DrainReport[]> {
        const { log } = this.base;
        log.event(EventId.ProcessStopping, { reason });
        this.readiness.markStopping();
        const graceMs = (this.config.current()?.settings ?? this.options.settings).timing.stopGraceMs;
        const left = await this.supervisor.stop(graceMs);
        this.work.dispose();
        this.transport.dispose();
        log.event(EventId.ProcessStopped, { unfinished: left.reduce((sum, report) => sum + report.unfinished, 0) });
        this.resolveStopped(left);
        return left;
    }

    private fatal(err: InvariantError): void {
        this.base.log.event(EventId.InvariantBroken, { invariant: err.invariant, details: err.details });
        this.options.onFatal(err);
    }

    private buildPeerServer(): PeerServer {
        const { log, metrics, host, settings } = this.base;
        const operators = new OperatorApi(this.options.keys.operatorKey, metrics, log);
        jobRoutes(this.work.jobs).forEach(route => operators.add(route));
        configRoutes(this.control.operations).forEach(route => operators.add(route));
        operators.add(statusRoute(this.base, this.config, this.control, this.work));
        operators.add({
            method: "POST",
            path: "/v1/operator/drain",
            handle: async () => {
                void this.stop("operator");
                return { status: 202, body: { host, stopping: true } };
            },
        });
        return new PeerServer({
            address: settings.hosts[host]?.peerAddress ?? "",
            peers: this.peers,
            operators,
            log,
            onFatal: err => this.fatal(err),
        });
    }

    private buildCallerServer(): CallerServer {
        const { clock, log, metrics, host, settings } = this.base;
        const api = new CallerApi({
            config: this.config,
            runner: this.work.runner,
            jobs: new JobApi(this.work.jobs, clock),
            clock,
            log,
            metrics,
            nextRequestId: () => this.nextRequestId(),
        });
        return new CallerServer({
            address: settings.hosts[host]?.callerAddress ?? "",
            api,
            readiness: this.readiness,
            balancerLagMs: () => (this.config.current()?.settings ?? settings).timing.balancerLagMs,
            clock,
            log,
            onFatal: err => this.fatal(err),
        });
    }

    /** Host, incarnation and count together are unique over all hosts and restarts. */
    private nextRequestId(): RequestId {
        this.requestCount += 1;
        const text = `${this.base.host}.${this.base.incarnation.toString(36)}.${this.requestCount.toString(36)}`;
        return parseRequestId(text).unsafeCoerce();
    }
}

function seedOf(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32LE(0);
}
