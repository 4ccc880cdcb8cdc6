/** Runs proposals, reads and membership changes on this host while it leads, and forwards them otherwise. */
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
    /** Pause after each round of as many attempts as there are hosts, in milliseconds. */
    readonly pauseMs: number;
    /** Hosts that may lead. */
    readonly hosts: () => readonly HostId[];
    /** Undefined while this host does not lead. */
    readonly currentLeadership: () => Leadership | undefined;
    /** Undefined while this host does not lead. */
    readonly changer: () => MemberChanger | undefined;
}

export class LeaderAccess {
    private readonly client: LeaderClient;
    private readonly forwarder: Forwarder;

    public constructor(private readonly options: LeaderAccessOptions) {
        const { replica, methods, transport, clock, random, pauseMs, hosts } = options;
        const isLeading = () => options.currentLeadership() !== undefined;
        this.client = new LeaderClient({ self: replica.self, transport, clock, hosts, pauseMs, leadsSelf: isLeading });
        this.forwarder = new Forwarder(replica.self, this.client, methods, random);
    }

    public propose(command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        return this.runAtLeader<ProposeError, Json>(
            timeoutMs,
            notLeading,
            (leadership, remainingMs) => leadership.propose({ kind: "command", command }, remainingMs),
            remainingMs => this.forwarder.propose(command, remainingMs),
        );
    }

    public changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>> {
        return this.runAtLeader<ProposeError, GroupMembers>(
            timeoutMs,
            notLeading,
            async (_, remainingMs) => await this.options.changer()?.change(change, remainingMs) ?? notLeading(),
            remainingMs => this.forwarder.changeMembers(change, remainingMs),
        );
    }

    /** Resolves with a commit index that covers all entries committed before the call. */
    public readIndex(timeoutMs: number): Promise<Either<ReadError, number>> {
        return this.runAtLeader<ReadError, number>(
            timeoutMs,
            noQuorum,
            (leadership, remainingMs) => leadership.confirmRead(remainingMs),
            remainingMs => this.forwarder.read(remainingMs),
        );
    }

    /** Runs an operation at the leader, and repeats it when leadership changed on this host and nothing was done. */
    private async runAtLeader<E extends ProposeError | ReadError, T>(
        timeoutMs: number,
        noLeader: () => Either<E, T>,
        runLocally: (leadership: Leadership, remainingMs: number) => Promise<Either<E, T>>,
        forward: (remainingMs: number) => Promise<Either<E, T>>,
    ): Promise<Either<E, T>> {
        const { clock, replica, currentLeadership } = this.options;
        const deadlineMs = clock.nowMs() + timeoutMs;
        let result = noLeader();
        while (clock.nowMs() < deadlineMs) {
            const leadership = currentLeadership();
            const remainingMs = deadlineMs - clock.nowMs();
            this.client.hint(replica.leader);
            result = await (leadership === undefined ? forward(remainingMs) : runLocally(leadership, remainingMs));
            const isNotDone = result.caseOf({ Left: error => error.kind !== "unknown", Right: () => false });
            const hasChanged = currentLeadership() !== leadership;
            if (!isNotDone || !hasChanged) {
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
