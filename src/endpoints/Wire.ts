/**
 * HTTP messages between a host and an endpoint.
 *
 * - `POST /v1/stage` carries one stage call as {@link stageCallSchema}. The reply is JSON,
 *   {@link stageReplySchema}, with a content-length. A caller that sends `accept: text/event-stream` gets server-sent
 *   events instead: `output` events {@link outputEventSchema} in order, then one `end` event {@link endEventSchema}.
 *   A stream without its `end` event is incomplete. Digests are SHA-256 of the UTF-8 output, in hexadecimal.
 * - A call that was refused and not run gets 503 with {@link refusalSchema}; a stage that ran and failed gets 422 with
 *   the same body.
 * - `POST /v1/cancel` {request, stage, attempt} ends a running call. `GET /v1/load` returns {@link loadReportSchema}.
 * - `GET /v1/cache-events?after=N` returns {@link cacheEventsSchema}. `POST /v1/order` carries {@link orderSchema}:
 *   200 done, 409 outdated fencing number, 503 refused. `GET /v1/state` returns {@link engineStateSchema}.
 * - `POST /v1/cache/export` {blocks} and `POST /v1/cache/import` {blocks} move parts of a KV cache.
 */
import * as z from "zod";

export const stageCallSchema = z.object({
    request: z.string(),
    stage: z.string(),
    attempt: z.number().int(),
    workspace: z.string(),
    pipeline: z.string(),
    priority: z.number().int(),
    model: z.string().optional(),
    /** Time until the deadline when the call is sent, in milliseconds. */
    remainingMs: z.number(),
    input: z.unknown(),
    previous: z.record(z.string(), z.string()),
    /** Continues a broken stream from this offset (in characters) of the named attempt's output. */
    resume: z.object({ attempt: z.number().int(), offset: z.number().int() }).optional(),
});

const usageSchema = z.object({
    promptTokens: z.number(),
    cachedTokens: z.number(),
    outputTokens: z.number(),
    busyMs: z.number(),
});

/** Fields by which a reply identifies its call and the endpoint's process. */
const echo = {
    request: z.string(),
    stage: z.string(),
    attempt: z.number().int(),
    /** Identity of the endpoint's process; changes when it restarts. */
    incarnation: z.string(),
};

export const stageReplySchema = z.object({
    ...echo,
    output: z.string(),
    /** Length of the whole output in characters (UTF-16 code units). */
    length: z.number().int(),
    digest: z.string(),
    usage: usageSchema,
});

export const outputEventSchema = z.object({ ...echo, offset: z.number().int(), text: z.string() });

export const endEventSchema = z.object({ ...echo, length: z.number().int(), digest: z.string(), usage: usageSchema });

export const refusalSchema = z.object({
    state: z.enum(["cold", "overloaded", "leaving", "other"]),
    message: z.string(),
});

export const loadReportSchema = z.object({
    incarnation: z.string(),
    state: z.enum(["cold", "warming", "warm", "leaving"]),
    uptimeMs: z.number(),
    running: z.number().int(),
    waiting: z.number().int(),
});

export const cacheEventsSchema = z.object({
    incarnation: z.string(),
    events: z.array(z.object({
        sequence: z.number().int(),
        kind: z.enum(["stored", "evicted", "cleared"]),
        blocks: z.array(z.string()),
    })),
});

export const orderSchema = z.object({
    fencing: z.number().int(),
    orderId: z.string(),
    kind: z.enum(["load-model", "unload-model", "load-adapter", "unload-adapter", "set-role"]),
    model: z.string().optional(),
    version: z.string().optional(),
    adapter: z.string().optional(),
    role: z.enum(["prefill", "decode", "both"]).optional(),
});

export const engineStateSchema = z.object({
    incarnation: z.string(),
    role: z.enum(["prefill", "decode", "both"]),
    models: z.array(z.object({ model: z.string(), version: z.string(), ready: z.boolean() })),
    adapters: z.array(z.string()),
    /** Highest fencing number accepted so far; 0 when the engine does not check it. */
    fencing: z.number().int(),
});

/** Length of a cache block in characters of the prompt; a block's hash covers the prompt up to the end of the block. */
export const cacheBlockChars = 256;
/** Characters of text that count as one token. */
export const charsPerToken = 4;

export type StageCallMessage = z.infer<typeof stageCallSchema>;
export type StageReplyMessage = z.infer<typeof stageReplySchema>;
export type OutputEventMessage = z.infer<typeof outputEventSchema>;
export type EndEventMessage = z.infer<typeof endEventSchema>;
export type RefusalMessage = z.infer<typeof refusalSchema>;
export type LoadReportMessage = z.infer<typeof loadReportSchema>;
export type OrderMessage = z.infer<typeof orderSchema>;
export type EngineStateMessage = z.infer<typeof engineStateSchema>;
