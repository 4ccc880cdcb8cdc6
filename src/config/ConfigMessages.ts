/** Peer methods for configuration and leases, with the schemas and types of their messages. */
import * as z from "zod";
import type { ChangeId, DataCentreId, EndpointId, HostId } from "../common/Types.js";
import { definePeerMethod } from "../peer/Types.js";
import type { LeaderReply } from "../replication/Messages.js";
import type {
    CommittedConfig,
    ConfigChange,
    ConfigChangeError,
    ConfigChangeResult,
    ConfirmedConfig,
    HostReport,
} from "./Types.js";

const hostId = z.string() as unknown as z.ZodType<HostId>;
const changeId = z.string() as unknown as z.ZodType<ChangeId>;
const version = z.number().int().min(0);
const durationMs = z.number().min(1).max(3_600_000);

/** Schema of a change between hosts and in the operators' API. */
export const configChangeSchema: z.ZodType<ConfigChange> = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("put-document"),
        id: changeId,
        document: z.string().min(1).max(128),
        baseVersion: version,
        text: z.string().max(1_048_576),
    }),
    z.object({
        kind: z.literal("set-data-centre"),
        id: changeId,
        dataCentre: z.string() as unknown as z.ZodType<DataCentreId>,
        out: z.boolean(),
    }),
    z.object({
        kind: z.literal("set-endpoint"),
        id: changeId,
        endpoint: z.string() as unknown as z.ZodType<EndpointId>,
        leaving: z.boolean(),
    }),
]);

const changeRequest = z.object({ change: configChangeSchema, timeoutMs: z.number() });

const pullRequest = z.object({
    host: hostId,
    site: z.string(),
    /** Version in force on the requesting host; 0 while there is none. */
    inForce: version,
    /** Newest version that the requesting host has, whether or not it is in force. */
    held: version,
    /** Versions of the documents that the requesting host has. */
    documents: z.record(z.string(), version),
    /** How long to wait for a newer version, in milliseconds. */
    waitMs: z.number().min(0).max(60_000),
    /** Requests a state that a quorum has confirmed, if a quorum can be reached. */
    confirm: z.boolean(),
});

const leaseRequest = z.object({
    name: z.string().min(1).max(256),
    holder: hostId,
    /** Identifies the holder's process; changes with each restart. */
    instance: z.string(),
    durationMs,
    timeoutMs: z.number(),
});
const releaseRequest = z.object({ name: z.string(), epoch: version, timeoutMs: z.number() });
const empty = z.object({});
const readRequest = z.object({ timeoutMs: z.number() });

export type ChangeRequest = z.infer<typeof changeRequest>;
export type PullRequest = z.infer<typeof pullRequest>;
export type LeaseRequest = z.infer<typeof leaseRequest>;
export type ReleaseRequest = z.infer<typeof releaseRequest>;

/** The result of a change (`answered`), or why there is no result. */
export type ChangeReply =
    | { readonly kind: "answered"; readonly result: ConfigChangeResult; }
    | ConfigChangeError;

export interface PullReply {
    /** Version of the replying host; 0 while it has none. */
    readonly version: number;
    /** False while the replying host can't tell whether its version is the newest. */
    readonly isCurrent: boolean;
    /** True when a quorum confirmed the version after the request arrived. */
    readonly isConfirmed: boolean;
    /** Set when the version is newer; contains only the documents that the requesting host lacks. */
    readonly config?: CommittedConfig | undefined;
}

/** `unreachable`: the commit was not confirmed, or the maximum number of leases is reached. */
export type LeaseReply =
    | { readonly kind: "granted"; readonly epoch: number; }
    | { readonly kind: "held"; readonly holder: HostId; readonly epoch: number; }
    | { readonly kind: "unreachable"; readonly message: string; };

/** The configuration confirmed by a quorum, or why it could not be read. */
export type ConfigReadReply =
    | { readonly kind: "read"; readonly confirmed: ConfirmedConfig; }
    | { readonly kind: "failed"; readonly message: string; };

export const changeMethod = definePeerMethod<ChangeRequest, ChangeReply>("config.change", changeRequest);
export const pullMethod = definePeerMethod<PullRequest, PullReply>("config.pull", pullRequest);
export const readMethod = definePeerMethod<{ timeoutMs: number; }, ConfigReadReply>(
    "config.read",
    readRequest,
);
export const reportsMethod = definePeerMethod<z.infer<typeof empty>, readonly HostReport[]>("config.reports", empty);
export const leaseMethod = definePeerMethod<LeaseRequest, LeaderReply<LeaseReply>>("config.lease", leaseRequest);
export const releaseMethod = definePeerMethod<ReleaseRequest, LeaderReply<{ readonly kind: "released"; }>>(
    "config.release",
    releaseRequest,
);
