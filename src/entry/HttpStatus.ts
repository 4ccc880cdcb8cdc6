/** Maps request failures to HTTP status, headers and body. */
import type { Failure, FailureReason } from "../common/Outcome.js";
import type { RequestId } from "../common/Types.js";

/**
 * Response header with the outcome of the request: answered, not-run, failed or unknown. A reply about a job has the
 * job's state instead, and a streamed reply has `see-final-event`.
 */
export const outcomeHeader = "Fireflykeel-Outcome";
/** Response header with the request id assigned by this host. */
export const requestHeader = "Fireflykeel-Request";

const statusByReason: Readonly<Record<FailureReason, number>> = {
    "invalid-request": 400,
    "idempotency-key-missing": 400,
    "unauthorized": 401,
    "not-found": 404,
    "body-too-large": 413,
    "key-reused": 422,
    "quarantined": 422,
    "overloaded": 429,
    "cancelled": 499,
    "stage-failed": 502,
    "no-endpoint": 503,
    "no-quorum": 503,
    "not-ready": 503,
    "deadline-too-short": 504,
    "deadline-exceeded": 504,
    "result-lost": 504,
};

/** JSON body of a failure reply, and data of the `failure` event of a stream. */
export interface FailureBody {
    readonly request: string;
    readonly outcome: "not-run" | "failed" | "unknown";
    readonly reason: FailureReason;
    readonly message: string;
    /** Whether the request may be sent again without the risk of running a non-idempotent call twice. */
    readonly repeat: "safe" | "unsafe";
    readonly retryAfterMs?: number;
}

/** The HTTP status for a failure. */
export function statusOf(failure: Failure): number {
    return statusByReason[failure.reason];
}

export function failureBody(request: RequestId, failure: Failure): FailureBody {
    const retryAfterMs = failure.kind === "unknown" ? undefined : failure.retryAfterMs;
    return {
        request,
        outcome: failure.kind,
        reason: failure.reason,
        message: failure.message,
        repeat: repeatOf(failure),
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    };
}

/** Headers of a failure reply. Retry-After is rounded up to whole seconds, at least one. */
export function failureHeaders(request: RequestId, failure: Failure): Record<string, string> {
    const headers: Record<string, string> = { [outcomeHeader]: failure.kind, [requestHeader]: request };
    if (failure.kind !== "unknown" && failure.retryAfterMs !== undefined) {
        headers["Retry-After"] = String(Math.max(1, Math.ceil(failure.retryAfterMs / 1000)));
    }
    return headers;
}

function repeatOf(failure: Failure): "safe" | "unsafe" {
    switch (failure.kind) {
        case "not-run":
            return "safe";
        case "failed":
            return failure.repeat;
        case "unknown":
            return "unsafe";
    }
}
