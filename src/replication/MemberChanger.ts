/**
 * Membership changes, made by the leader one member at a time: a new host is a learner until it has caught up, and
 * each step waits until the previous one is committed. An interrupted change continues when it is requested again.
 */
import PQueue from "p-queue";
import { type Either, Left, Right } from "purify-ts";
import type { Clock, HostId } from "../common/Types.js";
import type { Leadership } from "./Leadership.js";
import type { Replica } from "./Replica.js";
import type { GroupMembers, GroupTiming, Member, MemberChange, ProposeError } from "./Types.js";

/** Timeout of a change that the leader starts itself, in election times. */
const maxReconcileElectionTimes = 5;

type StepResult = Either<ProposeError, void>;

export class MemberChanger {
    private readonly queue = new PQueue({ concurrency: 1 });

    public constructor(
        private readonly replica: Replica,
        private readonly leadership: Leadership,
        private readonly clock: Clock,
        private readonly timing: GroupTiming,
    ) {}

    /** Makes a change after those requested earlier; resolves with the members afterwards. */
    public async change(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>> {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        const done = await this.queue.add(() => this.applyChange(change, deadlineMs));
        return done.map(() => membersOf(this.replica.log.members));
    }

    /**
     * Completes pending changes: promotes learners that were added as voters and have caught up, and replaces the
     * replica of voters whose disk was emptied. Runs until this host stops leading.
     */
    public async reconcile(signal: AbortSignal): Promise<void> {
        while (this.leadership.isLeading && !signal.aborted) {
            await this.clock.sleep(this.timing.electionMs / 2, signal);
            const change = this.nextChange();
            if (change !== undefined && this.leadership.isLeading) {
                await this.change(change, this.timing.electionMs * maxReconcileElectionTimes);
            }
        }
    }

    private nextChange(): MemberChange | undefined {
        for (const { host, replica, role, promote } of this.replica.log.members) {
            const follower = this.leadership.follower(host);
            const isEmptied = role === "voter" && follower?.replicaId !== undefined && follower.replicaId !== replica;
            if (isEmptied) {
                return { kind: "replace", host, by: host };
            }
            if (role === "learner" && promote === true && this.hasCaughtUp(host)) {
                return { kind: "add", host };
            }
        }
        return undefined;
    }

    private async applyChange(change: MemberChange, deadlineMs: number): Promise<StepResult> {
        switch (change.kind) {
            case "add":
                return change.role === "learner"
                    ? this.addLearner(change.host, false, deadlineMs)
                    : this.add(change.host, deadlineMs);
            case "remove":
                return this.remove(change.host, deadlineMs);
            case "replace": {
                if (change.host === change.by) {
                    return this.replaceReplica(change.host, deadlineMs);
                }
                const added = await this.add(change.by, deadlineMs);
                return added.isLeft() ? added : this.remove(change.host, deadlineMs);
            }
        }
    }

    private async add(host: HostId, deadlineMs: number): Promise<StepResult> {
        const known = this.findMember(host);
        if (known?.role === "voter") {
            return Right(undefined);
        }
        const added = await this.addLearner(host, true, deadlineMs);
        if (added.isLeft()) {
            return added;
        }
        const replica = await this.waitForCatchUp(host, deadlineMs);
        if (replica === undefined) {
            const message = `${host} is a learner and has not caught up yet; send the change again to continue`;
            return Left({ kind: "unknown", message });
        }
        const voter: Member = { host, replica, role: "voter" };
        return this.setMembers(members => members.map(one => one.host === host ? voter : one), deadlineMs);
    }

    private async addLearner(host: HostId, promote: boolean, deadlineMs: number): Promise<StepResult> {
        const known = this.findMember(host);
        if (known !== undefined && (known.promote === true || !promote)) {
            return Right(undefined);
        }
        const learner: Member = { host, replica: undefined, role: "learner", promote };
        return this.setMembers(members => [...members.filter(one => one.host !== host), learner], deadlineMs);
    }

    private async remove(host: HostId, deadlineMs: number): Promise<StepResult> {
        if (this.findMember(host) === undefined) {
            return Right(undefined);
        }
        return this.setMembers(members => members.filter(one => one.host !== host), deadlineMs);
    }

    /** Demotes a voter whose disk was emptied to a learner, and promotes it again under its new replica id. */
    private async replaceReplica(host: HostId, deadlineMs: number): Promise<StepResult> {
        const known = this.findMember(host);
        const current = this.leadership.follower(host)?.replicaId;
        if (known?.role === "voter" && current !== undefined && known.replica === current) {
            return Right(undefined);
        }
        if (known?.role === "voter") {
            const learner: Member = { host, replica: undefined, role: "learner", promote: true };
            const demoted = await this.setMembers(
                members => members.map(one => one.host === host ? learner : one),
                deadlineMs,
            );
            if (demoted.isLeft()) {
                return demoted;
            }
        }
        return this.add(host, deadlineMs);
    }

    /** Resolves with the replica id of a learner once it holds all committed entries; undefined after the deadline. */
    private async waitForCatchUp(host: HostId, deadlineMs: number): Promise<string | undefined> {
        while (this.leadership.isLeading && this.clock.nowMs() < deadlineMs) {
            if (this.hasCaughtUp(host)) {
                return this.leadership.follower(host)?.replicaId;
            }
            await this.clock.sleep(this.timing.heartbeatMs / 2);
        }
        return undefined;
    }

    /** Commits new members, once the previous member change is committed. */
    private async setMembers(
        makeNext: (members: readonly Member[]) => readonly Member[],
        deadlineMs: number,
    ): Promise<StepResult> {
        const { replica, leadership, clock } = this;
        while (!leadership.isSettled || replica.commitIndex < replica.log.membersIndex) {
            if (!leadership.isLeading || clock.nowMs() >= deadlineMs) {
                return Left({ kind: "not-accepted", message: "an earlier change is not committed", leader: undefined });
            }
            await replica.changed.wait(deadlineMs - clock.nowMs());
        }
        const next = makeNext(replica.log.members);
        const reason = this.rejectionReason(next);
        if (reason !== undefined) {
            return Left({ kind: "not-accepted", message: reason, leader: replica.leader });
        }
        const timeoutMs = Math.max(1, deadlineMs - clock.nowMs());
        const proposed = await leadership.propose({ kind: "members", members: next }, timeoutMs);
        return proposed.map(() => undefined);
    }

    /** Returns why the members must not be set, which is when no quorum of them can be reached; else undefined. */
    private rejectionReason(next: readonly Member[]): string | undefined {
        const voters = next.filter(member => member.role === "voter");
        const reachable = voters.filter(member => this.isInContact(member.host));
        if (reachable.length <= voters.length / 2) {
            return `only ${reachable.length} of the ${voters.length} voters after the change can be reached`;
        }
        return undefined;
    }

    private hasCaughtUp(host: HostId): boolean {
        const matchIndex = this.leadership.follower(host)?.matchIndex ?? 0;
        return matchIndex >= this.replica.commitIndex && this.isInContact(host);
    }

    private isInContact(host: HostId): boolean {
        const contactMs = this.leadership.follower(host)?.contactMs;
        const isRecent = contactMs !== undefined && this.clock.nowMs() - contactMs < this.timing.electionMs;
        return host === this.replica.self || isRecent;
    }

    private findMember(host: HostId): Member | undefined {
        return this.replica.log.members.find(member => member.host === host);
    }
}

/** The hosts of a member list, by role. */
export function membersOf(members: readonly Member[]): GroupMembers {
    return {
        voters: members.filter(member => member.role === "voter").map(member => member.host),
        learners: members.filter(member => member.role === "learner").map(member => member.host),
    };
}
