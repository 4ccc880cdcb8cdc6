/** The receiving side of a leader's messages: appends, and snapshots in parts. */
import { invariant } from "../common/Invariant.js";
import type { Clock, HostId } from "../common/Types.js";
import type { AppendRequest, FollowReply, SnapshotRequest } from "./Messages.js";
import type { Replica } from "./Replica.js";
import type { Json, LogEntry } from "./Types.js";

interface PartialSnapshot {
    readonly leader: HostId;
    readonly index: number;
    readonly term: number;
    text: string;
}

export class Follower {
    private partial: PartialSnapshot | undefined;

    public constructor(private readonly replica: Replica, private readonly clock: Clock) {}

    public append(req: AppendRequest): Promise<FollowReply> {
        return this.replica.exclusive(async () => {
            const refusal = await this.acceptLeader(req);
            return refusal ?? this.appendFrom(req);
        });
    }

    public snapshotPart(req: SnapshotRequest): Promise<FollowReply> {
        return this.replica.exclusive(async () => {
            const refusal = await this.acceptLeader(req);
            return refusal ?? this.takePart(req);
        });
    }

    /** Follows the sender if it leads a term that is not over; else gives the refusal. */
    private async acceptLeader(
        req: { leader: HostId; replica?: string | undefined; term: number; },
    ): Promise<FollowReply | undefined> {
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
        replica.heardLeaderMs = this.clock.nowMs();
        replica.setRole(replica.followRole(), req.leader);
        return undefined;
    }

    private async appendFrom(req: AppendRequest): Promise<FollowReply> {
        const { replica } = this;
        const { log } = replica;
        const last = req.prevIndex + req.entries.length;
        const heldTerm = log.termAt(req.prevIndex);
        if (req.prevIndex < log.baseIndex) {
            // What lies before the base is committed and equal; the rest is compared from the base on.
            return last <= log.baseIndex ? this.matched() : this.appendFrom(fromBase(req, log.baseIndex, log.baseTerm));
        }
        if (heldTerm !== req.prevTerm) {
            return this.mismatch(req.prevIndex);
        }
        const held = req.entries.findIndex((entry, at) => log.termAt(req.prevIndex + 1 + at) !== entry.term);
        if (held >= 0) {
            const added: readonly LogEntry[] = req.entries.slice(held);
            if (!await replica.appendEntries(req.prevIndex + 1 + held, added)) {
                return { kind: "out-of-service", message: "the disk failed" };
            }
        }
        replica.commitTo(Math.max(replica.commitIndex, Math.min(req.commit, last)));
        replica.setRole(replica.followRole(), req.leader);
        if (req.entries.length === 0) {
            await replica.recordCommit();
        }
        await replica.compact();
        return this.matched();
    }

    private async takePart(req: SnapshotRequest): Promise<FollowReply> {
        const { replica } = this;
        if (req.index <= replica.commitIndex) {
            return this.matched();
        }
        const isNext = this.partial?.leader === req.leader && this.partial.index === req.index
            && this.partial.term === req.term && this.partial.text.length === req.offset;
        if (req.offset === 0) {
            this.partial = { leader: req.leader, index: req.index, term: req.term, text: "" };
        }
        else if (!isNext) {
            return this.mismatch(0);
        }
        const partial = this.partial;
        if (partial === undefined) {
            return this.mismatch(0);
        }
        partial.text += req.text;
        if (!req.isLast) {
            return this.matched();
        }
        this.partial = undefined;
        const state = JSON.parse(partial.text) as Json;
        const { index, snapshotTerm: term, members } = req;
        if (!await replica.installSnapshot({ index, term, members, state })) {
            return { kind: "out-of-service", message: "the disk failed" };
        }
        return this.matched();
    }

    private matched(): FollowReply {
        return { kind: "matched", term: this.replica.term, replica: this.replica.replicaId ?? "" };
    }

    /** Sends the leader back to the start of the term that stands here at the index, or to the log's end. */
    private mismatch(prevIndex: number): FollowReply {
        const { log, commitIndex, term, replicaId } = this.replica;
        let nextIndex = Math.min(prevIndex, log.lastIndex + 1);
        const conflicting = log.termAt(nextIndex);
        while (conflicting !== undefined && nextIndex > commitIndex + 1 && log.termAt(nextIndex - 1) === conflicting) {
            nextIndex -= 1;
        }
        return { kind: "mismatch", term, replica: replicaId ?? "", nextIndex: Math.max(nextIndex, 1) };
    }
}

function fromBase(req: AppendRequest, baseIndex: number, baseTerm: number): AppendRequest {
    const entries = req.entries.slice(baseIndex - req.prevIndex);
    return { ...req, prevIndex: baseIndex, prevTerm: baseTerm, entries };
}
