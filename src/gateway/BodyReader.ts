/** Reads the body of a caller's request into the memory that the bodies being read share. */
import type * as http from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { BodyCollector } from "../common/BodyCollector.js";
import type { BodyIntake, GivenUpReason } from "./BodyIntake.js";
import type { HeldBytes } from "./CallerMemory.js";
import type { ReadTurns } from "./ReadTurns.js";

/** A whole body, and the bytes that are held for it. */
export interface ReadBody {
    readonly bytes: Buffer;
    readonly held: HeldBytes;
}

export type BodyFault =
    | { readonly kind: "too-large"; readonly limitBytes: number; }
    | { readonly kind: "given-up"; readonly reason: GivenUpReason; readonly bytes: number; }
    /** The caller disconnected before the body was complete. */
    | { readonly kind: "incomplete"; };

/** Reads a body within a limit; it must have ended at `untilMs`, on the local clock. */
export function readBody(
    req: http.IncomingMessage,
    intake: BodyIntake,
    turns: ReadTurns,
    limitBytes: number,
    untilMs: number,
): Promise<Either<BodyFault, ReadBody>> {
    const length = req.headers["content-length"];
    const declaredBytes = length === undefined ? undefined : Number(length);
    if (declaredBytes !== undefined && declaredBytes > limitBytes) {
        return Promise.resolve(Left({ kind: "too-large", limitBytes }));
    }
    return new Promise(resolve => {
        const parts = new BodyCollector(limitBytes, declaredBytes);
        const finish = (result: Either<BodyFault, ReadBody>) => {
            body.abandon();
            req.off("data", add).off("end", complete).off("error", leave).off("close", leave);
            resolve(result);
        };
        const body = intake.open(
            untilMs,
            reason => finish(Left({ kind: "given-up", reason, bytes: parts.bytes })),
        );
        const countPart = turns.counter(req.socket);
        const add = (part: Buffer) => {
            countPart();
            const heldBefore = parts.heldBytes;
            // One in far too many parts counts as too large.
            if (parts.add(part) !== undefined) {
                finish(Left({ kind: "too-large", limitBytes }));
                return;
            }
            body.grow(part.length, parts.heldBytes - heldBefore);
        };
        const complete = () => {
            const held = body.complete(parts.copyBytes);
            if (held !== undefined) {
                finish(Right({ bytes: parts.toBuffer(), held }));
            }
        };
        const leave = () => finish(Left({ kind: "incomplete" }));
        req.on("data", add).on("end", complete).on("error", leave).on("close", leave);
    });
}
