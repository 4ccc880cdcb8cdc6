/**
 * State of one replica: term and vote, log, commit and applied index, and the state machine. Changes of the durable
 * state run one at a time through {@link Replica.exclusive}; each is on disk before it is acknowledged.
 */
import PQueue from "p-queue";
import type { Either } from "purify-ts";
import { Emitter } from "../common/Emitter.js";
import { invariant } from "../common/Invariant.js";
import type { Clock, HostId } from "../common/Types.js";
import { AppendedProposals } from "./AppendedProposals.js";
import { EntryLog } from "./EntryLog.js";
import type { GroupStorage, StoredState, StoredVote } from "./GroupStorage.js";
import { Notifier } from "./Notifier.js";
import type { GroupRole, GroupSnapshot, LogEntry, Member, StateMachine, StorageError } from "./Types.js";

/** Shortest time between two writes of the commit index alone. */
const commitPersistIntervalMs = 200;
/** Default of {@link CompactionLimits.compactBytes}. */
const defaultCompactBytes = 8_388_608;

/** When the log is compacted, and how many entries stay in it for followers that lag. */
export interface CompactionLimits {
    /** Number of entries applied since the last snapshot at which the log is compacted. */
    readonly compactEntries: number;
    /** Bound on entries covered by the snapshot that a compaction leaves in the log. */
    readonly keepEntries: number;
    /** Size of the log file at which it is compacted whatever the number of entries, in bytes. */
    readonly compactBytes?: number;
}

export class Replica {
    public readonly log = new EntryLog();
    public readonly appendedProposals = new AppendedProposals();
    /** Notifies of changes of role, term, log, commit index or fault. */
    public readonly changed: Notifier;
    /** Fires with the new applied index. */
    public readonly applied = new Emitter<number>();
    public readonly roleChanged = new Emitter<void>();
    /** Id of this replica's disk; undefined before it has been opened. */
    public replicaId: string | undefined;
    /** Leader of the current term; undefined while it is not known. */
    public leader: HostId | undefined;
    /** Time of the last leader message, on the local clock; no vote is granted for an election time from then. */
    public leaderContactMs = 0;
    /** When this run of the process last heard from a leader, on the local clock; undefined if it has not. */
    public heardLeaderMs: number | undefined;
    /** The leader that this run of the process has heard last. */
    public heardLeader: HostId | undefined;
    /** When this host last granted its vote to a candidate, on the local clock. */
    public voteGrantedMs = 0;
    private currentRole: GroupRole = "stopped";
    private vote: StoredVote = { term: 0, votedFor: undefined };
    private committed = 0;
    private appliedTo = 0;
    private latestSnapshot: GroupSnapshot | undefined;
    private changeStartMs: number | undefined;
    private persistedCommitIndex = 0;
    private commitPersistedMs = 0;
    private storageFault: StorageError | undefined;
    private readonly queue = new PQueue({ concurrency: 1 });

    public constructor(
        public readonly self: HostId,
        private readonly storage: GroupStorage,
        private readonly stateMachine: StateMachine,
        private readonly limits: CompactionLimits,
        private readonly clock: Clock,
    ) {
        this.changed = new Notifier(clock);
    }

    public get role(): GroupRole {
        return this.currentRole;
    }

    public get term(): number {
        return this.vote.term;
    }

    public get votedFor(): HostId | undefined {
        return this.vote.votedFor;
    }

    public get commitIndex(): number {
        return this.committed;
    }

    public get appliedIndex(): number {
        return this.appliedTo;
    }

    public get snapshot(): GroupSnapshot | undefined {
        return this.latestSnapshot;
    }

    public get fault(): StorageError | undefined {
        return this.storageFault;
    }

    /** True once this replica has taken part in a group. */
    public get joined(): boolean {
        return this.vote.term > 0 || this.log.members.length > 0;
    }

    /** This replica's entry in the member list; undefined if there is none or if it is a voter under another id. */
    public get ownMember(): Member | undefined {
        return this.log.members.find(member => member.host === this.self && this.isOwnReplica(member));
    }

    /** Voters by the newest member list in the log, committed or not. */
    public get voters(): readonly Member[] {
        return this.log.members.filter(member => member.role === "voter");
    }

    /** Runs one change of the durable state at a time. */
    public exclusive<T>(task: () => Promise<T>): Promise<T> {
        return this.queue.add(async () => {
            this.changeStartMs = this.clock.nowMs();
            try {
                return await task();
            }
            finally {
                this.changeStartMs = undefined;
            }
        });
    }

    /** How long the current change of the durable state has been running, in milliseconds; 0 when there is none. */
    public get busyMs(): number {
        return this.changeStartMs === undefined ? 0 : this.clock.nowMs() - this.changeStartMs;
    }

