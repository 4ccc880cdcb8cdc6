/**
 * One term of this host as leader: appends proposals in batches with one sync each, commits entries that a majority
 * has stored, keeps the leader lease, and steps down when no majority has replied for an election time.
 */
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import type { HostId } from "../common/Types.js";
import type { ProposalOutcome } from "./AppendedProposals.js";
import { Notifier } from "./Notifier.js";
import { PeerReplicator, type ReplicatorContext } from "./PeerReplicator.js";
import { Quorum } from "./Quorum.js";
import type { Json, LogEntry, Member, ProposeError, ReadError } from "./Types.js";

/** Bound on proposals that wait to be appended; further ones are rejected. */
const maxPendingProposals = 10_000;
/** Bound on proposals that are appended with one sync. */
const maxBatchProposals = 1024;
/** Number of election times that a disk operation may take before the leader steps down. */
const maxDiskElectionTimes = 2;

type ProposalBody = { readonly kind: "command"; readonly command: Json; } | {
    readonly kind: "members";
    readonly members: readonly Member[];
};

interface PendingProposal {
    readonly body: ProposalBody;
    readonly settle: (result: Either<ProposeError, Json>) => void;
    isAppended: boolean;
}

export class Leadership {
    private readonly replicators = new Map<HostId, PeerReplicator>();
    private readonly quorum: Quorum;
    private readonly stopped = new AbortController();
    private readonly workNotifier: Notifier;
    private readonly contactNotifier: Notifier;
    /** When this host began to lead, on the local clock. */
    public readonly startMs: number;
    private pending: PendingProposal[] = [];
    /** Highest index that is durable on this host. */
    private ownMatch = 0;
    /** Index of the first entry of this term. Once it is committed, all earlier entries are known to be committed. */
    private firstIndex = 0;
    private isHandingOver = false;
    /** Set once another host may have been told to take over, since that host does not wait for the lease to end. */
    private isLeaseReleased = false;

    public constructor(
        private readonly context: Omit<ReplicatorContext, "onReply" | "onHigherTerm">,
        private readonly onDiskHang: (busyMs: number) => void,
    ) {
        this.quorum = new Quorum(context.replica, this.replicators, context.clock);
        this.workNotifier = new Notifier(context.clock);
        this.contactNotifier = new Notifier(context.clock);
        this.startMs = context.clock.nowMs();
    }

    /** True while, by this host's clock, no other host can have been elected. */
    public get hasLease(): boolean {
        const { clock, timing } = this.context;
        const validUntilMs = this.quorum.contactMs() + timing.electionMs - timing.clockDriftMs;
        return this.isLeading && !this.isLeaseReleased && clock.nowMs() < validUntilMs;
    }

    /** True once an entry of this term is committed: the commit index then covers all commits of earlier leaders. */
    public get isSettled(): boolean {
        return this.isLeading && this.firstIndex > 0 && this.context.replica.commitIndex >= this.firstIndex;
    }

    public get isLeading(): boolean {
        const { replica, term } = this.context;
        return !this.stopped.signal.aborted && replica.role === "leader" && replica.term === term;
    }

    /** Replication state of a follower; undefined for hosts that are not members. */
    public follower(host: HostId): PeerReplicator | undefined {
        return this.replicators.get(host);
    }

    /** Leads until a new term begins, the quorum is lost, the disk fails or the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const { replica, clock, timing } = this.context;
        const onAbort = () => this.stopped.abort();
        signal.addEventListener("abort", onAbort);
        this.ownMatch = replica.log.lastIndex;
        void this.watchDisk();
        await this.appendFirstEntry();
        let commitPersistedMs = clock.nowMs();
        while (this.isLeading && !signal.aborted) {
            this.syncReplicators();
            if (this.pending.length > 0) {
                await this.appendPending();
                continue;
            }
            await this.workNotifier.wait(timing.heartbeatMs, this.stopped.signal);
            if (clock.nowMs() - commitPersistedMs >= timing.heartbeatMs) {
                commitPersistedMs = clock.nowMs();
                await replica.exclusive(() => replica.persistCommitIfDue());
            }
            this.checkQuorum();
        }
        signal.removeEventListener("abort", onAbort);
        this.finish();
    }

    /** Queues a proposal for the next batch; resolves when it is committed and applied on this host. */
    public propose(body: ProposalBody, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        const { replica, clock } = this.context;
        if (!this.isLeading || this.isHandingOver || this.pending.length >= maxPendingProposals) {
            const message = this.isLeading ? "the leader does not accept proposals now" : "not the leader";
            return Promise.resolve(Left({ kind: "not-accepted", message, leader: replica.leader }));
        }
        return new Promise(resolve => {
            const settle = (result: Either<ProposeError, Json>) => {
                timer.dispose();
                resolve(result);
            };
            const pending: PendingProposal = { body, settle, isAppended: false };
            const timer = clock.setTimer(timeoutMs, () => settle(this.expire(pending)));
            this.pending.push(pending);
            this.workNotifier.notify();
        });
    }

