/**
 * Elections of a group: answers to vote requests, and this host's own campaigns. A campaign first asks for pre-votes,
 * which change no term, so that a host that returns from a partition does not depose a leader that is well.
 */
import type { Clock } from "../common/Types.js";
import type { PeerTransport } from "../peer/Types.js";
import type { GroupMethods, VoteReply, VoteRequest } from "./Messages.js";
import { Notifier } from "./Notifier.js";
import type { Replica } from "./Replica.js";
import type { GroupTiming, Member } from "./Types.js";

export class Elections {
    public constructor(
        private readonly replica: Replica,
        private readonly methods: GroupMethods,
        private readonly transport: PeerTransport,
        private readonly clock: Clock,
        private readonly timing: GroupTiming,
        /** True while this host leads and a quorum has answered within the lease. */
        private readonly hasLease: () => boolean,
    ) {}

    /** Answers a vote request. */
    public answer(req: VoteRequest): Promise<VoteReply> {
        return this.replica.exclusive(async () => {
            const granted = this.mayVote(req) && (req.preVote || await this.giveVote(req));
            return { granted, term: this.replica.term, replica: this.replica.replicaId ?? "" };
        });
    }

    /** Campaigns once. True when this host has won, and leads the term that the replica is in now. */
    public async campaign(handover: boolean, signal: AbortSignal): Promise<boolean> {
        const { replica } = this;
        const nextTerm = replica.term + 1;
        if (!handover && !await this.ask(nextTerm, true, false, signal)) {
            return false;
        }
        const stood = await replica.exclusive(async () => {
            const stillFree = replica.term === nextTerm - 1 && replica.fault === undefined
                && (handover || !this.hearsLeader());
            if (!stillFree || replica.ownMember?.role !== "voter") {
                return false;
            }
            if (!await replica.saveVote({ term: nextTerm, votedFor: replica.self })) {
                return false;
            }
            replica.setRole("candidate", undefined);
            return true;
        });
        const won = stood && await this.ask(nextTerm, false, handover, signal);
        if (!won && replica.role === "candidate") {
            replica.setRole(replica.followRole(), undefined);
        }
        if (!won || replica.term !== nextTerm || replica.role !== "candidate") {
            return false;
        }
        replica.setRole("leader", replica.self);
        return true;
    }

    /** True while a leader has been heard within the election time, or this host has started within it. */
    public hearsLeader(): boolean {
        return this.replica.joined && this.clock.nowMs() - this.replica.heardLeaderMs < this.timing.electionMs;
    }

    private mayVote(req: VoteRequest): boolean {
        const { replica } = this;
        if (replica.fault !== undefined || replica.replicaId !== req.replica) {
            return false;
        }
        if (!req.handover && (this.hearsLeader() || this.hasLease())) {
            return false;
        }
        const { lastTerm, lastIndex } = replica.log;
        const isUpToDate = req.lastTerm > lastTerm || (req.lastTerm === lastTerm && req.lastIndex >= lastIndex);
        return isUpToDate && (req.term > replica.term || (req.term === replica.term && !req.preVote));
    }

    private async giveVote(req: VoteRequest): Promise<boolean> {
        const { replica } = this;
        const isFree = req.term > replica.term || replica.votedFor === undefined || replica.votedFor === req.candidate;
        const isGiven = isFree && await replica.saveVote({ term: req.term, votedFor: req.candidate });
        if (isGiven) {
            replica.gaveVoteMs = this.clock.nowMs();
        }
        return isGiven;
    }

    /** Asks all voters at once; resolves as soon as a majority has agreed or can't any more. */
    private async ask(term: number, preVote: boolean, handover: boolean, signal: AbortSignal): Promise<boolean> {
        const { replica } = this;
        const others = replica.voters.filter(member => member.host !== replica.self);
        const needed = Math.floor(replica.voters.length / 2) + 1;
        let granted = 1;
        let open = others.length;
        const counted = new Notifier(this.clock);
        const settled = new AbortController();
        const askOne = async (member: Member) => {
            const isGranted = await this.askOne(member, term, preVote, handover, settled.signal);
            granted += isGranted ? 1 : 0;
            open -= 1;
            counted.notify();
        };
        others.forEach(member => void askOne(member));
        while (granted < needed && granted + open >= needed && !signal.aborted) {
            await counted.wait(this.timing.electionMs, signal);
        }
        settled.abort();
        return granted >= needed;
    }

    private async askOne(
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
        return reply.map(answer => answer.granted).orDefault(false);
    }
}
