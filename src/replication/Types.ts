/**
 * Contracts of the replicated log (Raft): leader election with pre-vote and check-quorum, leader lease, snapshots,
 * single-member membership changes. Several groups run in one process. Commands are JSON values that a state machine
 * applies.
 */
import type { Either } from "purify-ts";
import type { Event, HostId } from "../common/Types.js";

/** A JSON value: the form of commands, results and snapshots. */
export type Json = null | boolean | number | string | readonly Json[] | { readonly [key: string]: Json; };

/** The deterministic state machine of a group, called sequentially in log order, once for each committed command. */
export interface StateMachine {
    /**
     * True when the state after a restart must not be older than before it, even if no other host can be reached.
     * Entries are then applied only after the commit index that covers them is durable.
     */
    readonly notesCommits?: boolean;
    /** Applies a committed command and returns the result for its proposer. Never throws for bad input. */
    apply(command: Json, index: number): Json;
    snapshot(): Json;
    restore(snapshot: Json): void;
}

export type ProposeError =
    /** The command was not accepted and never will be: safe to propose again. */
    | { readonly kind: "not-accepted"; readonly message: string; readonly leader: HostId | undefined; }
    /** The command may or may not be committed: the proposer must read the state or propose the same id again. */
    | { readonly kind: "unknown"; readonly message: string; };

export type ReadError = { readonly kind: "no-quorum"; readonly message: string; };

export type GroupRole = "leader" | "follower" | "candidate" | "learner" | "stopped";

export interface GroupMembers {
    readonly voters: readonly HostId[];
    /** Members that receive the log but don't vote. */
    readonly learners: readonly HostId[];
}

export interface GroupStatus {
    readonly group: string;
    readonly role: GroupRole;
    readonly term: number;
    readonly leader: HostId | undefined;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly lastIndex: number;
    readonly snapshotIndex: number;
    readonly members: GroupMembers;
    /** True when this host leads and a quorum has replied within the lease time. */
    readonly hasQuorum: boolean;
    /** Why the replica is out of service (a full disk, a failed sync); undefined while it is in service. */
    readonly fault: string | undefined;
}

export type MemberChange =
    /** Adds a host as a learner. It becomes a voter once it has caught up, unless `role` is "learner". */
    | { readonly kind: "add"; readonly host: HostId; readonly role?: "voter" | "learner" | undefined; }
    | { readonly kind: "remove"; readonly host: HostId; }
    | { readonly kind: "replace"; readonly host: HostId; readonly by: HostId; };

export interface ReplicatedLog {
    readonly group: string;
    /** Proposes on this host or forwards to the leader; resolves with the state machine's result once committed. */
    propose(command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>>;
    /** Resolves when all entries committed before the call are applied on this host (linearizable read). */
    readBarrier(timeoutMs: number): Promise<Either<ReadError, number>>;
    /** Resolves with the members after the change. A change may be requested again to continue it. */
    changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>>;
    status(): GroupStatus;
    /** Fires after entries have been applied, with the new applied index. */
    readonly onApplied: Event<number>;
    /** Fires when the role or the known leader changes. */
    readonly onRoleChange: Event<GroupStatus>;
}

export type DiskError = { readonly kind: "full" | "failed"; readonly message: string; };

/** File operations that storage needs: implemented over node:fs, and in tests by a fake that injects faults. */
export interface Disk {
    read(path: string): Promise<Either<DiskError, Uint8Array | undefined>>;
    list(dir: string): Promise<Either<DiskError, readonly string[]>>;
    makeDir(dir: string): Promise<Either<DiskError, void>>;
    /** Appends without syncing; the file is created if missing. */
    append(path: string, data: Uint8Array): Promise<Either<DiskError, void>>;
    /** Replaces the content of a file without syncing. */
    write(path: string, data: Uint8Array): Promise<Either<DiskError, void>>;
    truncate(path: string, length: number): Promise<Either<DiskError, void>>;
    /** Makes a file's content durable. */
    sync(path: string): Promise<Either<DiskError, void>>;
    /** Makes the created, renamed and removed names in a directory durable. */
    syncDir(dir: string): Promise<Either<DiskError, void>>;
    rename(from: string, to: string): Promise<Either<DiskError, void>>;
    remove(path: string): Promise<Either<DiskError, void>>;
    /** Closes all open files; the disk may be used again afterwards. */
    close?(): Promise<void>;
}

/** One member of a group. A voter's replies count only under the replica id that is stored on its disk. */
export interface Member {
    readonly host: HostId;
    /** Generated at the first start on an empty disk; undefined for a learner that has not replied yet. */
    readonly replica: string | undefined;
    readonly role: "voter" | "learner";
    /** A learner that becomes a voter as soon as it has caught up. */
    readonly promote?: boolean | undefined;
}

export type LogEntry =
    | { readonly kind: "command"; readonly term: number; readonly command: Json; }
    /** The first entry of a leader's term. */
    | { readonly kind: "noop"; readonly term: number; }
    /** In effect as soon as it is in the log, before it is committed. */
    | { readonly kind: "members"; readonly term: number; readonly members: readonly Member[]; };

export interface GroupSnapshot {
    readonly index: number;
    readonly term: number;
    readonly members: readonly Member[];
    readonly state: Json;
}

export interface GroupTiming {
    /** Time without leader contact after which a voter campaigns; the timer is random between 1 and 1.5 times this. */
    readonly electionMs: number;
    /** Interval of a leader's messages to a follower that has no new entries to receive. */
    readonly heartbeatMs: number;
    /** Bound on how far two monotonic clocks drift apart within one election time. */
    readonly clockDriftMs: number;
}

/** Operator access to a group, from any host. */
export interface GroupAdmin {
    readonly group: string;
    changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>>;
    /** The status of each host of the group that replies. */
    statuses(): Promise<ReadonlyMap<HostId, GroupStatus>>;
}

/** A failing disk, or a damaged file of a group. */
export type StorageError =
    | DiskError
    | { readonly kind: "damaged"; readonly file: string; readonly offset: number; readonly message: string; };
