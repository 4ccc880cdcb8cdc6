/**
 * Jobs over the records group. A host's jobs live with its session; a host that asks for work watches the sessions of
 * the others and has them ended when they are silent for a lease, so that their jobs come back into the queue.
 */
import { type Either, Left, Right } from "purify-ts";
import { Emitter } from "../common/Emitter.js";
import type { Clock, Event, JobId, WorkspaceId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { HolderBeat, RecordsReply, Ticket } from "./Commands.js";
import { HeldJob } from "./HeldJob.js";
import type { RecordsClient, SentReply } from "./RecordsClient.js";
import type { JobLease, JobRecord, Jobs, RecordsError } from "./Types.js";

export interface JobLimits {
    /** Jobs that a workspace may have within the retention time. */
    readonly jobsPerWorkspace: number;
    /** How long results of jobs are kept, in milliseconds. */
    readonly jobRetentionMs: number;
}

export class ReplicatedJobs implements Jobs {
    private readonly changeEmitter = new Emitter<JobId>();
    private readonly leases = new Map<JobId, HeldJob>();
    private takesOpen = 0;

    public constructor(
        private readonly client: RecordsClient,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly limits: () => JobLimits,
    ) {
        client.onSessionEnded(() => {
            for (const lease of [...this.leases.values()]) {
                lease.lose("the session was ended");
            }
        });
        client.onRenewed(renewed => this.compareHeld(renewed));
    }

    /** Fires for jobs that this host changed. */
    public readonly onChange: Event<JobId> = this.changeEmitter.event;

    public get jobRetentionMs(): number {
        return this.limits().jobRetentionMs;
    }

    /** Where the id is known its job is given, whatever its content: the caller compares. */
    public async submit(
        job: Pick<JobRecord, "id" | "workspace" | "pipeline" | "input">,
        timeoutMs: number,
    ): Promise<Either<RecordsError, JobRecord>> {
        const { jobsPerWorkspace: limit, jobRetentionMs: retentionMs } = this.limits();
        const { id, workspace, pipeline } = job;
        const input = JSON.stringify(job.input ?? null);
        const sent = await this.client.send(
            { kind: "submit", id, workspace, pipeline, input, limit, sizeLimit: jobSizeLimit, retentionMs },
            timeoutMs,
        );
        return sent.chain(({ reply }) => {
            if (reply.kind === "job" && reply.job !== undefined) {
                this.changeEmitter.fire(id);
                return Right(reply.job);
            }
            if (reply.kind === "full") {
                const message = `workspace ${workspace} has too many jobs`;
                return Left<RecordsError>({ kind: "full", message, retryAfterMs: reply.retryAfterMs });
            }
            return notRecorded(reply);
        });
    }

    public async get(id: JobId, timeoutMs: number): Promise<Either<RecordsError, JobRecord | undefined>> {
        return (await this.client.query({ kind: "get-job", id }, timeoutMs)).chain(jobOf);
    }

    /** The latest jobs, without their inputs and outputs. */
    public async list(
        workspace: WorkspaceId | undefined,
        timeoutMs: number,
    ): Promise<Either<RecordsError, readonly JobRecord[]>> {
        const reply = await this.client.query({ kind: "list-jobs", workspace }, timeoutMs);
        return reply.chain(one => one.kind === "jobs" ? Right(one.jobs) : notRecorded(one));
    }

    public async cancel(id: JobId, timeoutMs: number): Promise<Either<RecordsError, JobRecord | undefined>> {
        const retentionMs = this.limits().jobRetentionMs;
        const sent = await this.client.send({ kind: "cancel", id, retentionMs }, timeoutMs);
        if (sent.isRight()) {
            this.leases.get(id)?.lose("cancelled");
            this.changeEmitter.fire(id);
        }
        return sent.chain(({ reply }) => jobOf(reply));
    }

    public async take(timeoutMs: number): Promise<JobLease | undefined> {
        const untilMs = this.clock.nowMs() + timeoutMs;
        let pauseMs = firstPollMs;
        for (let leftMs = timeoutMs; leftMs > 0; leftMs = untilMs - this.clock.nowMs()) {
            const lease = await this.look(leftMs);
            if (lease !== undefined) {
                return lease;
            }
            await this.pause(Math.min(pauseMs, Math.max(0, untilMs - this.clock.nowMs())));
            pauseMs = Math.min(pauseMs * 2, this.client.jobsSeen === undefined ? mostRemotePollMs : mostPollMs);
        }
        return undefined;
    }

    public leaseEnded(lease: HeldJob): void {
        if (this.leases.get(lease.job.id) === lease) {
            this.leases.delete(lease.job.id);
        }
        this.changeEmitter.fire(lease.job.id);
    }

    /** Asks for a job; what this host knows without a command is looked at first. */
    private async look(timeoutMs: number): Promise<JobLease | undefined> {
        const seen = this.client.jobsSeen;
        if (seen?.queuedJobs === 0) {
            await this.watch(seen.jobHolders, timeoutMs);
            return undefined;
        }
        return this.tryTake(timeoutMs);
    }

    /** Waits, but only until this host hears of a queued job. */
    private async pause(pauseMs: number): Promise<void> {
        const woken = new AbortController();
        const listener = this.client.onResult(result => {
            if (result.queuedJobs > 0) {
                woken.abort();
            }
        });
        const newsListener = this.client.updates?.onQueuedJobs(() => woken.abort());
        await this.clock.sleep(pauseMs, woken.signal);
        listener.dispose();
        newsListener?.dispose();
    }

    private async tryTake(timeoutMs: number): Promise<JobLease | undefined> {
        const ticket = this.client.openTicket();
        this.takesOpen += 1;
        const sent = await this.client.send({ kind: "take", ticket }, timeoutMs);
        this.takesOpen -= 1;
        if (sent.isLeft()) {
            this.undoTake(ticket, sent.extract());
            return undefined;
        }
        this.client.closeTicket(ticket);
        const { reply, index } = sent.extract() as SentReply;
        if (reply.kind !== "job") {
            return undefined;
        }
        if (reply.job === undefined) {
            await this.watch(reply.holders, timeoutMs);
            return undefined;
        }
        return this.hold(reply.job, index);
    }

    private undoTake(ticket: Ticket, error: RecordsError): void {
        if (error.kind === "unknown") {
            this.client.settle({ kind: "return", ticket });
        }
        else {
            this.client.closeTicket(ticket);
        }
    }

    private hold(job: JobRecord, takenAt: number): HeldJob {
        const lease = new HeldJob(this.client, this.clock, this.events, this, job, takenAt);
        this.leases.set(job.id, lease);
        this.events.event(EventId.JobTaken, { job: job.id, run: job.run, stages: Object.keys(job.stages) });
        this.changeEmitter.fire(job.id);
        return lease;
    }

    private async watch(holders: readonly HolderBeat[], timeoutMs: number): Promise<void> {
        for (const holder of holders) {
            if (holder.session.host !== this.client.session.host) {
                await this.client.watch(holder, timeoutMs);
            }
        }
    }

    /** Loses leases that the group no longer names, and hands back what a repeated command took unasked. */
    private compareHeld({ reply, index }: SentReply): void {
        if (reply.kind !== "held") {
            return;
        }
        const held = new Map(reply.jobs.map(job => [job.id, job.run]));
        for (const lease of [...this.leases.values()]) {
            if (index > lease.takenAt && held.get(lease.job.id) !== lease.job.run) {
                lease.lose("the group does not name the job");
            }
        }
        for (const [id, run] of this.takesOpen > 0 ? [] : held) {
            if (this.leases.get(id)?.job.run !== run) {
                this.client.settle({ kind: "hand-back", id, run });
            }
        }
    }
}

function jobOf(reply: RecordsReply): Either<RecordsError, JobRecord | undefined> {
    return reply.kind === "job" ? Right(reply.job) : notRecorded(reply);
}

function notRecorded(reply: RecordsReply): Either<RecordsError, never> {
    const message = reply.kind === "refused" ? reply.message : `unexpected reply: ${reply.kind}`;
    return Left({ kind: "not-recorded", message });
}

/** Characters that the jobs of a workspace may take, inputs and outputs included. */
const jobSizeLimit = 64_000_000;
/** Pauses between two questions for work, in milliseconds: at first, of the own replica, and of the group. */
const firstPollMs = 50;
const mostPollMs = 200;
const mostRemotePollMs = 2000;
