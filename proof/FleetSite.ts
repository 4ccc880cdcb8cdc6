/**
 * Runs the programs of deploy/system.toml as processes on loopback addresses. The platform's endpoint list and the
 * endpoints are stand-ins in this process; the endpoints can refuse requests, also once more, lose responses, cut streams,
 * limit their request rate, leave, and ask for pauses.
 */
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import type { Socket } from "node:net";
import { join } from "node:path";
import { stringify } from "yaml";
import { Processes } from "../bench/Processes.js";
import { listen } from "../src/common/HttpServers.js";
import type { Clock, Random } from "../src/common/Types.js";
import { answerOf, eventOf, type FleetHistory, streamEvents } from "./FleetHistory.js";

const script = new URL("../platform/main.js", import.meta.url).pathname;
/** Below the range of ephemeral ports, so that no outgoing connection occupies them. */
const ports = { peer: 17_740, operator: 17_741, caller: 17_742, ready: 17_743, endpoint: 17_744, list: 17_745 };
/** As in platform/main.ts. */
const metricsPort = 9464;
/** Pause between two events of a stream. */
const eventPauseMs = 15;
/** Processing time of a request that is not a stream. */
const processingMs = 10;
const statusPath = "/status";
/** Share of streams that have neither a length nor chunks. */
const unframedShare = 0.5;
/** How long an endpoint that has crashed refuses connections. */
const crashMs = 1200;

export interface FleetSize {
    readonly controls: number;
    readonly entries: number;
    readonly endpoints: number;
}

/** Probabilities, in [0, 1], of faults in the handling of a request. */
interface EndpointFaults {
    /** The request runs, and the connection is reset before the response. */
    loseAnswer: number;
    /** The request is refused as not run. */
    refuse: number;
    /** The connection is reset in the middle of a stream. */
    cutStream: number;
    /** The last refusal on the connection is written once more, with or without its id, and then the request runs. */
    repeatRefusal: number;
}

/** Replies to paths that end with it have neither a length nor chunks. */
export const unframedPath = "/unframed";
/** More than the operating system takes for a caller that does not read. */
const unframedBytes = 12 * 1024 * 1024;

/** What endpoints make for a request with {@link unframedPath}. */
export function unframedBodyOf(request: string): string {
    const part = `answer to ${request}, `;
    return part.repeat(Math.ceil(unframedBytes / part.length)).slice(0, unframedBytes);
}

/** Replies with a body that goes on until the connection is closed. */
function writeEndlessly(socket: Socket, request: string, chunks: string): void {
    const send = () => {
        while (!socket.destroyed && socket.write(chunks)) {
            // Goes on until the buffer is full.
        }
    };
    socket.on("error", () => undefined);
    socket.on("drain", send);
    socket.write(
        `HTTP/1.1 200 OK\r\nFireflykeel-Request-Id: ${request}\r\nFireflykeel-Server-Stamp: stamp-${request}\r\n`
            + "Transfer-Encoding: chunked\r\n\r\n",
    );
    send();
}

