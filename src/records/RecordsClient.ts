/**
 * A host's session with the records group: sends commands, keeps the session alive while it holds something, and
 * carries out in the background what must be settled although its first sender has given up. It needs only a log that
 * proposes; where the host has a replica, queries are answered from there after a read barrier.
 */
import { type Either, Left, Right } from "purify-ts";
import { Emitter } from "../common/Emitter.js";
import { invariant } from "../common/Invariant.js";
import type { Clock, Event, HostId, Incarnation } from "../common/Types.js";
import type { ProposeError, ReplicatedLog } from "../replication/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { HolderBeat, RecordsBody, RecordsCommand, RecordsReply, RecordsResult, SessionId } from "./Commands.js";
import { sessionText, type Ticket, toJson } from "./Commands.js";
import { GroupTime } from "./GroupTime.js";
import { HeartbeatTracker } from "./HeartbeatTracker.js";
import type { QueryBody, RecordsState } from "./RecordsState.js";
import type { RecordsUpdateClient } from "./RecordsUpdates.js";
import type { RecordsError } from "./Types.js";

export interface RecordsClientOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    /** How long a session lives without being heard of, in milliseconds. */
    readonly leaseMs: number;
}

/** A reply, and whether an earlier attempt of the same command may have been carried out as well. */
export interface SentReply {
    readonly reply: RecordsReply;
    /** Place of the command in the log. */
    readonly index: number;
    /** True when an attempt before the one that was answered had no answer. */
    readonly repeated: boolean;
}

/** What the client needs of the group's log. */
export type RecordsLog = Pick<ReplicatedLog, "propose" | "readBarrier" | "onApplied">;

/** What the client needs of the local replica. */
export type RecordsReplica = Pick<RecordsState, "query" | "queuedJobs" | "marksVersion" | "jobHolders">;

/** What a host holds in its session: a job's holder has to hear of each renewal, a claim's has not. */
export type HoldKind = "claim" | "job";

export class RecordsClient {
    public readonly name = "records";
    private current: SessionId;
    private nextSeq = 1;
    private readonly openSeqs = new Set<number>();
    private heardAtMs = Number.NEGATIVE_INFINITY;
    private readonly holds: Record<HoldKind, number> = { claim: 0, job: 0 };
    private readonly settling = new Set<RecordsBody>();
    private readonly time: GroupTime;
    private readonly watched: HeartbeatTracker;
    private readonly resultEmitter = new Emitter<RecordsResult>();
    private readonly sessionEmitter = new Emitter<SessionId>();
    private readonly renewEmitter = new Emitter<SentReply>();

    public constructor(
        private readonly log: RecordsLog,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly options: RecordsClientOptions,
        /** The state machine that this host's member of the group applies to; undefined where there is none. */
        public readonly replica?: RecordsReplica,
        /** What a host without a replica hears from one with it. */
        public readonly updates?: RecordsUpdateClient,
    ) {
        this.current = { host: options.host, incarnation: options.incarnation, epoch: 1 };
        this.time = new GroupTime(clock);
        this.watched = new HeartbeatTracker(clock);
    }

    /** Fires with the result of every command. */
    public readonly onResult: Event<RecordsResult> = this.resultEmitter.event;
    /** Fires with a session of this host that was ended; what it held is lost. */
    public readonly onSessionEnded: Event<SessionId> = this.sessionEmitter.event;
    /** Fires with the reply of each renewal: the jobs that the session holds. */
    public readonly onRenewed: Event<SentReply> = this.renewEmitter.event;

    public get session(): SessionId {
        return this.current;
    }

    /** Until when the session is surely alive, on the local monotonic clock. */
    public get liveUntilMs(): number {
        return this.heardAtMs + this.options.leaseMs * (1 - driftShare);
    }

    /** What this host knows of the group's jobs without a command; undefined where it has to ask. */
    public get jobsSeen(): Pick<RecordsReplica, "queuedJobs" | "jobHolders"> | undefined {
        return this.replica ?? this.updates;
    }

    /** Fires when entries were applied on this host. */
    public get onApplied(): Event<number> {
        return this.log.onApplied;
    }

    /** Commands that wait to be settled. */
    public get unsettled(): number {
        return this.settling.size;
    }

    /** Opens a ticket: a number that names one try for ever. It is closed with {@link closeTicket}. */
    public openTicket(): Ticket {
        const seq = this.nextSeq++;
        this.openSeqs.add(seq);
        return { session: this.session, seq };
    }

    /** Declares a ticket decided. */
    public closeTicket(ticket: Ticket): void {
        if (this.isCurrent(ticket.session)) {
            this.openSeqs.delete(ticket.seq);
        }
    }

    /** Keeps the session alive until {@link drop} is called as often. */
    public hold(kind: HoldKind): void {
        this.holds[kind] += 1;
    }

    public drop(kind: HoldKind): void {
        this.holds[kind] -= 1;
        invariant(this.holds[kind] >= 0, "a hold is dropped once", { kind });
    }

