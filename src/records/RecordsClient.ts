/**
 * A host's session with the records group: sends commands, keeps the session alive while it holds claims or jobs, and
 * retries commands in the background that must be committed even after their callers' timeouts. It needs only a log to
 * propose to; on a host with a replica, queries are answered from the replica after a read barrier.
 */
import { type Either, Left, Right } from "purify-ts";
import { Emitter } from "../common/Emitter.js";
import { invariant } from "../common/Invariant.js";
import type { Clock, Event, HostId, Incarnation } from "../common/Types.js";
import type { ProposeError, ReplicatedLog } from "../replication/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type {
    HolderHeartbeat,
    RecordsBody,
    RecordsCommand,
    RecordsReply,
    RecordsResult,
    SessionId,
} from "./Commands.js";
import { sessionText, type Ticket, toJson } from "./Commands.js";
import { GroupTime } from "./GroupTime.js";
import { HeartbeatTracker } from "./HeartbeatTracker.js";
import type { QueryBody, RecordsState } from "./RecordsState.js";
import type { RecordsUpdateClient } from "./RecordsUpdates.js";
import type { RecordsError } from "./Types.js";

export interface RecordsClientOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    /** How long a session stays live without a heartbeat, in milliseconds. */
    readonly leaseMs: number;
}

/** A reply, and whether an earlier attempt of the same command may have been committed as well. */
export interface SentReply {
    readonly reply: RecordsReply;
    /** Log index of the command. */
    readonly index: number;
    /** True when an earlier attempt may have been committed, since its reply was lost. */
    readonly repeated: boolean;
}

/** What the client needs from the group's log. */
export type RecordsLog = Pick<ReplicatedLog, "propose" | "readBarrier" | "onApplied">;

/** What the client needs from the local replica. */
export type RecordsReplica = Pick<RecordsState, "query" | "queuedJobs" | "marksVersion" | "jobHolders">;

/**
 * What a session holds. While it holds a job, the session is renewed at every interval, since the reply lists the held
 * jobs; for claims it is renewed only if no other command has confirmed it recently.
 */
export type HoldKind = "claim" | "job";

export class RecordsClient {
    public readonly name = "records";
    private current: SessionId;
    private nextSeq = 1;
    private readonly openSeqs = new Set<number>();
    /** Send time of the latest command whose reply showed that the session was live, on the local clock. */
    private confirmedAtMs = Number.NEGATIVE_INFINITY;
    private readonly holds: Record<HoldKind, number> = { claim: 0, job: 0 };
    private readonly background = new Set<RecordsBody>();
    private readonly groupTime: GroupTime;
    private readonly heartbeats: HeartbeatTracker;
    private readonly resultEmitter = new Emitter<RecordsResult>();
    private readonly sessionEmitter = new Emitter<SessionId>();
    private readonly renewEmitter = new Emitter<SentReply>();

    public constructor(
        private readonly log: RecordsLog,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly options: RecordsClientOptions,
        /** State machine of this host's replica; undefined on a host without a replica. */
        public readonly replica?: RecordsReplica,
        /** Updates from a host with a replica; undefined on a host that has its own. */
        public readonly updates?: RecordsUpdateClient,
    ) {
        this.current = { host: options.host, incarnation: options.incarnation, epoch: 1 };
        this.groupTime = new GroupTime(clock);
        this.heartbeats = new HeartbeatTracker(clock);
    }

    /** Fires with the result of every command. */
    public readonly onResult: Event<RecordsResult> = this.resultEmitter.event;
    /** Fires with a session of this host that has ended; its claims and jobs are lost. */
    public readonly onSessionEnded: Event<SessionId> = this.sessionEmitter.event;
    /** Fires with the reply of each renewal, which lists the jobs that the session holds. */
    public readonly onRenewed: Event<SentReply> = this.renewEmitter.event;

    public get session(): SessionId {
        return this.current;
    }

