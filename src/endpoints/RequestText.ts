/** Short text requests to endpoints other than stage calls: cancels, load reports, orders. */
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { BodyCollector } from "../common/BodyCollector.js";
import { onReply } from "../common/HttpReplies.js";
import type { Clock, EndpointId } from "../common/Types.js";
import { closeConnection } from "./CloseConnection.js";
import type { ConnectError, ConnectionUse, EndpointConnections } from "./EndpointConnections.js";

/** Maximum size of a reply, in bytes. */
const maxReplyBytes = 1_048_576;

export interface TextRequest {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** True for a new connection that is not shared with any other request. */
    readonly fresh: boolean;
    /** See {@link ConnectionUse}. */
    readonly use?: ConnectionUse;
    /** Timeout of the whole exchange after connecting, in milliseconds. */
    readonly timeoutMs: number;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    /** Called right before the first byte is written; false cancels the request. */
    readonly mayWrite?: () => boolean;
    /**
     * Called with the complete reply; false closes the connection. That is for replies that may belong to an earlier
     * request, so that the next request on the connection would get this one's. Without it connections are kept.
     */
    readonly keepsConnection?: (reply: TextReply) => boolean;
}

export interface TextReply {
    readonly status: number;
    readonly text: string;
    readonly headers: IncomingHttpHeaders;
    /** Identifies the connection on which the reply came. */
    readonly connection: object;
    /** True when an earlier request has used the connection, whose reply may be this one, written again. */
    readonly isReused: boolean;
}

/** The request was written, but no complete reply arrived. */
interface BrokenReply {
    readonly kind: "broken";
    readonly message: string;
}

export type TextError = ConnectError | BrokenReply;

/** Connects, sends one request, and reads the whole reply as text, whatever its status. */
export async function requestText(
    connections: EndpointConnections,
    endpoint: EndpointId,
    options: TextRequest,
): Promise<Either<TextError, TextReply>> {
    const { method, path, fresh, use = "exchanges", signal } = options;
    const body = options.body ?? "";
    const content = body === ""
        ? {}
        : { "content-type": "application/json", "content-length": Buffer.byteLength(body) };
    const headers = { ...options.headers, ...content };
    const ready = await connections.connect(endpoint, { method, path, fresh, use, signal, headers });
    if (ready.isLeft()) {
        return Left(ready.extract());
    }
    const { req } = ready.unsafeCoerce();
    if (options.mayWrite?.() === false) {
        req.on("error", () => undefined);
        req.destroy();
        return Left({ kind: "aborted", message: "cancelled before it was sent" });
    }
    return exchangeText(req, { ...options, body, maxReplyBytes });
}

export interface TextExchange {
    readonly body: string;
    /** Timeout of the whole exchange, in milliseconds. */
    readonly timeoutMs: number;
    readonly maxReplyBytes: number;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    readonly keepsConnection?: (reply: TextReply) => boolean;
}

/** Sends a body and reads the whole reply as text; destroys the request when no complete reply arrives. */
export function exchangeText(req: ClientRequest, options: TextExchange): Promise<Either<BrokenReply, TextReply>> {
    const { body, timeoutMs, clock, signal } = options;
    return new Promise(resolve => {
        const finish = (result: Either<BrokenReply, TextReply>) => {
            timer.dispose();
            signal.removeEventListener("abort", aborted);
            if (result.isLeft()) {
                req.destroy();
            }
            resolve(result);
        };
        const broken = (message: string) => finish(Left({ kind: "broken", message }));
        const aborted = () => broken("aborted before the reply was complete");
        const timer = clock.setTimer(timeoutMs, () => broken(`no reply within ${timeoutMs} ms`));
        signal.addEventListener("abort", aborted);
        req.on("error", err => broken(err.message));
        const read = (res: IncomingMessage) => {
            // Unset at the end of the reply.
            const connection = res.socket;
            const content = new BodyCollector(options.maxReplyBytes);
            res.on("data", (chunk: Buffer) => {
                const fault = content.add(chunk);
                if (fault !== undefined) {
                    broken(`the reply exceeds a limit: ${fault}`);
                }
            });
            res.on("error", err => broken(err.message));
            res.on("close", () => broken("the connection was closed before the reply was complete"));
            res.on("end", () => {
                if (res.complete) {
                    const reply = {
                        status: res.statusCode ?? 0,
                        text: content.toText(),
                        headers: res.headers,
                        connection,
                        isReused: req.reusedSocket,
                    };
                    if (options.keepsConnection?.(reply) === false) {
                        closeConnection(req);
                    }
                    finish(Right(reply));
                }
            });
        };
        onReply(req, { read, fail: fault => broken(fault.message) });
        req.end(body);
    });
}
