/** Reads a request's body as JSON within a size limit. */
import type * as http from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { BodyCollector } from "./BodyCollector.js";
import type { LargeBodies } from "./LargeBodies.js";

export type BodyError =
    | { readonly kind: "too-large"; readonly limitBytes: number; }
    | { readonly kind: "not-json"; readonly message: string; }
    /** The caller disconnected before the body was complete. */
    | { readonly kind: "incomplete"; }
    /** The body was given up, since others needed its memory; it has not been handled. */
    | { readonly kind: "no-room"; };

/** Where a server counts the bodies that it holds. */
export interface BodyRoom {
    readonly bodies: LargeBodies;
    /** A body is held until this has been sent; undefined to hold it until it has been read. */
    readonly res?: http.ServerResponse;
}

/** Reads and parses the body. It is rejected as soon as its declared or received length exceeds the limit. */
export async function readJsonBody(
    req: http.IncomingMessage,
    limitBytes: number,
    room?: BodyRoom,
): Promise<Either<BodyError, unknown>> {
    const declaredBytes = Number(req.headers["content-length"] ?? "0");
    if (declaredBytes > limitBytes) {
        return Left({ kind: "too-large", limitBytes });
    }
    const read = await readBytes(req, limitBytes, room);
    return read.chain(parseJson);
}

/** Reads the complete body, up to a limit; one in far too many parts counts as too large. */
export function readBytes(
    req: http.IncomingMessage,
    limitBytes: number,
    room?: BodyRoom,
): Promise<Either<BodyError, Buffer>> {
    return new Promise(resolve => {
        const body = new BodyCollector(limitBytes);
        const refuse = (error: BodyError) => {
            req.removeAllListeners("data");
            req.resume();
            // The request outlives its refusal while the rest of its body comes.
            body.clear();
            resolve(Left(error));
        };
        const held = room?.bodies.begin({
            pause: () => req.pause(),
            resume: () => req.resume(),
            giveUp: () => refuse({ kind: "no-room" }),
        });
        (room?.res ?? req).once("close", () => held?.dispose());
        req.on("data", (chunk: Buffer) => {
            if (body.add(chunk) !== undefined) {
                held?.dispose();
                refuse({ kind: "too-large", limitBytes });
                return;
            }
            held?.add(chunk.length);
        });
        req.on("end", () => {
            held?.complete();
            const whole = body.toBuffer();
            body.clear();
            resolve(Right(whole));
        });
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
