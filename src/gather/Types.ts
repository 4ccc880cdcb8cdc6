/**
 * Types for batching the pieces of stages into calls. A piece is one unit of a stage's work. An endpoint of a stage's
 * service runs few calls at a time, and each call has a fixed cost. Therefore the endpoints of a service are divided
 * into cells, and for each cell one entry host, the gatherer, collects the pieces of all hosts and sends full calls.
 */
import type { Either } from "purify-ts";
import type { Brand, DataCentreId, EndpointId } from "../common/Types.js";
import type { ListedEndpoint, ServiceId } from "../fleet/Types.js";

/** Id of a submission; unique over all hosts and restarts. */
export type SubmissionId = Brand<string, "SubmissionId">;

/** Id of a cell, the set of endpoints that one gatherer serves; see {@link Cells}. */
export type CellId = Brand<string, "CellId">;

/** Input of a piece: the request's own key, or results of earlier stages. */
export type PieceSource =
    | { readonly kind: "key"; readonly key: string; }
    | {
        readonly kind: "results";
        readonly handles: readonly string[];
        /** Endpoints that hold the results; empty when the sending host's version does not include them. */
        readonly makers: readonly ResultLocation[];
    };

/** An endpoint that holds results, and its data centre. */
export type ResultLocation = Pick<PieceResult, "endpoint" | "dataCentre">;

/** The pieces of one stage of one request, to be run by the gatherer of a cell. */
export interface Submission {
    readonly id: SubmissionId;
    readonly service: ServiceId;
    /** Set once the client has chosen a cell. */
    readonly cell: CellId | undefined;
    /** True when the cell is to refuse the submission if it can't start in time, since another cell may be able to. */
    readonly onTimeOnly: boolean;
    readonly request: string;
    readonly stage: number;
    readonly pieces: readonly number[];
    readonly source: PieceSource;
    /** Approximate size of one result. */
    readonly resultBytes: number;
    /** Time within which the pieces must start for the request to meet its objective; negative once that has passed. */
    readonly startInMs: number;
    /** Time until the request's deadline. */
    readonly remainingMs: number;
    /** Estimated time that the request needs after the pieces have completed. */
    readonly restMs: number;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** True when other stages of the request have completed, so that a refusal would waste their work. */
    readonly isContinued: boolean;
    /** Preferred data centre, used when that costs no time; undefined for any. */
    readonly dataCentre: DataCentreId | undefined;
    /** Data centres to avoid, since the request's endpoints can't fetch results from there. */
    readonly notIn: readonly DataCentreId[];
}

/** A submission for which no cell has been chosen yet. */
export type NewSubmission = Omit<Submission, "cell" | "onTimeOnly">;

/** A result that its endpoint keeps until it is freed or expires. */
export interface PieceResult {
    readonly handle: string;
    readonly endpoint: EndpointId;
    readonly dataCentre: DataCentreId;
    readonly bytes: number;
}

export type SubmissionError =
    /** The pieces can't be completed in time; a retry may succeed after `retryAfterMs`. */
    | { readonly kind: "overloaded"; readonly message: string; readonly retryAfterMs: number; }
    /** A result that the pieces need no longer exists or can't be fetched. */
    | { readonly kind: "source-gone"; readonly message: string; }
    /** The gatherer does not know the cell, or no longer does; the submission is to be sent again. */
    | { readonly kind: "moved"; readonly message: string; }
    /** Calls failed repeatedly. */
    | { readonly kind: "failed"; readonly message: string; }
    | { readonly kind: "cancelled"; readonly message: string; };

/** The results in the order of the submission's pieces, or why there are none. */
export type SubmissionOutcome = Either<SubmissionError, readonly PieceResult[]>;

/** Runs the pieces of one stage. */
export interface PieceExecutor {
    /** Resolves with the outcome of the submission; as cancelled when `signal` is aborted. */
    execute(submission: NewSubmission, signal: AbortSignal): Promise<SubmissionOutcome>;
    /** Frees results that are no longer needed. */
    free(results: readonly PieceResult[]): void;
    /**
     * Estimated wait for a new submission to a service, in milliseconds; undefined without a recent estimate. Without
     * `goes`, of one that can be on time; with "last", of one that goes after all that are queued.
     */
    waitMs(service: ServiceId, goes?: "last"): number | undefined;
}

