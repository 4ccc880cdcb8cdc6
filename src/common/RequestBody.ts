/** Reads a request's body as JSON within a size limit. */
import type * as http from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { BodyCollector } from "./BodyCollector.js";

export type BodyError =
    | { readonly kind: "too-large"; readonly limitBytes: number; }
    | { readonly kind: "not-json"; readonly message: string; }
    /** The caller disconnected before the body was complete. */
    | { readonly kind: "incomplete"; };

/** Reads and parses the body. It is rejected as soon as its declared or received length exceeds the limit. */
export async function readJsonBody(req: http.IncomingMessage, limitBytes: number): Promise<Either<BodyError, unknown>> {
    const declaredBytes = Number(req.headers["content-length"] ?? "0");
    if (declaredBytes > limitBytes) {
        return Left({ kind: "too-large", limitBytes });
    }
    const read = await readBytes(req, limitBytes);
    return read.chain(parseJson);
}

/** Reads the complete body, up to a limit; one in far too many parts counts as too large. */
export function readBytes(req: http.IncomingMessage, limitBytes: number): Promise<Either<BodyError, Buffer>> {
    return new Promise(resolve => {
        const body = new BodyCollector(limitBytes);
        req.on("data", (chunk: Buffer) => {
            if (body.add(chunk) !== undefined) {
                req.removeAllListeners("data");
                req.resume();
                resolve(Left({ kind: "too-large", limitBytes }));
            }
        });
        req.on("end", () => resolve(Right(body.toBuffer())));
        req.on("error", () => resolve(Left({ kind: "incomplete" })));
        req.on("close", () => resolve(Left({ kind: "incomplete" })));
    });
}

function parseJson(bytes: Buffer): Either<BodyError, unknown> {
    try {
        const text = new TextDecoder("utf-8", { fatal: true }).decode(bytes);
        return Right(JSON.parse(text) as unknown);
    }
    catch (err) {
        return Left({ kind: "not-json", message: err instanceof Error ? err.message : String(err) });
    }
}