export class FleetSite {
    public readonly processes: Processes;
    public readonly controls: readonly string[];
    public readonly entries: readonly string[];
    public readonly faults: EndpointFaults = { loseAnswer: 0, refuse: 0, cutStream: 0, repeatRefusal: 0 };
    public readonly endpoints: readonly string[];
    /** Endpoints that reply with a body without end, and the text in chunks that they repeat. */
    public readonly endless = new Map<string, string>();
    /** Settings of hosts that are started from now on, in place of the usual ones. */
    public settings: Readonly<Record<string, unknown>> = {};
    /** Limits on callers' requests in configurations that are put from now on, besides the usual ones. */
    public callerLimits: Readonly<Record<string, number>> = {};
    /** Texts that the list holds between its other entries, as another writer leaves them. */
    public readonly oddEntries: string[] = [];
    private readonly listAddress: string;
    /** Limits that endpoints state, in requests per second over all hosts, with the time of the first statement. */
    private readonly limits = new Map<string, { readonly perSecond: number; readonly fromMs: number; }>();
    /** Endpoints that are leaving, and those that ask for a pause with its end; each with the time since when. */
    private readonly leavingMs = new Map<string, number>();
    private readonly pauses = new Map<string, { readonly fromMs: number; readonly toMs: number; }>();
    /** When endpoints that are silent go on. */
    private readonly silences = new Map<string, Promise<void>>();
    /** Start times of endpoints that have been started anew. */
    private readonly bornMs = new Map<string, number>();
    private readonly servers = new Map<string, http.Server>();
    /** The request that was refused last on each connection to an endpoint. */
    private readonly refused = new WeakMap<Socket, string>();
    private version = 0;
    /** Parts of prompts that crash each endpoint that begins to answer on them; the last part never does. */
    public readonly crashingParts = new Set<string>();

    public constructor(
        size: FleetSize,
        private readonly folder: string,
        private readonly history: FleetHistory,
        private readonly clock: Clock,
        private readonly random: Random,
        /** Second number of the first loopback addresses; sites that run at the same time need different ones. */
        firstNet: number = 11,
    ) {
        const addressesIn = (net: number, count: number) =>
            Array.from({ length: count }, (_, at) => `127.${net}.0.${at + 1}`);
        this.controls = addressesIn(firstNet, size.controls);
        this.entries = addressesIn(firstNet + 1, size.entries);
        this.endpoints = addressesIn(firstNet + 2, size.endpoints);
        this.listAddress = `127.${firstNet + 3}.0.1`;
        this.processes = new Processes(folder, clock);
    }

    public async start(): Promise<void> {
        for (const endpoint of this.endpoints) {
            await this.listen(endpoint, ports.endpoint, (req, res) => this.serve(endpoint, req, res));
        }
        await this.listen(this.listAddress, ports.list, (_, res) => {
            const instances = this.endpoints.map(address => ({
                Id: address,
                Service: "s",
                Address: `${address}:${ports.endpoint}`,
                Zone: "a",
                State: "ready",
                Version: this.versionOf(address),
                ...(this.bornMs.has(address) ? { born: this.bornMs.get(address) } : {}),
                Slots: 16,
            }));
            const [first, ...others] = instances.map(one => JSON.stringify(one));
            res.end(`{"Instances":[${[first, ...this.oddEntries, ...others].join(",")}],"Next":null}`);
        });
        [...this.controls, ...this.entries].forEach(host => this.startHost(host, true));
    }

    public startHost(host: string, isFirstStart: boolean): void {
        const isControl = this.controls.includes(host);
        const settings = {
            host,
            name: host,
            dataCentre: "a",
            peerPort: ports.peer,
            seeds: this.controls.slice(0, 3).map(one => `${one}:${ports.operator}`),
            isFirstStart,
            lossesBorne: 1,
            ...(isControl
                ? { dataDir: this.dataDir(host), operatorAddress: `${host}:${ports.operator}` }
                : { callerAddress: `${host}:${ports.caller}`, readyAddress: `${host}:${ports.ready}` }),
            endpointListAddress: `${this.listAddress}:${ports.list}`,
            slowReaders: { maxHeldMb: 64, maxStallS: 4 },
            bounds: {
                configApplyMs: 2000,
                revokeMs: 5000,
                stopGraceS: 8,
                retryShare: 0.2,
                retryWindowS: 10,
                retrySlack: 56,
                coldOverrun: 1.5,
                coldSlack: 5,
            },
            ...this.settings,
        };
        mkdirSync(this.folder, { recursive: true });
        const file = join(this.folder, `${host}.yaml`);
        writeFileSync(file, stringify(settings));
        this.processes.start(host, script, [isControl ? "control" : "entry", "--settings", file]);
    }

