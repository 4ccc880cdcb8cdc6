/**
 * Schema of the settings, as the merged result of base file and overlays. Unknown keys are errors. Times are in
 * milliseconds and sizes in bytes, as the names say. The section `daemon` belongs to one process and is not allowed in
 * a committed document.
 */
import * as z from "zod";
import type { DataCentreId, EndpointId, HostId, ModelId, PipelineId, StageId, WorkspaceId } from "../common/Types.js";

const idText = z.string().regex(
    /^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$/,
    "must be 1 to 128 letters, digits, '.', '_', ':' or '-', and start with a letter or digit",
);

function brandedId<T>() {
    return idText as unknown as z.ZodType<T, string>;
}

/** An address of the form "127.0.0.1:8080": IP addresses only, since host names are not resolved. */
const address = z.string().regex(
    /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$/,
    "must be an IP address and a port, such as 127.0.0.1:8080",
);
const milliseconds = z.number().int().min(1).max(86_400_000);

const host = z.strictObject({
    dataCentre: brandedId<DataCentreId>(),
    /** Address for callers and the load balancer. */
    callerAddress: address,
    /** Address for peers and operators. */
    peerAddress: address,
    /** Whether the host keeps replicas of the durable state. */
    control: z.enum(["voter", "learner", "none"]).default("none"),
});

const endpoint = z.strictObject({
    dataCentre: brandedId<DataCentreId>(),
    address,
    kind: z.enum(["engine", "encoder", "retriever", "reranker", "service"]),
    pool: idText,
    models: z.array(brandedId<ModelId>()).default([]),
    /** Maximum number of calls in flight while the endpoint is cold. */
    coldLimit: z.number().int().min(1).max(10_000).default(1),
    /** Maximum number of calls in flight while the endpoint is warm. */
    warmLimit: z.number().int().min(1).max(10_000),
    reportsLoad: z.boolean().default(true),
    /** Whether the endpoint refuses orders with an outdated fencing token. */
    checksFencing: z.boolean().default(false),
});

const stage = z.strictObject({
    name: brandedId<StageId>(),
    /** Pool of the endpoints that can run this stage. */
    pool: idText,
    model: brandedId<ModelId>().optional(),
    /** A stage that is not idempotent runs at most once for a request. */
    idempotent: z.boolean().default(true),
    /** Whether the output is streamed to the caller as it arrives; only for the last stage. */
    stream: z.boolean().default(false),
    hedge: z.boolean().default(false),
});

const pipeline = z.strictObject({
    deadlineMs: milliseconds,
    /** 0 is the highest priority; 2 is for overnight jobs. */
    priority: z.union([z.literal(0), z.literal(1), z.literal(2)]).default(1),
    stages: z.array(stage).min(1).max(12),
});

const workspace = z.strictObject({
    /** Relative share of the capacity while it is scarce. */
    weight: z.number().min(0.01).max(1000).default(1),
    /** Maximum number of requests that wait or run at once on one host. */
    maxInFlight: z.number().int().min(1).max(100_000).default(1000),
});

const timing = z.strictObject({
    /** Lifetime of slot leases; also bounds how long a partitioned host continues to send calls. */
    slotLeaseMs: milliseconds.default(2000),
    /** Bound on how far two monotonic clocks drift apart within one lease. */
    clockDriftMs: milliseconds.default(50),
    heartbeatMs: milliseconds.default(250),
    /** Silence after which a host counts as unreachable. */
    unreachableMs: milliseconds.default(1200),
    /** Timeouts for the first byte of a reply, and for a gap within it. */
    firstByteMs: milliseconds.default(30_000),
    gapMs: milliseconds.default(5000),
    connectMs: milliseconds.default(1000),
    /** How long a stopping daemon continues to serve, since the load balancer notices the stop late. */
    balancerLagMs: milliseconds.default(2000),
    /** Total time limit of a planned stop. */
    stopGraceMs: milliseconds.default(30_000),
    peerTimeoutMs: milliseconds.default(1000),
    /** Election timeout, and interval of the leader's heartbeats, of the replicated groups. */
    electionMs: milliseconds.default(1200),
    groupHeartbeatMs: milliseconds.default(400),
    /** Retention of claim outcomes, and of job results. */
    claimRetentionMs: z.number().int().min(1000).default(86_400_000),
    jobRetentionMs: z.number().int().min(1000).default(604_800_000),
    jobLeaseMs: milliseconds.default(3000),
});

