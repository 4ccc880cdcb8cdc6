/**
 * Configuration: one base document and one small overlay for each site (a data centre's name), merged and checked;
 * committed versions are in force everywhere. The schema itself is in Schema.ts, from which `Settings` is inferred.
 */
import type { Either } from "purify-ts";
import type { ChangeId, DataCentreId, EndpointId, Event, HostId } from "../common/Types.js";
import type { Settings } from "./Schema.js";

/** One fault of a document, with where it is. */
export interface ConfigIssue {
    readonly file: string;
    /** Line in the file, from 1; 0 where the fault has no line (a merged result). */
    readonly line: number;
    /** Path of the faulty value, such as "pipelines.profile.stages[0].kind". */
    readonly path: string;
    readonly message: string;
}

export interface ConfigError {
    readonly kind: "invalid-config";
    readonly issues: readonly ConfigIssue[];
}

/** Settings in force on a host: a committed version merged for the host's data centre. */
export interface ConfigView {
    /** Rises with each committed change; 0 is never in force. */
    readonly version: number;
    readonly settings: Settings;
    /** Data centres that operators have taken out. */
    readonly outDataCentres: ReadonlySet<DataCentreId>;
    /** Endpoints that operators have marked as leaving. */
    readonly leavingEndpoints: ReadonlySet<EndpointId>;
}

/** Where the rest of a daemon reads its configuration. Versions only rise. */
export interface ConfigSource {
    /** Undefined until a committed configuration is known; the host then takes no work. */
    current(): ConfigView | undefined;
    readonly onChange: Event<ConfigView>;
}

/** "base" or the name of a site. */
export type DocumentName = string;

/** Commands of operators; each carries an id so that it can be sent again. */
export type ConfigChange =
    | {
        readonly kind: "put-document";
        readonly id: ChangeId;
        readonly document: DocumentName;
        /** The version of this document that the change builds on; 0 for a new document. */
        readonly baseVersion: number;
        /** YAML text. */
        readonly text: string;
    }
    | {
        readonly kind: "set-data-centre";
        readonly id: ChangeId;
        readonly dataCentre: DataCentreId;
        readonly out: boolean;
    }
    | {
        readonly kind: "set-endpoint";
        readonly id: ChangeId;
        readonly endpoint: EndpointId;
        readonly leaving: boolean;
    };

export type ConfigChangeResult =
    | { readonly kind: "accepted"; readonly version: number; readonly documentVersion: number; }
    | {
        readonly kind: "conflict";
        readonly documentVersion: number;
        readonly winner: { readonly id: ChangeId; readonly text: string; };
    }
    | { readonly kind: "invalid"; readonly issues: readonly ConfigIssue[]; };

export type ConfigChangeError =
    /** Not accepted and never will be. */
    | { readonly kind: "not-accepted"; readonly message: string; }
    /** May have been accepted; sending the same change id again tells. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Changes the configuration, through the config group, from any host. */
export interface ConfigWriter {
    change(change: ConfigChange, timeoutMs: number): Promise<Either<ConfigChangeError, ConfigChangeResult>>;
}

/** A lease of the config group: an exclusive right with a fencing number that rises with each new holder. */
export interface Lease {
    readonly name: string;
    readonly holder: HostId;
    /** Fencing number, or owner epoch. */
    readonly epoch: number;
    /** On the holder's monotonic clock, counted from when the request was sent. */
    readonly expiresAtMs: number;
}

export type LeaseError =
    | { readonly kind: "held"; readonly holder: HostId; readonly epoch: number; }
    | { readonly kind: "unreachable"; readonly message: string; };

/** Leases held in the config group, such as "owner/<data centre>/<endpoint>" and "orders/<data centre>". */
export interface LeaseService {
    /** Acquires or renews. The same holder keeps its epoch while it renews in time. */
    acquire(name: string, durationMs: number, timeoutMs: number): Promise<Either<LeaseError, Lease>>;
    release(name: string): Promise<void>;
}

/** Merges and checks documents: the settings of each site, or what is wrong with them. */
export type DocumentChecker = (
    base: string,
    overlays: Readonly<Record<DocumentName, string>>,
) => Either<ConfigError, Readonly<Record<string, Settings>>>;

/** Name of the base document. */
export const baseDocument: DocumentName = "base";

/** A committed document. */
export interface CommittedDocument {
    /** Rises with each accepted change of this document. */
    readonly version: number;
    readonly changeId: ChangeId;
    readonly text: string;
}

/** What a host needs of the committed configuration to build its view. */
export interface CommittedConfig {
    readonly version: number;
    readonly documents: Readonly<Record<DocumentName, CommittedDocument>>;
    readonly outDataCentres: readonly DataCentreId[];
    readonly leavingEndpoints: readonly EndpointId[];
}

/** The committed configuration as a quorum has confirmed it. */
export interface ConfirmedConfig {
    readonly config: CommittedConfig;
    /** Accepted changes, the newest last; a bounded number. */
    readonly history: readonly ConfigLogEntry[];
}

/** What operators read of the configuration, from any host. */
export interface ConfigReader {
    /** Errors: why no quorum has confirmed the configuration. */
    read(timeoutMs: number): Promise<Either<string, ConfirmedConfig>>;
    /** The last report of each host that any control host has heard of. */
    reports(): Promise<readonly HostReport[]>;
}

/** One accepted change, as `config log` shows it. */
export interface ConfigLogEntry {
    readonly version: number;
    readonly id: ChangeId;
    readonly host: HostId;
    readonly summary: string;
}

/** Version in force on a host, by its last report. */
export interface HostReport {
    readonly host: HostId;
    readonly version: number;
    readonly ageMs: number;
}
