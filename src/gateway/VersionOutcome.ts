/** What the end of an attempt says about the version of its endpoint. */
import type { AnswerOutcome } from "../rollouts/VersionCounts.js";
import type { VersionAttempt } from "../rollouts/VersionRouter.js";
import type { AttemptOutcome } from "./Types.js";

/** Counts the end of an attempt, with the time to its first event or, without one, to its end. */
export function endVersionAttempt(
    attempt: VersionAttempt,
    outcome: AttemptOutcome,
    firstEventMs: number | undefined,
    takenMs: number,
): void {
    attempt.end(outcomeOfVersion(outcome, firstEventMs !== undefined), firstEventMs ?? takenMs);
}

/**
 * An answer that broke off, states an error of the endpoint, or for which the caller has waited in vain, is a failure. An
 * endpoint that could not be reached, refused the request for lack of room, or lost against a hedge, says nothing about
 * its version.
 */
function outcomeOfVersion(outcome: AttemptOutcome, hasBegun: boolean): AnswerOutcome {
    switch (outcome.kind) {
        case "replied":
            return outcome.reply.status >= serverError ? "failed" : "good";
        case "broken":
            return "failed";
        case "cancelled":
            return hasBegun || outcome.hasLostRace === true ? "none" : "failed";
        case "unsent":
        case "not-run":
            return "none";
    }
}

const serverError = 500;
