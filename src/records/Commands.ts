/**
 * Commands and replies of the records' state machine. A command is an envelope (who sends it, what time the sender has
 * seen) round a body. Bodies are idempotent: one that is applied twice, or that is applied late, changes nothing more.
 */
import { z } from "zod";
import type { HostId, JobId, PipelineId, RequestId, WorkspaceId } from "../common/Types.js";
import type { Json } from "../replication/Types.js";
import type { JobRecord, RecordedOutcome } from "./Types.js";

const text = z.string().max(256);
const sequence = z.number().int().min(0);
const durationMs = z.number().min(0).max(1e13);

/** One life of a host towards the group. A later one of the same host ends the earlier ones. */
const sessionSchema = z.object({ host: text, incarnation: z.number(), epoch: sequence });

/** Names one try to claim a key or to take a job: a number of its session that is never used again. */
const ticketSchema = z.object({ session: sessionSchema, seq: sequence });

const keySchema = z.object({ workspace: text, key: z.string().max(1024) });

const outcomeSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("answered"), answer: z.string() }),
    z.object({ kind: z.literal("failed"), message: z.string() }),
    z.object({ kind: z.literal("unknown"), message: z.string() }),
]);

const limitsSchema = { limit: sequence, sizeLimit: sequence, retentionMs: durationMs };

const claimBody = z.object({
    kind: z.literal("claim"),
    ticket: ticketSchema,
    key: keySchema,
    digest: z.string().max(1024),
    request: text,
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
const lookBody = z.object({ kind: z.literal("look"), key: keySchema });
const renewBody = z.object({ kind: z.literal("renew") });
const expireBody = z.object({ kind: z.literal("expire"), session: sessionSchema, beat: sequence });

const submitBody = z.object({
    kind: z.literal("submit"),
    id: text,
    workspace: text,
    pipeline: text,
    /** JSON text: a codec that reorders the keys of a map must not change what the caller sent. */
    input: z.string(),
    ...limitsSchema,
});
const takeBody = z.object({ kind: z.literal("take"), ticket: ticketSchema });
const returnBody = z.object({ kind: z.literal("return"), ticket: ticketSchema });
const journalBody = z.object({
    kind: z.literal("journal"),
    id: text,
    run: sequence,
    stage: text,
    output: z.string(),
});
const endJobBody = z.object({
    kind: z.literal("end-job"),
    id: text,
    run: sequence,
    state: z.enum(["answered", "failed", "unknown"]),
    text: z.string(),
    retentionMs: durationMs,
});
const handBackBody = z.object({ kind: z.literal("hand-back"), id: text, run: sequence });
const cancelBody = z.object({ kind: z.literal("cancel"), id: text, retentionMs: durationMs });
const getJobBody = z.object({ kind: z.literal("get-job"), id: text });
const listJobsBody = z.object({ kind: z.literal("list-jobs"), workspace: text.optional() });

const crashBody = z.object({
    kind: z.literal("crash"),
    ticket: ticketSchema,
    fingerprint: text,
    alone: z.boolean(),
    retentionMs: durationMs,
});
const innocentBody = z.object({ kind: z.literal("innocent"), ticket: ticketSchema, fingerprint: text });
const pardonBody = z.object({ kind: z.literal("pardon"), fingerprint: text });
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
    /** Sequence numbers of the session below this one are decided: a command that names one comes too late. */
    floor: sequence,
    /** Group time that the sender has seen, and how long ago by its own monotonic clock, in milliseconds. */
    clock: z.object({ seenMs: durationMs, elapsedMs: durationMs }),
    body: bodySchema,
});

export type RecordsCommand = z.infer<typeof commandSchema>;
export type RecordsBody = z.infer<typeof bodySchema>;
export type BodyOf<K extends RecordsBody["kind"]> = Extract<RecordsBody, { kind: K; }>;
export type SessionId = z.infer<typeof sessionSchema>;
export type Ticket = z.infer<typeof ticketSchema>;
export type KeyText = z.infer<typeof keySchema>;

/** A session that holds something, and the number that rises while it is heard of. */
export interface HolderBeat {
    readonly session: SessionId;
    readonly beat: number;
}

/** What is known of a request that an endpoint's crash has made suspicious. */
export interface CrashMark {
    readonly fingerprint: string;
    readonly state: "suspect" | "quarantined" | "clear";
    readonly crashes: number;
    /** Version of the marks at the last change of this one. */
    readonly version: number;
}

export type ClaimReply =
    | { readonly kind: "claimed"; }
    | { readonly kind: "recorded"; readonly outcome: RecordedOutcome; }
    | { readonly kind: "running"; readonly request: RequestId; readonly holder: HolderBeat; }
    | { readonly kind: "key-reused"; }
    | { readonly kind: "none"; };

/** Replies that any body may get. */
export type CommonReply =
    | { readonly kind: "done"; }
    /** The sender's session was ended; nothing was changed. */
    | { readonly kind: "session-ended"; }
    /** The command's ticket was closed before; nothing was changed. */
    | { readonly kind: "ticket-closed"; }
    | { readonly kind: "full"; readonly retryAfterMs: number; }
    /** The job's or claim's state does not allow it; nothing was changed. */
    | { readonly kind: "refused"; readonly message: string; };

export type JobReply =
    | { readonly kind: "job"; readonly job: JobRecord | undefined; readonly holders: readonly HolderBeat[]; }
    | { readonly kind: "jobs"; readonly jobs: readonly JobRecord[]; }
    | { readonly kind: "held"; readonly jobs: readonly { readonly id: JobId; readonly run: number; }[]; };

export interface MarksReply {
    readonly kind: "marks";
    /** True when the receiver must forget what it knew. */
    readonly reset: boolean;
    readonly version: number;
    readonly marks: readonly CrashMark[];
}

/** What a report has made of a mark. */
export interface MarkReply {
    readonly kind: "mark";
    readonly mark: CrashMark;
}

export type RecordsReply = ClaimReply | CommonReply | JobReply | MarksReply | MarkReply;

/** What every command gives back. */
export interface RecordsResult {
    /** Place of the command in the log. */
    readonly index: number;
    /** Group time after the command, in milliseconds. */
    readonly nowMs: number;
    /** Version of the crash marks, so that caches know when to refresh. */
    readonly marksVersion: number;
    /** Jobs that wait for a runner. */
    readonly queuedJobs: number;
    /** The sender's latest session, when the one that it named has ended; undefined while that one lives. */
    readonly endedBy: SessionId | undefined;
    readonly reply: RecordsReply;
}

export function toJson(value: unknown): Json {
    return value as Json;
}

export function sessionText(session: SessionId): string {
    return `${session.host}/${session.incarnation}/${session.epoch}`;
}

export function ticketText(ticket: Ticket): string {
    return `${sessionText(ticket.session)}#${ticket.seq}`;
}

/** Orders two sessions of one host: negative when `a` is the earlier one. */
export function compareSessions(a: SessionId, b: SessionId): number {
    return a.incarnation === b.incarnation ? a.epoch - b.epoch : a.incarnation - b.incarnation;
}

/** Ids that come out of the log were checked before they were proposed. */
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
