/**
 * The lease of one job on this host. It is live while the host's session is live and the group lists the job as held by
 * that session.
 */
import { type Either, Left, Right } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import type { Clock, Disposable } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { RecordsBody } from "./Commands.js";
import type { RecordsClient } from "./RecordsClient.js";
import type { JobLease, JobRecord, RecordsError } from "./Types.js";

/** What a lease needs from {@link ReplicatedJobs}. */
export interface LeaseOwner {
    /** Called once, when the lease ends. */
    leaseEnded(lease: HeldJob): void;
    readonly jobRetentionMs: number;
}

export class HeldJob implements JobLease {
    private readonly abortController = new AbortController();
    private readonly journalled = new Map<string, string>();
    private isEnded = false;
    private expiry: Disposable | undefined;

    public constructor(
        private readonly client: RecordsClient,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly owner: LeaseOwner,
        public readonly job: JobRecord,
        /** Log index of the command that took the job. */
        public readonly takenIndex: number,
    ) {
        for (const [stage, output] of Object.entries(job.stages)) {
            this.journalled.set(stage, output);
        }
        client.hold("job");
        this.watchExpiry();
    }

    public get live(): boolean {
        return !this.isEnded && this.clock.nowMs() < this.client.liveUntilMs;
    }

    public get signal(): AbortSignal {
        return this.abortController.signal;
    }

    public async journal(stage: string, output: string): Promise<Either<RecordsError, void>> {
        invariant(!this.journalled.has(stage), "a stage result is journalled once", { job: this.job.id, stage });
        this.journalled.set(stage, output);
        const { id, run } = this.job;
        const result = await this.sendWhileLive({ kind: "journal", id, run, stage, output });
        this.events.event(EventId.JobJournalled, { job: id, run, stage, recorded: result.isRight() });
        return result;
    }

    public async finish(state: "answered" | "failed" | "unknown", text: string): Promise<Either<RecordsError, void>> {
        const { id, run } = this.job;
        const retentionMs = this.owner.jobRetentionMs;
        const result = await this.sendWhileLive({ kind: "end-job", id, run, state, text, retentionMs });
        this.events.event(EventId.JobEnded, { job: id, run, state, recorded: result.isRight() });
        if (result.isRight()) {
            this.end();
        }
        return result;
    }

    public async handBack(): Promise<void> {
        const { id, run } = this.job;
        const body = { kind: "hand-back", id, run } as const;
        this.stop("handed back");
        const sent = await this.client.send(body, handBackTimeoutMs);
        sent.ifLeft(() => this.client.sendInBackground(body));
    }

    /**
     * Ends the lease when the group or this host's clock requires it, and aborts the work for the job. The job is
     * handed back in the background: the group may still assign it to this host's session, which can outlive the lease.
     */
    public lose(reason: string): void {
        if (!this.isEnded) {
            this.stop(reason);
            this.client.sendInBackground({ kind: "hand-back", id: this.job.id, run: this.job.run });
        }
    }

    private stop(reason: string): void {
        if (!this.isEnded) {
            this.events.event(EventId.JobLeaseLost, { job: this.job.id, run: this.job.run, reason });
            this.end();
            this.abortController.abort();
        }
    }

    private end(): void {
        if (!this.isEnded) {
            this.isEnded = true;
            this.expiry?.dispose();
            this.client.drop("job");
            this.owner.leaseEnded(this);
        }
    }

    /** Sends a command of this run until it is answered or the lease ends. */
    private async sendWhileLive(body: RecordsBody): Promise<Either<RecordsError, void>> {
        let unanswered = false;
        while (this.live) {
            const sent = await this.client.send(body, Math.max(1, this.client.liveUntilMs - this.clock.nowMs()));
            if (sent.isRight()) {
                const { reply } = sent.extract() as { reply: { kind: string; message?: string; }; };
                return reply.kind === "refused" ? this.leaseRefused(reply.message ?? "") : Right(undefined);
            }
            unanswered = unanswered || (sent.extract() as RecordsError).kind === "unknown";
        }
        return Left({ kind: unanswered ? "unknown" : "not-recorded", message: "the job's lease was lost" });
    }

    private leaseRefused(message: string): Either<RecordsError, void> {
        this.lose(message);
        return Left({ kind: "not-recorded", message });
    }

    /** Ends the lease when the session was not renewed in time. */
    private watchExpiry(): void {
        if (this.isEnded) {
            return;
        }
        const remainingMs = this.client.liveUntilMs - this.clock.nowMs();
        if (remainingMs <= 0) {
            this.lose("not renewed in time");
            return;
        }
        this.expiry = this.clock.setTimer(remainingMs, () => this.watchExpiry());
    }
}

/** How long a hand-back waits for its commit before it continues in the background, in milliseconds. */
const handBackTimeoutMs = 1000;
