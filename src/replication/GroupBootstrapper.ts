/**
 * Bootstraps a group: the first of the initial voters in sort order saves the replica ids of all of them as the group's
 * members, once they have all replied that their disks are empty. A host whose disk is emptied later can't bootstrap
 * the group a second time, since the others have joined it.
 */
import type { PeerTransport } from "../peer/Types.js";
import type { GroupMethods, IdentifyReply } from "./Messages.js";
import type { Replica } from "./Replica.js";
import type { GroupMembers, Member } from "./Types.js";

export class GroupBootstrapper {
    public constructor(
        private readonly replica: Replica,
        private readonly initialMembers: GroupMembers,
        private readonly methods: GroupMethods,
        private readonly transport: PeerTransport,
        private readonly timeoutMs: number,
    ) {}

    /** Tries once; true when this host has bootstrapped the group. */
    public async tryBootstrap(): Promise<boolean> {
        const { replica } = this;
        const voters = [...this.initialMembers.voters].sort();
        if (voters[0] !== replica.self) {
            return false;
        }
        const members: Member[] = [];
        for (const host of voters) {
            const replicaId = host === replica.self ? replica.replicaId : await this.findEmptyReplica(host);
            if (replicaId === undefined) {
                return false;
            }
            members.push({ host, replica: replicaId, role: "voter" });
        }
        const learners = this.initialMembers.learners.map((host): Member => ({
            host,
            replica: undefined,
            role: "learner",
        }));
        return replica.exclusive(async () => !replica.joined && await replica.bootstrap([...members, ...learners]));
    }

    private async findEmptyReplica(host: Member["host"]): Promise<string | undefined> {
        const reply = await this.transport.call(host, this.methods.identify, {}, { timeoutMs: this.timeoutMs });
        const answer = reply.map<IdentifyReply | undefined>(one => one).orDefault(undefined);
        return answer?.joined === false ? answer.replica : undefined;
    }
}
