/**
 * Types for endpoints: their state, the slots that limit concurrent calls from all hosts, and the clients that send
 * stage calls. A slot is the right to have one call in flight on one endpoint; no call is sent without a live slot.
 */
import type { Either } from "purify-ts";
import type { DispatchLedger } from "../common/Outcome.js";
import type {
    DataCentreId,
    EndpointId,
    Event,
    HostId,
    ModelId,
    PipelineId,
    RequestId,
    StageId,
    WorkspaceId,
} from "../common/Types.js";
import type { LoadReportMessage } from "./Wire.js";

export type EndpointKind = "engine" | "encoder" | "retriever" | "reranker" | "service";

export type EndpointState =
    | "cold"
    | "warming"
    | "warm"
    /** Recent calls failed; only one probing call at a time is sent. */
    | "suspect"
    /** Finishes its running calls and takes no new ones. */
    | "leaving"
    /** Its data centre was taken out of service. */
    | "out";

export interface EndpointView {
    readonly id: EndpointId;
    readonly dataCentre: DataCentreId;
    readonly kind: EndpointKind;
    /** Pool that stages name; for engines the pool serves `models`. */
    readonly pool: string;
    readonly models: readonly ModelId[];
    readonly state: EndpointState;
    /** Maximum calls in flight on the endpoint now, from all hosts together. */
    readonly limit: number;
    /** Calls of this host in flight on the endpoint. */
    readonly ownInFlight: number;
    /** Slots that this host can take without asking the owner. */
    readonly credits: number;
    /** Calls running and waiting by the endpoint's latest report, and the report's age; undefined without reports. */
    readonly reported: { readonly running: number; readonly waiting: number; readonly ageMs: number; } | undefined;
    /** Median duration of recent calls, in milliseconds; undefined before the first. */
    readonly recentMs: number | undefined;
}

/** This host's view of all endpoints that it may use. */
export interface EndpointDirectory {
    get(id: EndpointId): EndpointView | undefined;
    /** Endpoints of a pool that may take new work, those of this data centre first. */
    inPool(pool: string): readonly EndpointView[];
    readonly onChange: Event<EndpointId>;
}

/** Lower numbers are served first: 0 for interactive requests, 2 for overnight jobs. */
export type Priority = 0 | 1 | 2;

export interface SlotRequest {
    readonly priority: Priority;
    /** On the local monotonic clock; a request not granted by then is refused. */
    readonly deadlineMs: number;
    readonly signal?: AbortSignal;
    /** Requests exclusive use: no other call of any host is in flight. For calls suspected of crashing endpoints. */
    readonly exclusive?: boolean;
}

export type SlotError =
    /** The endpoint takes no new work. */
    | { readonly kind: "closed"; readonly endpoint: EndpointId; readonly state: EndpointState; }
    /** No slot was granted by the request's deadline, or the request was aborted. */
    | { readonly kind: "no-slot"; readonly endpoint: EndpointId; readonly retryAfterMs: number; }
    /** The owner of the endpoint is unknown or does not answer. */
    | { readonly kind: "owner-unreachable"; readonly endpoint: EndpointId; };

export type CallEnd =
    | "succeeded"
    /** The endpoint refused the call because it is full, cold, or leaving. */
    | "overloaded"
    | "cold"
    | "leaving"
    /** The endpoint ran the call and reported a failure. */
    | "failed"
    /** The connection fell silent. */
    | "lost"
    /** The connection was reset or closed during the call. */
    | "crashed"
    | "cancelled"
    | "never-sent"
    /** No connection could be made. */
    | "refused";

/** A granted slot, to be released exactly once. */
export interface Slot {
    readonly endpoint: EndpointId;
    /** A call may begin until then, on the local monotonic clock. A running call keeps its slot. */
    readonly expiresAtMs: number;
    /** True when the owner allows no other call on the endpoint while this slot is held. */
    readonly exclusive?: boolean;
    /** Marks the slot as carrying a call; returns false when the slot is no longer valid and no call may be sent. */
    begin(): boolean;
    release(end: CallEnd, evidence?: CallEvidence): void;
}

/** Observations of an ended call about its endpoint. */
export interface CallEvidence {
    readonly firstByteMs: number | undefined;
    readonly totalMs: number;
    /** Identity of the endpoint's process in its reply; a changed one means that the endpoint has restarted. */
    readonly endpointIncarnation: string | undefined;
}

