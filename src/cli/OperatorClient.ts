/** Client of the operators' API. Tries the hosts in order until one can be connected to. */
import { readFileSync } from "node:fs";
import * as http from "node:http";
import { Either, Left, Right } from "purify-ts";
import { BodyCollector } from "../common/BodyCollector.js";
import { onReply } from "../common/HttpReplies.js";
import { keyHeader } from "../peer/Keys.js";

/** Maximum size of an answer, in bytes. */
const maxAnswerBytes = 64 * 1024 * 1024;

export interface OperatorTarget {
    /** Peer addresses, "ip:port"; the next one is tried when no connection can be made. */
    readonly addresses: readonly string[];
    /** Undefined for hosts that ask operators for no key. */
    readonly keyFile: string | undefined;
    readonly timeoutMs: number;
}

export type OperatorError =
    | { readonly kind: "no-key"; readonly message: string; }
    /** No host received the call. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** A host was reached, but its reply was lost. */
    | { readonly kind: "no-reply"; readonly message: string; };

/** Reply of a host, with any HTTP status. */
export interface OperatorReplyMessage {
    readonly status: number;
    /** Parsed JSON, or the text if it is not JSON; undefined when empty. */
    readonly body: unknown;
}

export class OperatorClient {
    public constructor(private readonly target: OperatorTarget) {}

    public get(path: string): Promise<Either<OperatorError, OperatorReplyMessage>> {
        return this.callFirstReachable("GET", path, undefined);
    }

    public post(path: string, body: unknown): Promise<Either<OperatorError, OperatorReplyMessage>> {
        return this.callFirstReachable("POST", path, body);
    }

    private async callFirstReachable(
        method: string,
        path: string,
        body: unknown,
    ): Promise<Either<OperatorError, OperatorReplyMessage>> {
        const { keyFile } = this.target;
        const key = Either.encase(() => keyFile === undefined ? undefined : readFileSync(keyFile, "utf8").trim());
        if (key.isLeft()) {
            return Left({ kind: "no-key", message: `key file can't be read: ${keyFile}` });
        }
        let lastResult: Either<OperatorError, OperatorReplyMessage> = Left({
            kind: "unreachable",
            message: "no address was given",
        });
        for (const address of this.target.addresses) {
            lastResult = await this.call(address, method, path, body, key.unsafeCoerce());
            if (lastResult.isRight() || lastResult.swap().unsafeCoerce().kind !== "unreachable") {
                return lastResult;
            }
        }
        return lastResult;
    }

    private call(
        address: string,
        method: string,
        path: string,
        body: unknown,
        key: string | undefined,
    ): Promise<Either<OperatorError, OperatorReplyMessage>> {
        return new Promise(resolve => {
            let isConnected = false;
            const req = http.request(`http://${address}${path}`, {
                method,
                agent: false,
                timeout: this.target.timeoutMs,
                headers: {
                    ...(key === undefined ? {} : { [keyHeader]: key }),
                    "content-type": "application/json",
                },
            });
            req.on("socket", socket => socket.once("connect", () => isConnected = true));
            req.on("timeout", () => req.destroy(new Error(`no reply within ${this.target.timeoutMs} ms`)));
            req.on("error", err => {
                resolve(
                    Left({ kind: isConnected ? "no-reply" : "unreachable", message: `${address}: ${err.message}` }),
                );
            });
            const read = (res: http.IncomingMessage) => {
                const content = new BodyCollector(maxAnswerBytes);
                res.on("data", (chunk: Buffer) => {
                    const fault = content.add(chunk);
                    if (fault !== undefined) {
                        req.destroy(new Error(`the answer exceeds a limit: ${fault}`));
                    }
                });
                res.on("error", err => resolve(Left({ kind: "no-reply", message: `${address}: ${err.message}` })));
                res.on("end", () => {
                    const text = content.toText();
                    const parsed = Either.encase(() => text === "" ? undefined : JSON.parse(text) as unknown);
                    resolve(Right({ status: res.statusCode ?? 0, body: parsed.orDefault(text) }));
                });
            };
            onReply(req, { read, fail: ({ message }) => req.destroy(new Error(message)) });
            req.end(body === undefined ? undefined : JSON.stringify(body));
        });
    }
}
