/**
 * Server side of peer calls: a tRPC router with the registered methods, served over node:http under `/peer/` and over
 * WebSockets. A call with a wrong key gets a 401 without a body.
 */
import { type AnyTRPCRouter, initTRPC, type TRPCError } from "@trpc/server";
import type * as http from "node:http";
import { parseHostId } from "../common/Ids.js";
import { InvariantError } from "../common/Invariant.js";
import type { HostId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { ServerLimits } from "../telemetry/ServerLimits.js";
import type { EventLog, HybridClock, Metrics } from "../telemetry/Types.js";
import { keyHeader, keyMatches } from "./Keys.js";
import { PeerSocketServer } from "./PeerSocketServer.js";
import { trpcHttpHandler } from "./TrpcHttpHandler.js";
import type { PeerHandler, PeerMethod, PeerRegistry } from "./Types.js";

/** Path prefix of peer calls. */
export const peerPath = "/peer/";
/** Header with the sending host's id. */
export const hostHeader = "fireflykeel-host";
/** Header with a stamp of the hybrid logical clock. */
export const clockHeader = "fireflykeel-hlc";
/** Maximum size of the body of a peer call. */
const maxBodyBytes = 16 * 1024 * 1024;

export interface PeerServerOptions {
    /** Shared key that each call must present. */
    readonly key: string;
    readonly clock: HybridClock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Called when a handler throws an InvariantError. */
    readonly onFatal: (err: InvariantError) => void;
}

interface PeerContext {
    readonly from: HostId;
}

interface Registration {
    readonly method: PeerMethod<unknown, unknown>;
    readonly handler: PeerHandler<unknown, unknown>;
}

type RequestListener = (req: http.IncomingMessage, res: http.ServerResponse) => void;

export class TrpcPeerServer implements PeerRegistry {
    private readonly registrations = new Map<string, Registration>();
    private built: AnyTRPCRouter | undefined;

    public constructor(private readonly options: PeerServerOptions) {}

    public handle<Req, Res>(method: PeerMethod<Req, Res>, handler: PeerHandler<Req, Res>): void {
        this.registrations.set(method.name, {
            method: method,
            handler: handler as PeerHandler<unknown, unknown>,
        });
    }

    /** Creates the listener for requests under {@link peerPath}; call it after all methods are registered. */
    public listener(limits: ServerLimits): RequestListener {
        const serve = trpcHttpHandler({
            router: this.router(),
            basePath: peerPath,
            maxBodyBytes,
            bodies: limits.bodies,
            createContext: req => ({ from: hostOf(req) }),
            onError: error => this.handleError(error),
        });
        const quota = limits.eventQuota();
        return (req, res) => {
            if (!keyMatches(this.options.key, req.headers[keyHeader])) {
                quota.event(EventId.PeerRejected, { peer: hostOf(req), message: "wrong key" });
                req.resume();
                res.writeHead(401).end();
                return;
            }
            this.options.clock.observe(headerText(req, clockHeader));
            res.setHeader(clockHeader, this.options.clock.stamp());
            serve(req, res);
        };
    }

    /** Creates the server of calls over WebSockets; call it after all methods are registered. */
    public sockets(limits: ServerLimits): PeerSocketServer {
        const { key, clock, log } = this.options;
        return new PeerSocketServer({
            key,
            router: this.router(),
            clock,
            log,
            limits,
            hostOf,
            createContext: from => ({ from }),
            onError: error => this.handleError(error),
        });
    }

    private handleError(error: TRPCError): void {
        if (error.cause instanceof InvariantError) {
            this.options.onFatal(error.cause);
        }
    }

    private router(): AnyTRPCRouter {
        this.built ??= this.buildRouter();
        return this.built;
    }

    private buildRouter(): AnyTRPCRouter {
        const trpc = initTRPC.context<PeerContext>().create();
        const procedures = [...this.registrations.values()].map(({ method, handler }) => {
            const procedure = trpc.procedure
                .input(method.input)
                .mutation(async ({ input, ctx }) => {
                    this.options.metrics.count("peer_calls", { method: method.name });
                    return handler(input, ctx.from);
                });
            return [method.name, procedure] as const;
        });
        return trpc.router(Object.fromEntries(procedures));
    }
}

function hostOf(req: http.IncomingMessage): HostId {
    return parseHostId(headerText(req, hostHeader)).orDefault("?" as HostId);
}

function headerText(req: http.IncomingMessage, name: string): string {
    const value = req.headers[name];
    return typeof value === "string" ? value : "";
}
