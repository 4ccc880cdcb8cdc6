/**
 * One term of this host as leader: appends proposals in batches with one sync for each, commits what a majority
 * holds, keeps the leader lease, and steps down when it has not heard from a majority for an election time.
 */
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";
import { invariant } from "../common/Invariant.js";
import type { HostId } from "../common/Types.js";
import type { ProposalEnd } from "./AppendedProposals.js";
import { Notifier } from "./Notifier.js";
import { PeerReplicator, type ReplicatorContext } from "./PeerReplicator.js";
import { Quorum } from "./Quorum.js";
import type { Json, LogEntry, Member, ProposeError, ReadError } from "./Types.js";

/** Proposals that may wait to be appended; more are refused. */
const maxPending = 10_000;
const maxBatch = 1024;
/** Election times that a leader waits for its disk. */
const diskPatience = 2;

type Body = { readonly kind: "command"; readonly command: Json; } | {
    readonly kind: "members";
    readonly members: readonly Member[];
};

interface Pending {
    readonly body: Body;
    readonly settle: (end: Either<ProposeError, Json>) => void;
    isAppended: boolean;
}

export class Leadership {
    private readonly replicators = new Map<HostId, PeerReplicator>();
    private readonly quorum: Quorum;
    private readonly ended = new AbortController();
    private readonly work: Notifier;
    private readonly contacted: Notifier;
    public readonly startMs: number;
    private pending: Pending[] = [];
    /** Entries up to here are durable on this host. */
    private ownMatch = 0;
    /** Index of the first entry of this term; once it is committed, all earlier ones are known to be. */
    private firstIndex = 0;
    private handingOver = false;
    /** Set once another host may have been asked to take over, which need not wait for the lease to end. */
    private leaseGivenUp = false;

    public constructor(
        private readonly context: Omit<ReplicatorContext, "onAnswer" | "onHigherTerm">,
        private readonly onDiskHang: (busyMs: number) => void,
    ) {
        this.quorum = new Quorum(context.replica, this.replicators, context.clock);
        this.work = new Notifier(context.clock);
        this.contacted = new Notifier(context.clock);
        this.startMs = context.clock.nowMs();
    }

    /** True while no other host can have been elected, by this host's clock. */
    public get hasLease(): boolean {
        const { clock, timing } = this.context;
        const validUntilMs = this.quorum.contactMs() + timing.electionMs - timing.clockDriftMs;
        return this.isLeading && !this.leaseGivenUp && clock.nowMs() < validUntilMs;
    }

    /** True once an entry of this term is committed: the commit index then covers all that earlier leaders committed. */
    public get isSettled(): boolean {
        return this.isLeading && this.firstIndex > 0 && this.context.replica.commitIndex >= this.firstIndex;
    }

    public get isLeading(): boolean {
        const { replica, term } = this.context;
        return !this.ended.signal.aborted && replica.role === "leader" && replica.term === term;
    }

    /** What is known of a follower; undefined for hosts that are not members. */
    public follower(host: HostId): PeerReplicator | undefined {
        return this.replicators.get(host);
    }

    /** Leads until another term begins, the quorum is lost, the disk fails or the signal is aborted. */
    public async run(signal: AbortSignal): Promise<void> {
        const { replica, clock, timing } = this.context;
        const stop = () => this.ended.abort();
        signal.addEventListener("abort", stop);
        this.ownMatch = replica.log.lastIndex;
        void this.watchDisk();
        await this.appendFirst();
        let recordedMs = clock.nowMs();
        while (this.isLeading && !signal.aborted) {
            this.matchReplicators();
            if (this.pending.length > 0) {
                await this.appendPending();
                continue;
            }
            await this.work.wait(timing.heartbeatMs, this.ended.signal);
            if (clock.nowMs() - recordedMs >= timing.heartbeatMs) {
                recordedMs = clock.nowMs();
                await replica.exclusive(() => replica.recordCommit());
            }
            this.checkQuorum();
        }
        signal.removeEventListener("abort", stop);
        this.end();
    }

    /** Appends a command; resolves when it is committed and applied here. */
    public propose(body: Body, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        const { replica, clock } = this.context;
        if (!this.isLeading || this.handingOver || this.pending.length >= maxPending) {
            const message = this.isLeading ? "the leader takes no proposals now" : "not the leader";
            return Promise.resolve(Left({ kind: "not-accepted", message, leader: replica.leader }));
        }
        return new Promise(resolve => {
            const settle = (end: Either<ProposeError, Json>) => {
                timer.dispose();
                resolve(end);
            };
            const pending: Pending = { body, settle, isAppended: false };
            const timer = clock.setTimer(timeoutMs, () => settle(this.giveUp(pending)));
            this.pending.push(pending);
            this.work.notify();
        });
    }

    /** The commit index for a linearizable read, once this host is proven to lead still. */
    public async confirmRead(timeoutMs: number): Promise<Either<ReadError, number>> {
        const { replica, clock } = this.context;
        const startMs = clock.nowMs();
        const deadlineMs = startMs + timeoutMs;
        while (this.isLeading && clock.nowMs() < deadlineMs) {
            if (this.isSettled && (this.hasLease || this.quorum.contactMs() > startMs)) {
                return Right(replica.commitIndex);
            }
            this.nudgeAll();
            await this.contacted.wait(deadlineMs - clock.nowMs(), this.ended.signal);
        }
        return Left({ kind: "no-quorum", message: "no majority of the group has answered" });
    }

    /** Stops taking proposals, so that a follower that holds all entries can take over. */
    public beginHandover(): void {
        this.handingOver = true;
        this.leaseGivenUp = true;
    }

    public cancelHandover(): void {
        this.handingOver = false;
    }