    /** Lets an endpoint limit its request rate over all hosts; undefined ends its limit. */
    public setLimit(endpoint: string, perSecond: number | undefined): void {
        const known = this.limits.get(endpoint);
        const nowMs = this.clock.nowMs();
        if (known !== undefined) {
            this.history.limits.push({ endpoint, ...known, toMs: nowMs });
            this.limits.delete(endpoint);
        }
        if (perSecond !== undefined) {
            this.limits.set(endpoint, { perSecond, fromMs: nowMs });
        }
    }

    /** Lets an endpoint say that it is leaving. */
    public leave(endpoint: string): void {
        this.leavingMs.set(endpoint, this.clock.nowMs());
    }

    /** Starts an endpoint anew that was leaving. */
    public restartEndpoint(endpoint: string): void {
        const fromMs = this.leavingMs.get(endpoint);
        if (fromMs !== undefined) {
            this.history.unwanted.push({ endpoint, fromMs, toMs: this.clock.nowMs() });
            this.leavingMs.delete(endpoint);
            this.bornMs.set(endpoint, this.clock.wallMs());
        }
    }

    /** Lets an endpoint refuse all requests for a time, and say for how long. */
    public pause(endpoint: string, forMs: number): void {
        const fromMs = this.clock.nowMs();
        const toMs = fromMs + forMs;
        this.pauses.set(endpoint, { fromMs, toMs });
        this.history.unwanted.push({ endpoint, fromMs, toMs });
    }

    /** Lets an endpoint answer nothing for a time, and go on then. */
    public silence(endpoint: string, forMs: number): void {
        this.silences.set(endpoint, this.clock.sleep(forMs));
    }

    /** Deletes the data of a control host, which must not be running. */
    public wipe(host: string): void {
        rmSync(this.dataDir(host), { recursive: true, force: true });
    }

    /** Sends the next configuration version to a control host and records an acknowledgement in the history. */
    public async putConfig(host: string): Promise<void> {
        this.version += 1;
        const { version } = this;
        const kinds = [["once", "non_idempotent"], ["idempotent", "idempotent"], ["resumable", "streaming"]] as const;
        const document = {
            Version: version,
            Services: [{ Name: "s", HealthPath: statusPath }],
            // A connection that callers use again at once is never idle for that long.
            Limits: {
                HeaderTimeoutMs: 1000 + 1000 * (version % 3),
                IdleTimeoutMs: version % 2 === 0 ? 15_000 : 1000,
                ...this.callerLimits,
            },
            Routes: kinds.map(([name, Kind]) => ({
                Name: name,
                Host: "h.example",
                PathPrefix: `/${name}/`,
                Kind,
                Resumable: name === "resumable",
                TimeoutMs: 5000 + 1000 * (version % 2),
                TargetLatencyMs: 500,
                Service: "s",
                MaxAttempts: name === "once" ? 1 : 3,
            })),
        };
        const status = await this.callOperatorApi(host, "POST", "/api/Config.Put", JSON.stringify(document));
        if (status.code === 200) {
            this.history.acks.push({ version, atMs: this.clock.nowMs() });
        }
    }

    /** Reads the configuration from a control host and records its version in the history, if there is a response. */
    public async readConfig(host: string): Promise<void> {
        const sentMs = this.clock.nowMs();
        const { code, text } = await this.callOperatorApi(host, "GET", "/api/Config.Get", "");
        if (code === 200) {
            const { Version: version } = JSON.parse(text) as { readonly Version: number; };
            this.history.reads.push({ version, sentMs });
        }
    }

    public async isReady(host: string): Promise<boolean> {
        const { code } = await sendRequest({
            host,
            port: ports.ready,
            path: "/api/ready",
            method: "GET",
            timeout: 1000,
        }, "");
        return code === 200;
    }

    public callerAddress(host: string): { readonly host: string; readonly port: number; } {
        return { host, port: ports.caller };
    }

