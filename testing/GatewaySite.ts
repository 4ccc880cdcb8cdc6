/** A gateway with the platform's codec in front of endpoints that the test defines, over loopback. */
import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { PlatformNoticeDecoder } from "../platform/NoticeHeaders.js";
import { PlatformGatewayCodec } from "../platform/RequestHeaders.js";
import type { Admission } from "../src/admission/Types.js";
import { listen } from "../src/common/HttpServers.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";
import type { Clock, DataCentreId, EndpointAddress, EndpointId, HostId, WorkspaceId } from "../src/common/Types.js";
import { EndpointConnections } from "../src/endpoints/EndpointConnections.js";
import { EndpointLimits } from "../src/endpoints/EndpointLimits.js";
import { EndpointNotices } from "../src/endpoints/EndpointNotices.js";
import type { FleetBounds, RequestKind, ServiceId } from "../src/fleet/Types.js";
import { CallerMemory, type CallerMemorySettings } from "../src/gateway/CallerMemory.js";
import { CrashEvidence } from "../src/gateway/CrashEvidence.js";
import { EndpointChooser } from "../src/gateway/EndpointChooser.js";
import { EndpointTracker } from "../src/gateway/EndpointTracker.js";
import { ColdStartQuota, FleetRetryBudget } from "../src/gateway/FleetQuotas.js";
import { Gateway } from "../src/gateway/Gateway.js";
import { GatewayHedging } from "../src/gateway/GatewayHedging.js";
import { GatewayServer } from "../src/gateway/GatewayServer.js";
import { ReplyEnds } from "../src/gateway/ReplyEnds.js";
import { ReplyTimes } from "../src/gateway/ReplyTimes.js";
import { RequestQuarantine } from "../src/gateway/RequestQuarantine.js";
import { StageGraph } from "../src/gateway/StageGraph.js";
import { StreamBinding } from "../src/gateway/StreamBinding.js";
import type { PieceExecutor, SubmissionId } from "../src/gather/Types.js";
import { HostLoad } from "../src/load/HostLoad.js";
import { PrefixDemand } from "../src/load/PrefixDemand.js";
import { DirectDialer } from "../src/paths/DirectDialer.js";
import { EndpointPaths } from "../src/paths/EndpointPaths.js";
import { TunnelClient } from "../src/peer/TunnelClient.js";
import { TunnelServer } from "../src/peer/TunnelServer.js";
import { VersionCounts } from "../src/rollouts/VersionCounts.js";
import { VersionRouter } from "../src/rollouts/VersionRouter.js";
import { FirstStart } from "../src/streams/FirstStart.js";
import { RouteHistory } from "../src/streams/RouteHistory.js";
import { ServiceVersions } from "../src/streams/ServiceVersions.js";
import { StreamOrigins } from "../src/streams/StreamOrigins.js";
import { MetricsRegistry } from "../src/telemetry/MetricsRegistry.js";
import type { EventLog } from "../src/telemetry/Types.js";
import { EndpointLinks } from "./EndpointLinks.js";
import type { RequestHandler } from "./EndpointReplies.js";
import { FakeNetwork } from "./FakeNetwork.js";
import {
    defaultBounds,
    deployment,
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    route,
    service,
    silentLog,
    statusPath,
    testPermits,
} from "./FleetFixtures.js";

export {
    crash,
    reply,
    type RequestHandler,
    sendEvents,
    serveFull,
    serveGood,
    signatureHeader,
} from "./EndpointReplies.js";
export { type Answer, sendRequest } from "./GatewayCaller.js";

const closers: (() => void)[] = [];

/** Closes everything that was started; call it after all tests of a file. */
export function closeSites(): void {
    closers.forEach(close => close());
}

/** Starts an endpoint that answers status checks, and reads the whole of any other request before it serves it. */
function startEndpoint(instance: string, handler: RequestHandler): Promise<http.Server> {
    return startServer((req, res) => {
        req.resume();
        if (req.method === "GET" && req.url === statusPath) {
            res.writeHead(200, { "Fireflykeel-Instance-Id": instance, "content-length": 0 }).end();
            return;
        }
        req.on("end", () => handler(req, res, req.socket));
    });
}

