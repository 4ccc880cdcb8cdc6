/**
 * Types for the shared state of a fleet: the configuration of the deployment, the endpoints that the platform lists,
 * the live hosts, the data centres taken out of use, and the requests known to crash endpoints. Control hosts agree on
 * this state or collect it, and entry hosts follow it. A platform adapter decodes external documents.
 */
import type { Either } from "purify-ts";
import type {
    Brand,
    DataCentreId,
    EndpointAddress,
    EndpointId,
    Event,
    HostId,
    Incarnation,
    RouteId,
    ServiceId,
    WorkspaceId,
} from "../common/Types.js";
import type { EndpointLimit } from "../endpoints/EndpointLimits.js";
import type { RolloutBounds, RolloutView } from "../rollouts/Types.js";
import type { Statement } from "./StatementReports.js";

export type { RouteId, ServiceId } from "../common/Types.js";

/** Identifies a part of prompts: service, model and the part's id. */
export type PartKey = Brand<string, "PartKey">;

/**
 * How a request of a route may be repeated: "idempotent" may run more than once, "once" at most once; a "resumable"
 * stream may continue at another endpoint after the last delivered event, a "stream" may not.
 */
export type RequestKind = "idempotent" | "once" | "stream" | "resumable";

export interface RouteStage {
    readonly service: ServiceId;
    /** Indexes of the stages whose results it uses. */
    readonly after: readonly number[];
    /** Approximate size of one result. */
    readonly resultBytes: number;
}

interface RouteTarget {
    readonly service: ServiceId;
    readonly weight: number;
}

export interface Route {
    readonly id: RouteId;
    /** Host header that it matches, in lower case. */
    readonly host: string;
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Maximum time to the complete answer. */
    readonly timeoutMs: number;
    /** Latency objective: time to the complete answer, or to the first event of a stream. */
    readonly objectiveMs: number;
    /** Longest pause between two events of a stream that its callers accept; undefined when not stated. */
    readonly gapMs?: number | undefined;
    /** 0 is the highest priority. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of endpoints on which one request may run. */
    readonly maxEndpoints: number;
    readonly stages: readonly RouteStage[];
    /** True when requests need no key. */
    readonly isPublic: boolean;
}

/** Batching properties of the endpoints of a stage's service. */
export interface BatchTraits {
    /** Number of calls that an endpoint runs at the same time. */
    readonly slots: number;
    /** Maximum number of pieces of one call. */
    readonly batch: number;
    /** Fixed duration of a call, and additional duration for each piece. */
    readonly callMs: number;
    readonly pieceMs: number;
    /** Capacity of the result storage of one endpoint. */
    readonly resultRoomBytes: number;
    /** How long a result is kept unless it is freed before. */
    readonly resultKeptMs: number;
}

export interface Service {
    readonly id: ServiceId;
    /** Path of the endpoints' status check. */
    readonly statusPath: string;
    /** How long an endpoint is cold after its start; 0 for services without a cold start. */
    readonly coldMs: number;
    /** Number of requests per second that a cold endpoint can handle. */
    readonly coldPerSecond: number;
    /** Undefined for services that run no pieces of stages. */
    readonly pieces: BatchTraits | undefined;
}

export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface Workspace {
    readonly id: WorkspaceId;
    /** Replaces the priority of the route, if set. */
    readonly priority: number | undefined;
}

/** A complete configuration of the deployment. The highest version is in force. */
export interface Deployment {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<ServiceId, Service>;
    readonly limits: CallerLimits;
    /** Workspaces by key; undefined when no request needs a key. */
    readonly workspaces: ReadonlyMap<string, Workspace> | undefined;
}

/** Why a document was rejected. */
export interface DocumentFault {
    readonly kind: "invalid-document";
    readonly message: string;
}

/** Decodes a configuration as sent by operators. */
export interface DeploymentDecoder {
    decode(text: string): Either<DocumentFault, Deployment>;
}