    /**
     * Sends a command again and again until it is answered or the time is up. Gives "not-recorded" only when the log
     * said of every attempt that it was not and will not be accepted.
     */
    public async send(body: RecordsBody, timeoutMs: number): Promise<Either<RecordsError, SentReply>> {
        const untilMs = this.clock.nowMs() + timeoutMs;
        let unanswered = false;
        let message = "no time was left";
        for (let leftMs = timeoutMs; leftMs > 0; leftMs = untilMs - this.clock.nowMs()) {
            const sentAtMs = this.clock.nowMs();
            const command = this.envelope(body);
            const result = await this.log.propose(toJson(command), Math.min(leftMs, attemptMs));
            if (result.isRight()) {
                const { reply, index } = result.extract() as unknown as RecordsResult;
                this.received(result.extract() as unknown as RecordsResult, sentAtMs, command.session);
                return Right({ reply, index, repeated: unanswered });
            }
            const error = result.extract() as ProposeError;
            unanswered = unanswered || error.kind === "unknown";
            message = error.message;
            await this.clock.sleep(Math.min(retryMs, Math.max(0, untilMs - this.clock.nowMs())));
        }
        return Left({ kind: unanswered ? "unknown" : "not-recorded", message });
    }

    /** Confirms that a quorum of the group answers. */
    public async confirmReachable(timeoutMs: number): Promise<Either<RecordsError, void>> {
        const barrier = await this.log.readBarrier(timeoutMs);
        return barrier
            .map(() => undefined)
            .mapLeft<RecordsError>(error => ({ kind: "not-recorded", message: error.message }));
    }

    /** Asks without changing anything: the local replica after a read barrier, else the log. */
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

    /** Carries a command out in the background, however long the group can't be reached, while `run` runs. */
    public settle(body: RecordsBody): void {
        this.settling.add(body);
    }

    /** Notes that a command was carried out after all and needs no more settling. */
    public settledElsewhere(body: RecordsBody): void {
        this.settling.delete(body);
    }

    /**
     * Notes a beat of another session, and asks for its end when it has not changed for a whole lease on this host's
     * clock. Resolves with true when the session was ended.
     */
    public async watch(holder: HolderBeat, timeoutMs: number): Promise<boolean> {
        const leaseMs = this.options.leaseMs * (1 + driftShare);
        if (this.isCurrent(holder.session) || this.watched.note(holder) < leaseMs) {
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

    /** Renews the session while something is held, and settles what is waiting, until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const renewMs = this.options.leaseMs / renewalsPerLease;
        while (!signal.aborted) {
            await this.settleWaiting(renewMs);
            if (this.holds.job > 0 || (this.holds.claim > 0 && this.clock.nowMs() - this.heardAtMs > renewMs / 2)) {
                await this.renew(renewMs);
            }
            await this.clock.sleep(this.settling.size > 0 ? retryMs : renewMs, signal);
        }
    }

    /** Waits until everything is settled, or the grace time is over. */
    public async drain(graceMs: number): Promise<{ readonly unfinished: number; readonly what: string; }> {
        const untilMs = this.clock.nowMs() + graceMs;
        while (this.settling.size > 0 && this.clock.nowMs() < untilMs) {
            await this.clock.sleep(retryMs);
        }
        return { unfinished: this.settling.size, what: "records that were not settled" };
    }

    private async settleWaiting(timeoutMs: number): Promise<void> {
        for (const body of [...this.settling]) {
            const sent = await this.send(body, timeoutMs);
            if (sent.isLeft()) {
                return;
            }
            this.settling.delete(body);
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
        return { session: this.session, floor, clock: this.time.reading(), body };
    }

    private received(result: RecordsResult, sentAtMs: number, session: SessionId): void {
        this.time.see(result.nowMs);
        if (this.isCurrent(session)) {
            if (result.endedBy === undefined) {
                this.heardAtMs = Math.max(this.heardAtMs, sentAtMs);
            }
            else {
                this.startSession(result.endedBy);
            }
        }
        this.resultEmitter.fire(result);
    }

    /** Starts a session after the one that the group knows as this host's latest. */
    private startSession(latest: SessionId): void {
        const ended = this.current;
        this.current = { ...latest, epoch: latest.epoch + 1 };
        this.openSeqs.clear();
        this.heardAtMs = Number.NEGATIVE_INFINITY;
        this.events.event(EventId.RecordsSessionEnded, { session: sessionText(ended) });
        this.sessionEmitter.fire(ended);
    }

    private isCurrent(session: SessionId): boolean {
        return sessionText(session) === sessionText(this.current);
    }
}

/** Bound on how far two monotonic clocks drift apart within one lease, as a share. */
const driftShare = 0.05;
/** One attempt waits so long for its answer at most, in milliseconds. */
const attemptMs = 700;
/** Pause between attempts, in milliseconds. */
const retryMs = 50;
const renewalsPerLease = 4;
