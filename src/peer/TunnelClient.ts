/**
 * Opens byte streams to endpoints through another host, for a host that can't connect to them by itself. The host sends
 * an HTTP CONNECT request to a peer, which connects to the endpoint directly and then copies bytes both ways.
 */
import type * as http from "node:http";
import type { Socket } from "node:net";
import { type Either, Left, Right } from "purify-ts";
import { openRequest } from "../common/HttpRequests.js";
import type { Clock, Disposable, HostId } from "../common/Types.js";
import { keyHeader } from "./Keys.js";

/** Header with the reason why a tunnel was not opened. */
export const tunnelReasonHeader = "fireflykeel-tunnel";

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
    readonly clock: Clock;
}

export class TunnelClient {
    public constructor(private readonly options: TunnelClientOptions) {}

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
            req.on("socket", socket => socket.once("connect", () => connectTimer.dispose()));
            req.on("error", err => fail("unavailable", err.message));
            req.on("response", res => fail("unavailable", `the peer replied with status ${res.statusCode ?? 0}`));
            req.on("connect", (res, socket) => {
                if (res.statusCode === 200) {
                    finish(Right(socket));
                    return;
                }
                const reason = String(res.headers[tunnelReasonHeader]);
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
