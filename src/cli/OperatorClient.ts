/** Calls the operators' API of the first host that answers. */
import { readFileSync } from "node:fs";
import * as http from "node:http";
import { Either, Left, Right } from "purify-ts";
import { keyHeader } from "../peer/Keys.js";

export interface OperatorTarget {
    /** Peer addresses, "ip:port"; the next one is tried when a connection is refused. */
    readonly addresses: readonly string[];
    readonly keyFile: string;
    readonly timeoutMs: number;
}

export type OperatorError =
    | { readonly kind: "no-key"; readonly message: string; }
    /** No host took the call. */
    | { readonly kind: "unreachable"; readonly message: string; }
    /** A host took the call and its answer was lost. */
    | { readonly kind: "no-reply"; readonly message: string; };

export interface OperatorReplyMessage {
    readonly status: number;
    readonly body: unknown;
}

export class OperatorClient {
    public constructor(private readonly target: OperatorTarget) {}

    public get(path: string): Promise<Either<OperatorError, OperatorReplyMessage>> {
        return this.callAny("GET", path, undefined);
    }

    public post(path: string, body: unknown): Promise<Either<OperatorError, OperatorReplyMessage>> {
        return this.callAny("POST", path, body);
    }

    private async callAny(
        method: string,
        path: string,
        body: unknown,
    ): Promise<Either<OperatorError, OperatorReplyMessage>> {
        const key = Either.encase(() => readFileSync(this.target.keyFile, "utf8").trim());
        if (key.isLeft()) {
            return Left({ kind: "no-key", message: `the key file can't be read: ${this.target.keyFile}` });
        }
        let last: Either<OperatorError, OperatorReplyMessage> = Left({
            kind: "unreachable",
            message: "no address was given",
        });
        for (const address of this.target.addresses) {
            last = await this.call(address, method, path, body, key.unsafeCoerce());
            if (last.isRight() || last.swap().unsafeCoerce().kind !== "unreachable") {
                return last;
            }
        }
        return last;
    }

    private call(
        address: string,
        method: string,
        path: string,
        body: unknown,
        key: string,
    ): Promise<Either<OperatorError, OperatorReplyMessage>> {
        return new Promise(resolve => {
            let connected = false;
            const req = http.request(`http://${address}${path}`, {
                method,
                agent: false,
                timeout: this.target.timeoutMs,
                headers: { [keyHeader]: key, "content-type": "application/json" },
            });
            req.on("socket", socket => socket.once("connect", () => connected = true));
            req.on("timeout", () => req.destroy(new Error(`no reply within ${this.target.timeoutMs} ms`)));
            req.on("error", err => {
                resolve(Left({ kind: connected ? "no-reply" : "unreachable", message: `${address}: ${err.message}` }));
            });
            req.on("response", res => {
                const chunks: Buffer[] = [];
                res.on("data", (chunk: Buffer) => chunks.push(chunk));
                res.on("error", err => resolve(Left({ kind: "no-reply", message: `${address}: ${err.message}` })));
                res.on("end", () => {
                    const text = Buffer.concat(chunks).toString("utf8");
                    const parsed = Either.encase(() => text === "" ? undefined : JSON.parse(text) as unknown);
                    resolve(Right({ status: res.statusCode ?? 0, body: parsed.orDefault(text) }));
                });
            });
            req.end(body === undefined ? undefined : JSON.stringify(body));
        });
    }
}
