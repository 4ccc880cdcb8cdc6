/**
 * Messages between a holder of slots and the owner of an endpoint.
 *
 * The protocol carries states, not steps, so that a lost, doubled or reordered message does no harm. With each
 * `exchange` the holder says how many slots it will keep to (`held`) until an answer to that very message, or a later
 * push for it, allows another number. The owner counts the larger of what was held and what it has answered.
 */
import { z } from "zod";
import type { EndpointId, HostId } from "../common/Types.js";
import { definePeerMethod, type PeerMethod } from "../peer/Types.js";
import type { EndpointState, HolderIdentity } from "./Types.js";

/** What calls that ended since the last message have shown. */
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
    /** First-byte times in milliseconds, a sample of at most a few. */
    firstByteMs: z.array(z.number()),
    /** Identity of the endpoint's process in the latest reply. */
    incarnation: z.string().optional(),
});

const entrySchema = z.object({
    endpoint: z.string(),
    /** Rises with each message about this endpoint. */
    seq: z.number().int(),
    /** Slots that the holder keeps to until it is allowed another number; never below `inUse`. */
    held: z.number().int().min(0),
    inUse: z.number().int().min(0),
    /** Slots wanted in all, those in use included. */
    want: z.number().int().min(0),
    /** Requests that wait for a slot. */
    waiting: z.number().int().min(0),
    /** Of the first waiting request. */
    priority: z.number().int(),
    /** Time left until the first waiting request's deadline. */
    deadlineInMs: z.number(),
    /** No call of this holder runs longer than this, counted from now. */
    callBoundMs: z.number(),
    evidence: evidenceSchema.optional(),
    /** A request waits for the endpoint to be free of all other calls. */
    wantsExclusive: z.boolean().optional(),
    /** The one slot in use is such a request's. */
    exclusive: z.boolean().optional(),
    /** What the former owner said of the endpoint; sent with the first message to another owner. */
    believed: z.object({
        state: z.enum(["cold", "warming", "warm", "suspect", "leaving", "out"]),
        limit: z.number().int(),
        ageMs: z.number(),
        /** Since the last success that this holder has seen. */
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
        /** Rises with each answer and push for the same `seq`; the highest one counts. */
        readonly grantNo: number;
        /** Slots allowed in all, those in use included. */
        readonly granted: number;
        /** Of the slots in use, those on which a call may still begin. */
        readonly covered: number;
        /** Counted by the holder from when it sent the request. */
        readonly leaseMs: number;
        readonly state: EndpointState;
        readonly limit: number;
        /** Changes whenever the endpoint is taken for cold; successes of calls begun before then prove nothing. */
        readonly era: number;
        /** True when other holders wait: idle slots go back at once. */
        readonly scarce: boolean;
        /** True when the endpoint is kept for one call of this holder. */
        readonly exclusive: boolean;
        readonly reported: { readonly running: number; readonly waiting: number; readonly ageMs: number; } | undefined;
    }
    | { readonly kind: "not-owner"; readonly endpoint: EndpointId; readonly owner: HostId | undefined; };

export interface SlotExchangeReply {
    readonly answers: readonly SlotAnswer[];
}

/** A change of a granted number between two exchanges. */
export interface SlotPush {
    readonly endpoint: EndpointId;
    readonly seq: number;
    readonly grantNo: number;
    readonly granted: number;
    readonly covered: number;
    readonly scarce: boolean;
    /** True when the endpoint is kept for one call of this holder. */
    readonly exclusive: boolean;
    /** Incarnation of the holder that it is meant for. */
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

/** A new owner asks a host for its calls in flight on an endpoint, once the former owner's leases have run out. */
export interface SlotClaim {
    readonly incarnation: number;
    readonly inUse: number;
}

export const slotClaim: PeerMethod<{ readonly endpoint: EndpointId; }, SlotClaim> = definePeerMethod(
    "endpoints.claim",
    z.object({ endpoint: z.string() }) as unknown as z.ZodType<{ readonly endpoint: EndpointId; }>,
);
