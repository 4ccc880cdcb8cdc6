/**
 * Calls one peer over a WebSocket that is opened by the first call and stays open. An HTTP request for each of the many
 * small calls of a gatherer costs nearly twice as much processor time.
 */
import type * as http from "node:http";
import { type RawData, WebSocket } from "ws";
import type { Disposable } from "../common/Types.js";
import { HttpFetchError } from "./HttpFetch.js";
import {
    type CallFrame,
    maxFrameBytes,
    parseReplyFrame,
    type ReplyFrame,
    socketKeepAliveMs,
    socketPath,
    textOf,
} from "./SocketFrames.js";

const unauthorizedStatus = 401;

/** The peer serves no WebSockets, as one of an older version; nothing has been delivered. */
export class NoSocketsError extends HttpFetchError {
    public constructor() {
        super("the peer serves no WebSockets", false);
        this.name = "NoSocketsError";
    }
}

interface PeerSocketClientOptions {
    /** "ip:port". */
    readonly address: string;
    /** Headers of the upgrade request. */
    readonly headers: () => Readonly<Record<string, string>>;
    /** Returns a stamp of this host's clock. */
    readonly stamp: () => string;
    readonly observeStamp: (stamp: string) => void;
}

interface PendingCall {
    readonly text: string;
    isSent: boolean;
    readonly resolve: (reply: ReplyFrame) => void;
    readonly reject: (error: HttpFetchError) => void;
}

export class PeerSocketClient implements Disposable {
    private socket: WebSocket | undefined;
    private readonly pending = new Map<number, PendingCall>();
    private lastId = 0;
    private isRetired = false;

    public constructor(private readonly options: PeerSocketClientOptions) {}

    /**
     * Resolves with the peer's reply; rejects with an {@link HttpFetchError}, as the HTTP transport does, when there is
     * none or `signal` is aborted.
     */
    public call(method: string, input: unknown, signal: AbortSignal | null | undefined): Promise<ReplyFrame> {
        return new Promise((resolve, reject) => {
            this.lastId += 1;
            const id = this.lastId;
            const frame: CallFrame = { id, method, input, clock: this.options.stamp() };
            const end = () => {
                signal?.removeEventListener("abort", onAbort);
                this.pending.delete(id);
                this.closeIfUnused();
            };
            const pending: PendingCall = {
                text: JSON.stringify(frame),
                isSent: false,
                resolve: reply => {
                    end();
                    resolve(reply);
                },
                reject: error => {
                    end();
                    reject(error);
                },
            };
            const onAbort = () => pending.reject(new HttpFetchError("aborted", pending.isSent));
            this.pending.set(id, pending);
            signal?.addEventListener("abort", onAbort);
            this.socket ??= this.open();
            this.send(this.socket, pending);
        });
    }

    /** Closes the socket once the calls in flight have ended. */
    public retire(): void {
        this.isRetired = true;
        this.closeIfUnused();
    }

    public dispose(): void {
        this.socket?.terminate();
    }

    private closeIfUnused(): void {
        if (this.isRetired && this.pending.size === 0) {
            this.dispose();
        }
    }

    private open(): WebSocket {
        const { address, headers } = this.options;
        const socket = new WebSocket(`ws://${address}${socketPath}`, {
            headers: headers(),
            perMessageDeflate: false,
            maxPayload: maxFrameBytes,
        });
        let failure: HttpFetchError | undefined;
        socket.on("upgrade", res => res.socket.setKeepAlive(true, socketKeepAliveMs));
        socket.on("open", () => this.pending.forEach(one => this.send(socket, one)));
        socket.on("unexpected-response", (req: http.ClientRequest, res: http.IncomingMessage) => {
            failure = res.statusCode === unauthorizedStatus
                ? new HttpFetchError("the peer refused the key", true, true)
                : new NoSocketsError();
            req.destroy();
            this.fail(socket, failure);
        });
        socket.on("error", (err: NodeJS.ErrnoException) => {
            failure ??= new HttpFetchError(err.message, false, false, err.code === "ECONNREFUSED");
        });
        socket.on("close", () => this.fail(socket, failure ?? new HttpFetchError("the connection was closed", false)));
        socket.on("message", (data: RawData) => this.receive(socket, data));
        return socket;
    }

    private send(socket: WebSocket, call: PendingCall): void {
        if (socket.readyState !== WebSocket.OPEN || call.isSent) {
            return;
        }
        call.isSent = true;
        // A failure to write is followed by "close".
        socket.send(call.text, () => undefined);
        if (socket.bufferedAmount > maxFrameBytes) {
            socket.terminate();
        }
    }

    private receive(socket: WebSocket, data: RawData): void {
        const reply = parseReplyFrame(textOf(data));
        if (reply === undefined) {
            socket.terminate();
            return;
        }
        this.options.observeStamp(reply.clock);
        // There is none for a call that was aborted.
        this.pending.get(reply.id)?.resolve(reply);
    }

    /** Fails the calls of a socket that has closed; the next call opens another one. */
    private fail(socket: WebSocket, { message, refused, notListening, constructor }: HttpFetchError): void {
        if (this.socket !== socket) {
            return;
        }
        this.socket = undefined;
        for (const call of [...this.pending.values()]) {
            call.reject(
                constructor === NoSocketsError
                    ? new NoSocketsError()
                    : new HttpFetchError(message, call.isSent || refused, refused, notListening),
            );
        }
    }
}
