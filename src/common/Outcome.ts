/**
 * How a request ends. "Not run" can be made only from a {@link NotRunProof}, and a proof only from a
 * {@link DispatchLedger} that has seen no byte of any stage call leave the process.
 *
 * - answered: the whole answer is there.
 * - not-run: no stage call was sent; safe to repeat.
 * - failed: something ran and the request failed. `repeat` says whether the caller may send it again.
 * - unknown: a call that may not be repeated was sent and its result was lost.
 */
import { Just, type Maybe, Nothing } from "purify-ts";
import { invariant } from "./Invariant.js";

/** Why a request was refused or failed; each maps to one HTTP status in src/entry. */
export type FailureReason =
    | "invalid-request"
    | "unauthorized"
    | "not-found"
    | "body-too-large"
    | "key-reused"
    | "idempotency-key-missing"
    | "overloaded"
    | "deadline-too-short"
    | "deadline-exceeded"
    | "no-endpoint"
    | "no-quorum"
    | "not-ready"
    | "quarantined"
    | "stage-failed"
    | "cancelled"
    | "result-lost";

export interface Answered<A> {
    readonly kind: "answered";
    readonly answer: A;
}

export interface NotRun {
    readonly kind: "not-run";
    readonly reason: FailureReason;
    readonly message: string;
    /** When the caller may come back, in milliseconds; undefined where repeating is no use. */
    readonly retryAfterMs: number | undefined;
    readonly proof: NotRunProof;
}

export interface RanAndFailed {
    readonly kind: "failed";
    readonly reason: FailureReason;
    readonly message: string;
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

/** Evidence that no stage call of a request has left the process. */
export class NotRunProof {
    private constructor(private readonly ledger: DispatchLedger) {}

    /** Gives the proof, or nothing when a call was sent. Seals the ledger, so that no call can be sent later. */
    public static from(ledger: DispatchLedger): Maybe<NotRunProof> {
        if (ledger.sentCalls > 0) {
            return Nothing;
        }
        ledger.seal();
        return Just(new NotRunProof(ledger));
    }

    /** True for as long as the proof holds, which is for ever. */
    public get holds(): boolean {
        return this.ledger.sentCalls === 0;
    }
}

/**
 * Records, for one request, which stage calls may have left the process. Every client of endpoints calls
 * {@link DispatchLedger.markSent} just before the first byte is handed to a socket that is connected.
 */
export class DispatchLedger {
    private sentCount = 0;
    private unsafeCount = 0;
    private sealed = false;

    /** Calls that may have left the process. */
    public get sentCalls(): number {
        return this.sentCount;
    }

    /** Of those, the calls that may not be repeated. */
    public get sentUnsafeCalls(): number {
        return this.unsafeCount;
    }

    /** True when the request's refusal has been given and nothing may be sent any more. */
    public get isSealed(): boolean {
        return this.sealed;
    }

    /** Records that a call is about to be written. Stops the process when the request was already refused. */
    public markSent(idempotent: boolean): void {
        invariant(!this.sealed, "no call is sent for a request whose refusal was given");
        this.sentCount += 1;
        if (!idempotent) {
            this.unsafeCount += 1;
        }
    }

    /** Records that another run of the same job may have sent idempotent calls; "not run" can't be proven any more. */
    public markEarlierRun(): void {
        this.sentCount += 1;
    }

    /** Bars every later call. Whoever seals has aborted the calls that were not sent yet. */
    public seal(): void {
        this.sealed = true;
    }
}

/** Makes the failure that the ledger's evidence allows: not-run with proof, else failed or unknown. */
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

export function outcomeUnknown(message: string): OutcomeUnknown {
    return { kind: "unknown", reason: "result-lost", message };
}
