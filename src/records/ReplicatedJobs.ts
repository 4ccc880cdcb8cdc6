/**
 * Jobs over the records group. The lease of a job depends on its host's session. A host that polls for jobs monitors
 * the sessions of the other hosts and ends those without a heartbeat for a whole lease, so that their jobs are queued
 * again.
 */
import { type Either, Left, Right } from "purify-ts";
import { Emitter } from "../common/Emitter.js";
import type { Clock, Event, JobId, WorkspaceId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { HolderHeartbeat, RecordsReply, Ticket } from "./Commands.js";
import { HeldJob } from "./HeldJob.js";
import type { RecordsClient, SentReply } from "./RecordsClient.js";
import type { JobLease, JobRecord, Jobs, RecordsError } from "./Types.js";

export interface JobLimits {
    /** Bound on the jobs of a workspace within the retention time. */
    readonly jobsPerWorkspace: number;
    /** How long ended jobs are kept, in milliseconds. */
    readonly jobRetentionMs: number;
}

export class ReplicatedJobs implements Jobs {
    private readonly changeEmitter = new Emitter<JobId>();
    private readonly leases = new Map<JobId, HeldJob>();
    private pendingTakes = 0;

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
        client.onRenewed(renewed => this.reconcileHeld(renewed));
    }

    /** Fires with the id of a job that this host has changed. */
    public readonly onChange: Event<JobId> = this.changeEmitter.event;

    public get jobRetentionMs(): number {
        return this.limits().jobRetentionMs;
    }

    /** For a known id, resolves with the existing job whatever its content; the caller must compare it. */
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

    /** Resolves with the latest jobs, without their inputs and outputs. */
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
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        let pauseMs = initialPollMs;
        for (let remainingMs = timeoutMs; remainingMs > 0; remainingMs = deadlineMs - this.clock.nowMs()) {
            const lease = await this.poll(remainingMs);
            if (lease !== undefined) {
                return lease;
            }
            await this.waitForJob(Math.min(pauseMs, Math.max(0, deadlineMs - this.clock.nowMs())));
            pauseMs = Math.min(pauseMs * 2, this.client.knownJobs === undefined ? maxRemotePollMs : maxPollMs);
        }
        return undefined;
    }

    public leaseEnded(lease: HeldJob): void {
        if (this.leases.get(lease.job.id) === lease) {
            this.leases.delete(lease.job.id);
        }
        this.changeEmitter.fire(lease.job.id);
    }

    /** Tries to take a job, unless this host knows without a command that none is queued. */
    private async poll(timeoutMs: number): Promise<JobLease | undefined> {
        const knownJobs = this.client.knownJobs;
        if (knownJobs?.queuedJobs === 0) {
            await this.expireStaleHolders(knownJobs.jobHolders, timeoutMs);
            return undefined;
        }
        return this.tryTake(timeoutMs);
    }

    /** Pauses, at most until this host learns of a queued job. */
    private async waitForJob(pauseMs: number): Promise<void> {
        const woken = new AbortController();
        const listener = this.client.onResult(result => {
            if (result.queuedJobs > 0) {
                woken.abort();
            }
        });
        const updateListener = this.client.updates?.onQueuedJobs(() => woken.abort());
        await this.clock.sleep(pauseMs, woken.signal);
        listener.dispose();
        updateListener?.dispose();
    }

    private async tryTake(timeoutMs: number): Promise<JobLease | undefined> {
        const ticket = this.client.openTicket();
        this.pendingTakes += 1;
        const sent = await this.client.send({ kind: "take", ticket }, timeoutMs);
        this.pendingTakes -= 1;
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
            await this.expireStaleHolders(reply.holders, timeoutMs);
            return undefined;
        }
        return this.startLease(reply.job, index);
    }

    private undoTake(ticket: Ticket, error: RecordsError): void {
        if (error.kind === "unknown") {
            this.client.sendInBackground({ kind: "return", ticket });
        }
        else {
            this.client.closeTicket(ticket);
        }
    }

    private startLease(job: JobRecord, takenIndex: number): HeldJob {
        const lease = new HeldJob(this.client, this.clock, this.events, this, job, takenIndex);
        this.leases.set(job.id, lease);
        this.events.event(EventId.JobTaken, { job: job.id, run: job.run, stages: Object.keys(job.stages) });
        this.changeEmitter.fire(job.id);
        return lease;
    }

    private async expireStaleHolders(holders: readonly HolderHeartbeat[], timeoutMs: number): Promise<void> {
        for (const holder of holders) {
            if (holder.session.host !== this.client.session.host) {
                await this.client.expireIfStale(holder, timeoutMs);
            }
        }
    }

    /** Ends leases that the group no longer lists, and hands back jobs that a repeated command took without a lease. */
    private reconcileHeld({ reply, index }: SentReply): void {
        if (reply.kind !== "held") {
            return;
        }
        const held = new Map(reply.jobs.map(job => [job.id, job.run]));
        for (const lease of [...this.leases.values()]) {
            if (index > lease.takenIndex && held.get(lease.job.id) !== lease.job.run) {
                lease.lose("the group no longer lists the job");
            }
        }
        for (const [id, run] of this.pendingTakes > 0 ? [] : held) {
            if (this.leases.get(id)?.job.run !== run) {
                this.client.sendInBackground({ kind: "hand-back", id, run });
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

/** Bound on the size of a workspace's jobs including inputs and outputs, in characters. */
const jobSizeLimit = 64_000_000;
/**
 * Pauses between two polls for a job, in milliseconds: the first, the longest on a host that knows the number of queued
 * jobs without a command, and the longest on any other host.
 */
const initialPollMs = 50;
const maxPollMs = 200;
const maxRemotePollMs = 2000;
