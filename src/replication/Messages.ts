/**
 * Messages between the hosts of a group. The methods of a group contain its name, so that several groups can share one
 * registry.
 */
import * as z from "zod";
import type { HostId } from "../common/Types.js";
import { definePeerMethod, type PeerTransport } from "../peer/Types.js";
import type { GroupMembers, GroupStatus, Json, LogEntry, Member } from "./Types.js";

const hostId = z.string() as unknown as z.ZodType<HostId>;
const json = z.unknown() as unknown as z.ZodType<Json>;
const index = z.number().int().min(0);

const member = z.object({
    host: hostId,
    replica: z.string().optional(),
    role: z.enum(["voter", "learner"]),
    promote: z.boolean().optional(),
}) as unknown as z.ZodType<Member>;

const entry = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("command"), term: index, command: json }),
    z.object({ kind: z.literal("noop"), term: index }),
    z.object({ kind: z.literal("members"), term: index, members: z.array(member) }),
]) as unknown as z.ZodType<LogEntry>;

const voteRequest = z.object({
    candidate: hostId,
    /** Replica id of this voter in the candidate's log; a host with another replica id must not vote. */
    replica: z.string(),
    term: index,
    lastIndex: index,
    lastTerm: index,
    /** True for a pre-vote, which asks whether the vote would be granted and changes no term. */
    preVote: z.boolean(),
    /** True when the leader has asked the candidate to take over. */
    handover: z.boolean(),
    /**
     * Set when all voters have replied to the candidate's pre-vote that they do not lead: no lease is in force then, and
     * a voter need not wait for the end of one that it may have supported.
     */
    release: z.object({
        /** Life of this voter as given in its reply; another life of it may have supported a later leader. */
        life: z.string(),
        /** All hosts that have replied, and the candidate. */
        surveyed: z.array(hostId).readonly(),
    }).optional(),
});

const appendRequest = z.object({
    leader: hostId,
    /** Replica id that the leader expects; undefined for a learner that has not replied yet. */
    replica: z.string().optional(),
    term: index,
    prevIndex: index,
    prevTerm: index,
    entries: z.array(entry).readonly(),
    commit: index,
});

const snapshotRequest = z.object({
    leader: hostId,
    replica: z.string().optional(),
    term: index,
    index,
    snapshotTerm: index,
    members: z.array(member).readonly(),
    /** Offset of this part in the snapshot's JSON text, in characters. */
    offset: index,
    text: z.string(),
    isLast: z.boolean(),
});

const proposeRequest = z.object({
    /** Identifies the proposal, so that a message delivered twice appends one entry. */
    proposal: z.string(),
    command: json,
    timeoutMs: z.number(),
});

const memberChange = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("add"), host: hostId, role: z.enum(["voter", "learner"]).optional() }),
    z.object({ kind: z.literal("remove"), host: hostId }),
    z.object({ kind: z.literal("replace"), host: hostId, by: hostId }),
]);

const membersRequest = z.object({ change: memberChange, timeoutMs: z.number() });
const emptyRequest = z.object({});
const readRequest = z.object({ timeoutMs: z.number() });

export type VoteRequest = z.infer<typeof voteRequest>;
export type AppendRequest = z.infer<typeof appendRequest>;
export type SnapshotRequest = z.infer<typeof snapshotRequest>;
export type ProposeRequest = z.infer<typeof proposeRequest>;
export type MembersRequest = z.infer<typeof membersRequest>;
export type ReadRequest = z.infer<typeof readRequest>;

export interface IdentifyReply {
    /** Undefined while the host's replica is not running. */
    readonly replica: string | undefined;
    /** True once the replica has taken part in a group. */
    readonly joined: boolean;
}

