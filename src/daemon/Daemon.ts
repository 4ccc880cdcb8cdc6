/**
 * The process of one host: an entry host, and also a control host if the settings give it a data folder. It builds the
 * components, runs them under a supervisor, and on a planned stop drains them without aborting requests in progress.
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

/** How often a start checks whether this host can serve. */
const startPollMs = 20;
/** Maximum wait of a start for its endpoints' slots and for the records group, which may be unreachable. */
const maxSettleMs = 6000;
/** Timeout of one reachability check of the records group during a start. */
const recordsCheckMs = 1000;

export class Daemon {
    private readonly base: DaemonBase;
    private readonly hybridClock: HybridLogicalClock;
    private readonly peers: TrpcPeerServer;
    private readonly transport: TrpcPeerTransport;
    private readonly controlPlane: ControlPlane;
    private readonly dataPlane: DataPlane;
    private readonly config: EffectiveConfig;
    private readonly readiness: HostReadiness;
    private readonly supervisor: Supervisor;
    private requestCount = 0;
    private stopped: Promise<readonly DrainReport[]> | undefined;
    private resolveStopped: (left: readonly DrainReport[]) => void = () => undefined;

    /** Resolves once a planned stop has ended, whatever initiated it, to the work left unfinished. */
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
        const metrics = new MetricsRegistry((metric, message) =>
            log.event(EventId.MetricRejected, { metric, message })
        );
        this.peers = new TrpcPeerServer({
            key: keys.peerKey,
            clock: this.hybridClock,
            log,
            metrics,
            onFatal: err => this.handleFatal(err),
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
        this.controlPlane = buildControlPlane(this.base, options.seeds);
        this.config = new EffectiveConfig(this.controlPlane.config, settings.daemon);
        this.dataPlane = buildDataPlane(this.base, this.controlPlane, this.config);
        this.readiness = new HostReadiness(hostSettings.dataCentre, this.config, log);
        this.supervisor = new Supervisor({ clock, log, onFatal: err => this.handleFatal(err) });
    }

    /** Starts all services and resolves once a committed configuration is in force and callers are served. */
    public async start(signal?: AbortSignal): Promise<void> {
        const { clock, log, incarnation, dataCentre } = this.base;
        const services: Service[] = [
            this.buildPeerServer(),
            ...this.controlPlane.services,
            ...this.dataPlane.services,
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
     * Waits until the peers are known, the slots of all endpoints owned by this host can be granted, and claims can be
     * recorded.
     */
    private async waitUntilSettled(signal: AbortSignal | undefined): Promise<void> {
        const { clock, settings } = this.base;
        const settledMs = clock.nowMs() + 2 * settings.timing.heartbeatMs;
        const untilMs = clock.nowMs() + maxSettleMs;
        const isSettled = () =>
            clock.nowMs() >= settledMs
            && this.dataPlane.membership.view().certain
            && this.dataPlane.owner.view().every(endpoint => endpoint.open);
        const mayWait = () => clock.nowMs() < untilMs && signal?.aborted !== true && this.stopped === undefined;
        while (!isSettled() && mayWait()) {
            await clock.sleep(startPollMs, signal);
        }
        while (mayWait() && (await this.controlPlane.records.confirmReachable(recordsCheckMs)).isLeft()) {
            await clock.sleep(startPollMs, signal);
        }
    }

    /**
     * Planned stop: reports the host as not ready, keeps serving for the balancer's lag, drains or hands over running
     * work, and ends all services. Resolves to the work left unfinished after the grace time. Further calls return the
     * same promise.
     */
    public stop(reason: string): Promise<readonly DrainReport[]> {
        this.stopped ??= this.stopOnce(reason);
        return this.stopped;
    }

    /** Stops immediately without draining, like a crash, but closes sockets. */
    public async abort(): Promise<void> {
        await this.supervisor.abortAll();
        this.dataPlane.dispose();
        this.transport.dispose();
    }

    private async stopOnce(reason: string): Promise<readonly DrainReport[]> {
        const { log } = this.base;
        log.event(EventId.ProcessStopping, { reason });
        this.readiness.markStopping();
        const graceMs = (this.config.current()?.settings ?? this.options.settings).timing.stopGraceMs;
        const unfinished = await this.supervisor.stop(graceMs);
        this.dataPlane.dispose();
        this.transport.dispose();
        log.event(EventId.ProcessStopped, {
            unfinished: unfinished.reduce((sum, report) => sum + report.unfinished, 0),
        });
        this.resolveStopped(unfinished);
        return unfinished;
    }

    private handleFatal(err: InvariantError): void {
        this.base.log.event(EventId.InvariantBroken, { invariant: err.invariant, details: err.details });
        this.options.onFatal(err);
    }

    private buildPeerServer(): PeerServer {
        const { clock, log, metrics, host, settings } = this.base;
        const operators = new OperatorApi(this.options.keys.operatorKey, metrics, log);
        jobRoutes(this.dataPlane.jobs).forEach(route => operators.add(route));
        configRoutes(this.controlPlane.operations).forEach(route => operators.add(route));
        operators.add(statusRoute(this.base, this.config, this.controlPlane, this.dataPlane));
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
            clock,
            log,
            metrics,
            onFatal: err => this.handleFatal(err),
        });
    }

    private buildCallerServer(): CallerServer {
        const { clock, log, metrics, host, settings } = this.base;
        const api = new CallerApi({
            config: this.config,
            runner: this.dataPlane.runner,
            jobs: new JobApi(this.dataPlane.jobs, clock),
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
            metrics,
            onFatal: err => this.handleFatal(err),
        });
    }

    /** Returns an id made of host, incarnation and counter, which is unique across all hosts and restarts. */
    private nextRequestId(): RequestId {
        this.requestCount += 1;
        const text = `${this.base.host}.${this.base.incarnation.toString(36)}.${this.requestCount.toString(36)}`;
        return parseRequestId(text).unsafeCoerce();
    }
}

function seedOf(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32LE(0);
}
