/**
 * What the hosts of a fleet believe in common: the deployment's configuration, the endpoints that the platform lists,
 * the hosts that live, data centres taken out, and requests known to crash endpoints. Control hosts agree on it or
 * gather it, and entry hosts take it from them. Documents from outside are decoded by an adapter.
 */
import type { Either } from "purify-ts";
import type { Brand, DataCentreId, EndpointId, Event, HostId, Incarnation, WorkspaceId } from "../common/Types.js";

export type ServiceId = Brand<string, "ServiceId">;
export type RouteId = Brand<string, "RouteId">;

/**
 * What a request of a route may bear: "idempotent" may run more than once, "once" at most once; a "resumable" stream
 * may go on elsewhere after the last event that was delivered, a "stream" may not.
 */
export type RequestKind = "idempotent" | "once" | "stream" | "resumable";

export interface RouteStage {
    readonly service: ServiceId;
    /** Numbers of the stages whose results it takes. */
    readonly after: readonly number[];
    /** Size of one result, approximately. */
    readonly resultBytes: number;
}

interface RouteTarget {
    readonly service: ServiceId;
    readonly weight: number;
}

export interface Route {
    readonly id: RouteId;
    /** Host header that it answers, in lower case. */
    readonly host: string;
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Latency objective: to the whole answer, or to the first event of a stream. */
    readonly objectiveMs: number;
    /** 0 goes first. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Endpoints to which one request may be sent at most. */
    readonly maxEndpoints: number;
    readonly stages: readonly RouteStage[];
    /** True when a request needs no key. */
    readonly isPublic: boolean;
}

/** How endpoints of a stage's service work. */
export interface BatchTraits {
    /** Calls that run at one time. */
    readonly slots: number;
    /** Pieces of one call at most. */
    readonly batch: number;
    readonly callMs: number;
    readonly pieceMs: number;
    readonly resultRoomBytes: number;
    /** A result is kept for this long unless it is freed before. */
    readonly resultKeptMs: number;
}

export interface Service {
    readonly id: ServiceId;
    /** An endpoint that has just started is cold for this long; 0 for services without cold start. */
    readonly coldMs: number;
    /** Requests that a cold endpoint bears in one second. */
    readonly coldPerSecond: number;
    /** Undefined for services that run no stage pieces. */
    readonly pieces: BatchTraits | undefined;
}

interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

export interface Workspace {
    readonly id: WorkspaceId;
    readonly priority: number | undefined;
}

/** One whole configuration of the deployment. The highest version is in force. */
export interface Deployment {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: ReadonlyMap<ServiceId, Service>;
    readonly limits: CallerLimits;
    /** Workspaces by key; undefined when no request needs a key. */
    readonly workspaces: ReadonlyMap<string, Workspace> | undefined;
}

/** Why a document can't be used. */
export interface DocumentFault {
    readonly kind: "invalid-document";
    readonly message: string;
}

/** Reads a configuration as operators send it. */
export interface DeploymentDecoder {
    decode(text: string): Either<DocumentFault, Deployment>;
}

/** One start of an endpoint, as the platform lists it. */
export interface ListedEndpoint {
    /** Names this start of the endpoint only. */
    readonly id: EndpointId;
    /** What the endpoint calls itself; requests that expect another one are not run there. */
    readonly instance: string;
    readonly service: ServiceId;
    /** "ip:port". */
    readonly address: string;
    readonly dataCentre: DataCentreId;
    readonly slots: number;
    readonly isLeaving: boolean;
    /** How much longer it is cold, as of the reading of the list. */
    readonly coldLeftMs: number;
}

export interface EndpointList {
    readonly endpoints: readonly ListedEndpoint[];
    /** Entries that could not be read. */
    readonly unreadable: number;
}

export type ListError =
    /** The platform asks for fewer readings. */
    | { readonly kind: "too-many-reads"; readonly message: string; }
    | { readonly kind: "unreadable"; readonly message: string; };

/** Reads the platform's list of endpoints, all pages of it. */
export interface EndpointListSource {
    read(signal: AbortSignal): Promise<Either<ListError, EndpointList>>;
}

/** An entry host as the control hosts know it. */
export interface EntryHost {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: Incarnation;
    /** False once it has not been heard for a while; it may go on with its share of limits. */
    readonly isLive: boolean;
}

/** What an entry host works by. */
export interface FleetView {
    /** Undefined until a configuration is known. */
    readonly deployment: Deployment | undefined;
    readonly endpoints: readonly ListedEndpoint[];
    /** When the entries of the list were read, on the local clock. */
    readonly endpointsReadMs: number;
    readonly hosts: readonly EntryHost[];
    readonly dataCentresOut: ReadonlySet<DataCentreId>;
    /** Fingerprints of requests that are not to reach an endpoint again. */
    readonly quarantined: ReadonlySet<string>;
}

export interface FleetSource {
    view(): FleetView;
    readonly onChange: Event<FleetView>;
    /** For how long nothing newer than the view can have been agreed on, in milliseconds. */
    ageMs(): number;
    /** Tells the control hosts that a request was running where an endpoint crashed. */
    reportCrash(fingerprint: string): void;
}

/** Settings that a process of the fleet is started with. */
export interface FleetSettings {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    readonly ip: string;
    /** Port for calls between hosts, the same on all. */
    readonly peerPort: number;
    /** Addresses of control hosts to begin with, "ip:port". */
    readonly seeds: readonly string[];
    /** True only when the whole fleet starts for the first time. */
    readonly isFirstStart: boolean;
    /** Hosts with a disk that may be lost at one time. */
    readonly lossesBorne: number;
    readonly bounds: FleetBounds;
}

export interface FleetBounds {
    /** A configuration is in force everywhere this long after its acknowledgement. */
    readonly configApplyMs: number;
    /** A key that was taken away opens nothing this long after the acknowledgement. */
    readonly revokeMs: number;
    /** A process is killed this long after it was told to stop. */
    readonly stopGraceMs: number;
    /** Repeats of requests to one service, over all hosts and in each window: a share of the requests and a constant. */
    readonly retryShare: number;
    readonly retryWindowMs: number;
    readonly retrySlack: number;
    /** A cold endpoint's limit in one second is its rate times this, plus the slack. */
    readonly coldOverrun: number;
    readonly coldSlack: number;
}