    public operatorAddress(host: string): { readonly host: string; readonly port: number; } {
        return { host, port: ports.operator };
    }

    public peerAddress(host: string): { readonly host: string; readonly port: number; } {
        return { host, port: ports.peer };
    }

    public readyAddress(host: string): { readonly host: string; readonly port: number; } {
        return { host, port: ports.ready };
    }

    public metricsAddress(host: string): { readonly host: string; readonly port: number; } {
        return { host, port: metricsPort };
    }

    public async stop(): Promise<void> {
        await this.processes.stopAll();
        this.servers.forEach(server => {
            server.closeAllConnections();
            server.close();
        });
        this.servers.clear();
    }

    /** Software version of an endpoint: two of them in turn. */
    private versionOf(endpoint: string): string {
        return `v${this.endpoints.indexOf(endpoint) % 2 + 1}`;
    }

    private dataDir(host: string): string {
        return join(this.folder, `data-${host}`);
    }

    private callOperatorApi(host: string, method: string, path: string, body: string) {
        return sendRequest({ host, port: ports.operator, path, method, timeout: 3000 }, body);
    }

    private async listen(address: string, port: number, listener: http.RequestListener): Promise<void> {
        const server = http.createServer(listener);
        await listen(server, `${address}:${port}`);
        this.servers.set(address, server);
    }

    /** Ends an endpoint with all its connections; it comes back as a new start. */
    public async crash(endpoint: string): Promise<void> {
        const server = this.servers.get(endpoint);
        this.servers.delete(endpoint);
        server?.close();
        server?.closeAllConnections();
        this.history.crashesMs.push(this.clock.nowMs());
        await this.clock.sleep(crashMs);
        this.bornMs.set(endpoint, this.clock.wallMs());
        if (server !== undefined) {
            await this.listen(endpoint, ports.endpoint, (req, res) => this.serve(endpoint, req, res));
        }
    }

    private crashesOn(req: http.IncomingMessage): boolean {
        const parts = String(req.headers["fireflykeel-prompt-prefix"] ?? "").split(",").slice(0, -1);
        return parts.some(part => this.crashingParts.has(part.split(":")[0] ?? ""));
    }

    /** Handles one request as an endpoint, with the current faults. */
    private serve(endpoint: string, req: http.IncomingMessage, res: http.ServerResponse): void {
        req.resume();
        if (req.method === "GET" && req.url === statusPath) {
            res.writeHead(200, { "Fireflykeel-Instance-Id": endpoint, "content-length": 0 }).end();
            return;
        }
        const request = String(req.headers["fireflykeel-request-id"]);
        const limit = this.limits.get(endpoint);
        const echo = {
            "Fireflykeel-Request-Id": request,
            ...(limit === undefined ? {} : { "Server-Limit": String(limit.perSecond) }),
            ...(this.leavingMs.has(endpoint) ? { "Server-Leaving": "1" } : {}),
        };
        this.history.arrivals.push({ request, endpoint, atMs: this.clock.nowMs() });
        const pausedMs = (this.pauses.get(endpoint)?.toMs ?? 0) - this.clock.nowMs();
        if (pausedMs > 0) {
            const refusal = { "Fireflykeel-Not-Executed": "1", "Retry-After": (pausedMs / 1000).toFixed(3) };
            res.writeHead(503, { ...echo, ...refusal, "content-length": 0 }).end();
            return;
        }
        if (this.random.next() < this.faults.refuse) {
            this.refused.set(req.socket, request);
            res.writeHead(503, { ...echo, "Fireflykeel-Not-Executed": "1", "content-length": 0 }).end();
            return;
        }
        this.repeatRefusal(req.socket);
        this.history.runs.push({ request, endpoint, atMs: this.clock.nowMs() });
        if (this.crashesOn(req)) {
            res.writeHead(200, { ...echo, "Fireflykeel-Server-Stamp": `stamp-${request}` }).flushHeaders();
            this.clock.setTimer(processingMs, () => void this.crash(endpoint));
            return;
        }
        const endless = this.endless.get(endpoint);
        if (endless !== undefined) {
            writeEndlessly(req.socket, request, endless);
            return;
        }
        const losesAnswer = this.random.next() < this.faults.loseAnswer;
        const responseHeaders = { ...echo, "Fireflykeel-Server-Stamp": `stamp-${request}` };
        if (req.url?.startsWith("/resumable/") === true) {
            void this.stream(endpoint, req, res, responseHeaders);
            return;
        }
        void this.clock.sleep(processingMs).then(() => this.silences.get(endpoint)).then(() => {
            if (losesAnswer) {
                req.socket.resetAndDestroy();
                return;
            }
            if (req.url?.endsWith(unframedPath) === true) {
                res.useChunkedEncodingByDefault = false;
                res.shouldKeepAlive = false;
                res.writeHead(200, responseHeaders).end(unframedBodyOf(request));
                return;
            }
            const body = answerOf(request);
            res.writeHead(200, { ...responseHeaders, "content-length": body.length }).end(body);
        });
    }

