/** Commands of the config group's log, and their results. */
import type { ChangeId, HostId } from "../common/Types.js";
import type { ConfigChange, ConfigChangeResult, DocumentName } from "./Types.js";

export interface ChangeCommand {
    readonly kind: "change";
    readonly change: ConfigChange;
    /** The documents' version that the merged result was checked with. */
    readonly checkedWith: number;
    readonly host: HostId;
}

/** Documents of a control host's own files, for a group that has none yet. */
export interface SeedCommand {
    readonly kind: "seed";
    readonly id: ChangeId;
    readonly documents: Readonly<Record<DocumentName, string>>;
    readonly checkedWith: number;
    readonly host: HostId;
}

export interface GrantLeaseCommand {
    readonly kind: "grant-lease";
    readonly name: string;
    readonly holder: HostId;
    readonly instance: string;
    readonly durationMs: number;
    /** The epoch that the leader knows to be over; 0 when nobody held the lease. */
    readonly overEpoch: number;
}

/** Sets the duration that a new leader must wait out before it grants the lease to another. */
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
    /** Another document has changed since the check: check and propose again. */
    | { readonly kind: "recheck"; }
    /** The id has been used for another change. */
    | { readonly kind: "id-reused"; };

export type SeedCommandResult =
    | { readonly kind: "seeded"; readonly documents: readonly DocumentName[]; }
    | { readonly kind: "recheck"; };

export type LeaseCommandResult =
    | { readonly kind: "granted"; readonly epoch: number; }
    | { readonly kind: "held"; readonly holder: HostId; readonly epoch: number; }
    | { readonly kind: "full"; };
