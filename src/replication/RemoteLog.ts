/**
 * Access to a group from a host without a replica: proposals, reads and membership changes go to the leader. Results of
 * commands arrive with the commit; there is no local state machine to read from.
 */
import type { Either } from "purify-ts";
import { Emitter } from "../common/Emitter.js";
import type { Clock, HostId, Random } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import { Forwarder } from "./Forwarder.js";
import { LeaderClient } from "./LeaderClient.js";
import { collectStatuses, GroupMethods } from "./Messages.js";
import type { GroupMembers, GroupStatus, Json, MemberChange, ProposeError, ReadError, ReplicatedLog } from "./Types.js";

/** Pause after each round of as many attempts to reach the leader as there are hosts, in milliseconds. */
const pauseMs = 100;

export interface RemoteLogOptions {
    readonly group: string;
    readonly self: HostId;
    /** Hosts that may have replicas of the group. */
    readonly hosts: () => readonly HostId[];
    readonly transport: PeerTransport;
    readonly clock: Clock;
    readonly random: Random;
}

export class RemoteLog implements ReplicatedLog {
    public readonly group: string;
    /** Never fires: this host applies nothing. */
    public readonly onApplied: ReplicatedLog["onApplied"] = new Emitter<number>().event;
    /** Never fires: this host has no role. */
    public readonly onRoleChange: ReplicatedLog["onRoleChange"] = new Emitter<GroupStatus>().event;
    private readonly methods: GroupMethods;
    private readonly forwarder: Forwarder;

    public constructor(private readonly options: RemoteLogOptions) {
        const { group, self, hosts, transport, clock, random } = options;
        this.group = group;
        this.methods = new GroupMethods(group);
        const client = new LeaderClient({ self, transport, clock, hosts, pauseMs });
        this.forwarder = new Forwarder(self, client, this.methods, random);
    }

    /** Errors: "not-accepted" only when no host has accepted the command; "unknown" when a reply was lost. */
    public propose(command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        return this.forwarder.propose(command, timeoutMs);
    }

    /**
     * Resolves with a commit index that covers all entries committed before the call, which proves that a quorum can be
     * reached. Nothing is applied on this host.
     */
    public readBarrier(timeoutMs: number): Promise<Either<ReadError, number>> {
        return this.forwarder.read(timeoutMs);
    }

    public changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>> {
        return this.forwarder.changeMembers(change, timeoutMs);
    }

    /** Status of a host that takes no part in the group. */
    public status(): GroupStatus {
        return {
            group: this.group,
            role: "stopped",
            term: 0,
            leader: undefined,
            commitIndex: 0,
            appliedIndex: 0,
            lastIndex: 0,
            snapshotIndex: 0,
            members: { voters: this.options.hosts(), learners: [] },
            hasQuorum: false,
            fault: undefined,
        };
    }

    /** The status of each host of the group that replies. */
    public async statuses(): Promise<ReadonlyMap<HostId, GroupStatus>> {
        const { hosts, transport } = this.options;
        return collectStatuses(hosts(), this.methods, transport);
    }
}
