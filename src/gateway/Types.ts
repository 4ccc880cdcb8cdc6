/**
 * Requests of callers on their way to one endpoint each: what is known of a request, of an attempt's end, and the
 * adapter's part, which reads and writes headers.
 */
import type * as http from "node:http";
import type { Either } from "purify-ts";
import type { WorkspaceId } from "../common/Types.js";

/** One part of a prompt, in order; equal ids are equal text. */
interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

export interface PromptInfo {
    readonly parts: readonly PromptPart[];
    readonly inputTokens: number;
    /** Most tokens that the answer may have. */
    readonly outputTokens: number;
}

/** A request's head, as the adapter has decoded it. */
export interface RequestHead {
    readonly id: string;
    readonly method: string;
    /** With its query, as the caller sent it. */
    readonly target: string;
    /** In lower case, without a port. */
    readonly host: string;
    readonly key: string | undefined;
    /** How long the caller will wait. */
    readonly remainingMs: number | undefined;
    readonly prompt: PromptInfo | undefined;
    /** Pieces of each stage. */
    readonly pieces: readonly number[];
    readonly pieceKey: string;
    /** The last event that the caller has of a stream that it resumes. */
    readonly lastEvent: string | undefined;
    /** Headers that go to the endpoint unchanged: names and values by turns. */
    readonly forwarded: readonly string[];
}

export interface HeadFault {
    readonly kind: "bad-head";
    readonly message: string;
}

/** What this host tells the endpoint beside the caller's own headers. */
export interface AttemptInfo {
    readonly instance: string;
    readonly remainingMs: number;
    readonly workspace: WorkspaceId | undefined;
    /** Results that the endpoint fetches; undefined for routes without stages. */
    readonly results: readonly string[] | undefined;
    readonly lastEvent: string | undefined;
    readonly bodyBytes: number;
}

/** An endpoint's reply up to its body. */
export interface ReplyHead {
    readonly status: number;
    /** The request that it answers, if it says so. */
    readonly requestId: string | undefined;
    /** True when it bears the endpoint's signature. */
    readonly isSigned: boolean;
    /** True when it says that the request was not run. */
    readonly isNotRun: boolean;
    readonly isEventStream: boolean;
    /** False when only the end of the connection tells where the body ends, so that nothing tells whether it is whole. */
    readonly isFramed: boolean;
    /** Headers that go to the caller unchanged: names and values by turns. */
    readonly forwarded: readonly string[];
}

export interface GatewayCodec {
    decodeHead(req: http.IncomingMessage): Either<HeadFault, RequestHead>;
    /** Names and values by turns. */
    encodeAttempt(head: RequestHead, facts: AttemptInfo): readonly string[];
    decodeReply(res: http.IncomingMessage): ReplyHead;
}

/** How an attempt at one endpoint ended. */
export type AttemptOutcome =
    /** No byte was written. */
    | { readonly kind: "unsent"; readonly message: string; readonly isSilent: boolean; }
    /** The endpoint says that it did not run the request. */
    | { readonly kind: "not-run"; readonly status: number; }
    /** A whole reply; `body` is undefined when it has been relayed to the caller already. */
    | { readonly kind: "replied"; readonly reply: ReplyHead; readonly body: Buffer | undefined; }
    /** The request may have run and there is no whole reply. */
    | { readonly kind: "broken"; readonly message: string; readonly isSilent: boolean; }
    /** The caller left, or the time was over. */
    | { readonly kind: "cancelled"; };

/** Why a request ends without an endpoint's reply. */
type RefusalReason =
    | "bad-request"
    | "no-route"
    | "unknown-key"
    | "too-large"
    | "no-configuration"
    | "configuration-unconfirmed"
    | "quarantined"
    | "overloaded"
    | "no-endpoint"
    | "broken"
    | "deadline"
    | "stopping";

export interface Refusal {
    readonly reason: RefusalReason;
    readonly message: string;
    /** True only when the request has not run and never will. */
    readonly notRun: boolean;
    readonly retryAfterMs?: number;
}
