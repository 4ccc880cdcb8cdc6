/** Reads a request's body as JSON within a size limit. */
import type * as http from "node:http";
import { type Either, Left, Right } from "purify-ts";

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

/** Reads the complete body, up to a limit. */
export function readBytes(req: http.IncomingMessage, limitBytes: number): Promise<Either<BodyError, Buffer>> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        req.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > limitBytes) {
                req.removeAllListeners("data");
                req.resume();
                resolve(Left({ kind: "too-large", limitBytes }));
                return;
            }
            chunks.push(chunk);
        });
        req.on("end", () => resolve(Right(Buffer.concat(chunks))));
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
