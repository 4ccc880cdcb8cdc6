/**
 * Elections of a group: replies to vote requests, and campaigns of this host. A campaign starts with pre-votes, which
 * raise no term, so that a host that returns from a partition does not depose a working leader. A candidate that finds a
 * higher term in a denial adopts it: otherwise a voter with a higher term and a shorter log would deny it each time, and
 * be denied by it.
 *
 * A voter denies its vote for an election time after a leader's message, and after its own start, since a leader may
 * rely on its lease for so long. A lease is held only by a process that leads. Once all voters have replied to a pre-vote
 * that they do not lead, and have heard from no leader since it was sent, they are released from this wait: a group whose
 * processes were all restarted elects at once. A leader that is elected after its own reply has a lease only once a
 * majority has heard from it, and of these one either says so in its reply or denies its vote.
 */
import type { Clock, HostId } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import type { GroupMethods, VoteReply, VoteRequest } from "./Messages.js";
import { Notifier } from "./Notifier.js";
import type { Replica } from "./Replica.js";
import type { GroupTiming, Member } from "./Types.js";

/** Outcome of one round of vote requests. */
interface VoteRound {
    readonly isWon: boolean;
    /** Lives of the other voters if all have replied that they do not lead, and a majority then grants its vote. */
    readonly lives: ReadonlyMap<HostId, string> | undefined;
}

/** What a candidate asks for in one round. */
interface VoteRoundOptions {
    readonly term: number;
    readonly preVote: boolean;
    readonly handover: boolean;
    /** Lives of the other voters, when all have replied that they do not lead. */
    readonly lives?: ReadonlyMap<HostId, string> | undefined;
}

export class Elections {
    /** Highest term in the replies to this host's vote requests. */
    private highestTermSeen = 0;
    /** When this host last replied to a pre-vote of each candidate, on the local clock. */
    private readonly surveyRepliesMs = new Map<HostId, number>();

    public constructor(
        private readonly replica: Replica,
        private readonly methods: GroupMethods,
        private readonly transport: PeerTransport,
        private readonly clock: Clock,
        private readonly timing: GroupTiming,
        /** True while this host leads and a quorum has replied within the lease time. */
        private readonly hasLease: () => boolean,
        /** Identifies this run of the process. */
        private readonly life: string,
    ) {}

    /** Grants or denies a vote or pre-vote. */
    public handleVoteRequest(req: VoteRequest): Promise<VoteReply> {
        const { replica } = this;
        return replica.exclusive(async () => {
            const isGrantedOnRelease = this.isEligible(req);
            const mayGrant = isGrantedOnRelease && (req.handover || this.isFree(req));
            const granted = mayGrant && (req.preVote || await this.grantVote(req));
            const isLeading = replica.role === "leader";
            if (req.preVote && !isLeading) {
                this.surveyRepliesMs.set(req.candidate, this.clock.nowMs());
            }
            const { term, replicaId = "" } = replica;
            const heardMsAgo = replica.heardLeaderMs === undefined
                ? undefined
                : this.clock.nowMs() - replica.heardLeaderMs;
            return { granted, term, replica: replicaId, isLeading, life: this.life, isGrantedOnRelease, heardMsAgo };
        });
    }

    /** Campaigns once. True when this host has won and leads the replica's current term. */
    public async campaign(handover: boolean, signal: AbortSignal): Promise<boolean> {
        const { replica } = this;
        const term = replica.term + 1;
        const startMs = this.clock.nowMs();
        const survey = handover ? undefined : await this.requestVotes({ term, preVote: true, handover }, signal);
        const lives = survey?.lives;
        if (survey?.isWon === false && lives === undefined) {
            await replica.adoptTerm(this.highestTermSeen);
            return false;
        }
        const isCandidate = await replica.exclusive(async () => {
            const isReleased = lives !== undefined && replica.leaderContactMs <= startMs;
            const mayStand = replica.term === term - 1 && replica.fault === undefined
                && (handover || isReleased || !this.hasLeaderContact());
            if (!mayStand || replica.ownMember?.role !== "voter") {
                return false;
            }
            if (!await replica.saveVote({ term, votedFor: replica.self })) {
                return false;
            }
            replica.setRole("candidate", undefined);
            return true;
        });
        const isElected = isCandidate
            && (await this.requestVotes({ term, preVote: false, handover, lives }, signal)).isWon;
        if (!isElected && replica.role === "candidate") {
            replica.setRole(replica.nonLeaderRole(), undefined);
        }
        if (!isElected) {
            await replica.adoptTerm(this.highestTermSeen);
        }
        if (!isElected || replica.term !== term || replica.role !== "candidate") {
            return false;
        }
        replica.setRole("leader", replica.self);
        return true;
    }

