/**
 * HTTP connections to endpoints: a keep-alive pool for each endpoint, a connect timeout, and a limit on concurrent
 * connection attempts to one endpoint. Where there are detours, an endpoint that can't be reached directly is reached
 * through another host.
 */
import * as http from "node:http";
import type { Socket } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import { connectFailureOf } from "../common/ConnectFailures.js";
import { openRequest } from "../common/HttpRequests.js";
import type { Clock, Disposable, EndpointId, HostId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";
import { judgeFailure } from "./ConnectEvidence.js";
import { DetourAgent, DetourError, detourMs, type EndpointDetours } from "./DetourAgent.js";

/** Maximum concurrent connection attempts to one endpoint; more would flood an endpoint that is coming back. */
const maxConcurrentConnects = 4;
/** Time after a connect timeout in which events that have arrived during a stall of this process are handled. */
const stallGraceMs = 1;
/** A pooled connection that has been idle for longer is closed. */
const defaultPoolIdleMs = 4000;

/** Number of interim replies (1xx) to one request after which its connection is closed. */
const maxInterimReplies = 16;

/**
 * A failure to connect; no byte of the request was written. "invalid": no request can be made of the address, the path or
 * a header, some of which come from other hosts and endpoints. "local": this process lacks a descriptor or another resource
 * for it, which proves nothing of the endpoint.
 */
export interface ConnectError {
    readonly kind: "refused" | "timeout" | "aborted" | "no-address" | "invalid" | "local";
    readonly message: string;
    /**
     * True when a sound host has met the same, or has been refused; false when the cause may be this host's own path, as no
     * other host could tell; undefined where there are no detours. See `ConnectEvidence.ts`.
     */
    readonly isConfirmed?: boolean;
    /** True when no other host was asked, since the endpoint's data centre is told to be out of reach. */
    readonly isCutOff?: boolean;
}

/**
 * What a pooled connection is used for. "exchanges": requests whose replies show to which of them they belong;
 * "releases": messages whose replies don't, so that an earlier reply on such a connection is never taken for one to
 * another kind of request.
 */
export type ConnectionUse = "exchanges" | "releases";

export interface ConnectOptions {
    readonly method: string;
    readonly path: string;
    /** Request headers, as an object or as a flat list of names and values that is written unchanged. */
    readonly headers?: http.OutgoingHttpHeaders | readonly string[];
    /** A pooled connection that has been idle for longer is not used; undefined for any. */
    readonly maxIdleMs?: number;
    /** True for a new connection that is not shared with any other request. */
    readonly fresh: boolean;
    /** Pooled connections are shared only with requests of the same use; exchanges by default. */
    readonly use?: ConnectionUse;
    readonly signal: AbortSignal;
}

/** A request on a connected socket; no byte of it was written yet. */
export interface ReadyRequest {
    readonly req: http.ClientRequest;
    /** True when an earlier request has used the connection. */
    readonly reused: boolean;
    /** The host through which the connection goes; undefined for a direct one. */
    readonly through?: HostId | undefined;
    /** See {@link EndpointDetours.confirmsEnd}; undefined for a direct connection. */
    readonly confirmsEnd?: (signal: AbortSignal) => Promise<boolean>;
}

/**
 * What a new connection shows of an endpoint. "refused": a sound host is refused, so no process listens there any more.
 * "refused-here": only this host is known to be refused. "gone": it is no longer listed.
 */
export type ProbeResult = "reached" | "refused" | "refused-here" | "gone" | "unknown";

/** Addresses of endpoints and the timeout for connecting to them. */
export interface EndpointAddresses {
    /** Returns "ip:port"; undefined for an unknown endpoint. */
    addressOf(endpoint: EndpointId): string | undefined;
    /** Bound on making a connection, in milliseconds. */
    connectMs(): number;
}

/** Addresses from the configuration; the daemon's own `dial` settings take precedence. */
export class ConfiguredAddresses implements EndpointAddresses {
    public constructor(private readonly config: ConfigSource) {}

    public addressOf(endpoint: EndpointId): string | undefined {
        const settings = this.config.current()?.settings;
        return settings?.daemon?.dial[endpoint] ?? settings?.endpoints[endpoint]?.address;
    }

    public connectMs(): number {
        return this.config.current()?.settings.timing.connectMs ?? 1;
    }
}

const abortedError: ConnectError = { kind: "aborted", message: "aborted before the request was sent" };

interface Pool {
    readonly address: string;
    /** Direct connections. */
    readonly agent: http.Agent;
    /** Connections through other hosts. */
    readonly detours: DetourAgent | undefined;
}

export class EndpointConnections implements Disposable {
    private readonly pools: Readonly<Record<ConnectionUse, Map<EndpointId, Pool>>> = {
        exchanges: new Map(),
        releases: new Map(),
    };
    private readonly connectCounts = new Map<EndpointId, number>();
    private readonly connectQueues = new Map<EndpointId, (() => void)[]>();
    private readonly idleSinceMs = new WeakMap<Socket, number>();

    public constructor(
        private readonly addresses: EndpointAddresses,
        private readonly clock: Clock,
        private readonly poolIdleMs: number = defaultPoolIdleMs,
        private readonly detours?: EndpointDetours,
    ) {}

    /** Connects and returns a request ready to be written; the caller ends or destroys it. */
    public async connect(endpoint: EndpointId, options: ConnectOptions): Promise<Either<ConnectError, ReadyRequest>> {
        const pool = this.poolFor(endpoint, options.use ?? "exchanges");
        if (pool === undefined) {
            return Left({ kind: "no-address", message: `endpoint "${endpoint}" is not configured` });
        }
        if (!await this.beginConnect(endpoint, options.signal)) {
            return Left(abortedError);
        }
        try {
            const connected = await this.connectAnyWay(endpoint, pool, options);
            connected.ifRight(limitInterimReplies);
            return connected;
        }
        finally {
            this.endConnect(endpoint);
        }
    }

    /** Finds out whether a process still listens at the endpoint, with a new connection that is closed at once. */
    public async probe(endpoint: EndpointId, signal: AbortSignal): Promise<ProbeResult> {
        const connected = await this.connect(endpoint, { method: "GET", path: "/", fresh: true, signal });
        connected.ifRight(discard);
        return connected.caseOf<ProbeResult>({
            Left: ({ kind, isConfirmed }) => {
                if (kind !== "refused") {
                    return kind === "no-address" ? "gone" : "unknown";
                }
                return isConfirmed === false ? "refused-here" : "refused";
            },
            Right: () => "reached",
        });
    }

    /** Closes idle connections to an endpoint, for when one of its connections fell silent and others may have too. */
    public closeIdleConnections(endpoint: EndpointId): void {
        for (const pools of Object.values(this.pools)) {
            closeIdlePool(pools, endpoint);
        }
    }

    public dispose(): void {
        for (const pools of Object.values(this.pools)) {
            for (const pool of pools.values()) {
                pool.agent.destroy();
                pool.detours?.destroy();
            }
            pools.clear();
        }
    }

    private poolFor(endpoint: EndpointId, use: ConnectionUse): Pool | undefined {
        const address = this.addresses.addressOf(endpoint);
        const pools = this.pools[use];
        const known = pools.get(endpoint);
        if (known?.address === address) {
            return known;
        }
        closeIdlePool(pools, endpoint);
        if (address === undefined) {
            return undefined;
        }
        const options = { keepAlive: true, timeout: this.poolIdleMs };
        const { detours } = this;
        const pool = {
            address,
            agent: this.prepare(new http.Agent(options)),
            detours: detours === undefined
                ? undefined
                : this.prepare(new DetourAgent(endpoint, detours, options)),
        };
        pools.set(endpoint, pool);
        return pool;
    }

    private prepare<Agent extends http.Agent>(agent: Agent): Agent {
        agent.on("free", (socket: Socket) => {
            this.idleSinceMs.set(socket, this.clock.nowMs());
            socket.on("data", destroyOnData);
        });
        return agent;
    }

    private isIdleTooLong({ req, reused }: ReadyRequest, { maxIdleMs }: ConnectOptions): boolean {
        if (!reused || maxIdleMs === undefined || req.socket === null) {
            return false;
        }
        return this.clock.nowMs() - (this.idleSinceMs.get(req.socket) ?? 0) > maxIdleMs;
    }

    /** Waits for its turn to connect; false when `signal` was aborted before. */
    private async beginConnect(endpoint: EndpointId, signal: AbortSignal): Promise<boolean> {
        if (signal.aborted) {
            return false;
        }
        const count = this.connectCounts.get(endpoint) ?? 0;
        if (count < maxConcurrentConnects) {
            this.connectCounts.set(endpoint, count + 1);
            return true;
        }
        const queue = this.connectQueues.get(endpoint) ?? [];
        this.connectQueues.set(endpoint, queue);
        return new Promise(resolve => {
            const begin = () => {
                signal.removeEventListener("abort", leave);
                resolve(true);
            };
            const leave = () => {
                queue.splice(queue.indexOf(begin), 1);
                resolve(false);
            };
            queue.push(begin);
            signal.addEventListener("abort", leave, { once: true });
        });
    }

    private endConnect(endpoint: EndpointId): void {
        const next = this.connectQueues.get(endpoint)?.shift();
        if (next !== undefined) {
            next();
            return;
        }
        this.connectCounts.set(endpoint, (this.connectCounts.get(endpoint) ?? 1) - 1);
    }

    /** Connects directly, and through another host where that fails, or first where it has failed before. */
    private async connectAnyWay(
        endpoint: EndpointId,
        pool: Pool,
        options: ConnectOptions,
    ): Promise<Either<ConnectError, ReadyRequest>> {
        const { detours } = this;
        const isDetourFirst = detours?.isPreferred(endpoint) === true;
        if (isDetourFirst) {
            const detoured = await this.connectThrough(pool, options);
            if (!detoured.isLeft()) {
                return detoured;
            }
            const { kind, isConfirmed = false, isCutOff = false } = detoured.extract();
            if (isFinal(kind) || isConfirmed || isCutOff) {
                return detoured;
            }
        }
        const direct = await this.connectVia(pool.agent, pool, options, this.addresses.connectMs());
        if (!direct.isLeft()) {
            direct.ifRight(({ reused }) => reused || detours?.recordConnected(endpoint));
            return direct;
        }
        const error = direct.extract();
        if (isFinal(error.kind) || detours?.isAvailable !== true) {
            return direct;
        }
        if (isDetourFirst) {
            return Left({ ...error, isConfirmed: false });
        }
        const detoured = await this.connectThrough(pool, options);
        detoured.ifRight(({ through }) => {
            detours.recordDetour(endpoint, error, through);
            closeFreeSockets(pool.agent);
        });
        return detoured.mapLeft(helper => helper.kind === "aborted" ? abortedError : judgeFailure(error, helper));
    }

    private async connectThrough(pool: Pool, options: ConnectOptions): Promise<Either<ConnectError, ReadyRequest>> {
        if (pool.detours === undefined) {
            return Left({ kind: "timeout", message: "there are no detours" });
        }
        const connected = await this.connectVia(pool.detours, pool, options, detourMs);
        return connected.map(ready => {
            const { socket } = ready.req;
            return {
                ...ready,
                through: socket === null ? undefined : this.detours?.throughOf(socket),
                confirmsEnd: async signal =>
                    socket !== null && await this.detours?.confirmsEnd(socket, signal) === true,
            };
        });
    }

    /** Connects through an agent; pooled connections that have been idle for too long are discarded. */
    private async connectVia(
        agent: http.Agent,
        pool: Pool,
        options: ConnectOptions,
        limitMs: number,
    ): Promise<Either<ConnectError, ReadyRequest>> {
        let connected = await this.connectOnce(agent, pool, options, limitMs);
        while (connected.isRight() && this.isIdleTooLong(connected.unsafeCoerce(), options)) {
            connected.ifRight(discard);
            connected = await this.connectOnce(agent, pool, options, limitMs);
        }
        return connected;
    }

    private connectOnce(
        agent: http.Agent,
        pool: Pool,
        options: ConnectOptions,
        connectMs: number,
    ): Promise<Either<ConnectError, ReadyRequest>> {
        const opened = openRequest(`http://${pool.address}${options.path}`, {
            method: options.method,
            agent: !options.fresh ? agent : agent instanceof DetourAgent ? agent.unpooled() : false,
            headers: headersOf(options),
        });
        return opened.caseOf({
            // Proves nothing of the endpoint: the fault may be in the request.
            Left: async message => Left<ConnectError>({ kind: "invalid", message, isConfirmed: false }),
            Right: req => this.whenConnected(req, options, connectMs),
        });
    }

    private whenConnected(
        req: http.ClientRequest,
        options: ConnectOptions,
        connectMs: number,
    ): Promise<Either<ConnectError, ReadyRequest>> {
        return new Promise(resolve => {
            const finish = (result: Either<ConnectError, ReadyRequest>) => {
                timer.dispose();
                options.signal.removeEventListener("abort", aborted);
                req.removeListener("error", failed);
                if (result.isLeft()) {
                    req.on("error", () => undefined);
                    req.destroy();
                }
                resolve(result);
            };
            const aborted = () => finish(Left(abortedError));
            const failed = (err: Error) => finish(Left(connectErrorOf(err)));
            const timeOut = () => finish(Left({ kind: "timeout", message: `no connection within ${connectMs} ms` }));
            // After a stall of this process, timers run before a connection that was made meanwhile is noticed.
            let timer = this.clock.setTimer(connectMs, () => timer = this.clock.setTimer(stallGraceMs, timeOut));
            options.signal.addEventListener("abort", aborted);
            req.on("error", failed);
            req.on("socket", socket => {
                socket.off("data", destroyOnData);
                const ready = () => finish(Right({ req, reused: req.reusedSocket }));
                // An error that `connect` raises at once is emitted after this event, on a socket that is destroyed by now.
                if (socket.connecting || socket.destroyed) {
                    socket.once("connect", ready);
                }
                else {
                    ready();
                }
            });
            if (options.signal.aborted) {
                aborted();
            }
        });
    }
}

/** True for a failure that another way to the endpoint would not change. */
function isFinal(kind: ConnectError["kind"]): boolean {
    return kind === "aborted" || kind === "invalid" || kind === "local";
}

function connectErrorOf(err: Error): ConnectError {
    if (!(err instanceof DetourError)) {
        const kind = connectFailureOf(err);
        return { kind, message: err.message, ...(kind === "local" ? { isConfirmed: false } : {}) };
    }
    const { kind, message } = err.error;
    switch (kind) {
        case "unavailable":
            return { kind: "timeout", message, isConfirmed: false };
        case "cut-off":
            return { kind: "timeout", message, isConfirmed: false, isCutOff: true };
        default:
            return { kind, message, isConfirmed: kind !== "aborted" };
    }
}

/** Removes an endpoint's pool, and closes its idle connections. */
function closeIdlePool(pools: Map<EndpointId, Pool>, endpoint: EndpointId): void {
    const pool = pools.get(endpoint);
    pools.delete(endpoint);
    closeFreeSockets(pool?.agent);
    closeFreeSockets(pool?.detours);
}

/** Closes an agent's idle connections. */
function closeFreeSockets(agent: http.Agent | undefined): void {
    for (const sockets of Object.values(agent?.freeSockets ?? {})) {
        for (const socket of sockets ?? []) {
            socket.destroy();
        }
    }
}

/** Ends a request whose endpoint sends interim replies without end. */
function limitInterimReplies({ req }: ReadyRequest): void {
    let count = 0;
    req.on("information", () => {
        count += 1;
        if (count > maxInterimReplies) {
            req.destroy(new Error("too many interim replies"));
        }
    });
}

/** Destroys a request of which no byte was written; later errors of its socket are ignored. */
function discard({ req }: ReadyRequest): void {
    req.on("error", () => undefined);
    req.destroy();
}

/** Data on an idle connection belongs to no request, and a later reply could not be distinguished from it. */
function destroyOnData(this: Socket): void {
    this.destroy();
}

function headersOf({ headers, fresh }: ConnectOptions): http.OutgoingHttpHeaders | readonly string[] {
    if (headers !== undefined && isHeaderList(headers)) {
        return fresh ? [...headers, "connection", "close"] : headers;
    }
    return { ...headers, ...(fresh ? { connection: "close" } : {}) };
}

function isHeaderList(headers: http.OutgoingHttpHeaders | readonly string[]): headers is readonly string[] {
    return Array.isArray(headers);
}
