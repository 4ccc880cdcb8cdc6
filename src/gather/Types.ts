/**
 * Pieces of stages, gathered into calls. An endpoint of a stage's service runs few calls at a time and each call has a
 * fixed cost, so that one entry host, the gatherer, collects the pieces of all hosts for a service and sends full calls.
 */
import type { Either } from "purify-ts";
import type { Brand, DataCentreId, EndpointId } from "../common/Types.js";
import type { ListedEndpoint, ServiceId } from "../fleet/Types.js";

/** Names one submission; unique over all hosts and restarts. */
export type SubmissionId = Brand<string, "SubmissionId">;

/** Names the endpoints that one gatherer serves; see {@link Cells}. */
export type CellId = Brand<string, "CellId">;

/** What a piece is made from: the request's own key, or results of earlier stages. */
export type PieceSource =
    | { readonly kind: "key"; readonly key: string; }
    | {
        readonly kind: "results";
        readonly handles: readonly string[];
        /** Endpoints that hold the results; empty from a host whose version does not tell. */
        readonly makers: readonly ResultLocation[];
    };

/** An endpoint that holds results, and where it is. */
export type ResultLocation = Pick<PieceResult, "endpoint" | "dataCentre">;

/** The pieces of one stage of one request. */
export interface Submission {
    readonly id: SubmissionId;
    readonly service: ServiceId;
    /** Set by the client once it has chosen one. */
    readonly cell: CellId | undefined;
    /** True for a submission that is to be refused if it can't start in time, since another cell may have time. */
    readonly onTimeOnly: boolean;
    readonly request: string;
    readonly stage: number;
    readonly pieces: readonly number[];
    readonly source: PieceSource;
    readonly resultBytes: number;
    /** Time within which the pieces must start for the request to meet its objective; negative once it can't. */
    readonly startInMs: number;
    /** What is left of the request's deadline. */
    readonly remainingMs: number;
    /** Estimate of what the request needs once the pieces are made. */
    readonly restMs: number;
    /** 0 goes first. */
    readonly priority: number;
    /** True when other stages of the request are made already: refusing it throws away what they have made. */
    readonly isContinued: boolean;
    /** Where the pieces are to be made if that costs no time; undefined for anywhere. */
    readonly dataCentre: DataCentreId | undefined;
    /** Where they are not to be made, since the request's endpoints can't fetch them from there. */
    readonly notIn: readonly DataCentreId[];
}

/** A submission for which no cell has been chosen yet. */
export type NewSubmission = Omit<Submission, "cell" | "onTimeOnly">;

/** A result that lies at its maker until it is freed. */
export interface PieceResult {
    readonly handle: string;
    readonly endpoint: EndpointId;
    readonly dataCentre: DataCentreId;
    readonly bytes: number;
}

export type SubmissionError =
    /** The pieces can't be made in time; asking again may succeed after a while. */
    | { readonly kind: "overloaded"; readonly message: string; readonly retryAfterMs: number; }
    /** A result that the pieces need has gone. */
    | { readonly kind: "source-gone"; readonly message: string; }
    /** The cell is not one of the service's any more, or not yet; another one takes the pieces. */
    | { readonly kind: "moved"; readonly message: string; }
    /** Endpoints failed, again and again. */
    | { readonly kind: "failed"; readonly message: string; }
    | { readonly kind: "cancelled"; readonly message: string; };

export type SubmissionOutcome = Either<SubmissionError, readonly PieceResult[]>;

/** Makes the pieces of one stage. */
export interface PieceExecutor {
    execute(submission: NewSubmission, signal: AbortSignal): Promise<SubmissionOutcome>;
    /** Gives up results that are needed no more. */
    free(results: readonly PieceResult[]): void;
    /** Estimated wait for a new submission to a service, in milliseconds; undefined when nothing recent is known. */
    waitMs(service: ServiceId): number | undefined;
}

export type PieceFault = "late" | "gone" | "room" | "error";

/** The outcome of one piece in an endpoint's reply. */
export type PieceOutcome =
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
    /** The endpoint had no place for the call; it is well otherwise. */
    | { readonly kind: "full"; readonly message: string; }
    /** The endpoint did not run the call for another reason. */
    | { readonly kind: "not-run"; readonly message: string; }
    | { readonly kind: "broken"; readonly message: string; };

/** What an endpoint of a stage tells of itself; it may be some hundred milliseconds old. */
export interface WorkState {
    /** True while a call runs or waits there. */
    readonly isWorking: boolean;
}

/** Calls to endpoints of stages. */
export interface PieceClient {
    /** Ends as broken when `signal` is aborted. */
    run(
        endpoint: ListedEndpoint,
        calls: readonly PieceCall[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome>;
    /** Asks an endpoint what it does; undefined when it can't be asked. */
    state(endpoint: ListedEndpoint): Promise<WorkState | undefined>;
    /** Gives up results; undefined when the endpoint has taken note, else what went wrong. */
    free(endpoint: ListedEndpoint, handles: readonly string[]): Promise<string | undefined>;
}

/** The platform's form of calls to endpoints of stages. */
export interface PieceCodec {
    readonly runPath: string;
    readonly freePath: string;
    readonly statePath: string;
    encodeRun(pieces: readonly PieceCall[]): string;
    /** Undefined when the reply is not a whole reply to as many pieces. */
    decodeRun(text: string, pieces: number): readonly PieceOutcome[] | undefined;
    encodeFree(handles: readonly string[]): string;
    /** Undefined when the reply does not tell it. */
    decodeState(text: string): WorkState | undefined;
    /** Headers of a call to one start of an endpoint. */
    callHeaders(instance: string, remainingMs: number): Readonly<Record<string, string>>;
    /** True when a reply says that the endpoint did not run the call. */
    isNotRun(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): boolean;
}

/** The end of a submission, on its way to the host that submitted it. */
export interface EndedSubmission {
    readonly id: SubmissionId;
    readonly cell: CellId;
    readonly results: readonly PieceResult[];
    readonly error?: SubmissionError | undefined;
}