    /** Time until which the session is certainly live, on the local monotonic clock, in milliseconds. */
    public get liveUntilMs(): number {
        return this.confirmedAtMs + this.options.leaseMs * (1 - maxDriftShare);
    }

    /** The group's jobs as this host knows them without a command; undefined when it has to send one. */
    public get knownJobs(): Pick<RecordsReplica, "queuedJobs" | "jobHolders"> | undefined {
        return this.replica ?? this.updates;
    }

    /** Fires when entries were applied on this host. */
    public get onApplied(): Event<number> {
        return this.log.onApplied;
    }

    /** Number of commands that are retried in the background. */
    public get backgroundCount(): number {
        return this.background.size;
    }

    /** Opens a ticket, a unique id of one attempt. Close it with {@link closeTicket}. */
    public openTicket(): Ticket {
        const seq = this.nextSeq++;
        this.openSeqs.add(seq);
        return { session: this.session, seq };
    }

    /** Closes a ticket whose outcome is known. */
    public closeTicket(ticket: Ticket): void {
        if (this.isCurrent(ticket.session)) {
            this.openSeqs.delete(ticket.seq);
        }
    }

    /** Keeps the session alive until the matching call of {@link drop}. */
    public hold(kind: HoldKind): void {
        this.holds[kind] += 1;
    }

    /** Undoes one call of {@link hold}. */
    public drop(kind: HoldKind): void {
        this.holds[kind] -= 1;
        invariant(this.holds[kind] >= 0, "a hold is dropped once", { kind });
    }

    /**
     * Sends a command repeatedly until it is answered or the timeout is over. The error is "not-recorded" only if the
     * log has reported for every attempt that it was not and will not be accepted.
     */
    public async send(body: RecordsBody, timeoutMs: number): Promise<Either<RecordsError, SentReply>> {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        let unanswered = false;
        let message = "no time was left";
        for (let remainingMs = timeoutMs; remainingMs > 0; remainingMs = deadlineMs - this.clock.nowMs()) {
            const sentAtMs = this.clock.nowMs();
            const command = this.envelope(body);
            const result = await this.log.propose(toJson(command), Math.min(remainingMs, attemptTimeoutMs));
            if (result.isRight()) {
                const { reply, index } = result.extract() as unknown as RecordsResult;
                this.processResult(result.extract() as unknown as RecordsResult, sentAtMs, command.session);
                return Right({ reply, index, repeated: unanswered });
            }
            const error = result.extract() as ProposeError;
            unanswered = unanswered || error.kind === "unknown";
            message = error.message;
            await this.clock.sleep(Math.min(retryPauseMs, Math.max(0, deadlineMs - this.clock.nowMs())));
        }
        return Left({ kind: unanswered ? "unknown" : "not-recorded", message });
    }

    /** Confirms that a quorum of the group can be reached. */
    public async confirmReachable(timeoutMs: number): Promise<Either<RecordsError, void>> {
        const barrier = await this.log.readBarrier(timeoutMs);
        return barrier
            .map(() => undefined)
            .mapLeft<RecordsError>(error => ({ kind: "not-recorded", message: error.message }));
    }

    /** Runs a query, on the local replica after a read barrier if there is one, else through the log. */
    public async query(body: QueryBody, timeoutMs: number): Promise<Either<RecordsError, RecordsReply>> {
        const replica = this.replica;
        if (replica === undefined) {
            return (await this.send(body, timeoutMs)).map(sent => sent.reply);
        }
        const barrier = await this.log.readBarrier(timeoutMs);
        return barrier
            .map(() => replica.query(body))
            .mapLeft<RecordsError>(error => ({ kind: "not-recorded", message: error.message }));
    }

    /** Retries a command in the background until the group answers it, as long as {@link run} runs. */
    public sendInBackground(body: RecordsBody): void {
        this.background.add(body);
    }

    /** Stops the background retries of a command that has been answered in the meantime. */
    public cancelBackgroundSend(body: RecordsBody): void {
        this.background.delete(body);
    }

