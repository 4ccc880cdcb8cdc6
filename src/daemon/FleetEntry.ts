/**
 * Composition of a fleet's entry host: fleet view, gateway for callers, and batching of pieces (units of a stage's
 * work) into calls.
 */
import { StageAdmission } from "../admission/StageAdmission.js";
import { LeaseClock } from "../common/LeaseClock.js";
import type { EndpointId } from "../common/Types.js";
import { EndpointConnections } from "../endpoints/EndpointConnections.js";
import { EndpointLimits } from "../endpoints/EndpointLimits.js";
import { EndpointNotices, type NoticeDecoder } from "../endpoints/EndpointNotices.js";
import { FleetClient } from "../fleet/FleetClient.js";
import { shareStatements } from "../fleet/StatementSharing.js";
import type { DeploymentDecoder, ServiceId } from "../fleet/Types.js";
import { CallerMemory, type CallerMemorySettings } from "../gateway/CallerMemory.js";
import { CrashEvidence } from "../gateway/CrashEvidence.js";
import { EndpointChooser } from "../gateway/EndpointChooser.js";
import { EndpointTracker } from "../gateway/EndpointTracker.js";
import { ColdStartQuota, FleetRetryBudget } from "../gateway/FleetQuotas.js";
import { Gateway } from "../gateway/Gateway.js";
import { GatewayHedging, type HedgingSettings } from "../gateway/GatewayHedging.js";
import { GatewayServer } from "../gateway/GatewayServer.js";
import { ReplyEnds } from "../gateway/ReplyEnds.js";
import { ReplyTimes } from "../gateway/ReplyTimes.js";
import { RequestQuarantine } from "../gateway/RequestQuarantine.js";
import { StageGraph } from "../gateway/StageGraph.js";
import { StreamBinding } from "../gateway/StreamBinding.js";
import type { GatewayCodec } from "../gateway/Types.js";
import { CellCache } from "../gather/Cells.js";
import { GatherClient } from "../gather/GatherClient.js";
import { GatherServer } from "../gather/GatherServer.js";
import { HttpPieceClient } from "../gather/HttpPieceClient.js";
import { PermittedPieceClient } from "../gather/PermittedPieceClient.js";
import type { PieceCodec, SubmissionId } from "../gather/Types.js";
import { createEndpointPermits, type EndpointPermits } from "../limits/EndpointPermits.js";
import { HostLoad } from "../load/HostLoad.js";
import { PrefixDemand } from "../load/PrefixDemand.js";
import { UnevenLoad } from "../load/UnevenLoad.js";
import { DirectDialer } from "../paths/DirectDialer.js";
import { EndpointPaths } from "../paths/EndpointPaths.js";
import { VersionCounts } from "../rollouts/VersionCounts.js";
import { VersionRouter } from "../rollouts/VersionRouter.js";
import { FirstStart } from "../streams/FirstStart.js";
import { RouteHistory } from "../streams/RouteHistory.js";
import { ServiceVersions } from "../streams/ServiceVersions.js";
import { StreamOrigins } from "../streams/StreamOrigins.js";
import { FleetHost, type FleetHostOptions } from "./FleetHost.js";

/** Connect timeout for endpoints: many times the round trip to the farthest one plus its connection setup. */
const connectMs = 120;
/** Idle connection lifetime for endpoints that don't announce their own. */
const idleMs = 8000;

interface FleetEntryOptions extends FleetHostOptions {
    /** "ip:port" for callers. */
    readonly callerAddress: string;
    /** "ip:port" for the balancer's checks. */
    readonly readyAddress: string;
    readonly isReadyPath: (path: string) => boolean;
    readonly decoder: DeploymentDecoder;
    readonly gatewayCodec: GatewayCodec;
    readonly pieceCodec: PieceCodec;
    readonly noticeDecoder: NoticeDecoder;
    /** Returns the settings of hedging in force, which may change at any time. */
    readonly hedging: () => HedgingSettings;
    /** Likewise the limits on data held for callers. */
    readonly callerMemory: () => CallerMemorySettings;
}

