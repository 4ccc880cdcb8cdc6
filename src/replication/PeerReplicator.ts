/**
 * Keeps one follower up to date while this host leads: one task, with one message on its way at a time and a bound on
 * its size. A follower that lags behind the log's base gets the snapshot in parts first.
 */
import { invariant } from "../common/Invariant.js";
import type { Clock, HostId } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import type { FollowReply, GroupMethods } from "./Messages.js";
import { Notifier } from "./Notifier.js";
import type { Replica } from "./Replica.js";
import type { GroupSnapshot, GroupTiming, LogEntry, Member } from "./Types.js";

/** Bounds on one append message. */
const maxEntriesPerMessage = 512;
const maxCharsPerMessage = 262_144;
const snapshotPartChars = 262_144;
const commitDelayMs = 10;
/** Pause after a message without an answer, as a share of the election time. */
const retryShare = 0.1;

/** What a leader's term gives to its replicators. */
export interface ReplicatorContext {
    readonly term: number;
    readonly replica: Replica;
    readonly methods: GroupMethods;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    readonly timing: GroupTiming;
    /** Called after each answer of the follower. */
    onAnswer(): void;
    /** Called when the follower knows of a higher term. */
    onHigherTerm(): void;
}

export class PeerReplicator {
    /** Entries up to here are durable on the follower, in this term's log. */
    public matchIndex = 0;
    /** When the newest answered message was sent; undefined before the first answer. */
    public contactMs: number | undefined;
    /** The replica that answers, as far as known. */
    public replicaId: string | undefined;
    private nextIndex: number;
    private knownCommit = 0;
    private isEager = true;
    private readonly wake: Notifier;
    private readonly stopped = new AbortController();

    public constructor(public readonly host: HostId, private readonly context: ReplicatorContext) {
        this.nextIndex = context.replica.log.lastIndex + 1;
        this.wake = new Notifier(context.clock);
    }

    /** Sends a message at once, if only a heartbeat. */
    public nudge(): void {
        this.isEager = true;
        this.wake.notify();
    }

    /** Looks whether there are new entries, or a new commit index. */
    public notice(): void {
        this.wake.notify();
    }

    public stop(): void {
        this.stopped.abort();
    }

    public async run(leading: AbortSignal): Promise<void> {
        const signal = AbortSignal.any([leading, this.stopped.signal]);
        const { replica, clock, timing } = this.context;
        while (!signal.aborted) {
            this.isEager = false;
            const member = replica.log.members.find(one => one.host === this.host);
            const isAnswered = await this.sendNext(member, signal);
            if (isAnswered) {
                await this.waitForWork(signal);
            }
            else {
                await clock.sleep(Math.min(timing.heartbeatMs, timing.electionMs * retryShare), signal);
            }
        }
    }

    /**
     * Waits for entries, or until a heartbeat is due. A new commit index alone is sent after a short wait, so that it
     * travels with the next entry where one follows.
     */
    private async waitForWork(signal: AbortSignal): Promise<void> {
        const { replica, clock, timing } = this.context;
        const dueMs = clock.nowMs() + timing.heartbeatMs;
        while (!signal.aborted && !this.isEager && this.nextIndex > replica.log.lastIndex && clock.nowMs() < dueMs) {
            if (this.knownCommit < Math.min(replica.commitIndex, this.matchIndex)) {
                await this.wake.wait(commitDelayMs, signal);
                return;
            }
            await this.wake.wait(dueMs - clock.nowMs(), signal);
        }
    }

    /** True when the follower answered and can go on. */
    private async sendNext(member: Member | undefined, signal: AbortSignal): Promise<boolean> {
        const { log, snapshot } = this.context.replica;
        if (this.nextIndex <= log.baseIndex) {
            invariant(snapshot !== undefined, "entries that have been dropped are in a snapshot");
            return this.sendSnapshot(snapshot, member, signal);
        }
        return this.sendEntries(member, signal);
    }

    private async sendEntries(member: Member | undefined, signal: AbortSignal): Promise<boolean> {
        const { replica, methods, transport, clock, timing, term } = this.context;
        const prevIndex = this.nextIndex - 1;
        const prevTerm = replica.log.termAt(prevIndex);
        invariant(prevTerm !== undefined, "the entry before the next one is known", { prevIndex });
        const entries = boundedBatch(replica.log.slice(this.nextIndex, maxEntriesPerMessage));
        const commit = replica.commitIndex;
        const req = { leader: replica.self, replica: member?.replica, term, prevIndex, prevTerm, entries, commit };
        const sentMs = clock.nowMs();
        const reply = await transport.call(this.host, methods.append, req, {
            timeoutMs: timing.electionMs / 3,
            signal,
        });
        if (signal.aborted) {
            return false;
        }
        const answer = reply.map<FollowReply | undefined>(one => one).orDefault(undefined);
        if (!this.takeAnswer(answer, sentMs)) {
            return false;
        }
        if (answer?.kind === "mismatch") {
            this.nextIndex = Math.max(1, Math.min(answer.nextIndex, prevIndex));
            return true;
        }
        this.nextIndex = prevIndex + entries.length + 1;
        this.matchIndex = this.nextIndex - 1;
        this.knownCommit = Math.min(commit, this.matchIndex);
        this.context.onAnswer();
        return true;
    }

    private async sendSnapshot(
        snapshot: GroupSnapshot,
        member: Member | undefined,
        signal: AbortSignal,
    ): Promise<boolean> {
        const { replica, methods, transport, clock, timing, term } = this.context;
        const { index, term: snapshotTerm, members } = snapshot;
        const text = JSON.stringify(snapshot.state);
        for (let offset = 0; offset < text.length; offset += snapshotPartChars) {
            const part = text.slice(offset, offset + snapshotPartChars);
            const isLast = offset + part.length === text.length;
            const head = { leader: replica.self, replica: member?.replica, term, index, snapshotTerm, members };
            const req = { ...head, offset, text: part, isLast };
            const sentMs = clock.nowMs();
            const options = { timeoutMs: timing.electionMs, signal };
            const reply = await transport.call(this.host, methods.snapshot, req, options);
            const answer = reply.map<FollowReply | undefined>(one => one).orDefault(undefined);
            if (signal.aborted || !this.takeAnswer(answer, sentMs) || answer?.kind !== "matched") {
                return false;
            }
        }
        this.nextIndex = index + 1;
        return true;
    }

    /** Notes what any answer tells; true when the follower has followed. */
    private takeAnswer(answer: FollowReply | undefined, sentMs: number): boolean {
        if (answer === undefined || answer.kind === "out-of-service") {
            return false;
        }
        this.replicaId = answer.replica;
        if (answer.term > this.context.term) {
            this.context.onHigherTerm();
            return false;
        }
        if (answer.kind === "stale-term" || answer.kind === "other-replica") {
            this.context.onAnswer();
            return false;
        }
        this.contactMs = sentMs;
        this.context.onAnswer();
        return true;
    }
}

/** The longest front of a batch that fits in a message; at least one entry. */
function boundedBatch(entries: readonly LogEntry[]): readonly LogEntry[] {
    let chars = 0;
    const end = entries.findIndex((entry, at) => {
        chars += entry.kind === "command" ? JSON.stringify(entry.command).length : 0;
        return chars > maxCharsPerMessage && at > 0;
    });
    return end < 0 ? entries : entries.slice(0, end);
}