/** Acquires slots for the requests of this host. */
export interface SlotHolder {
    acquire(endpoint: EndpointId, req: SlotRequest): Promise<Either<SlotError, Slot>>;
}

/** One call of one stage on one endpoint. */
export interface StageCall {
    readonly request: RequestId;
    readonly workspace: WorkspaceId;
    readonly pipeline: PipelineId;
    readonly stage: StageId;
    /** Increases with every call made for the stage, hedges included. */
    readonly attempt: number;
    readonly idempotent: boolean;
    readonly priority: Priority;
    readonly model: ModelId | undefined;
    /** The request's input and the outputs of the stages before. */
    readonly body: StageBody;
    /** Output already received of a broken stream; the endpoint continues from there. */
    readonly resumeFrom:
        | {
            readonly attempt: number;
            /** Length of `received`. */
            readonly offset: number;
            /** The checked prefix; the reply's output is the whole output, this prefix included. */
            readonly received: string;
        }
        | undefined;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
}

export interface StageBody {
    readonly input: unknown;
    /** Outputs of the earlier stages, by stage. */
    readonly previous: Readonly<Record<string, string>>;
}

/** A complete reply; its echo of request, stage and attempt, its length, digest and end marker have been checked. */
export interface StageReply {
    readonly output: string;
    readonly usage: StageUsage;
    readonly evidence: CallEvidence;
}

export interface StageUsage {
    readonly promptTokens: number;
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** Time that the endpoint spent, in milliseconds. */
    readonly busyMs: number;
}

export type StageCallError =
    /** No byte of the call left the process. */
    | { readonly kind: "never-sent"; readonly message: string; }
    /** The endpoint reported that it did not run the call (cold, full, leaving, wrong model). */
    | {
        readonly kind: "refused";
        readonly message: string;
        readonly state: "cold" | "overloaded" | "leaving" | "other";
    }
    /** The endpoint ran the call and reported a failure. */
    | { readonly kind: "stage-error"; readonly message: string; }
    /** The reply was incomplete, malformed, or named another call. It is never used. */
    | { readonly kind: "bad-reply"; readonly message: string; }
    /**
     * The connection broke, fell silent or timed out; the call may have run. `crashed` is true when the connection was
     * reset or closed during the call; `received` is a checked prefix of the output.
     */
    | { readonly kind: "lost"; readonly message: string; readonly crashed: boolean; readonly received: string; }
    | { readonly kind: "cancelled"; readonly message: string; };

/** Sends stage calls to endpoints over HTTP. The client begins and releases the slot. */
export interface StageClient {
    call(
        call: StageCall,
        slot: Slot,
        ledger: DispatchLedger,
        signal: AbortSignal,
        /** Receives output as it arrives, in order, with its offset in characters. */
        onOutput?: (offset: number, text: string) => void,
    ): Promise<Either<StageCallError, StageReply>>;
}

/** An order to an engine. */
export type EngineOrder =
    | { readonly kind: "load-model" | "unload-model"; readonly model: ModelId; readonly version: string; }
    | { readonly kind: "load-adapter" | "unload-adapter"; readonly adapter: string; }
    | { readonly kind: "set-role"; readonly role: "prefill" | "decode" | "both"; };

export type OrderError =
    /** This host may not issue orders; nothing was sent. */
    | { readonly kind: "no-lease"; readonly message: string; }
    /** The engine has already accepted a higher fencing number. */
    | { readonly kind: "fenced"; readonly message: string; }
    /** The order was sent, but no complete reply arrived; the engine may carry it out. */
    | { readonly kind: "unknown"; readonly message: string; }
    /** The engine refused the order, or the order was not sent. */
    | { readonly kind: "refused"; readonly message: string; };

/** Identity of a holder in slot messages; a restarted host is a different holder. */
export interface HolderIdentity {
    readonly host: HostId;
    readonly incarnation: number;
}

/** Reads load reports of endpoints; `fetch` returns undefined when the endpoint gave none. */
export interface LoadSource {
    fetch(endpoint: EndpointId, signal: AbortSignal): Promise<LoadReportMessage | undefined>;
}
