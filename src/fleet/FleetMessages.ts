/** Messages from entry hosts to control hosts, and between control hosts. */
import { createHash } from "node:crypto";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import * as z from "zod";
import type { DataCentreId, EndpointId, HostId, Incarnation } from "../common/Types.js";
import { definePeerMethod } from "../peer/Types.js";
import type { RolloutView } from "../rollouts/Types.js";
import type { CutReport } from "./CutReports.js";
import type { ListPart } from "./ListVersions.js";
import type { StatementReport } from "./StatementReports.js";
import type { ListedEndpoint, LoadDigest, LoadPart, PartKey } from "./Types.js";

/** Bounds on what one request may report of its prompt. */
export const maxPartsOfRequest = 8;
export const maxPartKeyLength = 256;
/** Bound on the length of a text on load; several times that of the design size with 1,300 endpoints. */
const maxLoadText = 262_144;

const hostId = z.string() as unknown as z.ZodType<HostId>;
const dataCentreId = z.string() as unknown as z.ZodType<DataCentreId>;
const incarnation = z.number() as unknown as z.ZodType<Incarnation>;

const entryHostStatus = z.object({
    host: hostId,
    dataCentre: dataCentreId,
    incarnation,
    /** Time since its last message. */
    silentMs: z.number(),
    /** True once it has been told to stop. */
    isLeaving: z.boolean(),
    /** Revision of the roll-outs that it holds; left out by a host whose build knows no roll-outs. */
    rollouts: z.number().optional(),
});

/** Tags of the parts that the requesting host holds; parts with an equal tag are left out of the reply. */
const heldTags = z.object({
    config: z.number(),
    endpoints: z.string(),
    hosts: z.string(),
    /** Tag of the data centres taken out of use and the quarantined requests. */
    marks: z.string(),
    /** Tag of the data centres that are cut off from the host's own. */
    cuts: z.string().default(""),
    /** Tag of what endpoints have stated of themselves. */
    statements: z.string().default(""),
    /** Tag of the parts of prompts that are suspected or condemned. */
    parts: z.string().default(""),
});

const partKey = z.string().max(maxPartKeyLength) as unknown as z.ZodType<PartKey>;
const partKeys = z.array(partKey).max(maxPartsOfRequest);

const partCrash = z.object({
    endpoint: z.string() as unknown as z.ZodType<EndpointId>,
    keys: partKeys,
});

const crashReports = z.object({
    /** Fingerprints of requests that were running on an endpoint when it crashed. */
    crashes: z.array(z.string()),
    /** The parts of their prompts, by endpoint. */
    partCrashes: z.array(partCrash).default([]),
});

const soundParts = z.object({ keys: partKeys });

/** Malformed load is replaced by an empty text, which its reader logs and ignores; the rest of the message counts. */
const loadText = z.string().max(maxLoadText).catch("");
const loadReport = z.object({ report: loadText, held: z.string() }).catch({ report: "", held: "" });
const loadPart = z.object({ text: loadText, ageMs: z.number() }).catch({ text: "", ageMs: 0 });

const syncRequest = z.object({
    host: hostId,
    dataCentre: dataCentreId,
    incarnation,
    isLeaving: z.boolean(),
    held: heldTags,
    /** How long the reply may be held back until something changes. */
    waitMs: z.number(),
    /** The roll-outs that the host holds, and what it reports of them; left out by a build that knows none. */
    rollouts: z.object({ revision: z.number(), services: z.unknown() }).optional(),
    ...crashReports.shape,
    /** Left out by a host of an older version. */
    load: loadReport.optional(),
});

const cutReport = z.object({
    host: hostId,
    from: dataCentreId,
    to: dataCentreId,
    endpoint: z.string(),
    isReached: z.boolean(),
    ageMs: z.number(),
}) as unknown as z.ZodType<CutReport>;

const statementReport = z.object({
    endpoint: z.string() as unknown as z.ZodType<EndpointId>,
    matter: z.enum(["limit", "brittle", "leaving"]),
    perSecond: z.number().optional(),
    ageMs: z.number(),
});

const leaderSyncRequest = z.object({
    control: hostId,
    /** Hosts that have contacted the control host since its last exchange. */
    hosts: z.array(entryHostStatus).readonly(),
    /** Tag of the list that the control host holds; the reply leaves out an equal list. */
    endpointsTag: z.string(),
    cuts: z.array(cutReport).readonly().default([]),
    statements: z.array(statementReport).readonly().default([]),
    /** Load of the hosts that poll the control host; left out by one of an older version. */
    load: loadPart.optional(),
    /** Reports of hosts on roll-outs; left out by a control host whose build knows none. */
    rollouts: z.object({ reports: z.array(z.unknown()).readonly() }).optional(),
});

const joinRequest = z.object({ control: hostId });

export type CrashReports = z.infer<typeof crashReports>;
export type EntryHostStatus = z.infer<typeof entryHostStatus>;
export type HeldTags = z.infer<typeof heldTags>;
export type SyncRequest = z.infer<typeof syncRequest>;
export type LeaderSyncRequest = z.infer<typeof leaderSyncRequest>;
type JoinRequest = z.infer<typeof joinRequest>;

