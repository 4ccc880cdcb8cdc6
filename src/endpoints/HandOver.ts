/** Message by which an owner hands an endpoint over to the next owner; times are sent as durations. */
import * as z from "zod";
import type { EndpointId } from "../common/Types.js";
import { definePeerMethod, type PeerMethod } from "../peer/Types.js";
import type { HealthRecord } from "./EndpointHealth.js";
import type { OwnedEndpoint } from "./OwnedEndpoint.js";
import type { HolderRecord } from "./SlotLedger.js";
import type { HolderIdentity } from "./Types.js";

const recordSchema = z.object({
    holder: z.object({ host: z.string(), incarnation: z.number() }),
    seq: z.number().int(),
    grantNo: z.number().int(),
    counted: z.number().int(),
    allowed: z.number().int(),
    covered: z.number().int(),
    inUse: z.number().int(),
    want: z.number().int(),
    waiting: z.number().int(),
    priority: z.number().int(),
    wantsExclusive: z.boolean(),
    exclusive: z.boolean(),
    deadlineInMs: z.number(),
    expiresInMs: z.number(),
    callsEndInMs: z.number(),
});

const handOverSchema = z.object({
    endpoint: z.string(),
    health: z.object({ state: z.string(), limit: z.number(), incarnation: z.string().optional() }),
    orphans: z.number().int(),
    records: z.array(recordSchema),
});

type HandOverRecord = Omit<z.infer<typeof recordSchema>, "holder"> & { readonly holder: HolderIdentity; };

export interface HandOver {
    readonly endpoint: EndpointId;
    readonly health: HealthRecord;
    /** Slots that count although their holder is gone or unknown. */
    readonly orphans: number;
    readonly records: readonly HandOverRecord[];
}

/** Returns true once the receiver owns the endpoint and has adopted the records. */
export const handOver: PeerMethod<HandOver, boolean> = definePeerMethod(
    "endpoints.hand-over",
    handOverSchema as unknown as z.ZodType<HandOver>,
);

/** Creates the hand-over message; converts times on the local clock to durations from `nowMs`. */
export function packHandOver(endpoint: OwnedEndpoint, nowMs: number): HandOver {
    const records = endpoint.ledger.holders.map(record => ({
        holder: record.holder,
        seq: record.seq,
        grantNo: record.grantNo,
        counted: record.counted,
        allowed: record.allowed,
        covered: record.covered,
        inUse: record.inUse,
        want: record.want,
        waiting: record.waiting,
        priority: record.priority,
        wantsExclusive: record.wantsExclusive,
        exclusive: record.exclusive,
        deadlineInMs: record.deadlineMs - nowMs,
        expiresInMs: record.expiresAtMs - nowMs,
        callsEndInMs: record.callsEndMs - nowMs,
    }));
    return { endpoint: endpoint.id, health: endpoint.health.toRecord(), orphans: endpoint.ledger.orphaned, records };
}

/** Returns the records of a hand-over; converts durations to times on the local clock. */
export function unpackRecords(message: HandOver, nowMs: number): HolderRecord[] {
    return message.records.map(({ deadlineInMs, expiresInMs, callsEndInMs, ...rest }) => ({
        ...rest,
        deadlineMs: nowMs + deadlineInMs,
        expiresAtMs: nowMs + expiresInMs,
        callsEndMs: nowMs + callsEndInMs,
        recalled: false,
        toldScarce: false,
    }));
}
