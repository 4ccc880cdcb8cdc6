/**
 * Common base of a fleet's entry hosts and control hosts: clock, logging, peer transport, metrics, start and stop.
 */
import { serveUntil } from "../common/HttpServers.js";
import { nextIncarnation, parseHostId } from "../common/Ids.js";
import type { InvariantError } from "../common/Invariant.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { SystemClock } from "../common/SystemClock.js";
import { hashText } from "../common/TextHash.js";
import type { Clock, HostId, Incarnation } from "../common/Types.js";
import type { FleetSettings } from "../fleet/Types.js";
import { TrpcPeerServer } from "../peer/TrpcPeerServer.js";
import { TrpcPeerTransport } from "../peer/TrpcPeerTransport.js";
import { TunnelClient } from "../peer/TunnelClient.js";
import { TunnelServer } from "../peer/TunnelServer.js";
import { Supervisor } from "../supervise/Supervisor.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import { HybridLogicalClock } from "../telemetry/HybridLogicalClock.js";
import { JsonEventLog, type LineSink } from "../telemetry/JsonEventLog.js";
import { type LogPressure, LogSampler, SampledEventLog } from "../telemetry/LogSampler.js";
import { MetricsRegistry } from "../telemetry/MetricsRegistry.js";
import { ServerLimits } from "../telemetry/ServerLimits.js";
import type { EventLog } from "../telemetry/Types.js";
import { PeerServer } from "./PeerServer.js";

/** Not a secret: it guards against misaddressed connections. The network between hosts is closed to others. */
const peerKey = "fireflykeel-fleet";
/** Length of the part of tunnels' ids that tells runs of the process apart, in hex digits. */
const tunnelLifeChars = 12;
/** How often the delay of the event loop is measured. */
const loopCheckMs = 500;
const metricsLimits = { descriptorShare: 1 / 32, maxLargeBodies: 0 };

export interface FleetHostOptions {
    readonly settings: FleetSettings;
    /** "ip:port" of the metrics; undefined for none. */
    readonly metricsAddress: string | undefined;
    /** Number of descriptors that this process may have. */
    readonly maxDescriptors: number;
    readonly sink: LineSink;
    /** Reports how full the line buffer of the sink is and how many lines it has dropped. */
    readonly logPressure: LogPressure;
    readonly onFatal: (err: InvariantError) => void;
}

export class FleetHost {
    public readonly self: HostId;
    public readonly incarnation: Incarnation;
    public readonly clock: Clock = new SystemClock();
    public readonly random: SeededRandom;
    public readonly log: EventLog;
    public readonly metrics = new MetricsRegistry((metric, message) =>
        this.log.event(EventId.MetricRejected, { metric, message })
    );
    public readonly peers: TrpcPeerServer;
    public readonly transport: TrpcPeerTransport;
    /** Tunnels to endpoints: those that this host opens, and those that it serves. */
    public readonly tunnels: TunnelClient;
    public readonly tunnelServer: TunnelServer;
    /** Aborted once a planned stop has ended all services. */
    public readonly stopped = new AbortController();
    /** Aborted when a planned stop begins, before anything is drained. */
    public readonly stopping = new AbortController();
    private readonly sampler: LogSampler;
    private readonly supervisor: Supervisor;
    private seeds: readonly string[];

    public constructor(private readonly options: FleetHostOptions) {
        const { settings, sink, logPressure, onFatal } = options;
        this.self = settings.host;
        this.seeds = settings.seeds;
        this.incarnation = nextIncarnation(this.clock.wallMs());
        this.random = new SeededRandom(this.incarnation ^ hashText(this.self));
        const hybridClock = new HybridLogicalClock(this.clock, this.self);
        this.sampler = new LogSampler(logPressure, this.clock);
        this.log = new SampledEventLog(new JsonEventLog(this.self, hybridClock, sink), this.sampler);
        const { log, metrics, clock, self } = this;
        const fatal = (err: InvariantError) => {
            log.event(EventId.InvariantBroken, { invariant: err.invariant, details: err.details });
            onFatal(err);
        };
        this.peers = new TrpcPeerServer({ key: peerKey, clock: hybridClock, log, metrics, onFatal: fatal });
        const addressOf = (host: HostId) => `${host}:${settings.peerPort}`;
        this.transport = new TrpcPeerTransport({ self, key: peerKey, addressOf, clock, hybridClock, log });
        const { peers: registry, transport, random } = this;
        this.tunnels = new TunnelClient({ key: peerKey, addressOf, transport, clock });
        const stopping = this.stopping.signal;
        const life = random.hex(tunnelLifeChars);
        this.tunnelServer = new TunnelServer({ key: peerKey, registry, life, clock, log, metrics, stopping });
        this.supervisor = new Supervisor({ clock, log, onFatal: fatal });
        this.onFatal = fatal;
    }

