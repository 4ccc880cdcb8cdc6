/**
 * A host's session with the records group: sends commands, keeps the session alive while it holds something, and
 * carries out in the background what must be settled although its first sender has given up. It needs only a log that
 * proposes; where the host has a replica, queries are answered from there after a read barrier.
 */
import { type Either, Left, Right } from "purify-ts";
import { Emitter } from "../common/Emitter.js";
import { invariant } from "../common/Invariant.js";
import type { Clock, Event, HostId, Incarnation } from "../common/Types.js";
import type { ReplicatedLog } from "../replication/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { HolderBeat, RecordsBody, RecordsCommand, RecordsReply, RecordsResult, SessionId } from "./Commands.js";
import { sessionText, type Ticket, toJson } from "./Commands.js";
import type { QueryBody, RecordsState } from "./RecordsState.js";
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

/** What the client needs of the local replica. */
export type RecordsReplica = Pick<RecordsState, "query" | "hasWork" | "marksVersion">;

export class RecordsClient {
    public readonly name = "records";
    private epoch = 1;
    private nextSeq = 1;
    private readonly openSeqs = new Set<number>();
    /** A group time that this host has seen, and when by its own clock. */
    private seen: { readonly nowMs: number; readonly atMs: number; } | undefined;
    private heardAtMs = Number.NEGATIVE_INFINITY;
    private holds = 0;
    private readonly settling = new Set<RecordsBody>();
    private readonly beats = new Map<string, { beat: number; sinceMs: number; }>();
    private readonly resultEmitter = new Emitter<RecordsResult>();
    private readonly sessionEmitter = new Emitter<SessionId>();
    private readonly renewEmitter = new Emitter<SentReply>();

    public constructor(
        private readonly log: ReplicatedLog,
        private readonly clock: Clock,
        private readonly events: EventLog,
        private readonly options: RecordsClientOptions,
        private readonly replica?: RecordsReplica,
    ) {}

    /** Fires with the result of every command. */
    public readonly onResult: Event<RecordsResult> = this.resultEmitter.event;
    /** Fires with a session of this host that was ended; what it held is lost. */
    public readonly onSessionEnded: Event<SessionId> = this.sessionEmitter.event;
    /** Fires with the reply of each renewal: the jobs that the session holds. */
    public readonly onRenewed: Event<SentReply> = this.renewEmitter.event;

    public get session(): SessionId {
        return { host: this.options.host, incarnation: this.options.incarnation, epoch: this.epoch };
    }

    /** Until when the session is surely alive, on the local monotonic clock. */
    public get liveUntilMs(): number {
        return this.heardAtMs + this.options.leaseMs * (1 - driftShare);
    }

    public get replicaHasWork(): boolean {
        return this.replica?.hasWork ?? true;
    }

    public get hasReplica(): boolean {
        return this.replica !== undefined;
    }

    /** Fires when entries were applied on this host. */
    public get onApplied(): Event<number> {
        return this.log.onApplied;
    }

    /** Opens a ticket: a number that names one try for ever. It is closed with {@link closeTicket}. */
    public openTicket(): Ticket {
        const seq = this.nextSeq++;
        this.openSeqs.add(seq);
        return { session: this.session, seq };
    }

    /** Declares a ticket decided. */
    public closeTicket(ticket: Ticket): void {
        if (sessionText(ticket.session) === sessionText(this.session)) {
            this.openSeqs.delete(ticket.seq);
        }
    }

    /** Keeps the session alive until {@link drop} is called as often. */
    public hold(): void {
        this.holds += 1;
    }

