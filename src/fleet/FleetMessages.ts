/** Messages between hosts of a fleet: entry hosts to control hosts, and control hosts among themselves. */
import { createHash } from "node:crypto";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";
import type { DataCentreId, HostId, Incarnation } from "../common/Types.js";
import { definePeerMethod } from "../peer/Types.js";
import type { ListedEndpoint } from "./Types.js";

const hostId = z.string() as unknown as z.ZodType<HostId>;
const dataCentreId = z.string() as unknown as z.ZodType<DataCentreId>;
const incarnation = z.number() as unknown as z.ZodType<Incarnation>;

const heardHost = z.object({
    host: hostId,
    dataCentre: dataCentreId,
    incarnation,
    /** For how long it has not been heard. */
    silentMs: z.number(),
    /** True once it has been told to stop. */
    isLeaving: z.boolean(),
});

/** What the asking host holds already; parts with an equal tag are left out of the reply. */
const heldTags = z.object({
    config: z.number(),
    endpoints: z.string(),
    hosts: z.string(),
    marks: z.string(),
});

const syncRequest = z.object({
    host: hostId,
    dataCentre: dataCentreId,
    incarnation,
    isLeaving: z.boolean(),
    held: heldTags,
    /** The reply may wait this long for something new. */
    waitMs: z.number(),
    /** Fingerprints of requests that were running where an endpoint has crashed. */
    crashes: z.array(z.string()),
});

const boardRequest = z.object({
    control: hostId,
    hosts: z.array(heardHost),
    endpointsTag: z.string(),
});

const joinRequest = z.object({ control: hostId });

export type EntryHostStatus = z.infer<typeof heardHost>;
export type HeldTags = z.infer<typeof heldTags>;
export type SyncRequest = z.infer<typeof syncRequest>;
export type LeaderSyncRequest = z.infer<typeof boardRequest>;
type JoinRequest = z.infer<typeof joinRequest>;

/** A list of endpoints with the age that it had when the message was sent. */
export interface AgedEndpoints {
    readonly tag: string;
    readonly endpoints: readonly ListedEndpoint[];
    readonly ageMs: number;
}

export interface SyncReply {
    /** For how long the control host has not known its state to be the newest; undefined when it never has. */
    readonly ageMs: number | undefined;
    /** How long the request was held back. */
    readonly heldMs: number;
    readonly controls: readonly HostId[];
    /** Packed text of the configuration. */
    readonly config?: { readonly version: number; readonly packed: string; };
    readonly endpoints?: AgedEndpoints;
    readonly endpointsAgeMs: number;
    readonly hosts?: { readonly tag: string; readonly hosts: readonly EntryHostStatus[]; };
    readonly marks?: {
        readonly tag: string;
        readonly dataCentresOut: readonly string[];
        readonly quarantined: readonly string[];
    };
}

export type LeaderSyncReply =
    | {
        readonly kind: "board";
        /** A host that has applied this entry knew the newest state when it sent its request. */
        readonly commitIndex: number;
        readonly hosts: readonly EntryHostStatus[];
        readonly endpoints?: AgedEndpoints;
        readonly endpointsAgeMs: number;
    }
    | { readonly kind: "not-leader"; };

export interface JoinReply {
    /** True when the leader has taken note. */
    readonly noted: boolean;
    readonly leader: HostId | undefined;
}

export const fleetMethods = {
    sync: definePeerMethod<SyncRequest, SyncReply>("fleet.sync", syncRequest),
    board: definePeerMethod<LeaderSyncRequest, LeaderSyncReply>("fleet.board", boardRequest),
    join: definePeerMethod<JoinRequest, JoinReply>("fleet.join", joinRequest),
};

/** A short name for a value: equal values have equal tags. */
export function tagOf(value: unknown): string {
    return createHash("sha1").update(JSON.stringify(value)).digest("base64").slice(0, 12);
}

/** Text in the shorter form that it travels in. */
export function compressText(text: string): string {
    return deflateRawSync(text).toString("base64");
}

export function decompressText(packed: string): string {
    return inflateRawSync(Buffer.from(packed, "base64")).toString("utf8");
}
