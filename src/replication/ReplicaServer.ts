/** Handles the messages of a group on a host with a replica. */
import type { HostId } from "../common/Types.js";
import type { PeerRegistry } from "../peer/Types.js";
import type { Elections } from "./Elections.js";
import type { Follower } from "./Follower.js";
import type { Leadership } from "./Leadership.js";
import type { MemberChanger } from "./MemberChanger.js";
import type {
    GroupMethods,
    LeaderReply,
    MembersReply,
    MembersRequest,
    ProposeReply,
    ProposeRequest,
    ReadReply,
    ReadRequest,
} from "./Messages.js";
import type { Replica } from "./Replica.js";
import type { GroupStatus } from "./Types.js";

/** Number of proposals whose replies are kept, to answer a message that is delivered again. */
const maxKeptReplies = 4096;

export interface ReplicaServerOptions {
    readonly replica: Replica;
    readonly elections: Elections;
    readonly follower: Follower;
    /** Undefined while this host does not lead. */
    readonly currentLeadership: () => Leadership | undefined;
    /** Undefined while this host does not lead. */
    readonly changer: () => MemberChanger | undefined;
    readonly status: () => GroupStatus;
    /** Makes this host campaign at once. */
    readonly takeOver: () => void;
}

export class ReplicaServer {
    private readonly repliesByProposal = new Map<string, Promise<LeaderReply<ProposeReply>>>();

    public constructor(private readonly options: ReplicaServerOptions) {}

    public register(methods: GroupMethods, registry: PeerRegistry): void {
        const { replica, elections, follower } = this.options;
        registry.handle(methods.identify, async () => {
            const replicaId = replica.fault === undefined ? replica.replicaId : undefined;
            return { replica: replicaId, joined: replica.joined };
        });
        registry.handle(methods.vote, req => elections.handleVoteRequest(req));
        registry.handle(methods.append, req => follower.handleAppend(req));
        registry.handle(methods.snapshot, req => follower.handleSnapshotPart(req));
        registry.handle(methods.propose, req => this.propose(req));
        registry.handle(methods.read, req => this.read(req));
        registry.handle(methods.changeMembers, req => this.changeMembers(req));
        registry.handle(methods.status, async () => this.options.status());
        registry.handle(methods.takeOver, async (_, from) => this.takeOver(from));
    }

    /** Appends one entry for each proposal, however often its message is delivered. */
    private propose(req: ProposeRequest): Promise<LeaderReply<ProposeReply>> {
        const knownReply = this.repliesByProposal.get(req.proposal);
        if (knownReply !== undefined) {
            return knownReply;
        }
        const leadership = this.options.currentLeadership();
        if (leadership === undefined) {
            return Promise.resolve(this.notLeader());
        }
        const reply = leadership.propose({ kind: "command", command: req.command }, req.timeoutMs)
            .then((outcome): LeaderReply<ProposeReply> => ({
                kind: "done",
                value: outcome.caseOf<ProposeReply>({
                    Left: error => ({ kind: error.kind, message: error.message }),
                    Right: result => ({ kind: "committed", result }),
                }),
            }));
        this.keepReply(req.proposal, reply);
        return reply;
    }

    private async read(req: ReadRequest): Promise<LeaderReply<ReadReply>> {
        const index = await this.options.currentLeadership()?.confirmRead(req.timeoutMs);
        if (index === undefined) {
            return this.notLeader();
        }
        const value = index.caseOf<ReadReply>({
            Left: error => ({ kind: "no-quorum", message: error.message }),
            Right: at => ({ kind: "read", index: at }),
        });
        return { kind: "done", value };
    }

    private async changeMembers(req: MembersRequest): Promise<LeaderReply<MembersReply>> {
        const changed = await this.options.changer()?.change(req.change, req.timeoutMs);
        if (changed === undefined) {
            return this.notLeader();
        }
        const value = changed.caseOf<MembersReply>({
            Left: error => ({ kind: error.kind, message: error.message }),
            Right: members => ({ kind: "changed", members }),
        });
        return { kind: "done", value };
    }

    private async takeOver(from: HostId): Promise<Record<string, never>> {
        if (from === this.options.replica.leader) {
            this.options.takeOver();
        }
        return {};
    }

    private notLeader(): LeaderReply<never> {
        return { kind: "not-leader", leader: this.options.replica.leader };
    }

    private keepReply(proposal: string, reply: Promise<LeaderReply<ProposeReply>>): void {
        this.repliesByProposal.set(proposal, reply);
        const oldest = this.repliesByProposal.keys().next().value;
        if (this.repliesByProposal.size > maxKeptReplies && oldest !== undefined) {
            this.repliesByProposal.delete(oldest);
        }
    }
}
