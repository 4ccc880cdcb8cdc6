/** Maps errors of attempts to the failure of the request, as far as its dispatch ledger allows. */
import { type Failure, failureFor } from "../common/Outcome.js";
import type { RequestContext } from "./RequestContext.js";
import type { AttemptError } from "./StageCaller.js";

/** Retry time given to callers after a call that was not sent, was refused, or got no valid reply. */
const brokenCallRetryAfterMs = 200;

/** The failure of a request whose caller has disconnected or whose job lease was lost. */
export function cancelled(ctx: RequestContext): Failure {
    return failureFor(ctx.ledger, "cancelled", "the request was cancelled");
}

export function deadlineExceeded(ctx: RequestContext, stage: string, retryAfterMs: number): Failure {
    return failureFor(
        ctx.ledger,
        "deadline-exceeded",
        `stage ${stage} did not complete before its deadline`,
        retryAfterMs,
    );
}

/** The failure of a request whose last attempt at the stage ended with this error. */
export function failureOf(ctx: RequestContext, stage: string, error: AttemptError): Failure {
    if (error.kind === "no-slot") {
        return error.reason === "aborted"
            ? cancelled(ctx)
            : failureFor(ctx.ledger, error.reason, error.message, error.retryAfterMs);
    }
    const message = `stage ${stage}: ${error.error.message}`;
    switch (error.error.kind) {
        case "never-sent":
            return failureFor(ctx.ledger, "no-endpoint", message, brokenCallRetryAfterMs);
        case "refused":
            return failureFor(ctx.ledger, "overloaded", message, brokenCallRetryAfterMs);
        case "stage-error":
            return failureFor(ctx.ledger, "stage-failed", message);
        case "bad-reply":
        case "lost":
        case "cancelled":
            return failureFor(ctx.ledger, "stage-failed", message, brokenCallRetryAfterMs);
    }
}
