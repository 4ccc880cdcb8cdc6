/**
 * Client side of peer calls: tRPC over node:http with one keep-alive agent for each peer, and over one WebSocket to each
 * peer for methods with many calls. After a call has timed out, no further call uses the same connections, since all of
 * them may be silent.
 */
import { createTRPCUntypedClient, httpLink, TRPCClientError, type TRPCUntypedClient } from "@trpc/client";
import type { AnyTRPCRouter } from "@trpc/server";
import * as http from "node:http";
import { type Either, Left, Right } from "purify-ts";
import type { Clock, Disposable, HostId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, HybridClock } from "../telemetry/Types.js";
import { httpFetch, HttpFetchError } from "./HttpFetch.js";
import { keyHeader } from "./Keys.js";
import { NoSocketsError, PeerSocketClient } from "./PeerSocketClient.js";
import { socketLink } from "./SocketLink.js";
import { clockHeader, hostHeader, peerPath } from "./TrpcPeerServer.js";
import type { PeerCallOptions, PeerError, PeerMethod, PeerTransport } from "./Types.js";

/** Maximum number of connections to one peer. */
const maxSocketsPerPeer = 16;
/** How long a peer without WebSockets, as one of an older version, is called over HTTP before one is tried again. */
const noSocketsMs = 10_000;

export interface PeerTransportOptions {
    readonly self: HostId;
    readonly key: string;
    /** Returns the address to connect to, "ip:port"; undefined for a host that is not configured. */
    readonly addressOf: (host: HostId) => string | undefined;
    readonly clock: Clock;
    readonly hybridClock: HybridClock;
    readonly log: EventLog;
}

class PeerLink implements Disposable {
    private readonly client: TRPCUntypedClient<AnyTRPCRouter>;
    private readonly socketClient: TRPCUntypedClient<AnyTRPCRouter>;
    private readonly agent = new http.Agent({ keepAlive: true, maxSockets: maxSocketsPerPeer });
    private readonly socket: PeerSocketClient;
    /** Until when no WebSocket is tried, on the local clock. */
    private socketFromMs = -Infinity;

    public constructor(public readonly address: string, private readonly options: PeerTransportOptions) {
        const { key, self, hybridClock } = options;
        const identity = { [keyHeader]: key, [hostHeader]: self };
        const observeStamp = (stamp: string) => hybridClock.observe(stamp);
        this.client = createTRPCUntypedClient<AnyTRPCRouter>({
            links: [httpLink({
                url: `http://${address}${peerPath}`,
                headers: () => ({ ...identity, [clockHeader]: hybridClock.stamp() }),
                fetch: (url, init) =>
                    httpFetch(this.agent, String(url), init ?? {}, headers => {
                        const stamp = headers[clockHeader];
                        observeStamp(typeof stamp === "string" ? stamp : "");
                    }),
            })],
        });
        this.socket = new PeerSocketClient({
            address,
            headers: () => identity,
            stamp: () => hybridClock.stamp(),
            observeStamp,
        });
        this.socketClient = createTRPCUntypedClient<AnyTRPCRouter>({ links: [socketLink(this.socket)] });
    }

    /** Resolves with the reply; rejects as tRPC's client does. */
    public async call(name: string, isFrequent: boolean, req: unknown, signal: AbortSignal): Promise<unknown> {
        const { clock } = this.options;
        if (isFrequent && clock.nowMs() >= this.socketFromMs) {
            try {
                return await this.socketClient.mutation(name, req, { signal });
            }
            catch (err) {
                if (!(err instanceof TRPCClientError && err.cause instanceof NoSocketsError)) {
                    throw err;
                }
                this.socketFromMs = clock.nowMs() + noSocketsMs;
            }
        }
        return this.client.mutation(name, req, { signal });
    }

    /** Closes idle connections; calls in flight continue until their own timeout. */
    public closeIdleConnections(): void {
        for (const sockets of Object.values(this.agent.freeSockets)) {
            for (const socket of sockets ?? []) {
                socket.destroy();
            }
        }
        this.socket.retire();
    }

    public dispose(): void {
        this.agent.destroy();
        this.socket.dispose();
    }
}

export class TrpcPeerTransport implements PeerTransport, Disposable {
    private readonly links = new Map<HostId, PeerLink>();

    public constructor(private readonly options: PeerTransportOptions) {}

    public async call<Req, Res>(
        to: HostId,
        method: PeerMethod<Req, Res>,
        req: Req,
        callOptions: PeerCallOptions,
    ): Promise<Either<PeerError, Res>> {
        const link = this.linkTo(to);
        if (link === undefined) {
            return Left({ kind: "unreachable", message: `host "${to}" has no address` });
        }
        const abort = new AbortController();
        const onAbort = () => abort.abort();
        let timedOut = false;
        const timer = this.options.clock.setTimer(callOptions.timeoutMs, () => {
            timedOut = true;
            abort.abort();
        });
        callOptions.signal?.addEventListener("abort", onAbort);
        try {
            return Right(await link.call(method.name, method.isFrequent, req, abort.signal) as Res);
        }
        catch (err) {
            if (timedOut) {
                this.dropLink(to, link, method.name);
            }
            const error = peerErrorOf(err);
            return Left(timedOut ? { ...error, message: `no reply within ${callOptions.timeoutMs} ms` } : error);
        }
        finally {
            timer.dispose();
            callOptions.signal?.removeEventListener("abort", onAbort);
        }
    }

    public dispose(): void {
        for (const link of this.links.values()) {
            link.dispose();
        }
        this.links.clear();
    }

    private linkTo(host: HostId): PeerLink | undefined {
        const address = this.options.addressOf(host);
        const known = this.links.get(host);
        if (known !== undefined && known.address === address) {
            return known;
        }
        known?.dispose();
        this.links.delete(host);
        if (address === undefined) {
            return undefined;
        }
        const link = new PeerLink(address, this.options);
        this.links.set(host, link);
        return link;
    }

    private dropLink(host: HostId, link: PeerLink, method: string): void {
        if (this.links.get(host) !== link) {
            return;
        }
        this.options.log.event(EventId.PeerConnectionSilent, { peer: host, method });
        this.links.delete(host);
        link.closeIdleConnections();
    }
}

function peerErrorOf(err: unknown): PeerError {
    const cause = err instanceof TRPCClientError ? err.cause : undefined;
    if (cause instanceof HttpFetchError && !cause.delivered) {
        return { kind: "unreachable", message: cause.message, refused: cause.notListening };
    }
    if (cause instanceof HttpFetchError && cause.refused) {
        return { kind: "rejected", message: cause.message };
    }
    const message = err instanceof Error ? err.message : String(err);
    const data = err instanceof TRPCClientError ? err.data as { readonly httpStatus?: number; } | undefined : undefined;
    const status = data?.httpStatus;
    if (status !== undefined && status >= 400 && status < 500) {
        return { kind: "rejected", message };
    }
    return { kind: "no-reply", message };
}