export interface VoteReply {
    readonly granted: boolean;
    readonly term: number;
    /** Replica id of the host that replies; empty while its replica is not open. */
    readonly replica: string;
    /** True while the host that replies leads. */
    readonly isLeading: boolean;
    /** Identifies one run of the process that replies. */
    readonly life: string;
    /** True when the vote would be granted if no lease could be in force. */
    readonly isGrantedOnRelease: boolean;
    /** Time since this run of the process has last heard from a leader, in milliseconds; undefined if it has not. */
    readonly heardMsAgo: number | undefined;
}

/** Reply to an append or to a part of a snapshot. */
export type FollowerReply =
    | { readonly kind: "matched"; readonly term: number; readonly replica: string; }
    /** The log does not contain the previous entry; the leader continues from `nextIndex`. */
    | { readonly kind: "mismatch"; readonly term: number; readonly replica: string; readonly nextIndex: number; }
    | { readonly kind: "stale-term"; readonly term: number; readonly replica: string; }
    /** The leader expects a replica other than the one that runs on this host. */
    | { readonly kind: "other-replica"; readonly term: number; readonly replica: string; }
    | { readonly kind: "out-of-service"; readonly message: string; };

/** Reply of a host that may not be the leader. */
export type LeaderReply<T> =
    | { readonly kind: "done"; readonly value: T; }
    /** The request was not processed; `leader` is the host to send it to, if known. */
    | { readonly kind: "not-leader"; readonly leader?: HostId | undefined; };

export type ProposeReply =
    | { readonly kind: "committed"; readonly result: Json; }
    | { readonly kind: "not-accepted"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

export type MembersReply =
    | { readonly kind: "changed"; readonly members: GroupMembers; }
    | { readonly kind: "not-accepted"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

export type ReadReply =
    | { readonly kind: "read"; readonly index: number; }
    | { readonly kind: "no-quorum"; readonly message: string; };

/** Timeout of a status request to one host. */
const statusTimeoutMs = 1000;

/** Requests the status of a group from several hosts; the result omits hosts that do not reply. */
export async function collectStatuses(
    hosts: readonly HostId[],
    methods: GroupMethods,
    transport: PeerTransport,
): Promise<ReadonlyMap<HostId, GroupStatus>> {
    const statuses = new Map<HostId, GroupStatus>();
    const requestStatus = async (host: HostId) => {
        const reply = await transport.call(host, methods.status, {}, { timeoutMs: statusTimeoutMs });
        reply.ifRight(status => statuses.set(host, status));
    };
    await Promise.all(hosts.map(requestStatus));
    return statuses;
}

/** The peer methods of one group. */
export class GroupMethods {
    public readonly identify;
    public readonly vote;
    public readonly append;
    public readonly snapshot;
    public readonly takeOver;
    public readonly propose;
    public readonly read;
    public readonly changeMembers;
    public readonly status;

    public constructor(group: string) {
        const name = (verb: string) => `replication.${verb}-${group}`;
        this.identify = definePeerMethod<z.infer<typeof emptyRequest>, IdentifyReply>(name("identify"), emptyRequest);
        this.vote = definePeerMethod<VoteRequest, VoteReply>(name("vote"), voteRequest);
        this.append = definePeerMethod<AppendRequest, FollowerReply>(name("append"), appendRequest);
        this.snapshot = definePeerMethod<SnapshotRequest, FollowerReply>(name("snapshot"), snapshotRequest);
        this.takeOver = definePeerMethod<z.infer<typeof emptyRequest>, Record<string, never>>(
            name("take-over"),
            emptyRequest,
        );
        this.propose = definePeerMethod<ProposeRequest, LeaderReply<ProposeReply>>(name("propose"), proposeRequest);
        this.read = definePeerMethod<ReadRequest, LeaderReply<ReadReply>>(name("read"), readRequest);
        this.changeMembers = definePeerMethod<MembersRequest, LeaderReply<MembersReply>>(
            name("change-members"),
            membersRequest,
        );
        this.status = definePeerMethod<z.infer<typeof emptyRequest>, GroupStatus>(name("status"), emptyRequest);
    }
}
