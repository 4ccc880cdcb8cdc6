/** Turns the errors of attempts into the failures that a request may be told, as its ledger allows. */
import { type Failure, failureFor } from "../common/Outcome.js";
import type { RequestContext } from "./RequestContext.js";
import type { AttemptError } from "./StageCaller.js";

const brokenCallRetryAfterMs = 200;

/** The failure of a request whose caller has gone, or whose job's lease is lost. */
export function cancelled(ctx: RequestContext): Failure {
    return failureFor(ctx.ledger, "cancelled", "the request was cancelled");
}

export function deadlineExceeded(ctx: RequestContext, stage: string, retryAfterMs: number): Failure {
    return failureFor(
        ctx.ledger,
        "deadline-exceeded",
        `stage ${stage} could not end in time for the deadline`,
        retryAfterMs,
    );
}

/** The failure of a request whose last attempt at a stage ended so. */
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