    /**
     * Records a heartbeat of another session, and requests the end of that session when the heartbeat has not changed
     * for a whole lease on this host's clock. Resolves with true when the session was ended.
     */
    public async expireIfStale(holder: HolderHeartbeat, timeoutMs: number): Promise<boolean> {
        const leaseMs = this.options.leaseMs * (1 + maxDriftShare);
        if (this.isCurrent(holder.session) || this.heartbeats.record(holder) < leaseMs) {
            return false;
        }
        const sent = await this.send({ kind: "expire", session: holder.session, beat: holder.beat }, timeoutMs);
        const ended = sent.map(one => one.reply.kind === "done").orDefault(false);
        if (ended) {
            const session = sessionText(holder.session);
            this.events.event(EventId.RecordsSessionExpired, { session, beat: holder.beat });
        }
        return ended;
    }

    /** Renews the session while it is needed, and retries the background commands, until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const renewMs = this.options.leaseMs / renewalsPerLease;
        while (!signal.aborted) {
            await this.sendBackground(renewMs);
            if (this.holds.job > 0 || (this.holds.claim > 0 && this.clock.nowMs() - this.confirmedAtMs > renewMs / 2)) {
                await this.renew(renewMs);
            }
            await this.clock.sleep(this.background.size > 0 ? retryPauseMs : renewMs, signal);
        }
    }

    /** Waits until the background commands are answered or the grace time is over; `what` names unfinished items. */
    public async drain(graceMs: number): Promise<{ readonly unfinished: number; readonly what: string; }> {
        const deadlineMs = this.clock.nowMs() + graceMs;
        while (this.background.size > 0 && this.clock.nowMs() < deadlineMs) {
            await this.clock.sleep(retryPauseMs);
        }
        return { unfinished: this.background.size, what: "records that were not settled" };
    }

    private async sendBackground(timeoutMs: number): Promise<void> {
        for (const body of [...this.background]) {
            const sent = await this.send(body, timeoutMs);
            if (sent.isLeft()) {
                return;
            }
            this.background.delete(body);
            if (body.kind === "release" || body.kind === "return") {
                this.closeTicket(body.ticket);
            }
        }
    }

    private async renew(timeoutMs: number): Promise<void> {
        const session = this.session;
        const sent = await this.send({ kind: "renew" }, timeoutMs);
        sent.ifRight(renewed => {
            if (this.isCurrent(session)) {
                this.renewEmitter.fire(renewed);
            }
        });
    }

    private envelope(body: RecordsBody): RecordsCommand {
        const floor = Math.min(this.nextSeq, ...this.openSeqs);
        return { session: this.session, floor, clock: this.groupTime.reading(), body };
    }

    private processResult(result: RecordsResult, sentAtMs: number, session: SessionId): void {
        this.groupTime.observe(result.nowMs);
        if (this.isCurrent(session)) {
            if (result.endedBy === undefined) {
                this.confirmedAtMs = Math.max(this.confirmedAtMs, sentAtMs);
            }
            else {
                this.startSession(result.endedBy);
            }
        }
        this.resultEmitter.fire(result);
    }

    /** Starts a session that follows the latest one of this host known to the group. */
    private startSession(latest: SessionId): void {
        const ended = this.current;
        this.current = { ...latest, epoch: latest.epoch + 1 };
        this.openSeqs.clear();
        this.confirmedAtMs = Number.NEGATIVE_INFINITY;
        this.events.event(EventId.RecordsSessionEnded, { session: sessionText(ended) });
        this.sessionEmitter.fire(ended);
    }

    private isCurrent(session: SessionId): boolean {
        return sessionText(session) === sessionText(this.current);
    }
}

/** Bound on how far two monotonic clocks drift apart within one lease, as a share of the lease time. */
const maxDriftShare = 0.05;
/** Timeout of one attempt, in milliseconds. */
const attemptTimeoutMs = 700;
/** Pause between attempts, in milliseconds. */
const retryPauseMs = 50;
/** Number of renewals within one lease time. */
const renewalsPerLease = 4;
