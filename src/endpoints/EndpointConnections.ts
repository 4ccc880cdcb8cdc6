/**
 * HTTP connections to endpoints: a keep-alive pool for each endpoint, bounds on connecting, and a cap on how many
 * connections are being made to one endpoint at a time.
 */
import * as http from "node:http";
import type { Socket } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import type { Clock, Disposable, EndpointId } from "../common/Types.js";
import type { ConfigSource } from "../config/Types.js";

/** Connections being made to one endpoint at a time; more would flood one that is coming back. */
const maxConnecting = 4;
/** A pooled connection idle for longer is closed. */
const idleMs = 4000;

/** No byte of the request was written. */
export interface ConnectError {
    readonly kind: "refused" | "timeout" | "aborted" | "no-address";
    readonly message: string;
}

export interface ConnectOptions {
    readonly method: string;
    readonly path: string;
    /** As an object, or as a flat list of names and values that are written as they stand. */
    readonly headers?: http.OutgoingHttpHeaders | readonly string[];
    /** A pooled connection that has been idle for longer is not used; undefined for any. */
    readonly maxIdleMs?: number;
    /** True for a connection of its own, which no earlier request has used. */
    readonly fresh: boolean;
    readonly signal: AbortSignal;
}

/** A request on a connected socket, of which no byte was written yet. */
export interface ReadyRequest {
    readonly req: http.ClientRequest;
    /** True when an earlier request has used the connection. */
    readonly reused: boolean;
}

/** Where endpoints are dialled. */
export interface EndpointAddresses {
    /** "ip:port"; undefined for an endpoint that is not known. */
    addressOf(endpoint: EndpointId): string | undefined;
    /** Bound on making a connection, in milliseconds. */
    connectMs(): number;
}

/** Addresses of the endpoints that the configuration names, with those that this process is told to dial instead. */
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

interface Pool {
    readonly address: string;
    readonly agent: http.Agent;
}

export class EndpointConnections implements Disposable {
    private readonly pools = new Map<EndpointId, Pool>();
    private readonly connecting = new Map<EndpointId, number>();
    private readonly queues = new Map<EndpointId, (() => void)[]>();
    private readonly idleSinceMs = new WeakMap<Socket, number>();

    public constructor(
        private readonly addresses: EndpointAddresses,
        private readonly clock: Clock,
        private readonly poolIdleMs: number = idleMs,
    ) {}

    /** Makes a request ready to be written; the caller ends or destroys it. */
    public async connect(endpoint: EndpointId, options: ConnectOptions): Promise<Either<ConnectError, ReadyRequest>> {
        const pool = this.pool(endpoint);
        if (pool === undefined) {
            return Left({ kind: "no-address", message: `endpoint "${endpoint}" is not configured` });
        }
        await this.enter(endpoint);
        try {
            let connected = await this.connectNow(pool, options);
            while (connected.isRight() && this.isIdleForLong(connected.unsafeCoerce(), options)) {
                connected.ifRight(discard);
                connected = await this.connectNow(pool, options);
            }
            return connected;
        }
        finally {
            this.leave(endpoint);
        }
    }

    /** True when the endpoint's machine refuses a connection, so that no process listens there any more. */
    public async refusesConnections(endpoint: EndpointId, signal: AbortSignal): Promise<boolean> {
        const connected = await this.connect(endpoint, { method: "GET", path: "/", fresh: true, signal });
        connected.ifRight(discard);
        return connected.caseOf({ Left: error => error.kind === "refused", Right: () => false });
    }

    /** Closes idle connections: one to the same endpoint has fallen silent, and others may have as well. */
    public closeIdleConnections(endpoint: EndpointId): void {
        const pool = this.pools.get(endpoint);
        this.pools.delete(endpoint);
        for (const sockets of Object.values(pool?.agent.freeSockets ?? {})) {
            for (const socket of sockets ?? []) {
                socket.destroy();
            }
        }
    }

    public dispose(): void {
        for (const pool of this.pools.values()) {
            pool.agent.destroy();
        }
        this.pools.clear();
    }

    private pool(endpoint: EndpointId): Pool | undefined {
        const address = this.addresses.addressOf(endpoint);
        const known = this.pools.get(endpoint);
        if (known?.address === address) {
            return known;
        }
        this.closeIdleConnections(endpoint);
        if (address === undefined) {
            return undefined;
        }
        const pool = { address, agent: this.newAgent() };
        this.pools.set(endpoint, pool);
        return pool;
    }

    private newAgent(): http.Agent {
        const agent = new http.Agent({ keepAlive: true, timeout: this.poolIdleMs });
        agent.on("free", (socket: Socket) => {
            this.idleSinceMs.set(socket, this.clock.nowMs());
            socket.on("data", destroyOnData);
        });
        return agent;
    }

    private isIdleForLong({ req, reused }: ReadyRequest, { maxIdleMs }: ConnectOptions): boolean {
        if (!reused || maxIdleMs === undefined || req.socket === null) {
            return false;
        }
        return this.clock.nowMs() - (this.idleSinceMs.get(req.socket) ?? 0) > maxIdleMs;
    }

    private async enter(endpoint: EndpointId): Promise<void> {
        const count = this.connecting.get(endpoint) ?? 0;
        if (count < maxConnecting) {
            this.connecting.set(endpoint, count + 1);
            return;
        }
        const queue = this.queues.get(endpoint) ?? [];
        this.queues.set(endpoint, queue);
        await new Promise<void>(resolve => queue.push(resolve));
    }

    private leave(endpoint: EndpointId): void {
        const next = this.queues.get(endpoint)?.shift();
        if (next !== undefined) {
            next();
            return;
        }
        this.connecting.set(endpoint, (this.connecting.get(endpoint) ?? 1) - 1);
    }

    private connectNow(pool: Pool, options: ConnectOptions): Promise<Either<ConnectError, ReadyRequest>> {
        const connectMs = this.addresses.connectMs();
        return new Promise(resolve => {
            const req = http.request(`http://${pool.address}${options.path}`, {
                method: options.method,
                agent: options.fresh ? false : pool.agent,
                headers: headersOf(options),
            });
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
            const aborted = () => finish(Left({ kind: "aborted", message: "aborted before it was sent" }));
            const failed = (err: Error) => finish(Left({ kind: "refused", message: err.message }));
            const timer = this.clock.setTimer(connectMs, () => {
                finish(Left({ kind: "timeout", message: `no connection within ${connectMs} ms` }));
            });
            options.signal.addEventListener("abort", aborted);
            req.on("error", failed);
            req.on("socket", socket => {
                socket.off("data", destroyOnData);
                const ready = () => finish(Right({ req, reused: req.reusedSocket }));
                if (socket.connecting) {
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

/** Gives up a connection on which nothing was written; what it still reports tells nothing. */
function discard({ req }: ReadyRequest): void {
    req.on("error", () => undefined);
    req.destroy();
}

/** What comes on an idle connection belongs to no request; whatever follows it could not be told apart. */
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
