/**
 * A replicated log: leader election with pre-vote and check-quorum, leader lease, snapshots, one-at-a-time
 * membership change. Several groups run in one process. Commands are JSON values; a state machine applies them.
 */
import type { Either } from "purify-ts";
import type { Event, HostId } from "../common/Types.js";

/** A JSON value: what commands, results and snapshots are made of. */
export type Json = null | boolean | number | string | readonly Json[] | { readonly [key: string]: Json; };

/** The deterministic part of a group. It is called from one task, in log order, once for each entry. */
export interface StateMachine {
    /**
     * True where a restart may not fall behind what was applied before, even if no other host can be reached then:
     * entries are applied only once it is on disk that they are committed.
     */
    readonly notesCommits?: boolean;
    /** Applies a committed command and gives the result that its proposer receives. Never throws for bad input. */
    apply(command: Json, index: number): Json;
    snapshot(): Json;
    restore(snapshot: Json): void;
}

export type ProposeError =
    /** The command was not accepted and never will be: safe to propose again. */
    | { readonly kind: "not-accepted"; readonly message: string; readonly leader: HostId | undefined; }
    /** The command may or may not be committed: the proposer finds out by reading or by proposing the same id again. */
    | { readonly kind: "unknown"; readonly message: string; };

export type ReadError = { readonly kind: "no-quorum"; readonly message: string; };

export type GroupRole = "leader" | "follower" | "candidate" | "learner" | "stopped";

export interface GroupMembers {
    readonly voters: readonly HostId[];
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
    /** True when this host, as leader, has heard from a quorum within the lease time. */
    readonly hasQuorum: boolean;
    /** Why the host stopped taking part (a full disk, a failed sync); undefined while it takes part. */
    readonly fault: string | undefined;
}

export type MemberChange =
    /** Adds a voter, which is a learner until it has caught up; or one that stays a learner. */
    | { readonly kind: "add"; readonly host: HostId; readonly role?: "voter" | "learner" | undefined; }
    | { readonly kind: "remove"; readonly host: HostId; }
    | { readonly kind: "replace"; readonly host: HostId; readonly by: HostId; };

export interface ReplicatedLog {
    readonly group: string;
    /** Proposes on this host or forwards to the leader; resolves with the state machine's result once committed. */
    propose(command: Json, timeoutMs: number): Promise<Either<ProposeError, Json>>;
    /** Resolves when all entries committed before the call are applied on this host (linearizable read). */
    readBarrier(timeoutMs: number): Promise<Either<ReadError, number>>;
    changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>>;
    status(): GroupStatus;
    /** Fires after entries have been applied, with the new applied index. */
    readonly onApplied: Event<number>;
    readonly onRoleChange: Event<GroupStatus>;
}

export type DiskError = { readonly kind: "full" | "failed"; readonly message: string; };

/** The few operations on files that storage needs; real one over node:fs, a fake one with faults in tests. */
export interface Disk {
    read(path: string): Promise<Either<DiskError, Uint8Array | undefined>>;
    list(dir: string): Promise<Either<DiskError, readonly string[]>>;
    makeDir(dir: string): Promise<Either<DiskError, void>>;
    /** Appends without syncing; the file is made when missing. */
    append(path: string, data: Uint8Array): Promise<Either<DiskError, void>>;
    /** Replaces the content of a file without syncing. */
    write(path: string, data: Uint8Array): Promise<Either<DiskError, void>>;
    truncate(path: string, length: number): Promise<Either<DiskError, void>>;
    /** Makes a file's content durable. */
    sync(path: string): Promise<Either<DiskError, void>>;
    /** Makes names in a directory durable. */
    syncDir(dir: string): Promise<Either<DiskError, void>>;
    rename(from: string, to: string): Promise<Either<DiskError, void>>;
    remove(path: string): Promise<Either<DiskError, void>>;
    /** Closes what is held open; the disk may be used again afterwards. */
    close?(): Promise<void>;
}

/** One host of a group. A voter counts only under the replica id that its disk carries. */
export interface Member {
    readonly host: HostId;
    /** Made at the first start on an empty disk; undefined for a learner that has not answered yet. */
    readonly replica: string | undefined;
    readonly role: "voter" | "learner";
    /** A learner that becomes a voter as soon as it has caught up. */
    readonly promote?: boolean | undefined;
}

export type LogEntry =
    | { readonly kind: "command"; readonly term: number; readonly command: Json; }
    /** The first entry of a leader's term. */
    | { readonly kind: "noop"; readonly term: number; }
    /** In effect from the moment it is in the log. */
    | { readonly kind: "members"; readonly term: number; readonly members: readonly Member[]; };

export interface GroupSnapshot {
    readonly index: number;
    readonly term: number;
    readonly members: readonly Member[];
    readonly state: Json;
}

export interface GroupTiming {
    /** Silence of the leader after which a voter campaigns; the timer is random between this and half as much again. */
    readonly electionMs: number;
    readonly heartbeatMs: number;
    /** Bound on how far two monotonic clocks drift apart within one election time. */
    readonly clockDriftMs: number;
}

/** What operators ask of a group, from any host. */
export interface GroupAdmin {
    readonly group: string;
    changeMembers(change: MemberChange, timeoutMs: number): Promise<Either<ProposeError, GroupMembers>>;
    /** The status of each host of the group that answers. */
    statuses(): Promise<ReadonlyMap<HostId, GroupStatus>>;
}

/** Files of a group that can't be used, or a disk that fails. */
export type StorageError =
    | DiskError
    | { readonly kind: "damaged"; readonly file: string; readonly offset: number; readonly message: string; };