    public drop(): void {
        this.holds -= 1;
        invariant(this.holds >= 0, "a hold is dropped once");
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
            const command = toJson(this.envelope(body));
            const result = await this.log.propose(command, Math.min(leftMs, attemptMs));
            if (result.isRight()) {
                const { reply, index } = this.received(result.extract() as unknown as RecordsResult, sentAtMs, command);
                return Right({ reply, index, repeated: unanswered });
            }
            const error = result.extract() as { kind: string; message: string; };
            unanswered = unanswered || error.kind === "unknown";
            message = error.message;
            await this.clock.sleep(Math.min(retryMs, Math.max(0, untilMs - this.clock.nowMs())));
        }
        return Left({ kind: unanswered ? "unknown" : "not-recorded", message });
    }

    /** Asks without changing anything: the local replica after a read barrier, else the log. */
    public async query(body: QueryBody, timeoutMs: number): Promise<Either<RecordsError, RecordsReply>> {
        if (this.replica === undefined) {
            return (await this.send(body, timeoutMs)).map(sent => sent.reply);
        }
        const replica = this.replica;
        const barrier = await this.log.readBarrier(timeoutMs);
        return barrier
            .map(() => replica.query(body))
            .mapLeft<RecordsError>(error => ({ kind: "not-recorded", message: error.message }));
    }

    /** Carries a command out in the background, however long the group can't be reached, while `run` runs. */
    public settle(body: RecordsBody): void {
        this.settling.add(body);
    }

    /** Commands that wait to be settled. */
    public get unsettled(): number {
        return this.settling.size;
    }

    /**
     * Notes a beat of another session, and asks for its end when it has not changed for a whole lease on this host's
     * clock. Resolves with true when the session was ended.
     */
    public async watch(holder: HolderBeat, timeoutMs: number): Promise<boolean> {
        const name = sessionText(holder.session);
        if (name === sessionText(this.session)) {
            return false;
        }
        const nowMs = this.clock.nowMs();
        const known = this.beats.get(name);
        if (known === undefined || known.beat !== holder.beat) {
            this.beats.set(name, { beat: holder.beat, sinceMs: nowMs });
            this.boundBeats();
            return false;
        }
        if (nowMs - known.sinceMs < this.options.leaseMs * (1 + driftShare)) {
            return false;
        }
        const sent = await this.send({ kind: "expire", session: holder.session, beat: holder.beat }, timeoutMs);
        const ended = sent.map(one => one.reply.kind === "done").orDefault(false);
        if (ended) {
            this.beats.delete(name);
            this.events.event(EventId.RecordsSessionExpired, { session: name, beat: holder.beat });
        }
        return ended;
    }

    /** Renews the session while something is held, and settles what is waiting, until the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const renewMs = this.options.leaseMs / renewalsPerLease;
        while (!signal.aborted) {
            for (const body of [...this.settling]) {
                const sent = await this.send(body, renewMs);
                if (sent.isLeft()) {
                    break;
                }
                this.settling.delete(body);
                this.settled(body);
            }
            if (this.holds > 0) {
                await this.renew(renewMs);
            }
            await this.clock.sleep(this.settling.size > 0 ? retryMs : renewMs, signal);
        }
    }

    /** Starts a new session when the given one, which the group has ended, is still the current one. */
    private sessionEnded(session: SessionId): void {
        if (sessionText(session) !== sessionText(this.session)) {
            return;
        }
        this.epoch += 1;
        this.openSeqs.clear();
        this.heardAtMs = Number.NEGATIVE_INFINITY;
        this.events.event(EventId.RecordsSessionEnded, { session: sessionText(session) });
        this.sessionEmitter.fire(session);
    }

    private async renew(timeoutMs: number): Promise<void> {
        const session = this.session;
        const sent = await this.send({ kind: "renew" }, timeoutMs);
        sent.ifRight(renewed => {
            if (sessionText(session) === sessionText(this.session)) {
                this.renewEmitter.fire(renewed);
            }
        });
    }

    private settled(body: RecordsBody): void {
        if (body.kind === "release" || body.kind === "return") {
            this.closeTicket(body.ticket);
        }
    }

    private envelope(body: RecordsBody): RecordsCommand {
        const floor = Math.min(this.nextSeq, ...this.openSeqs);
        const { nowMs, atMs } = this.seen ?? { nowMs: 0, atMs: this.clock.nowMs() };
        const clock = { seenMs: nowMs, elapsedMs: this.clock.nowMs() - atMs };
        return { session: this.session, floor, clock, body };
    }

    private received(result: RecordsResult, sentAtMs: number, command: unknown): RecordsResult {
        const { session } = command as RecordsCommand;
        this.see(result.nowMs);
        if (!result.live) {
            this.sessionEnded(session);
        }
        else if (sessionText(session) === sessionText(this.session)) {
            this.heardAtMs = Math.max(this.heardAtMs, sentAtMs);
        }
        this.resultEmitter.fire(result);
        return result;
    }

    /**
     * Notes a group time. An earlier reading stays when, with the time passed since, it gives more: a reading loses
     * the way of its answer, and readings taken from one another would add these losses up.
     */
    private see(nowMs: number): void {
        const atMs = this.clock.nowMs();
        if (this.seen === undefined || nowMs > this.seen.nowMs + (atMs - this.seen.atMs)) {
            this.seen = { nowMs, atMs };
        }
    }

    private boundBeats(): void {
        const oldest = this.beats.keys().next();
        if (this.beats.size > watchedSessions && oldest.done !== true) {
            this.beats.delete(oldest.value);
        }
    }
}

/** Bound on how far two monotonic clocks drift apart within one lease, as a share. */
const driftShare = 0.05;
/** One attempt waits so long for its answer at most, in milliseconds. */
const attemptMs = 700;
/** Pause between attempts, in milliseconds. */
const retryMs = 50;
const renewalsPerLease = 4;
/** Sessions whose beats are remembered at most. */
const watchedSessions = 1024;