/** One start of an endpoint, as listed by the platform. */
export interface ListedEndpoint {
    /** Identifies this start of the endpoint; a restart gets another id. */
    readonly id: EndpointId;
    /** The endpoint's own name; it refuses requests that expect another instance. */
    readonly instance: string;
    readonly service: ServiceId;
    readonly address: EndpointAddress;
    readonly dataCentre: DataCentreId;
    /** Version of its software, which other services may use for another software; undefined when the list has none. */
    readonly version?: string | undefined;
    readonly slots: number;
    /** True while it drains before its end; it must get no new requests. */
    readonly isLeaving: boolean;
    /** Remaining time of the cold start when the list was read. */
    readonly coldLeftMs: number;
}

export interface EndpointList {
    readonly endpoints: readonly ListedEndpoint[];
    /** The entries that name no endpoint. */
    readonly faults: readonly EntryFault[];
}

/** An entry of a list that names no endpoint. */
export interface EntryFault {
    /** Its name, or its first characters. */
    readonly entry: string;
    /** The fields that can't be read, or why the whole entry can't be. */
    readonly cause: string;
}

export type ListError =
    /** The platform refused the read because of its rate. */
    | { readonly kind: "too-many-reads"; readonly message: string; }
    | { readonly kind: "unreadable"; readonly message: string; };

/** Reads the platform's complete list of endpoints. */
export interface EndpointListSource {
    read(signal: AbortSignal): Promise<Either<ListError, EndpointList>>;
}

/** An entry host as the control hosts know it. */
export interface EntryHost {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: Incarnation;
    /** False once it has been silent for a while; it may still be running and using its quotas. */
    readonly isLive: boolean;
}

/** The state of the fleet as known to an entry host. */
export interface FleetView {
    /** Undefined until a configuration is known. */
    readonly deployment: Deployment | undefined;
    readonly endpoints: readonly ListedEndpoint[];
    /** When the list was read, on the local clock. */
    readonly endpointsReadMs: number;
    readonly hosts: readonly EntryHost[];
    readonly dataCentresOut: ReadonlySet<DataCentreId>;
    /** Fingerprints of requests that must not be sent to an endpoint again. */
    readonly quarantined: ReadonlySet<string>;
    /** Parts of prompts with which endpoints have crashed, until an answer on them is reported as completed. */
    readonly suspectedParts: ReadonlySet<PartKey>;
    /** Parts of prompts that crash endpoints; requests with them must not be sent to an endpoint. */
    readonly condemnedParts: ReadonlySet<PartKey>;
    /** Data centres that several hosts of this host's data centre can't reach. */
    readonly cutOff: ReadonlySet<DataCentreId>;
    /** What endpoints have stated of their limits to any host; times on the local clock. */
    readonly limits: ReadonlyMap<EndpointId, EndpointLimit>;
    /** How many requests endpoints that are brittle can turn away, as they have stated to any host. */
    readonly brittle: ReadonlyMap<EndpointId, EndpointLimit>;
    /** Endpoints that have said to any host that they are about to end. */
    readonly leaving: ReadonlySet<EndpointId>;
    /** Undefined until a control host that knows roll-outs has replied. */
    readonly rollouts?: RolloutView | undefined;
}

/** A request that was running on an endpoint when it crashed. */
export interface EndpointCrash {
    /** Of the request. */
    readonly fingerprint: string;
    readonly endpoint: EndpointId;
    /** Parts of its prompt, in order, that may be the cause. */
    readonly parts: readonly PartKey[];
}

/** What entry hosts tell of their load in a poll. */
export interface LoadReport {
    readonly report: string;
    /** Tag of the digest that the host holds; empty for none. */
    readonly held: string;
}

/** Load of all hosts, as a control host tells it. */
export interface LoadDigest {
    readonly tag: string;
    /** Left out when the host holds it. */
    readonly text?: string | undefined;
    /** Age of its figures when it was made, and the time since then. */
    readonly ageMs: number;
    readonly madeMs: number;
}

