/**
 * Commands and replies of the records' state machine. A command is an envelope (the sender's session and the group time
 * that it has seen) around a body. Bodies are idempotent: applying one twice, or late, has no further effect.
 */
import * as z from "zod";
import type { HostId, JobId, PipelineId, RequestId, WorkspaceId } from "../common/Types.js";
import type { Json } from "../replication/Types.js";
import type { JobRecord, RecordedOutcome } from "./Types.js";

const shortText = z.string().max(256);
const sequence = z.number().int().min(0);
const durationMs = z.number().min(0).max(1e13);

/**
 * A session of a host with the group. `incarnation` rises with each start of the host's process, `epoch` with each new
 * session of that process. A later session of the same host ends the earlier ones.
 */
const sessionSchema = z.object({ host: shortText, incarnation: z.number(), epoch: sequence });

/** Identifies one attempt to claim a key or to take a job, by a number that its session never uses again. */
const ticketSchema = z.object({ session: sessionSchema, seq: sequence });

const keySchema = z.object({ workspace: shortText, key: z.string().max(1024) });

const outcomeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("answered"), answer: z.string() }),
    z.object({ kind: z.literal("failed"), message: z.string() }),
    z.object({ kind: z.literal("unknown"), message: z.string() }),
]);

/** Quota of the workspace (`limit` records, `sizeLimit` characters), and how long ended records are kept. */
const limitsSchema = { limit: sequence, sizeLimit: sequence, retentionMs: durationMs };

const claimBody = z.object({
    kind: z.literal("claim"),
    ticket: ticketSchema,
    key: keySchema,
    digest: z.string().max(1024),
    request: shortText,
    ...limitsSchema,
});
const finishBody = z.object({
    kind: z.literal("finish"),
    ticket: ticketSchema,
    key: keySchema,
    outcome: outcomeSchema,
    retentionMs: durationMs,
});
const releaseBody = z.object({ kind: z.literal("release"), ticket: ticketSchema, key: keySchema });
/** Query of the state of a claim. */
const lookBody = z.object({ kind: z.literal("look"), key: keySchema });
/** Heartbeat that changes nothing else; the reply lists the jobs that the session holds. */
const renewBody = z.object({ kind: z.literal("renew") });
/** Request to end another session, refused if its heartbeat count is no longer `beat`. */
const expireBody = z.object({ kind: z.literal("expire"), session: sessionSchema, beat: sequence });

const submitBody = z.object({
    kind: z.literal("submit"),
    id: shortText,
    workspace: shortText,
    pipeline: shortText,
    /** JSON text, because a codec may reorder the keys of a map and so change what the caller sent. */
    input: z.string(),
    ...limitsSchema,
});
/** Request for the lease of a queued job. */
const takeBody = z.object({ kind: z.literal("take"), ticket: ticketSchema });
/** Request to undo a take whose reply was lost. */
const returnBody = z.object({ kind: z.literal("return"), ticket: ticketSchema });
/** Record of a stage result; refused if the job is in another run. */
const journalBody = z.object({
    kind: z.literal("journal"),
    id: shortText,
    run: sequence,
    stage: shortText,
    output: z.string(),
});
const endJobBody = z.object({
    kind: z.literal("end-job"),
    id: shortText,
    run: sequence,
    state: z.enum(["answered", "failed", "unknown"]),
    /** The job's answer, or a message in the other states. */
    text: z.string(),
    retentionMs: durationMs,
});
/** Request to return a running job to the queue. */
const handBackBody = z.object({ kind: z.literal("hand-back"), id: shortText, run: sequence });
const cancelBody = z.object({ kind: z.literal("cancel"), id: shortText, retentionMs: durationMs });
const getJobBody = z.object({ kind: z.literal("get-job"), id: shortText });
const listJobsBody = z.object({ kind: z.literal("list-jobs"), workspace: shortText.optional() });

const crashBody = z.object({
    kind: z.literal("crash"),
    ticket: ticketSchema,
    fingerprint: shortText,
    /** True when no other request ran on the endpoint. */
    alone: z.boolean(),
    retentionMs: durationMs,
});
/** Report that a suspect request ended without a crash. */
const innocentBody = z.object({ kind: z.literal("innocent"), ticket: ticketSchema, fingerprint: shortText });
/** Operator's request to clear the crash mark of a request. */
const pardonBody = z.object({ kind: z.literal("pardon"), fingerprint: shortText });
/** Query of the crash marks that changed after the version `since`. */
const marksBody = z.object({ kind: z.literal("marks"), since: sequence });

const bodySchema = z.discriminatedUnion("kind", [
    claimBody,
    finishBody,
    releaseBody,
    lookBody,
    renewBody,
    expireBody,
    submitBody,
    takeBody,
    returnBody,
    journalBody,
    endJobBody,
    handBackBody,
    cancelBody,
    getJobBody,
    listJobsBody,
    crashBody,
    innocentBody,
    pardonBody,
    marksBody,
]);

