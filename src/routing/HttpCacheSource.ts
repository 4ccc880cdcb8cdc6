/** Reads cache events of engines and moves blocks between their KV caches, over HTTP. */
import * as z from "zod";
import type { Clock, EndpointId } from "../common/Types.js";
import type { EndpointConnections } from "../endpoints/EndpointConnections.js";
import { requestText } from "../endpoints/RequestText.js";
import { cacheEventsSchema } from "../endpoints/Wire.js";
import type { CacheBatch, CacheSource } from "./Types.js";

/** Timeout for reading the events of one engine. */
const eventsTimeoutMs = 500;
/** Timeout of one export or import of blocks. */
const moveTimeoutMs = 5000;
const blocksSchema = z.object({ blocks: z.array(z.string()) });

export class HttpCacheSource implements CacheSource {
    public constructor(private readonly connections: EndpointConnections, private readonly clock: Clock) {}

    public async events(endpoint: EndpointId, after: number, signal: AbortSignal): Promise<CacheBatch | undefined> {
        const path = `/v1/cache-events?after=${after}`;
        return this.exchange(endpoint, "GET", path, undefined, eventsTimeoutMs, signal, cacheEventsSchema);
    }

    public async export(
        endpoint: EndpointId,
        blocks: readonly string[],
        signal: AbortSignal,
    ): Promise<readonly string[] | undefined> {
        const body = JSON.stringify({ blocks });
        const path = "/v1/cache/export";
        return (await this.exchange(endpoint, "POST", path, body, moveTimeoutMs, signal, blocksSchema))?.blocks;
    }

    public async import(
        endpoint: EndpointId,
        blocks: readonly string[],
        signal: AbortSignal,
    ): Promise<readonly string[] | undefined> {
        const body = JSON.stringify({ blocks });
        const path = "/v1/cache/import";
        return (await this.exchange(endpoint, "POST", path, body, moveTimeoutMs, signal, blocksSchema))?.blocks;
    }

    private async exchange<T>(
        endpoint: EndpointId,
        method: "GET" | "POST",
        path: string,
        body: string | undefined,
        timeoutMs: number,
        signal: AbortSignal,
        schema: z.ZodType<T>,
    ): Promise<T | undefined> {
        const reply = await requestText(this.connections, endpoint, {
            method,
            path,
            ...(body === undefined ? {} : { body }),
            // Replies name no request, so an earlier one on a kept connection would pass for this one's.
            fresh: true,
            timeoutMs,
            clock: this.clock,
            signal,
        });
        return reply.caseOf({
            Left: () => undefined,
            Right: ({ status, text }) => (status === 200 ? parse(text, schema) : undefined),
        });
    }
}

function parse<T>(text: string, schema: z.ZodType<T>): T | undefined {
    try {
        const parsed = schema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