    /** Writes the last refusal on a connection once more, with the current faults. */
    private repeatRefusal(socket: Socket): void {
        const refused = this.refused.get(socket);
        if (refused !== undefined && this.random.next() < this.faults.repeatRefusal) {
            const echo = this.random.next() < 0.5 ? `Fireflykeel-Request-Id: ${refused}\r\n` : "";
            socket.write(`HTTP/1.1 503 X\r\n${echo}Fireflykeel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
        }
    }

    /** Resets a stream with an event that is whole, or some time after one that is not. */
    private cutStream(res: http.ServerResponse, socket: Socket, event: string): void {
        if (this.random.next() < 0.5) {
            res.write(event, () => socket.resetAndDestroy());
            return;
        }
        res.write(event.slice(0, event.length / 2));
        this.clock.setTimer(eventPauseMs, () => socket.resetAndDestroy());
    }

    private async stream(
        endpoint: string,
        req: http.IncomingMessage,
        res: http.ServerResponse,
        responseHeaders: object,
    ) {
        const version = this.versionOf(endpoint);
        const request = String(req.headers["fireflykeel-request-id"]);
        const cutAt = this.random.next() < this.faults.cutStream ? 1 + this.random.below(streamEvents) : undefined;
        const last = Number(req.headers["last-event-id"] ?? 0);
        const stream = String(req.headers["resumes"] ?? request);
        if (this.random.next() < unframedShare) {
            // The stream ends with its connection.
            res.useChunkedEncodingByDefault = false;
            res.shouldKeepAlive = false;
        }
        res.writeHead(200, { ...responseHeaders, "content-type": "text/event-stream" });
        for (let id = last + 1; id <= streamEvents && !res.destroyed; id++) {
            const text = eventOf(stream, id, version);
            if (id === cutAt) {
                this.cutStream(res, req.socket, text);
                return;
            }
            await this.silences.get(endpoint);
            res.write(text);
            await this.clock.sleep(eventPauseMs);
        }
        res.end();
    }
}

interface HttpReply {
    /** HTTP status; 0 if there was no complete response. */
    readonly code: number;
    readonly text: string;
}

/** Sends one HTTP request, on its own connection unless the options name an agent. Never rejects. */
export function sendRequest(options: http.RequestOptions, body: string): Promise<HttpReply> {
    return new Promise(resolve => {
        const none = { code: 0, text: "" };
        const req = http.request({ agent: false, ...options }, res => {
            let text = "";
            res.on("data", (chunk: Buffer) => text += chunk.toString());
            res.on("error", () => resolve(none));
            res.on("close", () => resolve(res.complete ? { code: res.statusCode ?? 0, text } : none));
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve(none));
        req.end(body);
    });
}