    /** Loads the state from disk. Entries that this process has already applied are not applied again. */
    public async open(makeReplicaId: () => string): Promise<Either<StorageError, void>> {
        const opened = await this.storage.open(makeReplicaId);
        return opened.map(stored => this.loadState(stored));
    }

    public setRole(role: GroupRole, leader: HostId | undefined): void {
        const isChange = role !== this.currentRole || leader !== this.leader;
        this.currentRole = role;
        this.leader = leader;
        if (isChange) {
            this.roleChanged.fire();
            this.changed.notify();
        }
    }

    /** The role of a replica that does not lead. */
    public nonLeaderRole(): GroupRole {
        return this.ownMember?.role === "voter" ? "follower" : "learner";
    }

    /** Saves a term and vote durably; false when the disk failed. Called within {@link exclusive}. */
    public async saveVote(vote: StoredVote): Promise<boolean> {
        invariant(vote.term >= this.vote.term, "a term never falls", { from: this.vote.term, to: vote.term });
        invariant(
            vote.term > this.vote.term || this.vote.votedFor === undefined || this.vote.votedFor === vote.votedFor,
            "one vote in a term",
            { term: vote.term },
        );
        if (vote.term === this.vote.term && vote.votedFor === this.vote.votedFor) {
            return true;
        }
        const isNewTerm = vote.term > this.vote.term;
        const saved = await this.storage.saveVote(vote);
        if (saved.isLeft()) {
            this.fail(saved.extract());
            return false;
        }
        this.vote = vote;
        if (isNewTerm) {
            this.setRole(this.nonLeaderRole(), undefined);
        }
        this.changed.notify();
        return true;
    }

    /** Saves a higher term that another voter has reached, without a vote in it; does nothing for any other term. */
    public async adoptTerm(term: number): Promise<void> {
        if (term > this.term) {
            await this.exclusive(async () => term > this.term && this.saveVote({ term, votedFor: undefined }));
        }
    }

    /**
     * Writes entries to the log from index `first` on. Resolves with true once they are durable, with false when the
     * disk failed. Called within {@link exclusive}.
     */
    public async appendEntries(first: number, entries: readonly LogEntry[]): Promise<boolean> {
        invariant(first > this.committed, "a committed entry is never replaced", { first, committed: this.committed });
        this.log.replaceFrom(first, entries);
        this.changed.notify();
        const appended = await this.storage.append(first, entries, this.committed);
        if (appended.isLeft()) {
            this.fail(appended.extract());
            return false;
        }
        this.persistedCommitIndex = this.committed;
        return true;
    }

    /** Raises the commit index and applies the newly committed entries. */
    public commitTo(index: number): void {
        invariant(index <= this.log.lastIndex, "only entries of the log are committed", { index });
        if (index <= this.committed) {
            return;
        }
        this.committed = index;
        if (this.stateMachine.notesCommits === true) {
            void this.exclusive(() => this.persistCommitAndApply());
        }
        else {
            this.applyCommitted();
        }
        this.changed.notify();
    }

    /**
     * Writes the commit index to disk, so that it is known after a restart even if no other host can be reached. Called
     * within {@link exclusive}, when there is nothing else to write.
     */
    public async persistCommitIfDue(): Promise<void> {
        if (this.clock.nowMs() - this.commitPersistedMs >= commitPersistIntervalMs) {
            await this.persistCommitIndex();
        }
    }

    /** Saves a new group's initial members durably; false when the disk failed. Called within {@link exclusive}. */
    public async bootstrap(members: readonly Member[]): Promise<boolean> {
        invariant(!this.joined, "only a replica without a group bootstraps one");
        const log = { index: 0, term: 0, members, entries: [], commitIndex: 0 };
        const written = await this.storage.rewriteLog(log);
        if (written.isLeft()) {
            this.fail(written.extract());
            return false;
        }
        this.log.reset(0, 0, members);
        return true;
    }

    /** Installs a leader's snapshot durably; false when the disk failed. Called within {@link exclusive}. */
    public async installSnapshot(snapshot: GroupSnapshot): Promise<boolean> {
        if (snapshot.index <= this.committed) {
            return true;
        }
        const { index, term, members } = snapshot;
        if (this.log.termAt(index) === term) {
            // The entries after it stay, since this host may have acknowledged them and count as one of a majority.
            this.commitTo(index);
            await this.persistCommitIndex();
            return this.storageFault === undefined;
        }
        const saved = await this.storage.saveSnapshot(snapshot);
        const log = { index, term, members, entries: [], commitIndex: index };
        const rewritten = saved.isLeft() ? saved : await this.storage.rewriteLog(log);
        if (rewritten.isLeft()) {
            this.fail(rewritten.extract());
            return false;
        }
        this.log.reset(index, term, members);
        this.latestSnapshot = snapshot;
        this.committed = index;
        this.persistedCommitIndex = index;
        this.restoreFrom(snapshot);
        this.changed.notify();
        await this.storage.removeOld(index);
        return true;
    }

