/** Handles the messages of a leader: appends, and snapshots in parts. */
import { invariant } from "../common/Invariant.js";
import type { Clock, HostId } from "../common/Types.js";
import type { AppendRequest, FollowerReply, SnapshotRequest } from "./Messages.js";
import type { Replica } from "./Replica.js";
import type { Json, LogEntry } from "./Types.js";

/** The parts of a leader's snapshot received so far. */
interface PartialSnapshot {
    readonly leader: HostId;
    readonly index: number;
    readonly term: number;
    text: string;
}

export class Follower {
    private partialSnapshot: PartialSnapshot | undefined;

    public constructor(private readonly replica: Replica, private readonly clock: Clock) {}

    public handleAppend(req: AppendRequest): Promise<FollowerReply> {
        return this.replica.exclusive(async () => {
            const refusal = await this.acceptLeader(req);
            return refusal ?? this.appendEntries(req);
        });
    }

    public handleSnapshotPart(req: SnapshotRequest): Promise<FollowerReply> {
        return this.replica.exclusive(async () => {
            const refusal = await this.acceptLeader(req);
            return refusal ?? this.receiveSnapshotPart(req);
        });
    }

    /** Follows the sender unless its term is over or it expects another replica; returns the refusal in that case. */
    private async acceptLeader(
        req: { leader: HostId; replica?: string | undefined; term: number; },
    ): Promise<FollowerReply | undefined> {
        const { replica } = this;
        const replicaId = replica.replicaId;
        if (replicaId === undefined || replica.fault !== undefined) {
            return { kind: "out-of-service", message: replica.fault?.message ?? "not started" };
        }
        if (req.replica !== undefined && req.replica !== replicaId) {
            return { kind: "other-replica", term: replica.term, replica: replicaId };
        }
        if (req.term < replica.term) {
            return { kind: "stale-term", term: replica.term, replica: replicaId };
        }
        if (req.term > replica.term && !await replica.saveVote({ term: req.term, votedFor: undefined })) {
            return { kind: "out-of-service", message: "the disk failed" };
        }
        invariant(replica.role !== "leader" || req.leader === replica.self, "one leader in a term", {
            term: req.term,
            leaders: [replica.self, req.leader],
        });
        replica.leaderContactMs = this.clock.nowMs();
        replica.heardLeaderMs = replica.leaderContactMs;
        replica.heardLeader = req.leader;
        replica.setRole(replica.nonLeaderRole(), req.leader);
        return undefined;
    }

    private async appendEntries(req: AppendRequest): Promise<FollowerReply> {
        const { replica } = this;
        const { log } = replica;
        const lastEntryIndex = req.prevIndex + req.entries.length;
        const localPrevTerm = log.termAt(req.prevIndex);
        if (req.prevIndex < log.baseIndex) {
            // Entries up to the base are committed and therefore equal; the others are compared from the base on.
            return lastEntryIndex <= log.baseIndex
                ? this.matched()
                : this.appendEntries(trimToBase(req, log.baseIndex, log.baseTerm));
        }
        if (localPrevTerm !== req.prevTerm) {
            return this.mismatch(req.prevIndex);
        }
        const firstNew = req.entries.findIndex((entry, at) => log.termAt(req.prevIndex + 1 + at) !== entry.term);
        if (firstNew >= 0) {
            const newEntries: readonly LogEntry[] = req.entries.slice(firstNew);
            if (!await replica.appendEntries(req.prevIndex + 1 + firstNew, newEntries)) {
                return { kind: "out-of-service", message: "the disk failed" };
            }
        }
        replica.commitTo(Math.max(replica.commitIndex, Math.min(req.commit, lastEntryIndex)));
        replica.setRole(replica.nonLeaderRole(), req.leader);
        if (req.entries.length === 0) {
            await replica.persistCommitIfDue();
        }
        await replica.compact();
        return this.matched();
    }

    private async receiveSnapshotPart(req: SnapshotRequest): Promise<FollowerReply> {
        const { replica } = this;
        if (req.index <= replica.commitIndex) {
            return this.matched();
        }
        const isNext = this.partialSnapshot?.leader === req.leader && this.partialSnapshot.index === req.index
            && this.partialSnapshot.term === req.term && this.partialSnapshot.text.length === req.offset;
        if (req.offset === 0) {
            this.partialSnapshot = { leader: req.leader, index: req.index, term: req.term, text: "" };
        }
        else if (!isNext) {
            return this.mismatch(0);
        }
        const partial = this.partialSnapshot;
        if (partial === undefined) {
            return this.mismatch(0);
        }
        partial.text += req.text;
        if (!req.isLast) {
            return this.matched();
        }
        this.partialSnapshot = undefined;
        const state = JSON.parse(partial.text) as Json;
        const { index, snapshotTerm: term, members } = req;
        if (!await replica.installSnapshot({ index, term, members, state })) {
            return { kind: "out-of-service", message: "the disk failed" };
        }
        return this.matched();
    }

    private matched(): FollowerReply {
        return { kind: "matched", term: this.replica.term, replica: this.replica.replicaId ?? "" };
    }

    /** Refers the leader to the first uncommitted entry of the conflicting term, or to the end of this log. */
    private mismatch(prevIndex: number): FollowerReply {
        const { log, commitIndex, term, replicaId } = this.replica;
        let nextIndex = Math.min(prevIndex, log.lastIndex + 1);
        const conflictingTerm = log.termAt(nextIndex);
        while (
            conflictingTerm !== undefined && nextIndex > commitIndex + 1
            && log.termAt(nextIndex - 1) === conflictingTerm
        ) {
            nextIndex -= 1;
        }
        return { kind: "mismatch", term, replica: replicaId ?? "", nextIndex: Math.max(nextIndex, 1) };
    }
}

/** Removes the entries up to the base of the log from a request, so that it continues from the base. */
function trimToBase(req: AppendRequest, baseIndex: number, baseTerm: number): AppendRequest {
    const entries = req.entries.slice(baseIndex - req.prevIndex);
    return { ...req, prevIndex: baseIndex, prevTerm: baseTerm, entries };
}
