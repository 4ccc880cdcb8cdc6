/**
 * Opens byte streams to endpoints through another host, for a host that can't connect to them by itself. The host sends
 * an HTTP CONNECT request to a peer, which connects to the endpoint directly and then copies bytes both ways.
 */
import type * as http from "node:http";
import type { Socket } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import { z } from "zod";
import { openRequest } from "../common/HttpRequests.js";
import { ReplyHeadCheck } from "../common/ReplyHeads.js";
import type { Clock, Disposable, HostId } from "../common/Types.js";
import { keyHeader } from "./Keys.js";
import { definePeerMethod, type PeerCallOptions, type PeerTransport } from "./Types.js";

/** Header with the reason why a tunnel was not opened. */
export const tunnelReasonHeader = "fireflykeel-tunnel";
/** Header with the id of a tunnel that was opened. */
export const tunnelIdHeader = "fireflykeel-tunnel-id";
const maxIdLength = 64;

/** Asks the peer that serves a tunnel whether the target has ended it in order. */
export const tunnelEndMethod = definePeerMethod<{ readonly tunnel: string; }, { readonly isEnded: boolean; }>(
    "tunnels.end",
    z.object({ tunnel: z.string().max(maxIdLength) }),
);

/** Time limit for a connection to a peer: many times the round trip to the farthest one. */
const connectMs = 80;
/** Time after a time-out in which events that have arrived during a stall of this process are handled. */
const stallGraceMs = 1;

/**
 * Why no tunnel was opened. "refused" and "timeout": a sound peer could not connect to the target either.
 * "unavailable": the peer was not reached, serves too many tunnels, or has no path to the target itself. "cut-off": no
 * peer was asked, since the target's data centre is told to be out of reach.
 */
export interface TunnelError {
    readonly kind: "refused" | "timeout" | "unavailable" | "cut-off" | "aborted";
    readonly message: string;
}

export interface TunnelClientOptions {
    readonly key: string;
    /** Returns "ip:port" of a peer. */
    readonly addressOf: (host: HostId) => string;
    readonly transport: PeerTransport;
    readonly clock: Clock;
}

export class TunnelClient {
    /** Ids that the peers gave to open tunnels; those of older builds give none. */
    private readonly ids = new WeakMap<Socket, string>();

    public constructor(private readonly options: TunnelClientOptions) {}

    /**
     * True when the peer states that the target has ended the tunnel in order. The end of the socket alone does not say
     * that: the operating system of a peer that was killed ends its connections in the same way.
     */
    public async confirmsEnd(through: HostId, socket: Socket, options: PeerCallOptions): Promise<boolean> {
        const tunnel = this.ids.get(socket);
        if (tunnel === undefined) {
            return false;
        }
        const reply = await this.options.transport.call(through, tunnelEndMethod, { tunnel }, options);
        return reply.caseOf({ Left: () => false, Right: ({ isEnded }) => isEnded });
    }

    /** Opens a tunnel to `target` through a peer. The caller closes the socket. */
    public async open(
        through: HostId,
        target: string,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<Either<TunnelError, Socket>> {
        const { key, addressOf } = this.options;
        const opened = openRequest(`http://${addressOf(through)}`, {
            method: "CONNECT",
            path: encodeURIComponent(target),
            agent: false,
            headers: { [keyHeader]: key },
        });
        return opened.caseOf({
            Left: async message => Left<TunnelError>({ kind: "unavailable", message }),
            Right: req => this.whenOpen(req, timeoutMs, signal),
        });
    }

    private whenOpen(
        req: http.ClientRequest,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<Either<TunnelError, Socket>> {
        const { clock } = this.options;
        return new Promise(resolve => {
            const finish = (result: Either<TunnelError, Socket>) => {
                timer.dispose();
                connectTimer.dispose();
                signal.removeEventListener("abort", onAbort);
                resolve(result);
            };
            const fail = (kind: TunnelError["kind"], message: string) => {
                finish(Left({ kind, message }));
                req.destroy();
            };
            const onAbort = () => fail("aborted", "aborted before the tunnel was open");
            const timer = setGraceTimer(
                clock,
                timeoutMs,
                () => fail("unavailable", `no tunnel within ${timeoutMs} ms`),
            );
            const connectTimer = setGraceTimer(
                clock,
                connectMs,
                () => fail("unavailable", "the peer can't be reached"),
            );
            signal.addEventListener("abort", onAbort);
            const head = new ReplyHeadCheck(req);
            req.on("socket", socket => socket.once("connect", () => connectTimer.dispose()));
            req.on("error", err => fail("unavailable", err.message));
            req.on("response", res => fail("unavailable", `the peer replied with status ${res.statusCode ?? 0}`));
            req.on("connect", (res, socket) => {
                const fault = head.end(res);
                if (res.statusCode === 200 && fault === undefined) {
                    const id = res.headers[tunnelIdHeader];
                    if (typeof id === "string" && id.length <= maxIdLength) {
                        this.ids.set(socket, id);
                    }
                    finish(Right(socket));
                    return;
                }
                const reason = fault ?? String(res.headers[tunnelReasonHeader]);
                fail(reason === "refused" || reason === "timeout" ? reason : "unavailable", reason);
                socket.destroy();
            });
            if (signal.aborted) {
                onAbort();
                return;
            }
            req.end();
        });
    }
}

/** After a stall of this process, timers run before a connection or reply that has arrived meanwhile is noticed. */
function setGraceTimer(clock: Clock, delayMs: number, callback: () => void): Disposable {
    let timer = clock.setTimer(delayMs, () => timer = clock.setTimer(stallGraceMs, callback));
    return { dispose: () => timer.dispose() };
}
