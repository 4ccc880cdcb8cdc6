/**
 * Frames of calls over a WebSocket, as JSON. A caller numbers its calls on a socket; replies bear the same number and may
 * come in any order.
 */
import { Either } from "purify-ts";
import type { RawData } from "ws";
import * as z from "zod";

/** Path of the upgrade request. */
export const socketPath = "/peer-socket";
/** Maximum size of a frame, in bytes, and of what waits to be sent on a socket. */
export const maxFrameBytes = 16 * 1024 * 1024;
/** First probe of an idle connection; the count of probes is the system's. */
export const socketKeepAliveMs = 1000;

const callFrame = z.object({
    id: z.number().int(),
    method: z.string(),
    input: z.unknown().optional(),
    clock: z.string(),
});

/** `error` has tRPC's format and is missing in the reply to a call that succeeded. */
const replyFrame = z.object({
    id: z.number().int(),
    data: z.unknown().optional(),
    error: z.object({ message: z.string(), code: z.number(), data: z.unknown().optional() }).optional(),
    clock: z.string(),
});

export type CallFrame = z.infer<typeof callFrame>;
export type ReplyFrame = z.infer<typeof replyFrame>;

/** Undefined when the text is no frame of a call. */
export function parseCallFrame(text: string): CallFrame | undefined {
    return parse(callFrame, text);
}

/** Undefined when the text is no frame of a reply. */
export function parseReplyFrame(text: string): ReplyFrame | undefined {
    return parse(replyFrame, text);
}

/** The text of a message; messages are not split, since `binaryType` is the library's default. */
export function textOf(data: RawData): string {
    return Buffer.isBuffer(data) ? data.toString("utf8") : "";
}

function parse<T>(schema: z.ZodType<T>, text: string): T | undefined {
    return Either.encase(() => JSON.parse(text) as unknown)
        .toMaybe()
        .chainNullable(json => schema.safeParse(json).data)
        .extract();
}