    /** Logs a broken invariant and passes it to `onFatal` of the options. */
    public readonly onFatal: (err: InvariantError) => void;

    /** The control hosts to contact first, from the seed addresses without their ports. */
    public readonly seedHosts = (): readonly HostId[] =>
        this.seeds.flatMap(seed => parseHostId(seed.slice(0, seed.lastIndexOf(":"))).toMaybe().toList());

    /** Replaces the seeds after the settings have changed. */
    public setSeeds(seeds: readonly string[]): void {
        this.seeds = seeds;
    }

    /** Starts the peer server, the given services, loop-delay measurement and, if configured, the metrics server. */
    public start(services: readonly Service[]): void {
        const { settings, metricsAddress, maxDescriptors } = this.options;
        const { clock, log, metrics, peers, tunnelServer: tunnels, onFatal } = this;
        const address = `${settings.ip}:${settings.peerPort}`;
        this.supervisor.start(
            new PeerServer({
                address,
                peers,
                tunnels,
                operators: undefined,
                maxDescriptors,
                clock,
                log,
                metrics,
                onFatal,
            }),
        );
        services.forEach(service => this.supervisor.start(service));
        this.supervisor.start({ name: "loop-delay", run: signal => this.measureLoopDelay(signal) });
        if (metricsAddress !== undefined) {
            const run = (signal: AbortSignal) => this.serveMetrics(metricsAddress, signal);
            this.supervisor.start({ name: "metrics-server", run });
        }
        const { host, dataCentre, seeds, isFirstStart } = settings;
        log.event(EventId.ProcessStarted, { incarnation: this.incarnation, host, dataCentre, seeds, isFirstStart });
    }

    /** Drains and ends all services within the grace time; resolves to the number of unfinished work items. */
    public async stop(reason: string): Promise<number> {
        this.log.event(EventId.ProcessStopping, { reason });
        this.stopping.abort();
        const left = await this.supervisor.stop(this.options.settings.bounds.stopGraceMs);
        this.stopped.abort();
        this.transport.dispose();
        const unfinished = left.reduce((sum, report) => sum + report.unfinished, 0);
        this.log.event(EventId.ProcessStopped, { unfinished });
        return unfinished;
    }

    private async measureLoopDelay(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const startMs = this.clock.nowMs();
            await this.clock.sleep(loopCheckMs, signal);
            this.metrics.latency("loop_delay", Math.max(0, this.clock.nowMs() - startMs - loopCheckMs));
            // Dropped lines were lost to a full buffer; left-out lines were skipped by the sampler.
            this.metrics.gauge("dropped_log_lines", this.options.logPressure.droppedLines());
            this.metrics.gauge("left_out_log_lines", this.sampler.leftOutLines);
        }
    }

    private async serveMetrics(address: string, signal: AbortSignal): Promise<void> {
        const { clock, log, metrics } = this;
        const { maxDescriptors } = this.options;
        const limits = new ServerLimits({
            server: "metrics-server",
            maxDescriptors,
            ...metricsLimits,
            clock,
            log,
            metrics,
        });
        const server = limits.connections.createServer((_, res) => {
            void metrics.render().then(text => {
                res.writeHead(200, { "content-type": "text/plain; version=0.0.4" }).end(text);
            });
        });
        await serveUntil(server, address, signal);
    }
}
