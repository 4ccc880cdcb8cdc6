/**
 * HTTP connections to endpoints: a keep-alive pool for each endpoint, bounds on connecting, and a cap on how many
 * connections are being made to one endpoint at a time.
 */
import * as http from "node:http";
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
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly headers?: http.OutgoingHttpHeaders;
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

interface Pool {
    readonly address: string;
    readonly agent: http.Agent;
}

export class EndpointConnections implements Disposable {
    private readonly pools = new Map<EndpointId, Pool>();
    private readonly connecting = new Map<EndpointId, number>();
    private readonly queues = new Map<EndpointId, (() => void)[]>();

    public constructor(private readonly config: ConfigSource, private readonly clock: Clock) {}

    /** Makes a request ready to be written; the caller ends or destroys it. */
    public async connect(endpoint: EndpointId, options: ConnectOptions): Promise<Either<ConnectError, ReadyRequest>> {
        const pool = this.pool(endpoint);
        if (pool === undefined) {
            return Left({ kind: "no-address", message: `endpoint "${endpoint}" is not configured` });
        }
        await this.enter(endpoint);
        try {
            return await this.connectNow(pool, options);
        }
        finally {
            this.leave(endpoint);
        }
    }

    /** Closes idle connections: one to the same endpoint has fallen silent, and others may have as well. */
    public distrustIdle(endpoint: EndpointId): void {
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
        const settings = this.config.current()?.settings;
        const address = settings?.daemon?.dial[endpoint] ?? settings?.endpoints[endpoint]?.address;
        const known = this.pools.get(endpoint);
        if (known?.address === address) {
            return known;
        }
        this.distrustIdle(endpoint);
        if (address === undefined) {
            return undefined;
        }
        const pool = { address, agent: new http.Agent({ keepAlive: true, timeout: idleMs }) };
        this.pools.set(endpoint, pool);
        return pool;
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
        const connectMs = this.config.current()?.settings.timing.connectMs ?? 1;
        return new Promise(resolve => {
            const req = http.request(`http://${pool.address}${options.path}`, {
                method: options.method,
                agent: options.fresh ? false : pool.agent,
                headers: { ...options.headers, ...(options.fresh ? { connection: "close" } : {}) },
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
