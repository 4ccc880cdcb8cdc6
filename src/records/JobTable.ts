/**
 * Jobs, their journals and their runners. Each time a job is taken its run number rises, and a command with an older
 * run number changes nothing, so a runner that lost its lease without noticing can't modify the job.
 */
import { invariant } from "../common/Invariant.js";
import type { JobId } from "../common/Types.js";
import type { BodyOf, CommonReply, HolderHeartbeat, JobReply } from "./Commands.js";
import { type SessionId, sessionText, type Ticket, ticketText } from "./Commands.js";
import { ExpiryQueue } from "./ExpiryQueue.js";
import type { SessionTable } from "./SessionTable.js";
import { newJob, sizeOf, type StoredJob, toRecord, toSummary } from "./StoredJob.js";
import { WorkspaceUsage } from "./WorkspaceUsage.js";

export interface JobTableSnapshot {
    readonly jobs: readonly StoredJob[];
    readonly queued: readonly string[];
    readonly ended: ReturnType<ExpiryQueue<string>["snapshot"]>;
}

export class JobTable {
    private readonly jobs = new Map<string, StoredJob>();
    private readonly running = new Map<string, StoredJob>();
    /** Ids of queued jobs in the order in which they were queued. */
    private readonly queued = new Set<string>();
    private readonly usage = new WorkspaceUsage();
    private readonly ended = new ExpiryQueue<string>();

    public constructor(private readonly sessions: SessionTable) {}

    /** Queues a job. For a known id it returns the existing job, whose content the caller must compare. */
    public submit(body: BodyOf<"submit">, nowMs: number): JobReply | CommonReply {
        const known = this.jobs.get(body.id);
        if (known !== undefined) {
            return known.workspace === body.workspace
                ? this.reply(known)
                : { kind: "refused", message: "the job id is another workspace's" };
        }
        if (this.usage.isFull(body.workspace, body)) {
            return { kind: "full", retryAfterMs: Math.max(minRetryAfterMs, (this.ended.nextDueMs ?? nowMs) - nowMs) };
        }
        const job = newJob(body);
        this.put(job);
        this.queued.add(job.id);
        return this.reply(job);
    }

    /** Assigns the first queued job of the workspace with the fewest running jobs to a ticket, and closes it. */
    public take(ticket: Ticket): JobReply | CommonReply {
        const taken = this.findByTicket(ticket);
        if (taken !== undefined) {
            return this.reply(taken);
        }
        if (!this.sessions.isOpen(ticket)) {
            return { kind: "ticket-closed" };
        }
        this.sessions.close(ticket);
        const next = this.nextQueued();
        if (next === undefined) {
            return this.reply(undefined);
        }
        invariant(!this.running.has(next.id), "a job has at most one runner", { job: next.id });
        const job: StoredJob = { ...next, state: "running", run: next.run + 1, ticket };
        this.queued.delete(job.id);
        this.put(job);
        return this.reply(job);
    }

    /** Undoes a take whose reply was lost, and closes its ticket. A job taken with the ticket is queued again. */
    public undoTake(ticket: Ticket): CommonReply {
        this.sessions.close(ticket);
        const taken = this.findByTicket(ticket);
        if (taken !== undefined) {
            this.requeue(taken);
        }
        return { kind: "done" };
    }

    /** Records a stage result, which can't be replaced later. */
    public journal(body: BodyOf<"journal">): CommonReply {
        const job = this.running.get(body.id);
        if (job === undefined || job.run !== body.run) {
            return { kind: "refused", message: "the job's lease is not held" };
        }
        const known = job.stages[body.stage];
        if (known !== undefined) {
            return known === body.output
                ? { kind: "done" }
                : { kind: "refused", message: "the stage has another result already" };
        }
        this.put({ ...job, stages: { ...job.stages, [body.stage]: body.output } });
        return { kind: "done" };
    }

    /** Ends a running job and starts its retention time. A repeated command changes nothing. */
    public endJob(body: BodyOf<"end-job">, nowMs: number): CommonReply {
        const job = this.jobs.get(body.id);
        if (job?.state === body.state && job.run === body.run) {
            return { kind: "done" };
        }
        if (job === undefined || job.state !== "running" || job.run !== body.run) {
            return { kind: "refused", message: "the job's lease is not held" };
        }
        const answered = body.state === "answered";
        const text = { answer: answered ? body.text : undefined, message: answered ? undefined : body.text };
        this.end({ ...job, ...text, state: body.state }, nowMs + body.retentionMs);
        return { kind: "done" };
    }

    /** Queues a job again, if it is still in the given run. */
    public handBack(id: string, run: number): CommonReply {
        const job = this.running.get(id);
        if (job?.run === run) {
            this.requeue(job);
        }
        return { kind: "done" };
    }

    /** Cancels a queued or running job. Returns the job in any case. */
    public cancel(body: BodyOf<"cancel">, nowMs: number): JobReply {
        const job = this.jobs.get(body.id);
        if (job?.state === "queued" || job?.state === "running") {
            this.queued.delete(job.id);
            this.end({ ...job, state: "cancelled" }, nowMs + body.retentionMs);
        }
        return this.get(body.id);
    }