    /** The voter, other than this host, that holds the most of the log. */
    public bestSuccessor(): HostId | undefined {
        const { replica, timing, clock } = this.context;
        const fresh = replica.voters
            .map(member => this.replicators.get(member.host))
            .filter(one => one?.contactMs !== undefined && clock.nowMs() - one.contactMs < timing.electionMs);
        return fresh.sort((a, b) => (b?.matchIndex ?? 0) - (a?.matchIndex ?? 0))[0]?.host;
    }

    private giveUp(pending: Pending): Either<ProposeError, Json> {
        if (pending.isAppended) {
            return Left({ kind: "unknown", message: "not committed within the time; it may be committed later" });
        }
        this.pending = this.pending.filter(one => one !== pending);
        return Left({ kind: "not-accepted", message: "the leader did not get to it in time", leader: undefined });
    }

    /** The first entry of the term. A new group's first entry makes the founder's members known to all. */
    private async appendFirst(): Promise<void> {
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
            const batch = this.pending.splice(0, maxBatch);
            const first = replica.log.lastIndex + 1;
            batch.forEach((pending, at) => {
                pending.isAppended = true;
                replica.waiters.add(first + at, term, end => pending.settle(settled(end)));
            });
            this.checkOneMemberChange(batch);
            const entries = batch.map(({ body }): LogEntry => ({ ...body, term }));
            const appending = replica.appendEntries(first, entries);
            this.replicators.forEach(replicator => replicator.notice());
            if (await appending) {
                this.ownMatch = replica.log.lastIndex;
                this.advanceCommit();
                await replica.compact();
            }
        });
    }

    /** Members change one at a time: the next change waits until the one before is committed. */
    private checkOneMemberChange(batch: readonly Pending[]): void {
        const { replica } = this.context;
        const changes = batch.filter(pending => pending.body.kind === "members").length;
        const isFree = replica.commitIndex >= replica.log.membersIndex;
        invariant(changes === 0 || (changes === 1 && isFree), "one membership change at a time", { changes });
    }

    /** Commits what a majority of voters holds, if it ends in an entry of this term. */
    private advanceCommit(): void {
        const { replica, term } = this.context;
        if (!this.isLeading) {
            return;
        }
        const index = this.quorum.matchIndex(this.ownMatch);
        if (index > replica.commitIndex && replica.log.termAt(index) === term) {
            replica.commitTo(index);
            this.replicators.forEach(replicator => replicator.notice());
            this.leaveIfRemoved();
        }
    }

    private checkQuorum(): void {
        const { replica, clock, timing } = this.context;
        const contactMs = Math.max(this.quorum.contactMs(), this.startMs);
        if (this.isLeading && clock.nowMs() - contactMs >= timing.electionMs) {
            replica.setRole(replica.followRole(), undefined);
        }
    }

    /** Steps down while the disk hangs, so that a host with a working one can lead. */
    private async watchDisk(): Promise<void> {
        const { replica, clock, timing } = this.context;
        while (this.isLeading) {
            await clock.sleep(timing.heartbeatMs, this.ended.signal);
            if (this.isLeading && replica.busyMs > timing.electionMs * diskPatience) {
                this.onDiskHang(replica.busyMs);
                this.stepDown();
            }
        }
    }

    private leaveIfRemoved(): void {
        const { replica } = this.context;
        const isCommitted = replica.commitIndex >= replica.log.membersIndex;
        if (isCommitted && replica.ownMember?.role !== "voter") {
            replica.setRole(replica.followRole(), undefined);
        }
    }

    /** One replicator for each other member; a removed one gets a last message that tells it so. */
    private matchReplicators(): void {
        const { replica } = this.context;
        const hosts = new Set(replica.log.members.map(member => member.host));
        hosts.delete(replica.self);
        for (const host of hosts) {
            if (!this.replicators.has(host)) {
                this.startReplicator(host);
            }
        }
        for (const [host, replicator] of this.replicators) {
            const hasLearnt = replicator.matchIndex >= replica.log.membersIndex;
            const isCommitted = replica.commitIndex >= replica.log.membersIndex;
            if (!hosts.has(host) && isCommitted && (hasLearnt || !this.hasHeardFrom(replicator))) {
                replicator.stop();
                this.replicators.delete(host);
            }
        }
    }

    private hasHeardFrom(replicator: PeerReplicator): boolean {
        const { clock, timing } = this.context;
        const { contactMs } = replicator;
        return contactMs !== undefined && clock.nowMs() - contactMs < timing.electionMs;
    }

    private startReplicator(host: HostId): void {
        const replicator = new PeerReplicator(host, {
            ...this.context,
            onAnswer: () => {
                this.advanceCommit();
                this.contacted.notify();
            },
            onHigherTerm: () => this.stepDown(),
        });
        this.replicators.set(host, replicator);
        void replicator.run(this.ended.signal);
    }

    private stepDown(): void {
        const { replica } = this.context;
        if (this.isLeading) {
            replica.setRole(replica.followRole(), undefined);
            this.ended.abort();
        }
    }

    private nudgeAll(): void {
        this.replicators.forEach(replicator => replicator.nudge());
    }

    private end(): void {
        this.ended.abort();
        const left = this.pending.splice(0);
        left.forEach(pending => {
            invariant(!pending.isAppended, "an appended proposal waits for its index");
            pending.settle(Left({ kind: "not-accepted", message: "the leader stepped down", leader: undefined }));
        });
        this.contacted.notify();
    }
}

function settled(end: ProposalEnd): Either<ProposeError, Json> {
    switch (end.kind) {
        case "applied":
            return Right(end.result);
        case "replaced":
            return Left({ kind: "not-accepted", message: "another entry took its place", leader: undefined });
        case "lost":
            return Left({ kind: "unknown", message: end.message });
    }
}