/** Load of the hosts of some control hosts; the text is as old as its oldest figure. */
export interface LoadPart {
    readonly text: string;
    readonly ageMs: number;
}

/** Reports an entry host's load with its polls and follows the fleet's. The fleet's messages carry opaque texts. */
export interface LoadReporter {
    report(): LoadReport;
    /** Takes over the digest of a reply that was held back for `heldMs`. */
    accept(digest: LoadDigest, heldMs: number): void;
}

/** Joins the load of all hosts on a control host. */
export interface LoadExchange {
    recordReport(host: HostId, text: string): void;
    /** The digest for a host that holds the one with tag `held`; undefined when nothing is known. */
    digestFor(held: string): LoadDigest | undefined;
    /** Load of this control host's own hosts, for the leader. */
    ownPart(): LoadPart | undefined;
    recordPart(control: HostId, part: LoadPart): void;
    /** Load of the hosts of all other control hosts than `control`, from the leader. */
    partFor(control: HostId): LoadPart | undefined;
    recordOthers(part: LoadPart, leader: HostId): void;
}

export interface FleetSource {
    view(): FleetView;
    readonly onChange: Event<FleetView>;
    /** Age of the view in milliseconds: the time for which a newer state may have existed. Infinity without a view. */
    ageMs(): number;
    /** Age of what the view says of roll-outs; a control host of an older build does not renew it. */
    rolloutsAgeMs(): number;
    /** Reports to the control hosts that a request was running on an endpoint when it crashed. */
    reportCrash(crash: EndpointCrash): void;
    /** Reports to the control hosts that an answer on suspected parts was completed. */
    reportSoundParts(parts: readonly PartKey[]): void;
    /** Reports to the control hosts that an endpoint in another data centre was reached, or did not answer. */
    reportReach(endpoint: Pick<ListedEndpoint, "id" | "dataCentre">, isReached: boolean): void;
    /** Reports to the control hosts what an endpoint has just stated of itself. */
    reportStatement(statement: Statement): void;
}

/** Start settings of a process of the fleet. */
export interface FleetSettings {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    readonly ip: string;
    /** Port for calls between hosts; the same on all hosts. */
    readonly peerPort: number;
    /** Addresses of the initial control hosts, "ip:port". */
    readonly seeds: readonly string[];
    /** True only when the whole fleet is started for the first time. */
    readonly isFirstStart: boolean;
    /** Number of hosts with a disk that may be lost at the same time. */
    readonly lossesBorne: number;
    /** True when requests begin only if their stages are expected to end in time; false without it. */
    readonly hasAdmission?: boolean;
    readonly bounds: FleetBounds;
    /** Undefined when none of these functions is enabled. */
    readonly gathering?: GatherPolicies | undefined;
}

/** Functions of gatherers that the settings enable. */
export interface GatherPolicies {
    /** Storage is kept for submissions that have started, and learnt from the endpoints' reports. */
    readonly reservesStorage: boolean;
    /** Calls wait for more pieces while the service is short of capacity. */
    readonly fillsCalls: boolean;
}

export interface FleetBounds {
    /** Time after its acknowledgement within which a configuration is in force everywhere. */
    readonly configApplyMs: number;
    /** Time after the acknowledgement within which a revoked key is no longer accepted anywhere. */
    readonly revokeMs: number;
    /** Time after the stop signal at which a process is killed. */
    readonly stopGraceMs: number;
    /** Retry budget of a service over all hosts in each window: a share of its requests plus a constant. */
    readonly retryShare: number;
    readonly retryWindowMs: number;
    readonly retrySlack: number;
    /** A cold endpoint's limit per second is its rate times this factor plus the slack. */
    readonly coldOverrun: number;
    readonly coldSlack: number;
    /** Undefined in a deployment without roll-outs. */
    readonly rollouts?: RolloutBounds | undefined;
}