    /** True if this host had contact with a leader, or was started, less than an election time ago. */
    public hasLeaderContact(): boolean {
        return this.replica.joined && this.clock.nowMs() - this.replica.leaderContactMs < this.timing.electionMs;
    }

    /** True when term, log and replica id allow a vote for the candidate. */
    private isEligible(req: VoteRequest): boolean {
        const { replica } = this;
        if (replica.fault !== undefined || replica.replicaId !== req.replica) {
            return false;
        }
        const { lastTerm, lastIndex } = replica.log;
        const isUpToDate = req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= lastIndex);
        return isUpToDate && (req.term > replica.term || (req.term === replica.term && !req.preVote));
    }

    /** True when no leader can rely on this host: it supports no lease, or is released from it. */
    private isFree(req: VoteRequest): boolean {
        return !this.hasLease() && (!this.hasLeaderContact() || this.isReleased(req));
    }

    /** True when the candidate has shown that no lease was in force, and this host has heard from no leader since. */
    private isReleased({ candidate, release }: VoteRequest): boolean {
        const { replica } = this;
        const repliedMs = this.surveyRepliesMs.get(candidate);
        if (release === undefined || release.life !== this.life || repliedMs === undefined) {
            return false;
        }
        const known = [...replica.voters.map(one => one.host), replica.leader, replica.votedFor];
        return replica.leaderContactMs < repliedMs
            && known.every(host => host === undefined || release.surveyed.includes(host));
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

    /**
     * Requests votes from all voters in parallel. Resolves once a majority has granted them or no longer can; for a
     * pre-vote, also once all have replied that they do not lead.
     */
    private async requestVotes(options: VoteRoundOptions, signal: AbortSignal): Promise<VoteRound> {
        const { replica } = this;
        const others = replica.voters.filter(member => member.host !== replica.self);
        const needed = Math.floor(replica.voters.length / 2) + 1;
        const lives = new Map<HostId, string>();
        let granted = 1;
        let grantedOnRelease = 1;
        let outstanding = others.length;
        const startMs = this.clock.nowMs();
        const replyNotifier = new Notifier(this.clock);
        const decided = new AbortController();
        const collectVote = async (member: Member) => {
            const reply = await this.requestVote(member, options, decided.signal);
            granted += reply?.granted === true ? 1 : 0;
            grantedOnRelease += reply?.isGrantedOnRelease === true ? 1 : 0;
            outstanding -= 1;
            if (reply?.isLeading === false && !this.hasHeardSince(startMs, reply)) {
                lives.set(member.host, reply.life);
            }
            replyNotifier.notify();
        };
        others.forEach(member => void collectVote(member));
        const maySurveyAll = () => options.preVote && lives.size + outstanding === others.length;
        const isOpen = () => outstanding > 0 && (granted + outstanding >= needed || maySurveyAll());
        while (granted < needed && isOpen() && !signal.aborted) {
            await replyNotifier.wait(this.timing.electionMs, signal);
        }
        decided.abort();
        const isReleased = maySurveyAll() && outstanding === 0 && grantedOnRelease >= needed;
        return { isWon: granted >= needed, lives: isReleased ? lives : undefined };
    }

    /** True when the sender of a reply may have heard from a leader since a time on the local clock. */
    private hasHeardSince(sinceMs: number, { heardMsAgo }: VoteReply): boolean {
        const passedMs = this.clock.nowMs() - sinceMs + this.timing.clockDriftMs;
        return heardMsAgo !== undefined && heardMsAgo <= passedMs;
    }

    private async requestVote(
        member: Member,
        { term, preVote, handover, lives }: VoteRoundOptions,
        signal: AbortSignal,
    ): Promise<VoteReply | undefined> {
        const { log, self: candidate } = this.replica;
        const { lastIndex, lastTerm } = log;
        const life = lives?.get(member.host);
        const req = {
            candidate,
            replica: member.replica ?? "",
            term,
            lastIndex,
            lastTerm,
            preVote,
            handover,
            ...(lives === undefined || life === undefined
                ? {}
                : { release: { life, surveyed: [candidate, ...lives.keys()] } }),
        };
        const reply = await this.transport.call(member.host, this.methods.vote, req, {
            timeoutMs: this.timing.electionMs / 2,
            signal,
        });
        reply.ifRight(({ replica, term: seen }) => {
            this.highestTermSeen = replica === req.replica
                ? Math.max(this.highestTermSeen, seen)
                : this.highestTermSeen;
        });
        return reply.map<VoteReply | undefined>(one => one).orDefault(undefined);
    }
}