    /** Returns the commit index for a linearizable read, once it is certain that this host still leads. */
    public async confirmRead(timeoutMs: number): Promise<Either<ReadError, number>> {
        const { replica, clock } = this.context;
        const startMs = clock.nowMs();
        const deadlineMs = startMs + timeoutMs;
        while (this.isLeading && clock.nowMs() < deadlineMs) {
            if (this.isSettled && (this.hasLease || this.quorum.contactMs() > startMs)) {
                return Right(replica.commitIndex);
            }
            this.requestHeartbeats();
            await this.contactNotifier.wait(deadlineMs - clock.nowMs(), this.stopped.signal);
        }
        return Left({ kind: "no-quorum", message: "no majority of the group has replied" });
    }

    /** Rejects new proposals, so that a follower can catch up with all entries and take over. */
    public beginHandover(): void {
        this.isHandingOver = true;
        this.isLeaseReleased = true;
    }

    /** Accepts proposals again. The lease stays released, since a follower may have been told to take over. */
    public cancelHandover(): void {
        this.isHandingOver = false;
    }

    /** The reachable voter, other than this host, with the highest match index. */
    public bestSuccessor(): HostId | undefined {
        const { replica, timing, clock } = this.context;
        const reachable = replica.voters
            .map(member => this.replicators.get(member.host))
            .filter(one => one?.contactMs !== undefined && clock.nowMs() - one.contactMs < timing.electionMs);
        return reachable.sort((a, b) => (b?.matchIndex ?? 0) - (a?.matchIndex ?? 0))[0]?.host;
    }

    private expire(pending: PendingProposal): Either<ProposeError, Json> {
        if (pending.isAppended) {
            return Left({ kind: "unknown", message: "not committed within the time; it may be committed later" });
        }
        this.pending = this.pending.filter(one => one !== pending);
        return Left({
            kind: "not-accepted",
            message: "the leader did not append the proposal in time",
            leader: undefined,
        });
    }

    /** Appends the first entry of the term. In a new group it carries the initial members to the other hosts. */
    private async appendFirstEntry(): Promise<void> {
        const { replica, term } = this.context;
        await replica.exclusive(async () => {
            if (!this.isLeading) {
                return;
            }
            const { lastIndex, members } = replica.log;
            const entry: LogEntry = lastIndex === 0 ? { kind: "members", term, members } : { kind: "noop", term };
            if (await replica.appendEntries(lastIndex + 1, [entry])) {
                this.firstIndex = lastIndex + 1;
                this.ownMatch = lastIndex + 1;
                this.advanceCommit();
            }
        });
    }

    private async appendPending(): Promise<void> {
        const { replica, term } = this.context;
        await replica.exclusive(async () => {
            if (!this.isLeading) {
                return;
            }
            const batch = this.pending.splice(0, maxBatchProposals);
            const first = replica.log.lastIndex + 1;
            batch.forEach((pending, at) => {
                pending.isAppended = true;
                replica.appendedProposals.add(first + at, term, outcome => pending.settle(toResult(outcome)));
            });
            this.checkSingleMemberChange(batch);
            const entries = batch.map(({ body }): LogEntry => ({ ...body, term }));
            const appending = replica.appendEntries(first, entries);
            this.replicators.forEach(replicator => replicator.notifyChange());
            if (await appending) {
                this.ownMatch = replica.log.lastIndex;
                this.advanceCommit();
                await replica.compact();
            }
        });
    }