/**
 * Why an endpoint did not complete a piece. "late": its deadline passed before its turn; "gone": a source could not be
 * fetched; "room": the result did not fit into the endpoint's storage; "error": any other reason.
 */
export type PieceFault = "late" | "gone" | "room" | "error";

/** The outcome of one piece in an endpoint's reply. */
export type PieceOutcome =
    /** The piece has completed; the handle identifies its result at the endpoint. */
    | { readonly kind: "made"; readonly handle: string; }
    | { readonly kind: "fault"; readonly fault: PieceFault; };

/** One piece of a call to an endpoint. */
export interface PieceCall {
    readonly request: string;
    readonly stage: number;
    readonly piece: number;
    readonly source: PieceSource;
    readonly remainingMs: number;
}

/** How a call to an endpoint ended. */
export type CallOutcome =
    | { readonly kind: "replied"; readonly outcomes: readonly PieceOutcome[]; }
    /** The endpoint had no free slot for the call, which is not a failure. */
    | { readonly kind: "full"; readonly message: string; }
    /** The call was not sent, since the endpoint's limit on its request rate is used up for `waitMs`. */
    | { readonly kind: "limited"; readonly message: string; readonly waitMs: number; }
    /** The endpoint did not run the call for another reason. */
    | { readonly kind: "not-run"; readonly message: string; }
    /** A refusal that may be the reply to an earlier call, so that the endpoint may have run this one. */
    | { readonly kind: "unproven"; readonly message: string; }
    /** No valid reply arrived; the endpoint may have run the call. */
    | { readonly kind: "broken"; readonly message: string; };

/** State that an endpoint of a stage reports; it may be some hundred milliseconds old. */
export interface WorkState {
    /** True while a call runs or waits there. */
    readonly isWorking: boolean;
    /** Free result storage; undefined when the endpoint does not state it. */
    readonly freeBytes?: number | undefined;
}

/** Calls to endpoints of stages. */
export interface PieceClient {
    /** Runs one call. Resolves as broken when `timeoutMs` has passed or `signal` is aborted. */
    run(
        endpoint: ListedEndpoint,
        calls: readonly PieceCall[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome>;
    /** Queries an endpoint's state; undefined when it can't be reached or sends no valid reply. */
    state(endpoint: ListedEndpoint): Promise<WorkState | undefined>;
    /** Frees results; resolves with undefined on success, else with an error message. */
    free(endpoint: ListedEndpoint, handles: readonly string[]): Promise<string | undefined>;
}

/** Encodes and decodes the platform's protocol for calls to endpoints of stages. */
export interface PieceCodec {
    readonly runPath: string;
    readonly freePath: string;
    readonly statePath: string;
    encodeRun(pieces: readonly PieceCall[]): string;
    /** Outcomes in the order of the pieces; undefined when the reply is malformed or not for `pieces` pieces. */
    decodeRun(text: string, pieces: number): readonly PieceOutcome[] | undefined;
    encodeFree(handles: readonly string[]): string;
    /** Undefined when the reply is malformed. */
    decodeState(text: string): WorkState | undefined;
    /** Headers of a call that only endpoint instance `instance` may run. */
    callHeaders(instance: string, remainingMs: number): Readonly<Record<string, string>>;
    /** True when a reply states that the endpoint did not run the call. */
    isNotRun(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): boolean;
}

/** Estimated waits for the first call of a new submission to a cell, in milliseconds. */
export interface CellWaits {
    /** Of one that can still meet its objective. */
    readonly onTimeMs: number;
    /** Of one that can't: it goes after all that are queued. */
    readonly lateMs: number;
}

/** Outcome of a submission as sent to the host that submitted it. */
export interface EndedSubmission {
    readonly id: SubmissionId;
    readonly cell: CellId;
    readonly results: readonly PieceResult[];
    readonly error?: SubmissionError | undefined;
}
