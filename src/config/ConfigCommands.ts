/** Commands in the log of the config group, and their results. */
import type { ChangeId, HostId } from "../common/Types.js";
import type { ConfigChange, ConfigChangeResult, DocumentName } from "./Types.js";

export interface ChangeCommand {
    readonly kind: "change";
    readonly change: ConfigChange;
    /** The `documentsVersion` that the merged documents were checked with. */
    readonly checkedWith: number;
    readonly host: HostId;
}

/** Documents from a control host's own files, for a group that does not have them yet. */
export interface SeedCommand {
    readonly kind: "seed";
    readonly id: ChangeId;
    readonly documents: Readonly<Record<DocumentName, string>>;
    /** The `documentsVersion` that the merged documents were checked with. */
    readonly checkedWith: number;
    readonly host: HostId;
}

export interface GrantLeaseCommand {
    readonly kind: "grant-lease";
    readonly name: string;
    readonly holder: HostId;
    readonly instance: string;
    readonly durationMs: number;
    /** The epoch that the leader knows to have ended; 0 when the lease had no holder. */
    readonly overEpoch: number;
}

/** Raises the duration that a new leader must wait before it grants the lease to another holder. */
export interface ExtendLeaseCommand {
    readonly kind: "extend-lease";
    readonly name: string;
    readonly epoch: number;
    readonly durationMs: number;
}

export interface ReleaseLeaseCommand {
    readonly kind: "release-lease";
    readonly name: string;
    readonly epoch: number;
}

export type ConfigCommand =
    | ChangeCommand
    | SeedCommand
    | GrantLeaseCommand
    | ExtendLeaseCommand
    | ReleaseLeaseCommand;

export type ChangeCommandResult =
    | ConfigChangeResult
    /** A document has changed since the check: check and propose again. */
    | { readonly kind: "recheck"; }
    /** The id is already in use for another change. */
    | { readonly kind: "id-reused"; };

export type SeedCommandResult =
    /** `documents` names those that the group did not have and that were added. */
    | { readonly kind: "seeded"; readonly documents: readonly DocumentName[]; }
    | { readonly kind: "recheck"; };

export type LeaseCommandResult =
    | { readonly kind: "granted"; readonly epoch: number; }
    | { readonly kind: "held"; readonly holder: HostId; readonly epoch: number; }
    /** The maximum number of leases is reached. */
    | { readonly kind: "full"; };
