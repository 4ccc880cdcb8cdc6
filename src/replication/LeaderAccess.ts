/** Proposals, reads and membership changes of a host with a replica: on this host while it leads, else forwarded. */
import { type Either, Left } from "purify-ts";
import type { Clock, HostId, Random } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import { Forwarder } from "./Forwarder.js";
import { LeaderClient } from "./LeaderClient.js";
import type { Leadership } from "./Leadership.js";
import type { MemberChanger } from "./MemberChanger.js";
import type { GroupMethods } from "./Messages.js";
import type { Replica } from "./Replica.js";
import type { GroupMembers, Json, MemberChange, ProposeError, ReadError } from "./Types.js";

export interface LeaderAccessOptions {
    readonly replica: Replica;
    readonly methods: GroupMethods;
    readonly transport: PeerTransport;
    readonly clock: Clock;
    readonly random: Random;
    readonly pauseMs: number;
    /** Hosts that may lead. */
    readonly hosts: () => readonly HostId[];
    /** Undefined while this host does not lead. */
    readonly leading: () => Leadership | undefined;
    readonly changer: () => MemberChanger | undefined;
}

export class LeaderAccess {
    private readonly client: LeaderClient;
    private readonly forwarder: Forwarder;

    public constructor(private readonly options: LeaderAccessOptions) {
        const { replica, methods, transport, clock, random, pauseMs, hosts } = options;
        const leadsSelf = () => options.leading() !== undefined;
        this.client = new LeaderClient({ self: replica.self, transport, clock, hosts, pauseMs, leadsSelf });
        this.forwarder = new Forwarder(replica.self, this.client, methods, random);
    }

    public propose(command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        return this.atLeader<ProposeError, Json>(
            timeoutMs,
            notLeading,
            (leadership, remainingMs) => leadership.propose({ kind: "command", command }, remainingMs),
            remainingMs => this.forwarder.propose(command, remainingMs),
        );
    }

    public changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>> {
        return this.atLeader<ProposeError, GroupMembers>(
            timeoutMs,
            notLeading,
            async (_, remainingMs) => await this.options.changer()?.change(change, remainingMs) ?? notLeading(),
            remainingMs => this.forwarder.changeMembers(change, remainingMs),
        );
    }

    /** The commit index at the time of the call or later. */
    public readIndex(timeoutMs: number): Promise<Either<ReadError, number>> {
        return this.atLeader<ReadError, number>(
            timeoutMs,
            noQuorum,
            (leadership, remainingMs) => leadership.confirmRead(remainingMs),
            remainingMs => this.forwarder.read(remainingMs),
        );
    }

    /** Tries again while the lead comes to this host or leaves it, and nothing has been done. */
    private async atLeader<E extends ProposeError | ReadError, T>(
        timeoutMs: number,
        none: () => Either<E, T>,
        here: (leadership: Leadership, remainingMs: number) => Promise<Either<E, T>>,
        there: (remainingMs: number) => Promise<Either<E, T>>,
    ): Promise<Either<E, T>> {
        const { clock, replica, leading } = this.options;
        const deadlineMs = clock.nowMs() + timeoutMs;
        let result = none();
        while (clock.nowMs() < deadlineMs) {
            const leadership = leading();
            const remainingMs = deadlineMs - clock.nowMs();
            this.client.hint(replica.leader);
            result = await (leadership === undefined ? there(remainingMs) : here(leadership, remainingMs));
            const isUndone = result.caseOf({ Left: error => error.kind !== "unknown", Right: () => false });
            const hasChanged = leading() !== leadership;
            if (!isUndone || !hasChanged) {
                return result;
            }
        }
        return result;
    }
}

function notLeading(): Either<ProposeError, never> {
    return Left({ kind: "not-accepted", message: "no leader is known", leader: undefined });
}

function noQuorum(): Either<ReadError, never> {
    return Left({ kind: "no-quorum", message: "no leader is known" });
}