    public get(id: string): JobReply {
        return this.reply(this.jobs.get(id));
    }

    /** Lists the latest jobs, at most {@link maxListedJobs}, newest first and without their inputs and outputs. */
    public list(workspace: string | undefined): JobReply {
        const all = [...this.jobs.values()].filter(job => workspace === undefined || job.workspace === workspace);
        const jobs = all.reverse().slice(0, maxListedJobs).map(toSummary);
        return { kind: "jobs", jobs };
    }

    /** The running jobs of a session, with their run numbers. */
    public heldBy(session: SessionId): JobReply {
        const name = sessionText(session);
        const jobs = [...this.running.values()]
            .filter(job => job.ticket !== undefined && sessionText(job.ticket.session) === name)
            .map(job => ({ id: job.id as JobId, run: job.run }));
        return { kind: "held", jobs };
    }

    /** Queues every job of a session again. */
    public endSession(session: SessionId): void {
        const name = sessionText(session);
        for (const job of [...this.running.values()]) {
            if (job.ticket !== undefined && sessionText(job.ticket.session) === name) {
                this.requeue(job);
            }
        }
    }

    /** Sessions that hold jobs. */
    public holders(): readonly HolderHeartbeat[] {
        const sessions = new Map<string, SessionId>();
        for (const { ticket } of this.running.values()) {
            if (ticket !== undefined) {
                sessions.set(sessionText(ticket.session), ticket.session);
            }
        }
        return [...sessions.values()].map(session => this.sessions.heartbeatOf(session));
    }

    public get queuedCount(): number {
        return this.queued.size;
    }

    /** Removes jobs whose retention time is over, at most `limit` of them. */
    public sweep(nowMs: number, limit: number): void {
        for (let removed = 0; removed < limit; removed++) {
            const id = this.ended.popDue(nowMs);
            if (id === undefined) {
                return;
            }
            const job = this.jobs.get(id);
            if (job !== undefined) {
                this.jobs.delete(id);
                this.usage.add(job.workspace, -1, -sizeOf(job));
            }
        }
    }

    public snapshot(): JobTableSnapshot {
        return { jobs: [...this.jobs.values()], queued: [...this.queued], ended: this.ended.snapshot() };
    }

    public restore(snapshot: JobTableSnapshot): void {
        this.jobs.clear();
        this.running.clear();
        this.usage.clear();
        this.queued.clear();
        for (const job of snapshot.jobs) {
            this.put(job);
        }
        for (const id of snapshot.queued) {
            this.queued.add(id);
        }
        this.ended.restore(snapshot.ended);
    }

    /** The first queued job of the workspace with the fewest running jobs. */
    private nextQueued(): StoredJob | undefined {
        const running = new Map<string, number>();
        for (const job of this.running.values()) {
            running.set(job.workspace, (running.get(job.workspace) ?? 0) + 1);
        }
        let best: StoredJob | undefined;
        for (const id of this.queued) {
            const job = this.jobs.get(id);
            const load = job === undefined ? 0 : running.get(job.workspace) ?? 0;
            if (job !== undefined && (best === undefined || load < (running.get(best.workspace) ?? 0))) {
                best = job;
            }
            if (best !== undefined && (running.get(best.workspace) ?? 0) === 0) {
                break;
            }
        }
        return best;
    }

    private findByTicket(ticket: Ticket): StoredJob | undefined {
        const name = ticketText(ticket);
        return [...this.running.values()].find(job => job.ticket !== undefined && ticketText(job.ticket) === name);
    }

    private requeue(job: StoredJob): void {
        this.put({ ...job, state: "queued", ticket: undefined });
        this.queued.add(job.id);
    }

    private end(job: StoredJob, forgetAtMs: number): void {
        this.put({ ...job, ticket: undefined, forgetAtMs });
        this.ended.add(job.id, forgetAtMs);
    }

    private put(job: StoredJob): void {
        const before = this.jobs.get(job.id);
        for (const [stage, output] of Object.entries(before?.stages ?? {})) {
            invariant(job.stages[stage] === output, "a stage result is journalled once", { job: job.id, stage });
        }
        invariant(job.run >= (before?.run ?? 0), "a job's run number never falls", { job: job.id });
        this.jobs.set(job.id, job);
        this.usage.add(job.workspace, before === undefined ? 1 : 0, sizeOf(job) - sizeOf(before));
        if (job.state === "running") {
            this.running.set(job.id, job);
        }
        else {
            this.running.delete(job.id);
        }
    }

    private reply(job: StoredJob | undefined): JobReply {
        return { kind: "job", job: job === undefined ? undefined : toRecord(job), holders: this.holders() };
    }
}

/** Bound on jobs in one listing. */
const maxListedJobs = 1000;
/** Shortest retry delay that a caller gets when a workspace is full, in milliseconds. */
const minRetryAfterMs = 1000;