    /** Saves a snapshot and drops old entries once the log is too long. Called within {@link exclusive}. */
    public async compact(): Promise<void> {
        if (!this.isCompactionDue()) {
            return;
        }
        const index = this.appliedTo;
        const term = this.log.termAt(index);
        invariant(term !== undefined, "the applied entry is in the log", { index });
        const members = this.log.membersAt(index);
        const snapshot = { index, term, members, state: this.stateMachine.snapshot() };
        const saved = await this.storage.saveSnapshot(snapshot);
        if (saved.isRight()) {
            this.log.dropUpTo(index - this.entriesToKeep());
            this.latestSnapshot = snapshot;
        }
        const rewritten = saved.isLeft() ? saved : await this.storage.rewriteLog(this.logToStore());
        const removed = rewritten.isLeft() ? rewritten : await this.storage.removeOld(index);
        removed.ifLeft(error => this.fail(error));
    }

    private isCompactionDue(): boolean {
        const applied = this.appliedTo - (this.latestSnapshot?.index ?? 0);
        const isLarge = this.storage.logBytes >= (this.limits.compactBytes ?? defaultCompactBytes);
        const isDue = applied >= this.limits.compactEntries || (isLarge && applied > 0);
        return isDue && this.appliedTo <= this.log.lastIndex;
    }

    /** Number of entries to keep for followers that lag; they take at most a quarter of `compactBytes`. */
    private entriesToKeep(): number {
        const held = Math.max(1, this.log.lastIndex - this.log.baseIndex);
        const bytesPerEntry = Math.max(1, this.storage.logBytes / held);
        const compactBytes = this.limits.compactBytes ?? defaultCompactBytes;
        return Math.min(this.limits.keepEntries, Math.floor(compactBytes / 4 / bytesPerEntry));
    }

    /** Takes the replica out of service. Entries that are not durable are not acknowledged. */
    public fail(error: StorageError): void {
        this.storageFault = error;
        this.setRole("stopped", undefined);
        this.appendedProposals.loseAll(`the disk failed: ${error.message}`);
        this.changed.notify();
    }

    private async persistCommitIndex(): Promise<void> {
        if (this.persistedCommitIndex >= this.committed || this.storageFault !== undefined) {
            return;
        }
        const commit = this.committed;
        const appended = await this.storage.append(this.log.lastIndex + 1, [], commit);
        appended.ifLeft(error => this.fail(error));
        if (appended.isRight()) {
            this.persistedCommitIndex = commit;
            this.commitPersistedMs = this.clock.nowMs();
        }
    }

    private async persistCommitAndApply(): Promise<void> {
        await this.persistCommitIndex();
        this.applyCommitted(Math.min(this.persistedCommitIndex, this.committed));
    }

    private isOwnReplica(member: Member): boolean {
        return member.role === "learner" || member.replica === this.replicaId;
    }

    private logToStore() {
        const { baseIndex: index, baseTerm: term, baseMembers: members, lastIndex } = this.log;
        const entries = this.log.slice(index + 1, lastIndex - index);
        return { index, term, members, entries, commitIndex: this.committed };
    }

    private loadState(stored: StoredState): void {
        const { log, snapshot } = stored;
        this.replicaId = stored.replica;
        this.vote = stored.vote;
        this.log.reset(log.index, log.term, log.members);
        if (log.entries.length > 0) {
            this.log.replaceFrom(log.index + 1, log.entries);
        }
        this.latestSnapshot = snapshot;
        this.committed = log.commitIndex;
        this.persistedCommitIndex = log.commitIndex;
        this.storageFault = undefined;
        if (snapshot !== undefined) {
            this.restoreFrom(snapshot);
        }
        this.applyCommitted();
        this.setRole(this.nonLeaderRole(), undefined);
    }

    private restoreFrom(snapshot: GroupSnapshot): void {
        if (snapshot.index <= this.appliedTo) {
            return;
        }
        this.stateMachine.restore(snapshot.state);
        this.appliedTo = snapshot.index;
        this.appendedProposals.loseUpTo(snapshot.index);
        this.applied.fire(this.appliedTo);
    }

    private applyCommitted(upTo: number = this.committed): void {
        const before = this.appliedTo;
        while (this.appliedTo < upTo) {
            const index = this.appliedTo + 1;
            const entry = this.log.entryAt(index);
            invariant(entry !== undefined, "a committed entry is in the log when it is applied", { index });
            const result = entry.kind === "command" ? this.stateMachine.apply(entry.command, index) : null;
            this.appliedTo = index;
            this.appendedProposals.resolveApplied(index, entry.term, result);
        }
        if (this.appliedTo > before) {
            this.applied.fire(this.appliedTo);
            this.changed.notify();
        }
    }
}
