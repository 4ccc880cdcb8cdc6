/** Forwards proposals, reads and membership changes to the leader, for a host that does not lead. */
import { type Either, Left, Right } from "purify-ts";
import type { HostId, Random } from "../common/Types.js";
import type { LeaderCallError, LeaderClient } from "./LeaderClient.js";
import type { GroupMethods, MembersReply, ProposeReply, ReadReply } from "./Messages.js";
import type { GroupMembers, Json, MemberChange, ProposeError, ReadError } from "./Types.js";

/** Timeout of one attempt to read. */
const readAttemptMs = 500;
/** Length of the random part of a proposal id, in hex digits. */
const instanceChars = 16;
/** Time reserved for the reply to arrive. */
const replyMarginMs = 50;

export class Forwarder {
    /** Identifies this process, so that a restarted host does not reuse proposal ids. */
    private readonly instance: string;
    private proposalCount = 0;

    public constructor(
        private readonly self: HostId,
        private readonly client: LeaderClient,
        private readonly methods: GroupMethods,
        random: Random,
    ) {
        this.instance = random.hex(instanceChars);
    }

    public async propose(command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        this.proposalCount += 1;
        const proposal = `${this.self}/${this.instance}/${this.proposalCount}`;
        const reply = await this.client.call(
            this.methods.propose,
            remainingMs => ({ proposal, command, timeoutMs: leaderTimeoutMs(remainingMs) }),
            { timeoutMs, repeatable: false, tryTimeoutMs: timeoutMs },
        );
        return reply.mapLeft(proposeError).chain(toProposeResult);
    }

    public async read(timeoutMs: number): Promise<Either<ReadError, number>> {
        const reply = await this.client.call(
            this.methods.read,
            remainingMs => ({ timeoutMs: leaderTimeoutMs(remainingMs) }),
            { timeoutMs, repeatable: true, tryTimeoutMs: readAttemptMs },
        );
        return reply
            .mapLeft((error): ReadError => ({ kind: "no-quorum", message: error.message }))
            .chain(toReadResult);
    }

    public async changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>> {
        const reply = await this.client.call(
            this.methods.changeMembers,
            remainingMs => ({ change, timeoutMs: leaderTimeoutMs(remainingMs) }),
            { timeoutMs, repeatable: false, tryTimeoutMs: timeoutMs },
        );
        return reply.mapLeft(proposeError).chain(toMembersResult);
    }
}

/** Time that the leader may use of the remaining time, so that its reply arrives before the deadline. */
function leaderTimeoutMs(remainingMs: number): number {
    return remainingMs - Math.min(replyMarginMs, remainingMs / 4);
}

function proposeError(error: LeaderCallError): ProposeError {
    const { message } = error;
    return error.kind === "no-reply"
        ? { kind: "unknown", message }
        : { kind: "not-accepted", message, leader: undefined };
}

function toProposeResult(reply: ProposeReply): Either<ProposeError, Json> {
    switch (reply.kind) {
        case "committed":
            return Right(reply.result);
        case "not-accepted":
            return Left({ kind: "not-accepted", message: reply.message, leader: undefined });
        case "unknown":
            return Left({ kind: "unknown", message: reply.message });
    }
}

function toMembersResult(reply: MembersReply): Either<ProposeError, GroupMembers> {
    switch (reply.kind) {
        case "changed":
            return Right(reply.members);
        case "not-accepted":
            return Left({ kind: "not-accepted", message: reply.message, leader: undefined });
        case "unknown":
            return Left({ kind: "unknown", message: reply.message });
    }
}

function toReadResult(reply: ReadReply): Either<ReadError, number> {
    return reply.kind === "read" ? Right(reply.index) : Left({ kind: "no-quorum", message: reply.message });
}