export const commandSchema = z.object({
    session: sessionSchema,
    /** Tickets of the session with a lower number are closed; a command that names one comes too late. */
    floor: sequence,
    /** Group time that the sender has seen, and the time since then on its own monotonic clock, in milliseconds. */
    clock: z.object({ seenMs: durationMs, elapsedMs: durationMs }),
    body: bodySchema,
});

export type RecordsCommand = z.infer<typeof commandSchema>;
export type RecordsBody = z.infer<typeof bodySchema>;
/** The body of one kind of command. */
export type BodyOf<K extends RecordsBody["kind"]> = Extract<RecordsBody, { kind: K; }>;
export type SessionId = z.infer<typeof sessionSchema>;
export type Ticket = z.infer<typeof ticketSchema>;
export type RawClaimKey = z.infer<typeof keySchema>;

/** A session that holds claims or jobs, and its heartbeat counter, which rises with each of its commands. */
export interface HolderHeartbeat {
    readonly session: SessionId;
    readonly beat: number;
}

/** Crash record of a request that ran on an endpoint when it crashed. */
export interface CrashMark {
    readonly fingerprint: string;
    /** "suspect": may only run alone; "quarantined": may not run; "clear": unrestricted. */
    readonly state: "suspect" | "quarantined" | "clear";
    readonly crashes: number;
    /** Version of the marks at the last change of this mark. */
    readonly version: number;
}

export type ClaimReply =
    | { readonly kind: "claimed"; }
    | { readonly kind: "recorded"; readonly outcome: RecordedOutcome; }
    | { readonly kind: "running"; readonly request: RequestId; readonly holder: HolderHeartbeat; }
    /** The key was used with another body. */
    | { readonly kind: "key-reused"; }
    /** The key has no claim. */
    | { readonly kind: "none"; };

/** Replies that are not specific to one kind of body. */
export type CommonReply =
    | { readonly kind: "done"; }
    /** The sender's session has ended; nothing was changed. */
    | { readonly kind: "session-ended"; }
    /** The command's ticket is closed; nothing was changed. */
    | { readonly kind: "ticket-closed"; }
    /** The workspace's quota is used up. */
    | { readonly kind: "full"; readonly retryAfterMs: number; }
    /** The state of the job or claim does not allow the command; nothing was changed. */
    | { readonly kind: "refused"; readonly message: string; };

export type JobReply =
    | { readonly kind: "job"; readonly job: JobRecord | undefined; readonly holders: readonly HolderHeartbeat[]; }
    | { readonly kind: "jobs"; readonly jobs: readonly JobRecord[]; }
    /** The jobs that the sender's session holds. */
    | { readonly kind: "held"; readonly jobs: readonly { readonly id: JobId; readonly run: number; }[]; };

export interface MarksReply {
    readonly kind: "marks";
    /** True when the receiver must discard all marks that it has. */
    readonly reset: boolean;
    readonly version: number;
    readonly marks: readonly CrashMark[];
}

/** The mark after a report was applied. */
export interface MarkReply {
    readonly kind: "mark";
    readonly mark: CrashMark;
}

export type RecordsReply = ClaimReply | CommonReply | JobReply | MarksReply | MarkReply;

/** Result of every command. */
export interface RecordsResult {
    /** Log index of the command. */
    readonly index: number;
    /** Group time after the command, in milliseconds. */
    readonly nowMs: number;
    /** Version of the crash marks, so that caches know when to refresh. */
    readonly marksVersion: number;
    /** Number of queued jobs. */
    readonly queuedJobs: number;
    /** The latest session of the sending host if the sender's session has ended; undefined while it is live. */
    readonly endedBy: SessionId | undefined;
    readonly reply: RecordsReply;
}

/** Types a value as JSON without converting it; the value must contain JSON values only. */
export function toJson(value: unknown): Json {
    return value as Json;
}

/** Text that identifies a session, for use as a map key and in events. */
export function sessionText(session: SessionId): string {
    return `${session.host}/${session.incarnation}/${session.epoch}`;
}

/** Text that identifies a ticket, for use as a map key. */
export function ticketText(ticket: Ticket): string {
    return `${sessionText(ticket.session)}#${ticket.seq}`;
}

/** Orders two sessions of one host: negative when `a` is the earlier one. */
export function compareSessions(a: SessionId, b: SessionId): number {
    return a.incarnation === b.incarnation ? a.epoch - b.epoch : a.incarnation - b.incarnation;
}

/** Converts ids from the log to branded ids. They were validated before they were proposed. */
export function asIds(job: { id: string; workspace: string; pipeline: string; }): {
    id: JobId;
    workspace: WorkspaceId;
    pipeline: PipelineId;
} {
    return { id: job.id as JobId, workspace: job.workspace as WorkspaceId, pipeline: job.pipeline as PipelineId };
}

export function asHost(session: SessionId): HostId {
    return session.host as HostId;
}
