/**
 * Messages between a holder of slots and the owner of an endpoint.
 *
 * Messages carry states rather than changes, so that a lost, duplicated or reordered message does no harm. With each
 * `exchange` the holder declares the number of slots that it won't exceed (`held`) until the answer to this message, or
 * a later push for it, allows a different number. The owner counts the larger of the declared and the granted number.
 */
import * as z from "zod";
import type { EndpointId, HostId } from "../common/Types.js";
import { definePeerMethod, type PeerMethod } from "../peer/Types.js";
import type { EndpointState, HolderIdentity } from "./Types.js";

/** Results of the calls that ended since the last message; the counts are named after the values of `CallEnd`. */
const evidenceSchema = z.object({
    /** The owner's era in which the calls that succeeded began. */
    era: z.number(),
    succeeded: z.number().int(),
    overloaded: z.number().int(),
    cold: z.number().int(),
    lost: z.number().int(),
    crashed: z.number().int(),
    refused: z.number().int(),
    leaving: z.number().int(),
    /** First-byte times in milliseconds; a small sample. */
    firstByteMs: z.array(z.number()),
    /** Identity of the endpoint's process in the latest reply. */
    incarnation: z.string().optional(),
});

const entrySchema = z.object({
    endpoint: z.string(),
    /** Increases with each message about this endpoint. */
    seq: z.number().int(),
    /** Slots that the holder won't exceed until it is allowed a different number; never below `inUse`. */
    held: z.number().int().min(0),
    inUse: z.number().int().min(0),
    /** Total number of slots wanted, including those in use. */
    want: z.number().int().min(0),
    /** Requests that wait for a slot. */
    waiting: z.number().int().min(0),
    /** Priority of the first waiting request. */
    priority: z.number().int(),
    /** Time until the first waiting request's deadline, in milliseconds. */
    deadlineInMs: z.number(),
    /** Time by which all calls of this holder have ended, in milliseconds from now. */
    callBoundMs: z.number(),
    evidence: evidenceSchema.optional(),
    /** True when a request waits for exclusive use of the endpoint. */
    wantsExclusive: z.boolean().optional(),
    /** True when the only slot in use belongs to such a request. */
    exclusive: z.boolean().optional(),
    /** State of the endpoint by the former owner's latest answer; sent with the first message to a new owner. */
    believed: z.object({
        state: z.enum(["cold", "warming", "warm", "suspect", "leaving", "out"]),
        limit: z.number().int(),
        ageMs: z.number(),
        /** Time since the last success that this holder has seen, in milliseconds. */
        provenAgeMs: z.number(),
        incarnation: z.string().optional(),
    }).optional(),
});

const holderSchema = z.object({ host: z.string(), incarnation: z.number() });

const exchangeSchema = z.object({ holder: holderSchema, entries: z.array(entrySchema) });

const pushSchema = z.object({
    endpoint: z.string(),
    seq: z.number().int(),
    grantNo: z.number().int(),
    granted: z.number().int(),
    covered: z.number().int(),
    scarce: z.boolean(),
    exclusive: z.boolean(),
    incarnation: z.number(),
});

export type SlotEvidence = z.infer<typeof evidenceSchema>;
export type SlotEntry = z.infer<typeof entrySchema> & { readonly endpoint: EndpointId; };

export interface SlotExchange {
    readonly holder: HolderIdentity;
    readonly entries: readonly SlotEntry[];
}

export type SlotAnswer =
    | {
        readonly kind: "granted";
        readonly endpoint: EndpointId;
        readonly seq: number;
        /** Increases with each answer and push for the same `seq`; the highest one counts. */
        readonly grantNo: number;
        /** Total number of slots allowed, including those in use. */
        readonly granted: number;
        /** Number of slots in use on which a call may still begin. */
        readonly covered: number;
        /** The holder counts the lease from the time at which it sent the request. */
        readonly leaseMs: number;
        readonly state: EndpointState;
        readonly limit: number;
        /** Changes whenever the endpoint is considered cold; successes of calls begun before then don't count. */
        readonly era: number;
        /** True when other holders wait; idle slots are returned at once then. */
        readonly scarce: boolean;
        /** True when the endpoint is reserved for one call of this holder. */
        readonly exclusive: boolean;
        /** The endpoint's latest load report, with its age in milliseconds. */
        readonly reported: { readonly running: number; readonly waiting: number; readonly ageMs: number; } | undefined;
    }
    | { readonly kind: "not-owner"; readonly endpoint: EndpointId; readonly owner: HostId | undefined; };

export interface SlotExchangeReply {
    readonly answers: readonly SlotAnswer[];
}

/** Changes the number of granted slots between two exchanges; fields have the meaning they have in an answer. */
export interface SlotPush {
    readonly endpoint: EndpointId;
    readonly seq: number;
    readonly grantNo: number;
    readonly granted: number;
    readonly covered: number;
    readonly scarce: boolean;
    /** True when the endpoint is reserved for one call of this holder. */
    readonly exclusive: boolean;
    /** Incarnation of the holder that the push is for. */
    readonly incarnation: number;
}

export const slotExchange: PeerMethod<SlotExchange, SlotExchangeReply> = definePeerMethod(
    "endpoints.exchange",
    exchangeSchema as unknown as z.ZodType<SlotExchange>,
);

export const slotPush: PeerMethod<SlotPush, undefined> = definePeerMethod(
    "endpoints.push",
    pushSchema as unknown as z.ZodType<SlotPush>,
);

/** Answer to a new owner, which asks for a host's calls in flight once the former owner's leases have expired. */
export interface SlotClaim {
    readonly incarnation: number;
    readonly inUse: number;
}

export const slotClaim: PeerMethod<{ readonly endpoint: EndpointId; }, SlotClaim> = definePeerMethod(
    "endpoints.claim",
    z.object({ endpoint: z.string() }) as unknown as z.ZodType<{ readonly endpoint: EndpointId; }>,
);