    /** Checks that membership changes happen one at a time: each waits until the previous one is committed. */
    private checkSingleMemberChange(batch: readonly PendingProposal[]): void {
        const { replica } = this.context;
        const changes = batch.filter(pending => pending.body.kind === "members").length;
        const isFree = replica.commitIndex >= replica.log.membersIndex;
        invariant(changes === 0 || (changes === 1 && isFree), "one membership change at a time", { changes });
    }

    /** Commits entries that a majority of voters has stored, up to an entry of this term. */
    private advanceCommit(): void {
        const { replica, term } = this.context;
        if (!this.isLeading) {
            return;
        }
        const index = this.quorum.matchIndex(this.ownMatch);
        if (index > replica.commitIndex && replica.log.termAt(index) === term) {
            replica.commitTo(index);
            this.replicators.forEach(replicator => replicator.notifyChange());
            this.stepDownIfRemoved();
        }
    }

    private checkQuorum(): void {
        const { replica, clock, timing } = this.context;
        const contactMs = Math.max(this.quorum.contactMs(), this.startMs);
        if (this.isLeading && clock.nowMs() - contactMs >= timing.electionMs) {
            replica.setRole(replica.nonLeaderRole(), undefined);
        }
    }

    /** Steps down when the disk hangs, so that a host with a working disk can lead. */
    private async watchDisk(): Promise<void> {
        const { replica, clock, timing } = this.context;
        while (this.isLeading) {
            await clock.sleep(timing.heartbeatMs, this.stopped.signal);
            if (this.isLeading && replica.busyMs > timing.electionMs * maxDiskElectionTimes) {
                this.onDiskHang(replica.busyMs);
                this.stepDown();
            }
        }
    }

    private stepDownIfRemoved(): void {
        const { replica } = this.context;
        const isCommitted = replica.commitIndex >= replica.log.membersIndex;
        if (isCommitted && replica.ownMember?.role !== "voter") {
            replica.setRole(replica.nonLeaderRole(), undefined);
        }
    }

    /**
     * Runs one replicator for each other member. The replicator of a removed member stops once the removal is committed
     * and that host has received it or can't be reached.
     */
    private syncReplicators(): void {
        const { replica } = this.context;
        const hosts = new Set(replica.log.members.map(member => member.host));
        hosts.delete(replica.self);
        for (const host of hosts) {
            if (!this.replicators.has(host)) {
                this.startReplicator(host);
            }
        }
        for (const [host, replicator] of this.replicators) {
            const hasNewMembers = replicator.matchIndex >= replica.log.membersIndex;
            const isCommitted = replica.commitIndex >= replica.log.membersIndex;
            if (!hosts.has(host) && isCommitted && (hasNewMembers || !this.isInContact(replicator))) {
                replicator.stop();
                this.replicators.delete(host);
            }
        }
    }

    private isInContact(replicator: PeerReplicator): boolean {
        const { clock, timing } = this.context;
        const { contactMs } = replicator;
        return contactMs !== undefined && clock.nowMs() - contactMs < timing.electionMs;
    }

    private startReplicator(host: HostId): void {
        const replicator = new PeerReplicator(host, {
            ...this.context,
            onReply: () => {
                this.advanceCommit();
                this.contactNotifier.notify();
            },
            onHigherTerm: term => {
                this.stepDown();
                void this.context.replica.adoptTerm(term);
            },
        });
        this.replicators.set(host, replicator);
        void replicator.run(this.stopped.signal);
    }

    private stepDown(): void {
        const { replica } = this.context;
        if (this.isLeading) {
            replica.setRole(replica.nonLeaderRole(), undefined);
            this.stopped.abort();
        }
    }

    private requestHeartbeats(): void {
        this.replicators.forEach(replicator => replicator.sendNow());
    }

    private finish(): void {
        this.stopped.abort();
        const remaining = this.pending.splice(0);
        remaining.forEach(pending => {
            invariant(!pending.isAppended, "an appended proposal waits for its index");
            pending.settle(Left({ kind: "not-accepted", message: "the leader stepped down", leader: undefined }));
        });
        this.contactNotifier.notify();
    }
}

function toResult(outcome: ProposalOutcome): Either<ProposeError, Json> {
    switch (outcome.kind) {
        case "applied":
            return Right(outcome.result);
        case "replaced":
            return Left({
                kind: "not-accepted",
                message: "another entry was committed at its index",
                leader: undefined,
            });
        case "lost":
            return Left({ kind: "unknown", message: outcome.message });
    }
}