const limits = z.strictObject({
    bodyBytes: z.number().int().min(1).max(1_073_741_824).default(1_048_576),
    /** Maximum number of requests that wait for a slot on one host. */
    queuedRequests: z.number().int().min(1).max(1_000_000).default(2000),
    /** Maximum number of retries and hedges, as a share of first calls. */
    retryShare: z.number().min(0).max(1).default(0.2),
    claimsPerWorkspace: z.number().int().min(1).max(10_000_000).default(100_000),
    jobsPerWorkspace: z.number().int().min(1).max(1_000_000).default(10_000),
});

const platform = z.strictObject({
    hostListAddress: address.optional(),
    weightStoreAddress: address.optional(),
    /** Bytes per second that the weight store serves to all engines of a data centre together. */
    weightStoreBytesPerSecond: z.number().int().min(1).default(1_000_000_000),
});

/** Settings of one process; they come from its own files and are not replicated. */
const daemon = z.strictObject({
    host: brandedId<HostId>(),
    /** Directory for durable state; required for voters and learners. */
    dataDir: z.string().min(1).optional(),
    /** File with the key that operators send; without it the operators' API is disabled. */
    operatorKeyFile: z.string().min(1).optional(),
    /** File with the key that hosts send to each other. */
    peerKeyFile: z.string().min(1).optional(),
    logFile: z.string().min(1).optional(),
    /** Addresses to dial instead of the configured ones, by host or endpoint; for relays in tests. */
    dial: z.record(idText, address).default({}),
});

export const settingsSchema = z.strictObject({
    name: idText,
    dataCentres: z.record(idText, z.strictObject({ region: idText })),
    hosts: z.record(idText, host),
    endpoints: z.record(idText, endpoint),
    models: z.record(idText, z.strictObject({ bytes: z.number().int().min(1), version: idText })).default({}),
    pipelines: z.record(idText, pipeline),
    workspaces: z.record(idText, workspace),
    platform: platform.default({ weightStoreBytesPerSecond: 1_000_000_000 }),
    timing: timing.prefault({}),
    limits: limits.prefault({}),
    daemon: daemon.optional(),
});

type RawSettings = z.infer<typeof settingsSchema>;
export type HostSettings = z.infer<typeof host>;
export type EndpointSettings = z.infer<typeof endpoint>;
export type StageSettings = z.infer<typeof stage>;
export type PipelineSettings = z.infer<typeof pipeline>;
export type WorkspaceSettings = z.infer<typeof workspace>;
export type TimingSettings = z.infer<typeof timing>;
export type LimitSettings = z.infer<typeof limits>;
export type DaemonSettings = z.infer<typeof daemon>;

/** Checked settings. The keys of each record are ids of the named kind. */
export interface Settings
    extends
        Omit<RawSettings, "dataCentres" | "hosts" | "endpoints" | "models" | "pipelines" | "workspaces" | "daemon"> {
    readonly dataCentres: Readonly<Record<DataCentreId, { readonly region: string; }>>;
    readonly hosts: Readonly<Record<HostId, HostSettings>>;
    readonly endpoints: Readonly<Record<EndpointId, EndpointSettings>>;
    readonly models: Readonly<Record<ModelId, { readonly bytes: number; readonly version: string; }>>;
    readonly pipelines: Readonly<Record<PipelineId, PipelineSettings>>;
    readonly workspaces: Readonly<Record<WorkspaceId, WorkspaceSettings>>;
    readonly daemon?: DaemonSettings | undefined;
}
