/**
 * Serves tunnels for peers: connects to an endpoint directly and copies bytes both ways. Closing or resetting one end
 * does the same to the other. The end of a stream without framing is its only mark, so a reset must not look like one,
 * and neither must the end of this process: a peer asks whether the target has ended a tunnel in order.
 */
import type * as http from "node:http";
import { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { Either } from "purify-ts";
import { BoundedMap } from "../common/BoundedMap.js";
import { wasReset } from "../common/HttpReplies.js";
import { endConnection } from "../common/ServerConnections.js";
import type { Clock, Disposable } from "../common/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { keyHeader, keyMatches } from "./Keys.js";
import { tunnelEndMethod, type TunnelError, tunnelIdHeader, tunnelReasonHeader } from "./TunnelClient.js";
import type { PeerRegistry } from "./Types.js";

/** Maximum number of open tunnels. */
const maxTunnels = 1024;
/** A tunnel on which the target has sent something, and nothing has come for this long, carries no exchange any more. */
const quietMs = 1000;
const drainPollMs = 50;
const keepAliveMs = 2000;
/** Maximum number of ended tunnels that are remembered; peers ask at once. */
const maxEnded = 2048;

/** Connects to endpoints from this host. */
export interface TunnelDialer {
    dial(target: string): Promise<Either<TunnelError, Socket>>;
}

interface TunnelServerOptions {
    readonly key: string;
    readonly registry: PeerRegistry;
    /** Identifies this run of the process, so that a peer does not take a tunnel of an earlier one for one of this. */
    readonly life: string;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Aborted when a planned stop of this host begins. */
    readonly stopping: AbortSignal;
}

interface Tunnel {
    readonly id: string;
    readonly peer: Duplex;
    readonly target: Socket;
    lastDataMs: number;
    /** True while the target has sent nothing since the peer last sent data. */
    awaitsReply: boolean;
}

export class TunnelServer implements Disposable {
    private readonly tunnels = new Set<Tunnel>();
    private dialer: TunnelDialer | undefined;
    private dialing = 0;
    private opened = 0;
    /** Tunnels that their targets have ended in order. */
    private readonly ended = new BoundedMap<string, true>(maxEnded);

    public constructor(private readonly options: TunnelServerOptions) {
        options.registry.handle(tunnelEndMethod, async ({ tunnel }) => ({ isEnded: this.ended.has(tunnel) }));
    }

    /** Starts to serve tunnels; before that, they are refused. */
    public serve(dialer: TunnelDialer): void {
        this.dialer = dialer;
    }

    /** Takes the CONNECT requests of a server. */
    public attach(server: http.Server): void {
        server.on("connect", (req, peer) => {
            // Errors are followed by "close".
            peer.on("error", () => undefined);
            const accepted = this.accept(req, peer).catch((err: unknown) => {
                peer.destroy();
                throw err;
            });
            inBackground(this.options.log, "tunnel", accepted);
        });
    }

    /** Waits until no tunnel carries an exchange; resolves to the number of those that still do. */
    public async drain(graceMs: number): Promise<number> {
        const { clock } = this.options;
        const untilMs = clock.nowMs() + graceMs;
        const isBusy = (one: Tunnel) => one.awaitsReply || clock.nowMs() - one.lastDataMs < quietMs;
        const busy = () => [...this.tunnels].filter(isBusy).length;
        while (busy() > 0 && clock.nowMs() < untilMs) {
            await clock.sleep(drainPollMs);
        }
        return busy();
    }

    public dispose(): void {
        for (const { peer, target } of this.tunnels) {
            reset(peer);
            target.destroy();
        }
    }

    private async accept(req: http.IncomingMessage, peer: Duplex): Promise<void> {
        const { key, life, clock, metrics, stopping } = this.options;
        const refuse = (reason: string) => {
            metrics.count("tunnels_served", { outcome: reason });
            const answer = `HTTP/1.1 502 Bad Gateway\r\n${tunnelReasonHeader}: ${reason}\r\nContent-Length: 0\r\n\r\n`;
            endConnection(peer, answer, clock);
        };
        const target = Either.encase(() => decodeURIComponent(req.url ?? ""));
        if (!keyMatches(key, req.headers[keyHeader]) || target.isLeft()) {
            refuse("rejected");
            return;
        }
        if (this.dialer === undefined || stopping.aborted || this.tunnels.size + this.dialing >= maxTunnels) {
            refuse("busy");
            return;
        }
        this.dialing += 1;
        const dialed = await this.dialer.dial(target.orDefault("")).finally(() => this.dialing -= 1);
        dialed.caseOf({
            Left: ({ kind }) => refuse(kind),
            Right: socket => {
                metrics.count("tunnels_served", { outcome: "open" });
                this.opened += 1;
                const id = `${life}-${this.opened}`;
                peer.write(`HTTP/1.1 200 OK\r\n${tunnelIdHeader}: ${id}\r\n\r\n`);
                this.join(id, peer, socket);
            },
        });
    }

    private join(id: string, peer: Duplex, target: Socket): void {
        const { clock } = this.options;
        const tunnel = { id, peer, target, lastDataMs: clock.nowMs(), awaitsReply: false };
        this.tunnels.add(tunnel);
        const recordData = (awaitsReply: boolean) => {
            tunnel.lastDataMs = clock.nowMs();
            tunnel.awaitsReply = awaitsReply;
        };
        for (const socket of [peer, target]) {
            if (socket instanceof Socket) {
                socket.setNoDelay(true);
                // An end that has fallen silent for good would keep the tunnel open.
                socket.setKeepAlive(true, keepAliveMs);
            }
        }
        peer.on("data", () => recordData(true)).pipe(target, { end: false });
        target.on("data", () => recordData(false)).pipe(peer, { end: false });
        // A peer closes its end only after the exchange, or to give it up.
        peer.once("end", () => target.destroy());
        peer.once("close", () => target.destroy());
        target.once("error", () => reset(peer));
        target.once("end", () => {
            if (wasReset(target)) {
                reset(peer);
                return;
            }
            this.ended.set(id, true);
            peer.end();
        });
        target.once("close", () => {
            this.tunnels.delete(tunnel);
            peer.end();
        });
        if (peer.destroyed) {
            target.destroy();
        }
    }
}

function reset(stream: Duplex): void {
    if (stream instanceof Socket) {
        stream.resetAndDestroy();
    }
    else {
        stream.destroy();
    }
}
