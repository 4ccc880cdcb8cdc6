/** Computes what a majority of the voters has reached, from the state of the leader's replicators. */
import type { Clock, HostId } from "../common/Types.js";
import type { PeerReplicator } from "./PeerReplicator.js";
import type { Replica } from "./Replica.js";
import type { Member } from "./Types.js";

export class Quorum {
    public constructor(
        private readonly replica: Replica,
        private readonly replicators: ReadonlyMap<HostId, PeerReplicator>,
        private readonly clock: Clock,
    ) {}

    /** Highest index that a majority of voters has stored; `ownMatch` is the highest durable index of this host. */
    public matchIndex(ownMatch: number): number {
        return this.majority(member => member.host === this.replica.self ? ownMatch : this.matchIndexOf(member));
    }

    /** Latest time, on the local clock, at which a majority of voters is known to have followed this host. */
    public contactMs(): number {
        return this.majority(member => {
            const isSelf = member.host === this.replica.self;
            return isSelf
                ? this.clock.nowMs()
                : this.replicators.get(member.host)?.contactMs ?? Number.NEGATIVE_INFINITY;
        });
    }

    /** A voter's match index counts only under the replica id in the member list. */
    private matchIndexOf(member: Member): number {
        const replicator = this.replicators.get(member.host);
        return replicator?.replicaId === member.replica ? replicator?.matchIndex ?? 0 : 0;
    }

    /** The highest value that a majority of voters has reached. */
    private majority(valueOf: (member: Member) => number): number {
        const values = this.replica.voters.map(valueOf).sort((a, b) => b - a);
        return values[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY;
    }
}
