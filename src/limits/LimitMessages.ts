/**
 * Messages between entry hosts about permits for requests to endpoints that limit their request rate, and about places
 * at brittle endpoints.
 */
import * as z from "zod";
import type { DataCentreId, EndpointId } from "../common/Types.js";
import { defineFrequentPeerMethod } from "../peer/Types.js";

const permitRequest = z.object({
    endpoint: z.string() as unknown as z.ZodType<EndpointId>,
    /** Data centre of the endpoint. */
    dataCentre: z.string() as unknown as z.ZodType<DataCentreId>,
    /** Priority of the request; 0 is the highest. */
    priority: z.number(),
    /** The limit that the requesting host knows, in requests per second over all hosts. */
    perSecond: z.number(),
    /** Age of the reply that stated it. */
    ageMs: z.number(),
    /** True when the request was denied a permit before, at this or another endpoint. */
    wasDenied: z.boolean().optional(),
});

export type PermitRequest = z.infer<typeof permitRequest>;

export type PermitReply =
    | { readonly kind: "lent"; }
    /** The endpoint has meanwhile ended its limit. */
    | { readonly kind: "unlimited"; readonly ageMs: number; }
    | {
        readonly kind: "denied";
        /** Time until the next permit for this priority, unless another host gets it. */
        readonly waitMs: number;
        /** Time after which a caller is likely to get one, behind those that were denied before it. */
        readonly retryAfterMs: number;
    }
    /** The replying host does not lend the endpoint's permits. */
    | { readonly kind: "not-lender"; };

const placeRequest = z.object({
    endpoint: z.string() as unknown as z.ZodType<EndpointId>,
    /** Data centre of the endpoint. */
    dataCentre: z.string() as unknown as z.ZodType<DataCentreId>,
    /** Requests that the endpoint runs at the same time. */
    slots: z.number(),
    /** The place ends by itself after this time. */
    holdMs: z.number(),
    /** Requests that the endpoint can turn away in a second, as the requesting host knows. */
    perSecond: z.number(),
    /** Age of the reply that stated it. */
    ageMs: z.number(),
});

export type PlaceRequest = z.infer<typeof placeRequest>;

export type PlaceReply =
    | { readonly kind: "lent"; readonly place: string; }
    /** The endpoint is no longer brittle. */
    | { readonly kind: "unlimited"; readonly ageMs: number; }
    | { readonly kind: "denied"; readonly waitMs: number; }
    /** The replying host does not lend the endpoint's places. */
    | { readonly kind: "not-lender"; };

const placeReturn = z.object({
    endpoint: z.string() as unknown as z.ZodType<EndpointId>,
    place: z.string(),
    /** True when the endpoint had no room for the request. */
    wasTurnedAway: z.boolean(),
});

export type PlaceReturn = z.infer<typeof placeReturn>;

export const limitMethods = {
    /** Requests a place at an endpoint, which the host holds until it returns it. */
    place: defineFrequentPeerMethod<PlaceRequest, PlaceReply>("limits.place", placeRequest),
    returnPlace: defineFrequentPeerMethod<PlaceReturn, Record<string, never>>("limits.return", placeReturn),
    /** Requests a permit for one request to an endpoint. It is to be used at once. */
    permit: defineFrequentPeerMethod<PermitRequest, PermitReply>("limits.permit", permitRequest),
};