/** A list of endpoints with its age when the message was sent; -1 when there is no list. */
export interface AgedEndpoints {
    readonly tag: string;
    readonly endpoints: readonly ListedEndpoint[];
    readonly ageMs: number;
}

/** The list of endpoints, or its changes, with the age of the list when the message was sent. */
export interface AgedEndpointsPart {
    readonly part: ListPart<ListedEndpoint>;
    readonly ageMs: number;
}

export interface SyncReply {
    /** Time since the control host's state was known to be the latest; undefined when it never was. */
    readonly ageMs: number | undefined;
    /** How long the reply was held back. */
    readonly heldMs: number;
    /** Control hosts that entry hosts may use. */
    readonly controls: readonly HostId[];
    /** The configuration, compressed by {@link compressText}. */
    readonly config?: { readonly version: number; readonly packed: string; };
    readonly endpoints?: AgedEndpointsPart;
    /** Age of the control host's list, also when the list is left out; -1 when there is none. */
    readonly endpointsAgeMs: number;
    readonly hosts?: ListPart<EntryHostStatus>;
    /** Data centres taken out of use and fingerprints of quarantined requests. */
    readonly marks?: {
        readonly tag: string;
        readonly dataCentresOut: readonly string[];
        readonly quarantined: readonly string[];
    };
    /** Data centres that are cut off from the requesting host's own. */
    readonly cuts?: { readonly tag: string; readonly cutOff: readonly DataCentreId[]; };
    /** The last statements of endpoints on themselves. */
    readonly statements?: { readonly tag: string; readonly all: readonly StatementReport[]; };
    readonly parts?: {
        readonly tag: string;
        readonly suspected: readonly PartKey[];
        readonly condemned: readonly PartKey[];
    };
    /** Left out while no load is known, and by a control host of an older version. */
    readonly load?: LoadDigest | undefined;
    /** Revision of the roll-outs, and they themselves if they are newer than those held; left out by an older build. */
    readonly rollouts?: { readonly revision: number; readonly view?: RolloutView; };
}

export type LeaderSyncReply =
    /** "board": the state that the leader has collected. */
    | {
        readonly kind: "board";
        /** A host that has applied this entry held the latest state as of its request. */
        readonly commitIndex: number;
        /** All known hosts other than those of the request. */
        readonly hosts: readonly EntryHostStatus[];
        readonly endpoints?: AgedEndpoints;
        readonly endpointsAgeMs: number;
        readonly cuts: readonly CutReport[];
        /** Left out by a leader of an older version. */
        readonly statements?: readonly StatementReport[];
        /** Load of the hosts of other control hosts; left out by a leader of an older version. */
        readonly load?: LoadPart | undefined;
        /** Members of the group whose builds know no roll-outs; left out by a leader whose build knows none. */
        readonly rollouts?: { readonly oldControls: readonly HostId[]; };
    }
    | { readonly kind: "not-leader"; };

export interface JoinReply {
    /** True when the replying host is the leader and has recorded the request. */
    readonly noted: boolean;
    readonly leader: HostId | undefined;
}

export const fleetMethods = {
    /** Long poll of a control host by an entry host. */
    sync: definePeerMethod<SyncRequest, SyncReply>("fleet.sync", syncRequest),
    /** Report of an entry host on a data centre that it could not reach, or has reached. */
    cut: definePeerMethod<CutReport, Record<string, never>>("fleet.cut", cutReport),
    /** Report of an entry host on what an endpoint has stated of itself in a reply. */
    statement: definePeerMethod<StatementReport, Record<string, never>>("fleet.statement", statementReport),
    /** Report of an entry host on requests that were running on an endpoint when it crashed. */
    crash: definePeerMethod<CrashReports, Record<string, never>>("fleet.crash", crashReports),
    /** Report of an entry host on suspected parts on which an answer was completed. */
    sound: definePeerMethod<z.infer<typeof soundParts>, Record<string, never>>("fleet.sound", soundParts),
    /** Exchange of collected state between a control host and the leader. */
    board: definePeerMethod<LeaderSyncRequest, LeaderSyncReply>("fleet.board", leaderSyncRequest),
    /** Request of a control host to join the control group. */
    join: definePeerMethod<JoinRequest, JoinReply>("fleet.join", joinRequest),
    /** Request of a control host that stops to be replaced in the control group; noted if there is a successor. */
    leave: definePeerMethod<JoinRequest, JoinReply>("fleet.leave", joinRequest),
};

/** A short hash of a JSON value; equal values have equal tags. */
export function tagOf(value: unknown): string {
    return createHash("sha1").update(JSON.stringify(value)).digest("base64").slice(0, 12);
}

/** Compresses a text for a message: deflate, then base64. */
export function compressText(text: string): string {
    return deflateRawSync(text).toString("base64");
}

/** Reverses {@link compressText}; throws when the text is malformed. */
export function decompressText(packed: string): string {
    return inflateRawSync(Buffer.from(packed, "base64")).toString("utf8");
}
