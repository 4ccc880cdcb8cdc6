/**
 * Durable records of a region: claims of non-idempotent calls, job journals, quarantined requests. All are kept by
 * one state machine over a replicated log.
 */
import type { Either } from "purify-ts";
import type { Event, HostId, JobId, PipelineId, RequestId, WorkspaceId } from "../common/Types.js";

/** Names a call that may run at most once. */
export interface ClaimKey {
    readonly workspace: WorkspaceId;
    /** The caller's Idempotency-Key. */
    readonly key: string;
}

/** What is recorded as the end of a claim and given to every resend. */
export type RecordedOutcome =
    | { readonly kind: "answered"; readonly answer: string; }
    | { readonly kind: "failed"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

export type ClaimResult =
    /** The claim is this request's: it alone may send the call. */
    | { readonly kind: "claimed"; readonly claim: Claim; }
    /** An earlier request with this key has ended so. */
    | { readonly kind: "recorded"; readonly outcome: RecordedOutcome; }
    /** An earlier request with this key is running on a host; wait for it with `wait`. */
    | { readonly kind: "running"; readonly host: HostId; readonly request: RequestId; }
    /** The key was used with another body. */
    | { readonly kind: "key-reused"; };

export type RecordsError =
    /** The records group can't be reached, and nothing was recorded nor will be. */
    | { readonly kind: "not-recorded"; readonly message: string; }
    /** The record may or may not have been made. */
    | { readonly kind: "unknown"; readonly message: string; }
    /** The workspace has too many claims or jobs within the retention window. */
    | { readonly kind: "full"; readonly message: string; readonly retryAfterMs: number; };

export interface Claim {
    readonly key: ClaimKey;
    readonly request: RequestId;
    /** Commits the outcome; the caller is answered only afterwards. */
    finish(outcome: RecordedOutcome, timeoutMs: number): Promise<Either<RecordsError, void>>;
    /** Gives the claim up after the call was proven unsent. */
    release(timeoutMs: number): Promise<Either<RecordsError, void>>;
}

export interface Claims {
    /**
     * Commits a claim, or tells what became of an earlier one. After an error of kind "unknown" the claim's id is
     * withdrawn: a claim that commits late is never used, because `request` names each try.
     */
    claim(
        key: ClaimKey,
        bodyDigest: string,
        request: RequestId,
        timeoutMs: number,
    ): Promise<Either<RecordsError, ClaimResult>>;
    /** Confirms that the records group can be reached, so that work before a claim is not done in vain. */
    confirmReachable(timeoutMs: number): Promise<Either<RecordsError, void>>;
    /** Waits for the end of a claim that runs elsewhere; undefined when it has not ended by then. */
    wait(key: ClaimKey, timeoutMs: number, signal: AbortSignal): Promise<RecordedOutcome | undefined>;
}

export type JobState = "queued" | "running" | "answered" | "failed" | "cancelled" | "unknown";

export interface JobRecord {
    readonly id: JobId;
    readonly workspace: WorkspaceId;
    readonly pipeline: PipelineId;
    readonly input: unknown;
    readonly state: JobState;
    /** Outputs of the stages that have ended, by stage. */
    readonly stages: Readonly<Record<string, string>>;
    readonly runner: HostId | undefined;
    /** Rises each time the job's lease goes to another runner; results of an older run are refused. */
    readonly run: number;
    readonly answer: string | undefined;
    readonly message: string | undefined;
}

/** A job that this host holds the lease of. */
export interface JobLease {
    readonly job: JobRecord;
    /** True while the lease is held; nothing is sent for the job otherwise. */
    readonly live: boolean;
    /** Aborted when the lease is lost or the job is cancelled. */
    readonly signal: AbortSignal;
    /** Commits a stage result; the next stage starts only afterwards. */
    journal(stage: string, output: string): Promise<Either<RecordsError, void>>;
    finish(state: "answered" | "failed" | "unknown", text: string): Promise<Either<RecordsError, void>>;
    /** Hands the job back so that another host goes on with it. */
    handBack(): Promise<void>;
}

export interface Jobs {
    /** Accepted means committed. The same id sent again gives the same job. */
    submit(
        job: Pick<JobRecord, "id" | "workspace" | "pipeline" | "input">,
        timeoutMs: number,
    ): Promise<Either<RecordsError, JobRecord>>;
    get(id: JobId, timeoutMs: number): Promise<Either<RecordsError, JobRecord | undefined>>;
    list(workspace: WorkspaceId | undefined, timeoutMs: number): Promise<Either<RecordsError, readonly JobRecord[]>>;
    cancel(id: JobId, timeoutMs: number): Promise<Either<RecordsError, JobRecord | undefined>>;
    /** Takes the lease of a job that nobody runs; undefined when there is none. */
    take(timeoutMs: number): Promise<JobLease | undefined>;
    readonly onChange: Event<JobId>;
}

/** Fingerprint of a request: a digest of workspace, pipeline and body. */
export type Fingerprint = string;

export interface Quarantine {
    /** True when the request may not run. Answered from the local replica or cache, without a message. */
    isQuarantined(fingerprint: Fingerprint): boolean;
    /** True when the request has crashed an endpoint and may only run alone. */
    isSuspect(fingerprint: Fingerprint): boolean;
    /** Reports a crash of an endpoint while the request ran; `alone` when nothing else ran on it. */
    reportCrash(fingerprint: Fingerprint, alone: boolean): Promise<Either<RecordsError, void>>;
    /** Reports that a suspect ended without a crash; resolves at once and goes on in the background. */
    reportNoCrash(fingerprint: Fingerprint): Promise<Either<RecordsError, void>>;
}
