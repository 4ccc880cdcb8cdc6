/**
 * Contracts of the durable records of a region: claims of non-idempotent calls, jobs with their journals, quarantined
 * requests. One state machine over a replicated log keeps all of them.
 */
import type { Either } from "purify-ts";
import type { Event, HostId, JobId, PipelineId, RequestId, WorkspaceId } from "../common/Types.js";

/** Identifies a call that may run at most once. */
export interface ClaimKey {
    readonly workspace: WorkspaceId;
    /** The caller's Idempotency-Key. */
    readonly key: string;
}

/** Recorded outcome of a claim, returned to every resend of the request. */
export type RecordedOutcome =
    | { readonly kind: "answered"; readonly answer: string; }
    | { readonly kind: "failed"; readonly message: string; }
    /** The call may or may not have taken effect. */
    | { readonly kind: "unknown"; readonly message: string; };

export type ClaimResult =
    /** The claim belongs to this request, which alone may send the call. */
    | { readonly kind: "claimed"; readonly claim: Claim; }
    /** An earlier request with this key has ended with this outcome. */
    | { readonly kind: "recorded"; readonly outcome: RecordedOutcome; }
    /** An earlier request with this key is running on a host; wait for it with `wait`. */
    | { readonly kind: "running"; readonly host: HostId; readonly request: RequestId; }
    /** The key was used with another body. */
    | { readonly kind: "key-reused"; };

export type RecordsError =
    /** Nothing was or will be recorded, since the group can't be reached or has refused the command. */
    | { readonly kind: "not-recorded"; readonly message: string; }
    /** The record may or may not have been made. */
    | { readonly kind: "unknown"; readonly message: string; }
    /** The workspace has too many claims or jobs within the retention window. */
    | { readonly kind: "full"; readonly message: string; readonly retryAfterMs: number; };

/** A claim that this host holds: the right to send one call that must not be repeated. */
export interface Claim {
    readonly key: ClaimKey;
    readonly request: RequestId;
    /** Commits the outcome; the caller must be answered only afterwards. */
    finish(outcome: RecordedOutcome, timeoutMs: number): Promise<Either<RecordsError, void>>;
    /** Gives the claim up; allowed only when the call was certainly not sent. */
    release(timeoutMs: number): Promise<Either<RecordsError, void>>;
}

/** Claims of calls that may run at most once, by the caller's idempotency key. */
export interface Claims {
    /**
     * Commits a claim, or returns the state of an earlier claim of the key. After an error of kind "unknown" the
     * attempt is withdrawn: if its claim is committed late, it is not used. `request` identifies each attempt.
     */
    claim(
        key: ClaimKey,
        bodyDigest: string,
        request: RequestId,
        timeoutMs: number,
    ): Promise<Either<RecordsError, ClaimResult>>;
    /** Confirms that the records group can be reached, so that no work is done before a claim that would fail. */
    confirmReachable(timeoutMs: number): Promise<Either<RecordsError, void>>;
    /** Waits for the outcome of a claim that runs on another host; undefined when there is none by the timeout. */
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
    /** Host that holds the job's lease; undefined unless the job is running. */
    readonly runner: HostId | undefined;
    /** Run number, which rises each time the job's lease is granted; results of an older run are refused. */
    readonly run: number;
    /** Set only when the state is "answered". */
    readonly answer: string | undefined;
    /** Why the job has no answer; set only when the state is "failed" or "unknown". */
    readonly message: string | undefined;
}

/** The lease of a job, held by this host. */
export interface JobLease {
    readonly job: JobRecord;
    /** True while the lease is held; when false, nothing may be sent for the job. */
    readonly live: boolean;
    /** Aborted when the lease is lost or the job is cancelled. */
    readonly signal: AbortSignal;
    /** Commits a stage result; the next stage must start only afterwards. */
    journal(stage: string, output: string): Promise<Either<RecordsError, void>>;
    /** Commits the end of the job; `text` is its answer or, in the other states, a message. */
    finish(state: "answered" | "failed" | "unknown", text: string): Promise<Either<RecordsError, void>>;
    /** Returns the job to the queue so that another host can continue it. */
    handBack(): Promise<void>;
}

/** Jobs that run stage by stage and are continued by another host when their runner is lost. */
export interface Jobs {
    /** Resolves once the job is committed. Submitting an id again returns the same job. */
    submit(
        job: Pick<JobRecord, "id" | "workspace" | "pipeline" | "input">,
        timeoutMs: number,
    ): Promise<Either<RecordsError, JobRecord>>;
    /** Resolves with undefined if there is no such job. */
    get(id: JobId, timeoutMs: number): Promise<Either<RecordsError, JobRecord | undefined>>;
    /** Lists the latest jobs of one workspace or of all, without their inputs and outputs. */
    list(workspace: WorkspaceId | undefined, timeoutMs: number): Promise<Either<RecordsError, readonly JobRecord[]>>;
    /** Cancels a job that has not ended. Resolves with the job afterwards; undefined if there is no such job. */
    cancel(id: JobId, timeoutMs: number): Promise<Either<RecordsError, JobRecord | undefined>>;
    /** Takes the lease of a queued job; undefined when there is none within the timeout. */
    take(timeoutMs: number): Promise<JobLease | undefined>;
    /** Fires with the id of a job that this host has changed. */
    readonly onChange: Event<JobId>;
}

/** Fingerprint of a request: a digest of workspace, pipeline and body. */
export type Fingerprint = string;

/** Keeps requests that crash endpoints from running again. */
export interface Quarantine {
    /** True when the request may not run. Answered from local state, without a message. */
    isQuarantined(fingerprint: Fingerprint): boolean;
    /** True when the request may have crashed an endpoint and may only run alone. */
    isSuspect(fingerprint: Fingerprint): boolean;
    /** Reports a crash of an endpoint while the request ran; `alone` is true when no other request ran on it. */
    reportCrash(fingerprint: Fingerprint, alone: boolean): Promise<Either<RecordsError, void>>;
    /** Reports that a suspect ended without a crash. Resolves at once; the report is sent in the background. */
    reportNoCrash(fingerprint: Fingerprint): Promise<Either<RecordsError, void>>;
}
