/** Messages between entry hosts about where streams began. */
import * as z from "zod";
import type { ServiceId } from "../fleet/Types.js";
import { defineFrequentPeerMethod } from "../peer/Types.js";

const originRecord = z.object({
    /** Identifies the request that began the stream. */
    key: z.string(),
    service: z.string() as unknown as z.ZodType<ServiceId>,
    version: z.string().optional(),
    /**
     * Number of the request's attempt; a later attempt of a request that has brought no event replaces an earlier one.
     */
    attempt: z.number(),
});

export type OriginRecord = z.infer<typeof originRecord>;

const recordRequest = z.object({ records: z.array(originRecord).readonly() });
const findRequest = z.object({ key: z.string() });

interface FindReply {
    /** Left out when the replying host does not know the stream. */
    readonly found?: OriginRecord;
}

export const streamMethods = {
    record: defineFrequentPeerMethod<z.infer<typeof recordRequest>, Record<string, never>>(
        "streams.record",
        recordRequest,
    ),
    find: defineFrequentPeerMethod<z.infer<typeof findRequest>, FindReply>("streams.find", findRequest),
};
