/**
 * Replicates the log to one follower while this host leads, with one message of bounded size in flight at a time. A
 * follower that lags behind the start of the log first receives the snapshot in parts.
 */
import { invariant } from "../common/Invariant.js";
import type { Clock, HostId } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import type { FollowerReply, GroupMethods } from "./Messages.js";
import { Notifier } from "./Notifier.js";
import type { Replica } from "./Replica.js";
import type { GroupSnapshot, GroupTiming, LogEntry, Member } from "./Types.js";

/** Bounds on one append message, and on the part of a snapshot in one message. */
const maxEntriesPerMessage = 512;
const maxCharsPerMessage = 262_144;
const snapshotPartChars = 262_144;
/** Delay of a message that carries only a new commit index. */
const commitDelayMs = 10;
/** Pause after a message that the follower did not accept, as a share of the election time. */
const retryElectionTimeShare = 0.1;

/** State and callbacks that a leader's term shares with its replicators. */
export interface ReplicatorContext {
    readonly term: number;
    readonly replica: Replica;
    readonly methods: GroupMethods;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    readonly timing: GroupTiming;
    /** Called after each reply of a follower in service, unless it has a higher term. */
    onReply(): void;
    /** Called when the follower replies with a higher term. */
    onHigherTerm(term: number): void;
}

export class PeerReplicator {
    /** Highest index at which the follower's durable log is known to match the leader's. */
    public matchIndex = 0;
    /** Send time of the last message that the follower accepted, on the local clock; undefined before the first one. */
    public contactMs: number | undefined;
    /** Replica id in the last reply; undefined before the first reply. */
    public replicaId: string | undefined;
    private nextIndex: number;
    private followerCommitIndex = 0;
    private isSendRequested = true;
    private readonly changeNotifier: Notifier;
    private readonly stopped = new AbortController();

    public constructor(public readonly host: HostId, private readonly context: ReplicatorContext) {
        this.nextIndex = context.replica.log.lastIndex + 1;
        this.changeNotifier = new Notifier(context.clock);
    }

    /** Sends a message at once, a heartbeat if there are no entries. */
    public sendNow(): void {
        this.isSendRequested = true;
        this.changeNotifier.notify();
    }

    /** Checks for new entries or a new commit index to send. */
    public notifyChange(): void {
        this.changeNotifier.notify();
    }

    public stop(): void {
        this.stopped.abort();
    }

    /** Replicates until the leadership ends or {@link stop} is called. */
    public async run(leadershipSignal: AbortSignal): Promise<void> {
        const signal = AbortSignal.any([leadershipSignal, this.stopped.signal]);
        const { replica, clock, timing } = this.context;
        while (!signal.aborted) {
            this.isSendRequested = false;
            const member = replica.log.members.find(one => one.host === this.host);
            const isAccepted = await this.sendNext(member, signal);
            if (isAccepted) {
                await this.waitForWork(signal);
            }
            else {
                await clock.sleep(Math.min(timing.heartbeatMs, timing.electionMs * retryElectionTimeShare), signal);
            }
        }
    }

    /**
     * Waits for entries, or until a heartbeat is due. A new commit index alone is sent after a short delay, so that it
     * can be sent together with an entry that follows.
     */
    private async waitForWork(signal: AbortSignal): Promise<void> {
        const { replica, clock, timing } = this.context;
        const dueMs = clock.nowMs() + timing.heartbeatMs;
        while (
            !signal.aborted && !this.isSendRequested && this.nextIndex > replica.log.lastIndex && clock.nowMs() < dueMs
        ) {
            if (this.followerCommitIndex < Math.min(replica.commitIndex, this.matchIndex)) {
                await this.changeNotifier.wait(commitDelayMs, signal);
                return;
            }
            await this.changeNotifier.wait(dueMs - clock.nowMs(), signal);
        }
    }

    /** Sends the next message; true when the follower replied and replication can continue. */
    private async sendNext(member: Member | undefined, signal: AbortSignal): Promise<boolean> {
        const { log, snapshot } = this.context.replica;
        if (this.nextIndex <= log.baseIndex) {
            invariant(snapshot !== undefined, "entries dropped from the log are in a snapshot");
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
        const answer = reply.map<FollowerReply | undefined>(one => one).orDefault(undefined);
        if (!this.processReply(answer, sentMs)) {
            return false;
        }
        if (answer?.kind === "mismatch") {
            this.nextIndex = Math.max(1, Math.min(answer.nextIndex, prevIndex));
            return true;
        }
        this.nextIndex = prevIndex + entries.length + 1;
        this.matchIndex = this.nextIndex - 1;
        this.followerCommitIndex = Math.min(commit, this.matchIndex);
        this.context.onReply();
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
            const answer = reply.map<FollowerReply | undefined>(one => one).orDefault(undefined);
            if (signal.aborted || !this.processReply(answer, sentMs) || answer?.kind !== "matched") {
                return false;
            }
        }
        this.nextIndex = index + 1;
        return true;
    }

    /** Updates the follower's state from a reply; true when the follower has accepted this leader. */
    private processReply(answer: FollowerReply | undefined, sentMs: number): boolean {
        if (answer === undefined || answer.kind === "out-of-service") {
            return false;
        }
        if (answer.replica !== this.replicaId) {
            // What a replica has acknowledged says nothing of another one on the same host.
            this.replicaId = answer.replica;
            this.matchIndex = 0;
            this.followerCommitIndex = 0;
        }
        if (answer.term > this.context.term) {
            this.context.onHigherTerm(answer.term);
            return false;
        }
        if (answer.kind === "stale-term" || answer.kind === "other-replica") {
            this.context.onReply();
            return false;
        }
        this.contactMs = sentMs;
        this.context.onReply();
        return true;
    }
}

/** The longest prefix of the entries that fits in one message; at least one entry. */
function boundedBatch(entries: readonly LogEntry[]): readonly LogEntry[] {
    let chars = 0;
    const end = entries.findIndex((entry, at) => {
        chars += entry.kind === "command" ? JSON.stringify(entry.command).length : 0;
        return chars > maxCharsPerMessage && at > 0;
    });
    return end < 0 ? entries : entries.slice(0, end);
}
