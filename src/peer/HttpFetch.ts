/**
 * A minimal `fetch` over node:http with a keep-alive agent, for tRPC's HTTP link. Unlike the built-in fetch, it
 * distinguishes a request that was never delivered from one that may have been.
 */
import type * as http from "node:http";
import { BodyCollector } from "../common/BodyCollector.js";
import { onReply } from "../common/HttpReplies.js";
import { openRequest } from "../common/HttpRequests.js";

/** Maximum size of a reply, in bytes; far above any message between hosts. */
const maxReplyBytes = 64 * 1024 * 1024;

/**
 * A failed request. `delivered` is false only when no connection was made, `refused` is true after a 401, and
 * `notListening` is true when the connection was refused, which means that no process listens there.
 */
export class HttpFetchError extends Error {
    public constructor(
        message: string,
        public readonly delivered: boolean,
        public readonly refused: boolean = false,
        public readonly notListening: boolean = false,
    ) {
        super(message);
        this.name = "HttpFetchError";
    }
}

interface FetchInit {
    readonly method?: string | undefined;
    readonly headers?: unknown;
    readonly body?: unknown;
    readonly signal?: AbortSignal | null | undefined;
}

interface FetchResponse {
    readonly ok: boolean;
    readonly status: number;
    json(): Promise<unknown>;
    text(): Promise<string>;
}

/** Called with the headers of each response, for example to read clock stamps. */
export type HeaderObserver = (headers: http.IncomingHttpHeaders) => void;

/** Sends one request; rejects with {@link HttpFetchError}, since tRPC's link expects a rejected promise. */
export function httpFetch(
    agent: http.Agent,
    url: string,
    init: FetchInit,
    onHeaders: HeaderObserver,
): Promise<FetchResponse> {
    return new Promise((resolve, reject) => {
        let connected = false;
        const signal = init.signal ?? undefined;
        const opened = openRequest(url, {
            agent,
            method: init.method ?? "GET",
            headers: init.headers as http.OutgoingHttpHeaders,
        });
        if (opened.isLeft()) {
            reject(new HttpFetchError(opened.extract(), false));
            return;
        }
        const req = opened.unsafeCoerce();
        const abort = () => req.destroy(new Error("aborted"));
        const fail = (err: NodeJS.ErrnoException) => {
            signal?.removeEventListener("abort", abort);
            reject(new HttpFetchError(err.message, connected, false, !connected && err.code === "ECONNREFUSED"));
        };
        onConnected(req, () => connected = true);
        req.on("error", fail);
        const read = (res: http.IncomingMessage) => {
            onHeaders(res.headers);
            const body = new BodyCollector(maxReplyBytes);
            res.on("data", (chunk: Buffer) => {
                const fault = body.add(chunk);
                if (fault !== undefined) {
                    req.destroy(new Error(`the reply exceeds a limit: ${fault}`));
                }
            });
            res.on("error", fail);
            res.on("end", () => {
                signal?.removeEventListener("abort", abort);
                if (res.statusCode === 401) {
                    reject(new HttpFetchError("the peer refused the key", true, true));
                    return;
                }
                resolve(responseOf(res.statusCode ?? 0, body.toText()));
            });
        };
        onReply(req, { read, fail: ({ message }) => req.destroy(new Error(message)) });
        if (signal?.aborted) {
            abort();
            return;
        }
        signal?.addEventListener("abort", abort);
        req.end(typeof init.body === "string" ? init.body : undefined);
    });
}

/** Calls `connected` once the request has a connection, at once for one that is kept. */
function onConnected(req: http.ClientRequest, connected: () => void): void {
    req.on("socket", socket => {
        // A socket that could not be opened is destroyed by now.
        if (socket.connecting || socket.destroyed) {
            socket.once("connect", connected);
        }
        else {
            connected();
        }
    });
}

function responseOf(status: number, text: string): FetchResponse {
    return {
        ok: status >= 200 && status < 300,
        status,
        json: async () => JSON.parse(text) as unknown,
        text: async () => text,
    };
}
