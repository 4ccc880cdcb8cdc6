/**
 * The state machine of the records group. It reads no clock: commands carry the group time that their sender has seen
 * and the time since then, and the state takes the maximum of that sum and its own time. Since a sender sees a time
 * only after it was reached, group time never runs ahead of the fastest member's clock, even if commands arrive late
 * or twice. Group time only determines when ended records are dropped; leases depend on the heartbeats of sessions
 * (see SessionTable).
 */
import type { Json, StateMachine } from "../replication/Types.js";
import { ClaimTable, type ClaimTableSnapshot } from "./ClaimTable.js";
import { commandSchema, type RecordsBody, type RecordsCommand, type RecordsReply, toJson } from "./Commands.js";
import type { HolderHeartbeat, RecordsResult, SessionId } from "./Commands.js";
import { CrashMarks, type CrashMarksSnapshot } from "./CrashMarks.js";
import { JobTable, type JobTableSnapshot } from "./JobTable.js";
import { SessionTable, type SessionTableSnapshot } from "./SessionTable.js";

interface RecordsSnapshot {
    readonly nowMs: number;
    readonly sessions: SessionTableSnapshot;
    readonly claims: ClaimTableSnapshot;
    readonly jobs: JobTableSnapshot;
    readonly marks: CrashMarksSnapshot;
}

/** Bodies that change nothing, so that a replica may answer them locally after a read barrier. */
export type QueryBody = Extract<RecordsBody, { kind: "look" | "get-job" | "list-jobs" | "marks"; }>;

export class RecordsState implements StateMachine {
    private readonly sessions = new SessionTable();
    private readonly claims = new ClaimTable(this.sessions);
    private readonly jobs = new JobTable(this.sessions);
    private readonly marks = new CrashMarks();
    private nowMs = 0;

    public apply(command: Json, index: number): Json {
        const parsed = commandSchema.safeParse(command);
        if (!parsed.success) {
            return this.result({ kind: "refused", message: "malformed command" }, index);
        }
        const { session, floor, clock } = parsed.data;
        this.nowMs = Math.max(this.nowMs, clock.seenMs + clock.elapsedMs);
        const replaced = this.sessions.recordHeartbeat(session, floor);
        if (replaced !== undefined) {
            this.endSession(replaced);
        }
        this.claims.sweep(this.nowMs, maxSweptPerCommand);
        this.jobs.sweep(this.nowMs, maxSweptPerCommand);
        this.marks.sweep(this.nowMs, maxSweptPerCommand);
        const reply = this.execute(parsed.data);
        return this.result(reply, index, this.sessions.endedBy(session));
    }

    /** Answers a query from the entries applied on this replica. */
    public query(body: QueryBody): RecordsReply {
        return this.read(body);
    }

    /** Version of the crash marks. */
    public get marksVersion(): number {
        return this.marks.version;
    }

    /** Number of queued jobs. */
    public get queuedJobs(): number {
        return this.jobs.queuedCount;
    }

    /** Sessions that hold jobs. */
    public get jobHolders(): readonly HolderHeartbeat[] {
        return this.jobs.holders();
    }

    public snapshot(): Json {
        const snapshot: RecordsSnapshot = {
            nowMs: this.nowMs,
            sessions: this.sessions.snapshot(),
            claims: this.claims.snapshot(),
            jobs: this.jobs.snapshot(),
            marks: this.marks.snapshot(),
        };
        return JSON.parse(JSON.stringify(snapshot)) as Json;
    }

    public restore(snapshot: Json): void {
        const { nowMs, sessions, claims, jobs, marks } = snapshot as unknown as RecordsSnapshot;
        this.nowMs = nowMs;
        this.sessions.restore(sessions);
        this.claims.restore(claims);
        this.jobs.restore(jobs);
        this.marks.restore(marks);
    }

    private execute({ session, body }: RecordsCommand): RecordsReply {
        switch (body.kind) {
            case "claim":
                return this.sessions.isLive(session) ? this.claims.claim(body, this.nowMs) : { kind: "session-ended" };
            case "finish":
                return this.claims.finish(body, this.nowMs);
            case "release":
                return this.claims.release(body);
            case "renew":
                return this.sessions.isLive(session) ? this.jobs.heldBy(session) : { kind: "session-ended" };
            case "expire":
                return this.expire(body.session, body.beat);
            case "crash":
                return this.marks.countCrash(body, this.nowMs);
            case "innocent":
                return this.marks.clearSuspect(body);
            case "pardon":
                return this.marks.clear(body.fingerprint);
            default:
                return this.executeOnJobs(session, body);
        }
    }

    private executeOnJobs(
        session: SessionId,
        body: Exclude<
            RecordsBody,
            { kind: "claim" | "finish" | "release" | "renew" | "expire" | "crash" | "innocent" | "pardon"; }
        >,
    ): RecordsReply {
        switch (body.kind) {
            case "submit":
                return this.jobs.submit(body, this.nowMs);
            case "take":
                return this.sessions.isLive(session) ? this.jobs.take(body.ticket) : { kind: "session-ended" };
            case "return":
                return this.jobs.undoTake(body.ticket);
            case "journal":
                return this.jobs.journal(body);
            case "end-job":
                return this.jobs.endJob(body, this.nowMs);
            case "hand-back":
                return this.jobs.handBack(body.id, body.run);
            case "cancel":
                return this.jobs.cancel(body, this.nowMs);
            default:
                return this.read(body);
        }
    }

    private read(body: QueryBody): RecordsReply {
        switch (body.kind) {
            case "look":
                return this.claims.lookUp(body.key);
            case "get-job":
                return this.jobs.get(body.id);
            case "list-jobs":
                return this.jobs.list(body.workspace);
            case "marks":
                return this.marks.since(body.since);
        }
    }

    private expire(session: SessionId, beat: number): RecordsReply {
        if (!this.sessions.expire(session, beat)) {
            return { kind: "refused", message: "the session has sent a command since that heartbeat" };
        }
        this.endSession(session);
        return { kind: "done" };
    }

    private endSession(session: SessionId): void {
        this.claims.endSession(session, this.nowMs);
        this.jobs.endSession(session);
    }

    private result(reply: RecordsReply, index: number, endedBy?: SessionId): Json {
        const { nowMs, marksVersion, queuedJobs } = this;
        const result: RecordsResult = { index, nowMs, marksVersion, queuedJobs, endedBy, reply };
        return toJson(result);
    }
}

/** Bound on expired records of each kind that one command drops, so that no command takes long. */
const maxSweptPerCommand = 16;
