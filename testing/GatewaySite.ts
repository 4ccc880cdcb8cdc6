/** A gateway with the platform's codec before endpoints of the test's making, over loopback. */
import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { PlatformGatewayCodec } from "../platform/RequestHeaders.js";
import { listen } from "../src/common/HttpServers.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";
import type { DataCentreId, EndpointId, HostId, WorkspaceId } from "../src/common/Types.js";
import { EndpointConnections } from "../src/endpoints/EndpointConnections.js";
import type { RequestKind, ServiceId } from "../src/fleet/Types.js";
import { EndpointChooser } from "../src/gateway/EndpointChooser.js";
import { EndpointTracker } from "../src/gateway/EndpointTracker.js";
import { ColdStartQuota, FleetRetryBudget } from "../src/gateway/FleetQuotas.js";
import { Gateway } from "../src/gateway/Gateway.js";
import { ReplyTimes } from "../src/gateway/ReplyTimes.js";
import { StageGraph } from "../src/gateway/StageGraph.js";
import type { PieceExecutor, SubmissionId } from "../src/gather/Types.js";
import {
    defaultBounds,
    deployment,
    FixedFleet,
    listed,
    noMetrics,
    route,
    service,
    silentLog,
} from "./FleetFixtures.js";

export const signatureHeader = { "Fireflykeel-Server-Stamp": "stamp" };
const closers: (() => void)[] = [];

/** Closes all that was started; call it once all tests of a file have ended. */
export function closeSites(): void {
    closers.forEach(close => close());
}

export type RequestHandler = (req: http.IncomingMessage, res: http.ServerResponse, socket: Socket) => void;

/** An endpoint, which reads a request whole before it serves it. */
function startEndpoint(serve: RequestHandler): Promise<http.Server> {
    return startServer((req, res) => {
        req.resume();
        req.on("end", () => serve(req, res, req.socket));
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

/** Writes a whole reply that echoes the request's id. */
export function reply(
    res: http.ServerResponse,
    req: http.IncomingMessage,
    status: number,
    headers: object,
    body: string,
) {
    const echo = { "Fireflykeel-Request-Id": req.headers["fireflykeel-request-id"] ?? "" };
    res.writeHead(status, { ...echo, ...headers, "content-length": Buffer.byteLength(body) }).end(body);
}

export const serveGood: RequestHandler = (req, res) => reply(res, req, 200, signatureHeader, "good");
export const serveFull: RequestHandler = (req, res) =>
    reply(res, req, 503, { "Fireflykeel-Not-Executed": "1" }, "full");

export function sendEvents(req: http.IncomingMessage, res: http.ServerResponse, from: number, to: number): void {
    res.writeHead(200, {
        ...signatureHeader,
        "Fireflykeel-Request-Id": req.headers["fireflykeel-request-id"] ?? "",
        "content-type": "text/event-stream",
    });
    for (let id = from; id <= to; id++) {
        res.write(`id: ${id}\ndata: ${id}\n\n`);
    }
}

export interface GatewaySite {
    readonly address: string;
    readonly fleet: FixedFleet;
    /** Requests as endpoints received them, in order. */
    readonly received: http.IncomingMessage[];
    readonly endpoints: readonly http.Server[];
    readonly gateway: Gateway;
}

/** A gateway before endpoints e0, e1, … of which the first is always the first choice. */
export async function startGatewaySite(
    kind: RequestKind,
    serves: readonly RequestHandler[],
    staged?: PieceExecutor,
): Promise<GatewaySite> {
    const clock = new SystemClock();
    const fleet = new FixedFleet();
    const received: http.IncomingMessage[] = [];
    const endpoints = await Promise.all(serves.map(serve =>
        startEndpoint((req, res, socket) => {
            received.push(req);
            serve(req, res, socket);
        })
    ));
    const dialled = (endpoint: EndpointId) => book.addressOf(endpoint);
    const connections = new EndpointConnections({ addressOf: dialled, connectMs: () => 500 }, clock);
    const book: EndpointTracker = new EndpointTracker(
        fleet,
        clock,
        silentLog,
        one => connections.closeIdleConnections(one),
    );
    const noPieces = { execute: () => assert.fail(), free: () => undefined, waitMs: () => undefined } as PieceExecutor;
    const maker = staged ?? noPieces;
    const cold = new ColdStartQuota("h" as HostId, defaultBounds, fleet, clock);
    const gateway = new Gateway({
        fleet,
        bounds: defaultBounds,
        codec: new PlatformGatewayCodec(),
        tracker: book,
        chooser: new EndpointChooser("a" as DataCentreId, cold, new SeededRandom(1)),
        stages: new StageGraph(maker, clock, () => "s" as SubmissionId),
        pieces: maker,
        connections,
        retries: new FleetRetryBudget(defaultBounds, fleet, clock),
        cold,
        replyTimes: new ReplyTimes(),
        clock,
        log: silentLog,
        metrics: noMetrics,
        random: () => 0,
        stopped: new AbortController().signal,
        reportCrash: () => fleet.reportCrash("crash"),
    });
    const stages = staged === undefined ? [] : [{ service: "p" as ServiceId, after: [], resultBytes: 1 }];
    const one = route({ kind, maxEndpoints: 2, isPublic: false, timeoutMs: 2000, stages });
    const workspaces = new Map([["key", { id: "w" as WorkspaceId, priority: undefined }]]);
    fleet.set({
        deployment: { ...deployment([one], [service("s")]), workspaces },
        endpoints: endpoints.map((server, at) =>
            listed(`e${at}`, { address: addressOf(server), dataCentre: (at === 0 ? "a" : `far-${at}`) as DataCentreId })
        ),
    });
    const address = addressOf(await startServer((req, res) => void gateway.handle(req, res)));
    closers.push(() => connections.dispose());
    return { address, fleet, received, endpoints, gateway };
}

export interface Answer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    readonly isWhole: boolean;
}

export function sendRequest(site: GatewaySite, headers: Record<string, string> = {}, path = "/a/x"): Promise<Answer> {
    return new Promise((resolve, reject) => {
        const req = http.request(`http://${site.address}${path}`, {
            method: "POST",
            agent: false,
            headers: {
                "host": "H.example:80",
                "fireflykeel-request-id": "id-1",
                "fireflykeel-deadline-ms": "1500",
                "x-api-key": "key",
                ...headers,
            },
        });
        req.on("error", reject);
        req.on("response", res => {
            let body = "";
            res.on("data", (chunk: Buffer) => body += chunk.toString());
            res.on("error", () => undefined);
            res.on("close", () => {
                resolve({ status: res.statusCode ?? 0, headers: res.headers, body, isWhole: res.complete });
            });
        });
        req.end("body");
    });
}