/** Builds an entry host and starts it. */
export function startFleetEntry(options: FleetEntryOptions): FleetHost {
    const { dataCentre, bounds } = options.settings;
    const host = new FleetHost(options);
    const { self, incarnation, clock, random, log, metrics } = host;
    const leaseClock = new LeaseClock(clock);
    const load: HostLoad = new HostLoad({ view: () => fleet.view(), clock: leaseClock, log, metrics });
    const fleet: FleetClient = followFleet(host, options, leaseClock, load);
    const limits = new EndpointLimits(leaseClock, log, metrics);
    const brittle = new EndpointLimits(leaseClock, log, metrics, "brittle");
    const { transport, peers: registry } = host;
    const common = { self, fleet, transport, registry, log, metrics };
    const permits = createEndpointPermits({ ...common, bounds, limits, brittle, clock: leaseClock });
    const paths = buildPaths(host, fleet, options);
    const { notices, connections, tracker } = followEndpoints(host, { fleet, limits, brittle, paths }, options);
    shareStatements([limits, brittle], notices, fleet);
    notices.onLoad(({ endpoint, load: stated }) => load.recordStatement(endpoint, stated));
    const streams = buildStreams(host, fleet, options);
    const pieces = buildGathering(host, { fleet, notices, permits, connections, load, options });
    const retries = new FleetRetryBudget(bounds, fleet, clock);
    const cold = new ColdStartQuota(self, bounds, fleet, clock);
    const gateway = new Gateway({
        fleet,
        bounds,
        codec: options.gatewayCodec,
        tracker,
        chooser: new EndpointChooser(dataCentre, cold, random, new UnevenLoad(load), new PrefixDemand(clock)),
        stages: new StageGraph(pieces, clock, submissionIds(`${self}.${incarnation.toString(36)}`)),
        pieces,
        connections,
        ends: new ReplyEnds({ fleet, connections, codec: options.gatewayCodec, clock, log, metrics }),
        notices,
        retries,
        hedging: new GatewayHedging(clock, retries, options.hedging),
        memory: new CallerMemory({ settings: options.callerMemory, clock, log, metrics }),
        cold,
        permits,
        admission: buildAdmission(host, pieces, options),
        ...streams,
        versions: buildVersions(host, fleet, options),
        replyTimes: new ReplyTimes(),
        load,
        clock,
        log,
        metrics,
        random: () => random.next(),
        quarantine: buildQuarantine(host, fleet, connections, notices),
    });
    host.start([fleet, paths, pieces, buildServer(host, fleet, gateway, options)]);
    return host;
}

function buildServer(
    { clock, log, metrics, onFatal }: FleetHost,
    fleet: FleetClient,
    gateway: Gateway,
    { callerAddress: address, readyAddress, isReadyPath, maxDescriptors }: FleetEntryOptions,
): GatewayServer {
    const common = { gateway, fleet, clock, log, metrics, onFatal, maxDescriptors };
    return new GatewayServer({ address, readyAddress, isReadyPath, ...common });
}

/** Undefined where the settings do not switch admission control on. */
function buildAdmission(
    { clock, random, log, metrics }: FleetHost,
    pieces: GatherClient,
    { settings }: FleetEntryOptions,
): StageAdmission | undefined {
    const waitMs = (service: ServiceId, goes?: "last") => pieces.waitMs(service, goes);
    return settings.hasAdmission === true ? new StageAdmission({ waitMs, clock, random, log, metrics }) : undefined;
}

function buildQuarantine(
    host: FleetHost,
    fleet: FleetClient,
    connections: EndpointConnections,
    notices: EndpointNotices,
): RequestQuarantine {
    const { clock, log, metrics, stopped } = host;
    const evidence = new CrashEvidence({ fleet, connections, notices, clock, stopped: stopped.signal });
    return new RequestQuarantine({ fleet, evidence, log, metrics });
}

function followFleet(
    host: FleetHost,
    { settings, decoder }: FleetEntryOptions,
    clock: LeaseClock,
    load: HostLoad,
): FleetClient {
    const { self, incarnation, transport, log, metrics } = host;
    return new FleetClient({
        self,
        dataCentre: settings.dataCentre,
        incarnation,
        seeds: host.seedHosts,
        decoder,
        transport,
        clock,
        log,
        metrics,
        stopping: host.stopping.signal,
        load,
    });
}

