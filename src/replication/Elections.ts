/**
 * Elections of a group: replies to vote requests, and campaigns of this host. A campaign starts with pre-votes, which
 * raise no term, so that a host that returns from a partition does not depose a working leader. A candidate that finds a
 * higher term in a denial adopts it: otherwise a voter with a higher term and a shorter log would deny it each time, and
 * be denied by it.
 */
import type { Clock } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import type { GroupMethods, VoteReply, VoteRequest } from "./Messages.js";
import { Notifier } from "./Notifier.js";
import type { Replica } from "./Replica.js";
import type { GroupTiming, Member } from "./Types.js";

export class Elections {
    /** Highest term in the replies to this host's vote requests. */
    private highestTermSeen = 0;

    public constructor(
        private readonly replica: Replica,
        private readonly methods: GroupMethods,
        private readonly transport: PeerTransport,
        private readonly clock: Clock,
        private readonly timing: GroupTiming,
        /** True while this host leads and a quorum has replied within the lease time. */
        private readonly hasLease: () => boolean,
    ) {}

    /** Grants or denies a vote or pre-vote. */
    public handleVoteRequest(req: VoteRequest): Promise<VoteReply> {
        return this.replica.exclusive(async () => {
            const granted = this.canGrantVote(req) && (req.preVote || await this.grantVote(req));
            return { granted, term: this.replica.term, replica: this.replica.replicaId ?? "" };
        });
    }

    /** Campaigns once. True when this host has won and leads the replica's current term. */
    public async campaign(handover: boolean, signal: AbortSignal): Promise<boolean> {
        const { replica } = this;
        const nextTerm = replica.term + 1;
        if (!handover && !await this.requestVotes(nextTerm, true, false, signal)) {
            await replica.adoptTerm(this.highestTermSeen);
            return false;
        }
        const isCandidate = await replica.exclusive(async () => {
            const mayStand = replica.term === nextTerm - 1 && replica.fault === undefined
                && (handover || !this.hasLeaderContact());
            if (!mayStand || replica.ownMember?.role !== "voter") {
                return false;
            }
            if (!await replica.saveVote({ term: nextTerm, votedFor: replica.self })) {
                return false;
            }
            replica.setRole("candidate", undefined);
            return true;
        });
        const isElected = isCandidate && await this.requestVotes(nextTerm, false, handover, signal);
        if (!isElected && replica.role === "candidate") {
            replica.setRole(replica.nonLeaderRole(), undefined);
        }
        if (!isElected) {
            await replica.adoptTerm(this.highestTermSeen);
        }
        if (!isElected || replica.term !== nextTerm || replica.role !== "candidate") {
            return false;
        }
        replica.setRole("leader", replica.self);
        return true;
    }

    /** True if this host had contact with a leader, or was started, less than an election time ago. */
    public hasLeaderContact(): boolean {
        return this.replica.joined && this.clock.nowMs() - this.replica.leaderContactMs < this.timing.electionMs;
    }

    private canGrantVote(req: VoteRequest): boolean {
        const { replica } = this;
        if (replica.fault !== undefined || replica.replicaId !== req.replica) {
            return false;
        }
        if (!req.handover && (this.hasLeaderContact() || this.hasLease())) {
            return false;
        }
        const { lastTerm, lastIndex } = replica.log;
        const isUpToDate = req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= lastIndex);
        return isUpToDate && (req.term > replica.term || (req.term === replica.term && !req.preVote));
    }

    private async grantVote(req: VoteRequest): Promise<boolean> {
        const { replica } = this;
        const isVoteFree = req.term > replica.term || replica.votedFor === undefined
            || replica.votedFor === req.candidate;
        const isGranted = isVoteFree && await replica.saveVote({ term: req.term, votedFor: req.candidate });
        if (isGranted) {
            replica.voteGrantedMs = this.clock.nowMs();
        }
        return isGranted;
    }

    /** Requests votes from all voters in parallel; resolves once a majority has granted them or no longer can. */
    private async requestVotes(
        term: number,
        preVote: boolean,
        handover: boolean,
        signal: AbortSignal,
    ): Promise<boolean> {
        const { replica } = this;
        const others = replica.voters.filter(member => member.host !== replica.self);
        const needed = Math.floor(replica.voters.length / 2) + 1;
        let granted = 1;
        let outstanding = others.length;
        const replyNotifier = new Notifier(this.clock);
        const decided = new AbortController();
        const collectVote = async (member: Member) => {
            const isGranted = await this.requestVote(member, term, preVote, handover, decided.signal);
            granted += isGranted ? 1 : 0;
            outstanding -= 1;
            replyNotifier.notify();
        };
        others.forEach(member => void collectVote(member));
        while (granted < needed && granted + outstanding >= needed && !signal.aborted) {
            await replyNotifier.wait(this.timing.electionMs, signal);
        }
        decided.abort();
        return granted >= needed;
    }

    private async requestVote(
        member: Member,
        term: number,
        preVote: boolean,
        handover: boolean,
        signal: AbortSignal,
    ): Promise<boolean> {
        const { log, self: candidate } = this.replica;
        const { lastIndex, lastTerm } = log;
        const req = { candidate, replica: member.replica ?? "", term, lastIndex, lastTerm, preVote, handover };
        const reply = await this.transport.call(member.host, this.methods.vote, req, {
            timeoutMs: this.timing.electionMs / 2,
            signal,
        });
        return reply.map(answer => {
            if (answer.replica === req.replica) {
                this.highestTermSeen = Math.max(this.highestTermSeen, answer.term);
            }
            return answer.granted;
        }).orDefault(false);
    }
}
