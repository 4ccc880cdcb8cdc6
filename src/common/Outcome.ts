/**
 * Outcomes of requests. A not-run outcome requires a {@link NotRunProof}, which only a {@link DispatchLedger} without
 * any sent stage call can produce.
 *
 * - answered: the answer is complete.
 * - not-run: no stage call was sent; the request is safe to repeat.
 * - failed: a stage call may have run and the request failed. `repeat` tells whether the caller may send it again.
 * - unknown: a non-idempotent call was sent and its result was lost.
 */
import { Just, type Maybe, Nothing } from "purify-ts";
import { invariant } from "./Invariant.js";

/** Why a request was rejected or failed; each reason maps to one HTTP status in src/entry. */
export type FailureReason =
    | "invalid-request"
    | "unauthorized"
    | "not-found"
    | "body-too-large"
    /** The Idempotency-Key was used before with another request. */
    | "key-reused"
    | "idempotency-key-missing"
    | "overloaded"
    /** Rejected early: the remaining stages are expected to take longer than the time left. */
    | "deadline-too-short"
    | "deadline-exceeded"
    | "no-endpoint"
    /** The records group could not be reached or could not commit. */
    | "no-quorum"
    | "not-ready"
    /** The request has crashed the endpoints that ran it. */
    | "quarantined"
    | "stage-failed"
    | "cancelled"
    /** A non-idempotent call or the submission of a job may have taken effect, but the result is not known. */
    | "result-lost";

export interface Answered<A> {
    readonly kind: "answered";
    readonly answer: A;
}

export interface NotRun {
    readonly kind: "not-run";
    readonly reason: FailureReason;
    readonly message: string;
    /** Delay after which the caller may retry, in milliseconds; undefined when retrying is pointless. */
    readonly retryAfterMs: number | undefined;
    readonly proof: NotRunProof;
}

export interface RanAndFailed {
    readonly kind: "failed";
    readonly reason: FailureReason;
    readonly message: string;
    /** "unsafe" when a non-idempotent call may have run. */
    readonly repeat: "safe" | "unsafe";
    readonly retryAfterMs: number | undefined;
}

export interface OutcomeUnknown {
    readonly kind: "unknown";
    readonly reason: "result-lost";
    readonly message: string;
}

export type Outcome<A> = Answered<A> | NotRun | RanAndFailed | OutcomeUnknown;
export type Failure = NotRun | RanAndFailed | OutcomeUnknown;

/** Proof that no stage call of a request was sent. */
export class NotRunProof {
    private constructor(private readonly ledger: DispatchLedger) {}

    /** Returns the proof, or Nothing when a call was sent. Seals the ledger, so that no call can be sent later. */
    public static from(ledger: DispatchLedger): Maybe<NotRunProof> {
        if (ledger.sentCalls > 0) {
            return Nothing;
        }
        ledger.seal();
        return Just(new NotRunProof(ledger));
    }

    /** True unless a call was sent after the proof was made, which the sealed ledger prevents. */
    public get holds(): boolean {
        return this.ledger.sentCalls === 0;
    }
}

/**
 * Counts the stage calls of one request that may have been sent. Every endpoint client calls
 * {@link DispatchLedger.markSent} just before it writes the first byte to a connected socket.
 */
export class DispatchLedger {
    private sentCount = 0;
    private unsafeCount = 0;
    private sealed = false;

    /** Number of calls that may have been sent. */
    public get sentCalls(): number {
        return this.sentCount;
    }

    /** Number of those calls that are not idempotent. */
    public get sentUnsafeCalls(): number {
        return this.unsafeCount;
    }

    /** True when the request has ended and no further call may be sent. */
    public get isSealed(): boolean {
        return this.sealed;
    }

    /** Records that a call is about to be written. Throws {@link InvariantError} if the ledger is sealed. */
    public markSent(idempotent: boolean): void {
        invariant(!this.sealed, "no call is sent for a request whose refusal was given");
        this.sentCount += 1;
        if (!idempotent) {
            this.unsafeCount += 1;
        }
    }

    /** Records that an earlier run of the same job may have sent idempotent calls, so that not-run can't be proven. */
    public markEarlierRun(): void {
        this.sentCount += 1;
    }

    /** Forbids further calls. The caller must have aborted the calls that are not sent yet. */
    public seal(): void {
        this.sealed = true;
    }
}

/** Returns the failure that the ledger permits: not-run with its proof if no call was sent, otherwise failed. */
export function failureFor(
    ledger: DispatchLedger,
    reason: FailureReason,
    message: string,
    retryAfterMs?: number,
): NotRun | RanAndFailed {
    const repeat = ledger.sentUnsafeCalls === 0 ? "safe" : "unsafe";
    return NotRunProof.from(ledger).caseOf<NotRun | RanAndFailed>({
        Just: proof => ({ kind: "not-run", reason, message, retryAfterMs, proof }),
        Nothing: () => ({ kind: "failed", reason, message, repeat, retryAfterMs }),
    });
}

/** The failure of a request whose non-idempotent call was sent and whose result was lost. */
export function outcomeUnknown(message: string): OutcomeUnknown {
    return { kind: "unknown", reason: "result-lost", message };
}