/** Builds the ways to endpoints: this host's own, which it lends to others, and those through others. */
function buildPaths(host: FleetHost, fleet: FleetClient, { settings }: FleetEntryOptions): EndpointPaths {
    const { self, tunnels, tunnelServer, clock, log, metrics } = host;
    const dialer = new DirectDialer(fleet, clock);
    tunnelServer.serve(dialer);
    return new EndpointPaths({ self, dataCentre: settings.dataCentre, fleet, dialer, tunnels, clock, log, metrics });
}

interface EndpointParts {
    readonly fleet: FleetClient;
    readonly limits: EndpointLimits;
    readonly brittle: EndpointLimits;
    readonly paths: EndpointPaths;
}

/** Builds what the host knows of endpoints, and its connections to them. */
function followEndpoints(
    host: FleetHost,
    { fleet, limits, brittle, paths }: EndpointParts,
    { noticeDecoder }: FleetEntryOptions,
) {
    const { clock, random, log, metrics } = host;
    const notices = new EndpointNotices(noticeDecoder, limits, brittle, clock, random, log, metrics);
    const addressOf = (endpoint: EndpointId) => tracker.addressOf(endpoint);
    const connections = new EndpointConnections({ addressOf, connectMs: () => connectMs }, clock, idleMs, paths);
    const onRemoved = (id: EndpointId) => connections.closeIdleConnections(id);
    const tracker: EndpointTracker = new EndpointTracker(fleet, notices, clock, log, onRemoved);
    return { notices, connections, tracker };
}

/** Builds what finds and remembers where streams began. */
function buildStreams(host: FleetHost, fleet: FleetClient, { settings }: FleetEntryOptions) {
    const { self, transport, peers: registry, clock, log, metrics } = host;
    const origins = new StreamOrigins({ self, fleet, transport, registry, clock, log, metrics });
    const firstStart = new FirstStart(fleet, settings.isFirstStart);
    const versions = new ServiceVersions(fleet, clock, firstStart);
    const routes = new RouteHistory(fleet, clock, firstStart);
    return { origins, binding: new StreamBinding({ origins, versions, routes, log, metrics }) };
}

/** Builds what selects versions in roll-outs, and reports their answers. */
function buildVersions(host: FleetHost, fleet: FleetClient, { settings }: FleetEntryOptions): VersionRouter {
    const { self, clock, log, metrics } = host;
    const counts = new VersionCounts(clock);
    fleet.reportRollouts(() => counts.report(fleet.view().rollouts?.records ?? []));
    return new VersionRouter({ self, fleet, bounds: settings.bounds.rollouts, counts, log, metrics });
}

interface GatheringParts {
    readonly fleet: FleetClient;
    readonly notices: EndpointNotices;
    readonly permits: EndpointPermits;
    readonly connections: EndpointConnections;
    readonly load: HostLoad;
    readonly options: FleetEntryOptions;
}

/** Builds both roles of the host in batching pieces: the gatherer of some cells, and the client of all of them. */
function buildGathering(host: FleetHost, parts: GatheringParts): GatherClient {
    const { fleet, notices, permits, connections, load, options } = parts;
    const { self, transport, peers: registry, clock, log, metrics } = host;
    const { dataCentre, gathering: policies } = options.settings;
    const signal = host.stopped.signal;
    const cells = new CellCache(() => fleet.view());
    const http = new HttpPieceClient(connections, options.pieceCodec, notices, clock, signal, load);
    const client = new PermittedPieceClient(http, permits, clock, log);
    const common = { self, cells, transport, registry, clock, log };
    const local = new GatherServer({ ...common, fleet, client, notices, speeds: load, metrics, signal, policies });
    return new GatherClient({ ...common, dataCentre, local });
}

/** Returns a generator of ids; the prefix of host and incarnation makes them unique across all hosts and restarts. */
function submissionIds(prefix: string): () => SubmissionId {
    let count = 0;
    return () => {
        count += 1;
        return `${prefix}.${count.toString(36)}` as SubmissionId;
    };
}
