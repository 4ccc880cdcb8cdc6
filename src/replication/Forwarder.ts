/** Proposals, reads and membership changes of a host that does not lead, carried to the leader. */
import { type Either, Left, Right } from "purify-ts";
import type { HostId, Random } from "../common/Types.js";
import type { LeaderCallError, LeaderClient } from "./LeaderClient.js";
import type { GroupMethods, MembersReply, ProposeReply, ReadReply } from "./Messages.js";
import type { GroupMembers, Json, MemberChange, ProposeError, ReadError } from "./Types.js";

/** Bound on one try of a read. */
const readTryMs = 500;
const instanceChars = 16;
/** Time for the way back of an answer. */
const replyMarginMs = 50;

export class Forwarder {
    /** Names this process, so that a restarted host does not use the ids of its former self. */
    private readonly instance: string;
    private proposals = 0;

    public constructor(
        private readonly self: HostId,
        private readonly client: LeaderClient,
        private readonly methods: GroupMethods,
        random: Random,
    ) {
        this.instance = random.hex(instanceChars);
    }

    public async propose(command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>> {
        this.proposals += 1;
        const proposal = `${this.self}/${this.instance}/${this.proposals}`;
        const reply = await this.client.call(
            this.methods.propose,
            remainingMs => ({ proposal, command, timeoutMs: atLeader(remainingMs) }),
            { timeoutMs, repeatable: false, tryTimeoutMs: timeoutMs },
        );
        return reply.mapLeft(proposeError).chain(takeProposeReply);
    }

    public async read(timeoutMs: number): Promise<Either<ReadError, number>> {
        const reply = await this.client.call(
            this.methods.read,
            remainingMs => ({ timeoutMs: atLeader(remainingMs) }),
            { timeoutMs, repeatable: true, tryTimeoutMs: readTryMs },
        );
        return reply
            .mapLeft((error): ReadError => ({ kind: "no-quorum", message: error.message }))
            .chain(takeReadReply);
    }

    public async changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>> {
        const reply = await this.client.call(
            this.methods.changeMembers,
            remainingMs => ({ change, timeoutMs: atLeader(remainingMs) }),
            { timeoutMs, repeatable: false, tryTimeoutMs: timeoutMs },
        );
        return reply.mapLeft(proposeError).chain(takeMembersReply);
    }
}

/** What the leader may take of the remaining time, so that its answer arrives before the time is over. */
function atLeader(remainingMs: number): number {
    return remainingMs - Math.min(replyMarginMs, remainingMs / 4);
}

function proposeError(error: LeaderCallError): ProposeError {
    const { message } = error;
    return error.kind === "no-reply"
        ? { kind: "unknown", message }
        : { kind: "not-accepted", message, leader: undefined };
}

function takeProposeReply(reply: ProposeReply): Either<ProposeError, Json> {
    switch (reply.kind) {
        case "committed":
            return Right(reply.result);
        case "not-accepted":
            return Left({ kind: "not-accepted", message: reply.message, leader: undefined });
        case "unknown":
            return Left({ kind: "unknown", message: reply.message });
    }
}

function takeMembersReply(reply: MembersReply): Either<ProposeError, GroupMembers> {
    switch (reply.kind) {
        case "changed":
            return Right(reply.members);
        case "not-accepted":
            return Left({ kind: "not-accepted", message: reply.message, leader: undefined });
        case "unknown":
            return Left({ kind: "unknown", message: reply.message });
    }
}

function takeReadReply(reply: ReadReply): Either<ReadError, number> {
    return reply.kind === "read" ? Right(reply.index) : Left({ kind: "no-quorum", message: reply.message });
}
