/**
 * Branded ids and the small interfaces (clock, randomness, disposal) that every other folder builds on.
 * This folder depends on no other folder of src/.
 */
import type { Either } from "purify-ts";

/** A value of type T that only the parser of B may create. */
export type Brand<T, B extends string> = T & { readonly brand: B; };

export type HostId = Brand<string, "HostId">;
export type DataCentreId = Brand<string, "DataCentreId">;
export type WorkspaceId = Brand<string, "WorkspaceId">;
export type EndpointId = Brand<string, "EndpointId">;
export type ServiceId = Brand<string, "ServiceId">;
export type RouteId = Brand<string, "RouteId">;
export type PipelineId = Brand<string, "PipelineId">;
export type StageId = Brand<string, "StageId">;
export type ModelId = Brand<string, "ModelId">;
export type RequestId = Brand<string, "RequestId">;
export type JobId = Brand<string, "JobId">;
export type ChangeId = Brand<string, "ChangeId">;
/** "ip:port" of an endpoint; see `EndpointAddress.ts`. */
export type EndpointAddress = Brand<string, "EndpointAddress">;
/** A number that increases with each start of a host's process, to tell a restarted host from its previous run. */
export type Incarnation = Brand<number, "Incarnation">;

/** The text is not a valid id. */
export interface IdError {
    readonly kind: "invalid-id";
    /** Kind of id that was expected, for example "host". */
    readonly what: string;
    /** The rejected text. */
    readonly text: string;
}

export type IdParser<T> = (text: string) => Either<IdError, T>;

/** Holds a resource until it is disposed of. Disposing twice has no further effect. */
export interface Disposable {
    dispose(): void;
}

/** A subscription function; the listener is removed when the returned value is disposed of. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/**
 * Time source. Durations and deadlines on one host use the monotonic `nowMs`. `wallMs` serves only for times that are
 * compared between hosts or restarts, such as log timestamps and incarnations, and to detect suspensions in LeaseClock.
 */
export interface Clock {
    /** Milliseconds on a monotonic clock with an arbitrary origin. */
    nowMs(): number;
    /** Milliseconds since the Unix epoch; may jump when the wall clock is set. */
    wallMs(): number;
    /** Calls `callback` once after `delayMs`, unless disposed of before. */
    setTimer(delayMs: number, callback: () => void): Disposable;
    /** Resolves after `delayMs`, or as soon as the signal is aborted. Never rejects. */
    sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** Seeded randomness, so that a failing run can be repeated from its seed. */
export interface Random {
    /** A number in [0, 1). */
    next(): number;
    /** A whole number in [0, bound). */
    below(bound: number): number;
    /** A lower-case hexadecimal string of `length` characters. */
    hex(length: number): string;
}
