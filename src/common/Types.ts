/**
 * Branded ids and the small interfaces (clock, randomness, disposal) that every other folder builds on.
 * This folder depends on no other folder of src/.
 */
import type { Either } from "purify-ts";

/** A value of type T that only the parser of B may make. */
export type Brand<T, B extends string> = T & { readonly brand: B; };

export type HostId = Brand<string, "HostId">;
export type DataCentreId = Brand<string, "DataCentreId">;
export type WorkspaceId = Brand<string, "WorkspaceId">;
export type EndpointId = Brand<string, "EndpointId">;
export type PipelineId = Brand<string, "PipelineId">;
export type StageId = Brand<string, "StageId">;
export type ModelId = Brand<string, "ModelId">;
export type RequestId = Brand<string, "RequestId">;
export type JobId = Brand<string, "JobId">;
export type ChangeId = Brand<string, "ChangeId">;
/** A number that rises with every start of a process, so that a restarted host is not taken for its former self. */
export type Incarnation = Brand<number, "Incarnation">;

/** An id that did not have the allowed shape. */
export interface IdError {
    readonly kind: "invalid-id";
    readonly what: string;
    readonly text: string;
}

export type IdParser<T> = (text: string) => Either<IdError, T>;

/** Something that holds a resource until it is disposed of. Disposing twice does nothing. */
export interface Disposable {
    dispose(): void;
}

/** A subscription function; the listener is removed when the returned value is disposed of. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Time. `nowMs` is monotonic and decides everything; `wallMs` only labels logs. */
export interface Clock {
    /** Milliseconds on a monotonic clock with an arbitrary start. */
    nowMs(): number;
    /** Milliseconds since the Unix epoch, for labels only. */
    wallMs(): number;
    /** Calls back once after `delayMs`, unless disposed of before. */
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
    /** A lower-case hexadecimal text of `length` characters. */
    hex(length: number): string;
}
