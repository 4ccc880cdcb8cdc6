/**
 * Types of the gateway, which forwards each request of a caller to an endpoint: requests, outcomes of attempts,
 * refusals, and the codec through which a platform adapter reads and writes headers.
 */
import type * as http from "node:http";
import type { Either } from "purify-ts";
import type { WorkspaceId } from "../common/Types.js";
import type { Route, Service, Workspace } from "../fleet/Types.js";
import type { StreamOrigin } from "../streams/StreamOrigin.js";
import type { StatusCodec } from "./ReplyEnds.js";

/** One part of a prompt; equal ids mean equal text. */
interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

export interface PromptInfo {
    /** The model that the request names. */
    readonly model?: string | undefined;
    readonly parts: readonly PromptPart[];
    readonly inputTokens: number;
    /** Maximum number of tokens of the answer. */
    readonly outputTokens: number;
}

/** A request's head, as the adapter has decoded it. */
export interface RequestHead {
    readonly id: string;
    readonly method: string;
    /** Path and query as sent by the caller. */
    readonly target: string;
    /** In lower case, without a port. */
    readonly host: string;
    /** The caller's API key. */
    readonly key: string | undefined;
    /** How long the caller will wait; undefined when it did not say. */
    readonly remainingMs: number | undefined;
    readonly prompt: PromptInfo | undefined;
    /** Number of pieces of each stage. */
    readonly pieces: readonly number[];
    /** Input of the stages without predecessors. */
    readonly pieceKey: string;
    /** Id of the last event that the caller has of a stream that it resumes. */
    readonly lastEvent: string | undefined;
    /** Id of the earlier request that brought the first event of that stream, if the caller names it. */
    readonly resumes: string | undefined;
    /** Headers passed to the endpoint unchanged, as alternating names and values. */
    readonly forwarded: readonly string[];
}

/** A request that has passed admission, with its route, service and workspace. */
export interface AdmittedRequest {
    readonly head: RequestHead;
    readonly route: Route;
    readonly service: Service;
    readonly workspace: Workspace | undefined;
    readonly body: Buffer;
    readonly arrivedMs: number;
    /** Where the stream began that the request takes up; undefined when it begins anew. */
    readonly origin: StreamOrigin | undefined;
}

export interface HeadFault {
    readonly kind: "bad-head";
    readonly message: string;
}

/** Data that this host adds for the endpoint to the caller's own headers. */
export interface AttemptInfo {
    /** Endpoint instance that may run the request. */
    readonly instance: string;
    readonly remainingMs: number;
    readonly workspace: WorkspaceId | undefined;
    /** Handles of the results that the endpoint fetches; undefined for routes without stages. */
    readonly results: readonly string[] | undefined;
    readonly lastEvent: string | undefined;
    readonly bodyBytes: number;
}

/** An endpoint's reply up to its body. */
export interface ReplyHead {
    readonly status: number;
    /** Id of the request that it answers, if given. */
    readonly requestId: string | undefined;
    /** True when it carries the endpoint's signature. */
    readonly isSigned: boolean;
    /** True when it states that the request was not run. */
    readonly isNotRun: boolean;
    readonly isEventStream: boolean;
    /**
     * False when the body ends with the connection, so that a truncated body can't be told from a whole one unless it is
     * reset; see {@link ReplyEnds}.
     */
    readonly isFramed: boolean;
    /** False when the reply has no body by its status or by the method of the request. */
    readonly hasBody: boolean;
    /** Headers passed to the caller unchanged, as alternating names and values. */
    readonly forwarded: readonly string[];
}

/** Translates between HTTP headers of the platform and the gateway's types. */
export interface GatewayCodec extends StatusCodec {
    /** Names, in lower case, of headers that endpoints alone write; every reply of one has some of them. */
    readonly replyHeaders: readonly string[];
    decodeHead(req: http.IncomingMessage): Either<HeadFault, RequestHead>;
    /** Returns the headers of an attempt as alternating names and values. */
    encodeAttempt(head: RequestHead, attempt: AttemptInfo): readonly string[];
    decodeReply(res: http.IncomingMessage): ReplyHead;
}

/** How an attempt at one endpoint ended. */
export type AttemptOutcome =
    /**
     * No byte of the request was sent. `isSilent` is true when the connection timed out. `isConfirmed` is false when only
     * this host's own connection shows that, so that the cause may be its own path.
     */
    | {
        readonly kind: "unsent";
        readonly message: string;
        readonly isSilent: boolean;
        readonly isConfirmed?: boolean | undefined;
    }
    /** The endpoint states that it did not run the request. */
    | { readonly kind: "not-run"; readonly status: number; }
    /** A complete reply; `body` is undefined when it was relayed to the caller as a stream. */
    | { readonly kind: "replied"; readonly reply: ReplyHead; readonly body: Buffer | undefined; }
    /** The request may have run, and no complete reply arrived. `isSilent` is true when the endpoint timed out. */
    | { readonly kind: "broken"; readonly message: string; readonly isSilent: boolean; }
    /**
     * The caller disconnected, the deadline passed, or another attempt has won (`hasLostRace`), so that the endpoint is at
     * least as slow as the time that the attempt has taken.
     */
    | { readonly kind: "cancelled"; readonly hasLostRace?: boolean; };

/** Statuses that callers take to mean that the request has not run. */
export const notRunStatuses: readonly number[] = [408, 421, 429, 503];

/** True when a request of the route may run more than once. */
export function isRepeatable({ kind }: Route): boolean {
    return kind === "idempotent" || kind === "resumable";
}

/** True when requests of the route are answered with a stream of events. */
export function isStreamed({ kind }: Route): boolean {
    return kind === "stream" || kind === "resumable";
}

/** Why a request is answered without an endpoint's reply. */
type RefusalReason =
    | "bad-request"
    | "no-route"
    | "unknown-key"
    | "too-large"
    | "head-too-large"
    | "body-too-slow"
    | "no-configuration"
    | "configuration-unconfirmed"
    | "quarantined"
    | "overloaded"
    | "no-endpoint"
    | "limited"
    | "version-gone"
    | "unknown-origin"
    | "broken"
    | "failed"
    | "deadline"
    | "stopping";

/** Answer of the gateway itself to a request. */
export interface Refusal {
    readonly reason: RefusalReason;
    readonly message: string;
    /** True only when the request has certainly not run and will not run. */
    readonly notRun: boolean;
    readonly retryAfterMs?: number;
}

/** A refusal without the statement whether the request has run. */
export type RefusalCause = Omit<Refusal, "notRun">;