export function addressOf(server: http.Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

export async function startServer(listener: http.RequestListener): Promise<http.Server> {
    const server = http.createServer(listener);
    await listen(server, "127.0.0.1:0");
    closers.push(() => {
        server.closeAllConnections();
        server.close();
    });
    return server;
}

export interface GatewaySite {
    readonly address: string;
    readonly fleet: FixedFleet;
    /** Requests that endpoints have received, in order. */
    readonly received: http.IncomingMessage[];
    readonly endpoints: readonly http.Server[];
    readonly gateway: Gateway;
    readonly server: GatewayServer;
    /** Ends the server with all of its connections. */
    readonly endServer: () => Promise<void>;
    readonly hedging: GatewayHedging;
    readonly memory: CallerMemory;
    readonly limits: EndpointLimits;
    /** Links of this host to the endpoints; undefined when it connects to them without any. */
    readonly links: EndpointLinks | undefined;
    /** Serves tunnels to endpoints for other hosts. */
    readonly tunnelServer: TunnelServer;
    /** Ends this host for other hosts as a kill does: the system ends its connections in order. */
    endForPeers(): void;
    /** Begins a planned stop of this host. */
    stop(): void;
    /** Takes an endpoint off the list of this host. */
    hide(endpoint: string): void;
}

/** Starts a gateway in front of endpoints e0, e1, …; e0 is preferred, as only it is in the gateway's data centre. */
export async function startGatewaySite(
    kind: RequestKind,
    handlers: readonly RequestHandler[],
    stageExecutor?: PieceExecutor,
): Promise<GatewaySite> {
    const [site] = await startGatewaySites(1, kind, handlers, stageExecutor === undefined ? {} : { stageExecutor });
    return site!;
}

/** Starts a gateway as {@link startGatewaySite} does, which reaches the endpoints through another host only. */
export async function startDetouredSite(
    kind: RequestKind,
    handlers: readonly RequestHandler[],
    options: GatewaySiteOptions = {},
): Promise<GatewaySite> {
    return (await startHelpedSite(kind, handlers, options)).site;
}

/** Starts what {@link startDetouredSite} does; returns the other host as well. */
export async function startHelpedSite(
    kind: RequestKind,
    handlers: readonly RequestHandler[],
    options: GatewaySiteOptions = {},
): Promise<{ readonly site: GatewaySite; readonly helper: GatewaySite; }> {
    const [site, helper] = await startGatewaySites(2, kind, handlers, options);
    const endpoints = site!.fleet.view().endpoints.map(one => ({ ...one, address: closedAddress }));
    site!.fleet.set({ endpoints });
    return { site: site!, helper: helper! };
}

/** Refuses connections. */
const closedAddress = "127.0.0.1:1" as EndpointAddress;

/** Ways in which requests reach endpoints, with the words that a test's name gets for them. */
export const siteStarts = [
    { way: "", start: startGatewaySite },
    { way: ", through another host", start: startDetouredSite },
] as const;

const unlimitedMemory: CallerMemorySettings = { maxHeldBytes: Infinity, maxStallMs: Infinity };

interface GatewaySiteOptions {
    readonly stageExecutor?: PieceExecutor;
    readonly versions?: readonly string[];
    /** Bounds of the fleet that differ from the default ones. */
    readonly bounds?: Partial<FleetBounds>;
    /** Longest time that a request may take. */
    readonly timeoutMs?: number;
    /** Latency objective of the route; that of {@link route} by default. */
    readonly objectiveMs?: number;
    /** Longest pause between two events that callers accept. */
    readonly gapMs?: number;
    /** Admission control of each host; none by default. */
    readonly admission?: Admission;
    /** Clock of the gateways; the system's by default. */
    readonly clock?: Clock;
    /** True when each host has links to the endpoints, which can be cut. */
    readonly hasLinks?: boolean;
    /** Requests that each endpoint runs at the same time, as the list says. */
    readonly slots?: number;
    /** Share of the requests that may be hedged. */
    readonly hedgeShare?: () => number;
    readonly callerMemory?: CallerMemorySettings;
    /** Receives the events of the gateway and of its callers. */
    readonly log?: EventLog;
}

/**
 * Starts several gateways, hosts of one fleet, in front of the same endpoints as {@link startGatewaySite}. `versions`
 * are the software versions of the endpoints.
 */
export async function startGatewaySites(
    count: number,
    kind: RequestKind,
    handlers: readonly RequestHandler[],
    options: GatewaySiteOptions = {},
): Promise<readonly GatewaySite[]> {
    const { stageExecutor, versions, bounds, timeoutMs = 2000, objectiveMs, gapMs, hasLinks, slots = 1 } = options;
    const { hedgeShare = () => 0, callerMemory = unlimitedMemory, log = silentLog } = options;
    const clock = options.clock ?? new SystemClock();
    const received: http.IncomingMessage[] = [];
    const endpoints = await Promise.all(handlers.map((serve, at) =>
        startEndpoint(`e${at}`, (req, res, socket) => {
            received.push(req);
            serve(req, res, socket);
        })
    ));
    const hosts = entryHosts(count);
    const network = new FakeNetwork(new SystemClock());
    const peerAddresses = new Map<HostId, string>();
    return Promise.all(hosts.map(async ({ host }) => {
        const { fleet, gateway, hedging, memory, limits, tunnelServer, stop, dispose } = startGateway(
            host,
            network,
            peerAddresses,
            { ...defaultBounds, ...bounds },
            stageExecutor,
            clock,
            hedgeShare,
            () => callerMemory,
            log,
            options.admission,
        );
        closers.push(dispose);
        const peerServer = await startServer((_, res) => void res.writeHead(404).end());
        const peerSockets: Socket[] = [];
        peerServer.on("connection", (socket: Socket) => peerSockets.push(socket));
        tunnelServer.attach(peerServer);
        const endForPeers = () => {
            network.kill(host);
            peerServer.close();
            peerSockets.forEach(socket => socket.destroy());
        };
        peerAddresses.set(host, addressOf(peerServer));
        const links = hasLinks === true ? await startLinks(endpoints) : undefined;
        const stages = stageExecutor === undefined ? [] : [{ service: "p" as ServiceId, after: [], resultBytes: 1 }];
        const testRoute = route({
            kind,
            maxEndpoints: 2,
            isPublic: false,
            timeoutMs,
            stages,
            gapMs,
            ...(objectiveMs === undefined ? {} : { objectiveMs }),
        });
        const workspaces = new Map([["key", { id: "w" as WorkspaceId, priority: undefined }]]);
        fleet.set({
            hosts,
            deployment: { ...deployment([testRoute], [service("s")]), workspaces },
            endpoints: endpoints.map((server, at) =>
                listed(`e${at}`, {
                    address: links?.addresses[at] ?? addressOf(server),
                    version: versions?.[at],
                    slots,
                    dataCentre: (at === 0 ? "a" : `far-${at}`) as DataCentreId,
                })
            ),
        });
        const { server, endServer } = await startGatewayServer(gateway, fleet, clock, log);
        const hide = (endpoint: string) =>
            fleet.set({ endpoints: fleet.view().endpoints.filter(one => one.id !== endpoint) });
        return {
            address: `127.0.0.1:${server.port}`,
            fleet,
            received,
            endpoints,
            gateway,
            server,
            endServer,
            hedging,
            memory,
            limits,
            links,
            tunnelServer,
            endForPeers,
            stop,
            hide,
        };
    }));
}

async function startGatewayServer(
    gateway: Gateway,
    fleet: FixedFleet,
    clock: Clock,
    log: EventLog,
): Promise<{ readonly server: GatewayServer; readonly endServer: () => Promise<void>; }> {
    const server = new GatewayServer({
        address: "127.0.0.1:0",
        readyAddress: "127.0.0.1:0",
        isReadyPath: () => true,
        gateway,
        fleet,
        clock,
        log,
        metrics: new MetricsRegistry(),
        onFatal: err => assert.fail(err),
    });
    const closing = new AbortController();
    closers.push(() => closing.abort());
    const ended = server.run(closing.signal);
    while (server.port === undefined) {
        await new Promise(resolve => setImmediate(resolve));
    }
    const endServer = () => {
        closing.abort();
        return ended;
    };
    return { server, endServer };
}

async function startLinks(endpoints: readonly http.Server[]): Promise<EndpointLinks> {
    const links = new EndpointLinks();
    closers.push(() => void links.stop());
    await links.start(endpoints.map(addressOf));
    return links;
}

function startGateway(
    self: HostId,
    network: FakeNetwork,
    peerAddresses: ReadonlyMap<HostId, string>,
    bounds: FleetBounds,
    stageExecutor: PieceExecutor | undefined,
    clock: Clock,
    hedgeShare: () => number,
    callerMemory: () => CallerMemorySettings,
    log: EventLog,
    admission: Admission | undefined,
) {
    const fleet = new FixedFleet();
    const limits = new EndpointLimits(clock, silentLog, noMetrics);
    const brittle = new EndpointLimits(clock, silentLog, noMetrics, "brittle");
    const peers = network.addHost(self);
    const permits = testPermits({ self, fleet, limits, brittle, peers, clock });
    const common = { self, fleet, transport: peers, registry: peers, clock, log: silentLog, metrics: noMetrics };
    const origins = new StreamOrigins(common);
    const firstStart = new FirstStart(fleet, false);
    const versions = new ServiceVersions(fleet, clock, firstStart);
    const routes = new RouteHistory(fleet, clock, firstStart);
    const decoder = new PlatformNoticeDecoder();
    const notices = new EndpointNotices(decoder, limits, brittle, clock, new SeededRandom(1), silentLog, noMetrics);
    const currentAddress = (endpoint: EndpointId) => tracker.addressOf(endpoint);
    const stopping = new AbortController();
    const stopped = new AbortController();
    const key = "test-key-of-peers";
    const tunnelServer = new TunnelServer({ ...common, key, life: self, stopping: stopping.signal });
    const dialer = new DirectDialer(fleet, clock);
    tunnelServer.serve(dialer);
    const tunnels = new TunnelClient({
        key,
        addressOf: host => peerAddresses.get(host) ?? "",
        transport: peers,
        clock,
    });
    const dataCentre = "a" as DataCentreId;
    const paths = new EndpointPaths({ ...common, dataCentre, dialer, tunnels });
    void paths.run(stopped.signal);
    const connections = new EndpointConnections(
        { addressOf: currentAddress, connectMs: () => 500 },
        clock,
        undefined,
        paths,
    );
    const tracker: EndpointTracker = new EndpointTracker(
        fleet,
        notices,
        clock,
        silentLog,
        one => connections.closeIdleConnections(one),
    );
    const noExecutor = {
        execute: () => assert.fail(),
        free: () => undefined,
        waitMs: () => undefined,
    } as PieceExecutor;
    const executor = stageExecutor ?? noExecutor;
    const cold = new ColdStartQuota(self, bounds, fleet, clock);
    const load = new HostLoad({ view: () => fleet.view(), clock, log: silentLog, metrics: noMetrics });
    notices.onLoad(({ endpoint, load: stated }) => load.recordStatement(endpoint, stated));
    const retries = new FleetRetryBudget(bounds, fleet, clock);
    const hedging = new GatewayHedging(clock, retries, () => ({ maxShare: hedgeShare() }));
    const memory = new CallerMemory({ settings: callerMemory, clock, log, metrics: noMetrics });
    const codec = new PlatformGatewayCodec();
    const gateway = new Gateway({
        fleet,
        bounds,
        codec,
        tracker: tracker,
        chooser: new EndpointChooser("a" as DataCentreId, cold, new SeededRandom(1), load, new PrefixDemand(clock)),
        stages: new StageGraph(executor, clock, () => "s" as SubmissionId),
        pieces: executor,
        connections,
        ends: new ReplyEnds({ fleet, connections, codec, clock, log: silentLog, metrics: noMetrics }),
        notices,
        retries,
        hedging,
        memory,
        cold,
        permits,
        admission,
        origins,
        versions: new VersionRouter({
            self,
            fleet,
            bounds: bounds.rollouts,
            counts: new VersionCounts(clock),
            log: silentLog,
            metrics: noMetrics,
        }),
        binding: new StreamBinding({ origins, versions, routes, log: silentLog, metrics: noMetrics }),
        replyTimes: new ReplyTimes(),
        load,
        clock,
        log,
        metrics: noMetrics,
        random: () => 0,
        quarantine: new RequestQuarantine({
            fleet,
            evidence: new CrashEvidence({ fleet, connections, notices, clock, stopped: stopped.signal }),
            log: silentLog,
            metrics: noMetrics,
        }),
    });
    const dispose = () => {
        stopped.abort();
        tunnelServer.dispose();
        connections.dispose();
    };
    return { fleet, gateway, hedging, memory, limits, tunnelServer, stop: () => stopping.abort(), dispose };
}
