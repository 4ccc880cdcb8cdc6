/** HTTP client for the callers' API, for the demo and tests. It verifies that the answer is complete. */
import * as http from "node:http";
import { Either, Left, Right } from "purify-ts";
import { BodyCollector } from "../common/BodyCollector.js";
import { onReply } from "../common/HttpReplies.js";
import { digestOf } from "../entry/AnswerStream.js";
import { deadlineHeader, idempotencyHeader, workspaceHeader } from "../entry/CallerRequest.js";

/** Maximum size of an answer, in bytes. */
const maxAnswerBytes = 64 * 1024 * 1024;

export interface CallerCall {
    /** "ip:port" of an entry host. */
    readonly address: string;
    readonly pipeline: string;
    readonly workspace: string;
    readonly input: unknown;
    readonly idempotencyKey?: string;
    readonly deadlineMs?: number;
    /** Timeout of the call, in milliseconds. */
    readonly timeoutMs: number;
}

export interface CallerAnswer {
    readonly status: number;
    /** Outcome reported by the host: answered, not-run, failed or unknown. */
    readonly outcome: string;
    readonly output: string | undefined;
    readonly message: string;
    readonly retryAfterMs: number | undefined;
    /** Whether the host reported that the request may be sent again; undefined with an answer. */
    readonly repeat: "safe" | "unsafe" | undefined;
}

export type CallerError =
    /** No connection could be established. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** The connection broke before the reply was complete. */
    | { readonly kind: "broken"; readonly message: string; };

interface ReplyBody {
    readonly output?: string;
    readonly length?: number;
    readonly digest?: string;
    readonly message?: string;
    readonly retryAfterMs?: number;
    readonly repeat?: "safe" | "unsafe";
}

/** Sends the call. An answer with a wrong length or digest is reported as broken. */
export function callPipeline(call: CallerCall): Promise<Either<CallerError, CallerAnswer>> {
    return new Promise(resolve => {
        let connected = false;
        const body = Buffer.from(JSON.stringify(call.input));
        const req = http.request(`http://${call.address}/v1/pipelines/${call.pipeline}`, {
            method: "POST",
            agent: false,
            timeout: call.timeoutMs,
            headers: headersOf(call, body.length),
        });
        const fail = (err: Error) =>
            resolve(Left({ kind: connected ? "broken" : "unreachable", message: err.message }));
        req.on("socket", socket => socket.once("connect", () => connected = true));
        req.on("timeout", () => req.destroy(new Error(`no reply within ${call.timeoutMs} ms`)));
        req.on("error", fail);
        const read = (res: http.IncomingMessage) => {
            const content = new BodyCollector(maxAnswerBytes);
            res.on("data", (chunk: Buffer) => {
                const fault = content.add(chunk);
                if (fault !== undefined) {
                    req.destroy(new Error(`the answer exceeds a limit: ${fault}`));
                }
            });
            res.on("error", fail);
            res.on("aborted", () => fail(new Error("the connection closed before the reply was complete")));
            res.on("end", () => resolve(answerOf(res, content.toText())));
        };
        onReply(req, { read, fail: ({ message }) => req.destroy(new Error(message)) });
        req.end(body);
    });
}

function headersOf(call: CallerCall, length: number): http.OutgoingHttpHeaders {
    return {
        "content-type": "application/json",
        "content-length": length,
        [workspaceHeader]: call.workspace,
        ...(call.idempotencyKey === undefined ? {} : { [idempotencyHeader]: call.idempotencyKey }),
        ...(call.deadlineMs === undefined ? {} : { [deadlineHeader]: call.deadlineMs }),
    };
}

function answerOf(res: http.IncomingMessage, text: string): Either<CallerError, CallerAnswer> {
    const parsed = Either.encase(() => JSON.parse(text) as ReplyBody);
    if (parsed.isLeft()) {
        return Left({ kind: "broken", message: "the reply is not JSON" });
    }
    const body = parsed.unsafeCoerce();
    const outcome = String(res.headers["fireflykeel-outcome"] ?? "");
    if (
        outcome === "answered" && (body.output?.length !== body.length || digestOf(body.output ?? "") !== body.digest)
    ) {
        return Left({ kind: "broken", message: "the answer does not match its length and digest" });
    }
    return Right({
        status: res.statusCode ?? 0,
        outcome,
        output: body.output,
        message: body.message ?? "",
        retryAfterMs: body.retryAfterMs,
        repeat: body.repeat,
    });
}
