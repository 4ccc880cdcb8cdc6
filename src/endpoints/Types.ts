/**
 * Endpoints: their state, the slots that limit work on them over all hosts, and the clients that carry stage calls.
 * A slot is the right to have one call in flight on one endpoint; no call is sent without a live slot.
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
    /** Something went wrong; one probing call at a time. */
    | "suspect"
    /** Ends what it has, takes nothing new. */
    | "leaving"
    /** Its data centre was taken out. */
    | "out";

export interface EndpointView {
    readonly id: EndpointId;
    readonly dataCentre: DataCentreId;
    readonly kind: EndpointKind;
    /** Pool that stages name; for engines the pool serves `models`. */
    readonly pool: string;
    readonly models: readonly ModelId[];
    readonly state: EndpointState;
    /** Calls in flight that all hosts together may have on it now. */
    readonly limit: number;
    /** Calls of this host in flight on it. */
    readonly ownInFlight: number;
    /** Slots that this host could take at once without asking the owner. */
    readonly credits: number;
    /** Calls waiting and running by the endpoint's last report, and the report's age; undefined without reports. */
    readonly reported: { readonly running: number; readonly waiting: number; readonly ageMs: number; } | undefined;
    /** Recent median time of a call, in milliseconds; undefined before the first. */
    readonly recentMs: number | undefined;
}

/** What this host knows of all endpoints that it may use. */
export interface EndpointDirectory {
    get(id: EndpointId): EndpointView | undefined;
    /** Endpoints of a pool that may take new work, those of this data centre first. */
    inPool(pool: string): readonly EndpointView[];
    readonly onChange: Event<EndpointId>;
}

/** Lower numbers go first. Quick calls of people waiting are 0, overnight jobs 2. */
export type Priority = 0 | 1 | 2;

export interface SlotRequest {
    readonly priority: Priority;
    /** On the local monotonic clock; a request not granted by then is refused. */
    readonly deadlineMs: number;
    readonly signal?: AbortSignal;
    /** Asks for a slot while no other call, of any host, is in flight on the endpoint; for calls suspected of crashes. */
    readonly exclusive?: boolean;
}

export type SlotError =
    | { readonly kind: "closed"; readonly endpoint: EndpointId; readonly state: EndpointState; }
    | { readonly kind: "no-slot"; readonly endpoint: EndpointId; readonly retryAfterMs: number; }
    | { readonly kind: "owner-unreachable"; readonly endpoint: EndpointId; };

export type CallEnd =
    | "succeeded"
    /** The endpoint refused the call as full, as cold, or as leaving. */
    | "overloaded"
    | "cold"
    | "leaving"
    /** The endpoint ran the call and said that it failed. */
    | "failed"
    /** The connection fell silent. */
    | "lost"
    /** The connection was reset or closed in mid-call. */
    | "crashed"
    | "cancelled"
    | "never-sent"
    /** No connection could be made. */
    | "refused";

/** A granted slot. It is released exactly once. */
export interface Slot {
    readonly endpoint: EndpointId;
    /** A call may be started until then, on the local monotonic clock. A running call keeps its slot alive. */
    readonly expiresAtMs: number;
    /** True when the owner keeps every other call off the endpoint while this slot is held. */
    readonly exclusive?: boolean;
    /** Checks that the slot is live and marks it as carrying a call; false when the lease ran out meanwhile. */
    begin(): boolean;
    release(end: CallEnd, evidence?: CallEvidence): void;
}

/** What a finished call tells of its endpoint. */
export interface CallEvidence {
    readonly firstByteMs: number | undefined;
    readonly totalMs: number;
    /** The process identity that the endpoint named in its reply; a new one means that it has restarted. */
    readonly endpointIncarnation: string | undefined;
}

export interface SlotHolder {
    acquire(endpoint: EndpointId, req: SlotRequest): Promise<Either<SlotError, Slot>>;
}

/** One call of one stage on one endpoint. */
export interface StageCall {
    readonly request: RequestId;
    readonly workspace: WorkspaceId;
    readonly pipeline: PipelineId;
    readonly stage: StageId;
    /** Rises with every call made for the stage, hedges included. */
    readonly attempt: number;
    readonly idempotent: boolean;
    readonly priority: Priority;
    readonly model: ModelId | undefined;
    /** The request's input and the outputs of the stages before. */
    readonly body: StageBody;
    /** Output already received of a broken stream: the endpoint goes on from there. */
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
    readonly previous: Readonly<Record<string, string>>;
}

/** A whole reply: its echo of request, stage and attempt, its length and its end marker have been checked. */
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
    /** Proven: no byte of the call left the process. */
    | { readonly kind: "never-sent"; readonly message: string; }
    /** The endpoint said that it did not run the call (cold, full, leaving, wrong model). */
    | {
        readonly kind: "refused";
        readonly message: string;
        readonly state: "cold" | "overloaded" | "leaving" | "other";
    }
    /** The endpoint ran the call and said that it failed. */
    | { readonly kind: "stage-error"; readonly message: string; }
    /** A reply that was short, misnamed, or had no end. It is never used. */
    | { readonly kind: "bad-reply"; readonly message: string; }
    /** The connection broke, fell silent or timed out; the call may have run. `received` is a checked prefix. */
    | { readonly kind: "lost"; readonly message: string; readonly crashed: boolean; readonly received: string; }
    | { readonly kind: "cancelled"; readonly message: string; };

/** Carries stage calls to endpoints over HTTP. The slot is begun and released by the client. */
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

/** A lease on issuing orders to the engines of a data centre, and the orders themselves. */
export type EngineOrder =
    | { readonly kind: "load-model" | "unload-model"; readonly model: ModelId; readonly version: string; }
    | { readonly kind: "load-adapter" | "unload-adapter"; readonly adapter: string; }
    | { readonly kind: "set-role"; readonly role: "prefill" | "decode" | "both"; };

export type OrderError =
    | { readonly kind: "no-lease"; readonly message: string; }
    | { readonly kind: "fenced"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; }
    | { readonly kind: "refused"; readonly message: string; };

/** Identity of a host in slot messages: a restarted host is another holder. */
export interface HolderIdentity {
    readonly host: HostId;
    readonly incarnation: number;
}

/** Reads the load report of an endpoint; undefined when it gave none. */
export interface LoadSource {
    fetch(endpoint: EndpointId, signal: AbortSignal): Promise<LoadReportMessage | undefined>;
}
