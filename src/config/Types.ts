/**
 * Configuration: one base document and one small overlay for each site, which has the name of a data centre. They are
 * merged and checked, and committed versions take effect on all hosts. `Settings` is inferred from Schema.ts.
 */
import type { Either } from "purify-ts";
import type { ChangeId, DataCentreId, EndpointId, Event, HostId } from "../common/Types.js";
import type { Settings } from "./Schema.js";

/** An error in a document, with its location. */
export interface ConfigIssue {
    readonly file: string;
    /** Line in the file, from 1; 0 for an error without a line, such as one in a merged result. */
    readonly line: number;
    /** Path of the invalid value, such as "pipelines.profile.stages[0].kind". */
    readonly path: string;
    readonly message: string;
}

export interface ConfigError {
    readonly kind: "invalid-config";
    readonly issues: readonly ConfigIssue[];
}

/** Settings in force on a host: a committed version merged for the host's data centre. */
export interface ConfigView {
    /** Increases with each committed change; 0 is never in force. */
    readonly version: number;
    readonly settings: Settings;
    /** Data centres that operators have taken out of service. */
    readonly outDataCentres: ReadonlySet<DataCentreId>;
    /** Endpoints that operators have marked as leaving. */
    readonly leavingEndpoints: ReadonlySet<EndpointId>;
}

/** Source of the configuration for the other parts of a daemon. Versions only increase. */
export interface ConfigSource {
    /** Undefined until a committed configuration is known; until then the host accepts no work. */
    current(): ConfigView | undefined;
    readonly onChange: Event<ConfigView>;
}

/** "base" or the name of a site. */
export type DocumentName = string;

/** A change that an operator requests. Its id makes it safe to send it again. */
export type ConfigChange =
    | {
        readonly kind: "put-document";
        readonly id: ChangeId;
        readonly document: DocumentName;
        /** The version of this document that the change is based on; 0 for a new document. */
        readonly baseVersion: number;
        /** YAML text. */
        readonly text: string;
    }
    | {
        readonly kind: "set-data-centre";
        readonly id: ChangeId;
        readonly dataCentre: DataCentreId;
        /** True takes the data centre out of service; false brings it back. */
        readonly out: boolean;
    }
    | {
        readonly kind: "set-endpoint";
        readonly id: ChangeId;
        readonly endpoint: EndpointId;
        /** True marks the endpoint as leaving; false removes the mark. */
        readonly leaving: boolean;
    };

export type ConfigChangeResult =
    /** `documentVersion` is 0 for a change that does not put a document. */
    | { readonly kind: "accepted"; readonly version: number; readonly documentVersion: number; }
    /** The document's version is not the `baseVersion` of the change. */
    | {
        readonly kind: "conflict";
        readonly documentVersion: number;
        /** The accepted change that made the document's current version. */
        readonly winner: { readonly id: ChangeId; readonly text: string; };
    }
    | { readonly kind: "invalid"; readonly issues: readonly ConfigIssue[]; };

export type ConfigChangeError =
    /** The change was not accepted and will not be. */
    | { readonly kind: "not-accepted"; readonly message: string; }
    /** The change may have been accepted; sending it again with the same id returns its result. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Changes the configuration, through the config group, from any host. */
export interface ConfigWriter {
    change(change: ConfigChange, timeoutMs: number): Promise<Either<ConfigChangeError, ConfigChangeResult>>;
}

/** A lease of the config group: an exclusive right with a fencing token that increases with each new holder. */
export interface Lease {
    readonly name: string;
    readonly holder: HostId;
    /** Fencing token, or owner epoch. */
    readonly epoch: number;
    /** Expiry on the holder's monotonic clock, counted from when the request was sent. */
    readonly expiresAtMs: number;
}

export type LeaseError =
    | { readonly kind: "held"; readonly holder: HostId; readonly epoch: number; }
    | { readonly kind: "unreachable"; readonly message: string; };

/** Leases held in the config group, such as "owner/<data centre>/<endpoint>" and "orders/<data centre>". */
export interface LeaseService {
    /** Acquires or renews a lease. A holder keeps its epoch while it renews in time. */
    acquire(name: string, durationMs: number, timeoutMs: number): Promise<Either<LeaseError, Lease>>;
    /** Releases a lease held by this host. If no leader can be reached, the lease ends when it expires. */
    release(name: string): Promise<void>;
}

/** Merges and checks documents. Returns the settings of each site, or the issues found. */
export type DocumentChecker = (
    base: string,
    overlays: Readonly<Record<DocumentName, string>>,
) => Either<ConfigError, Readonly<Record<string, Settings>>>;

/** Name of the base document. */
export const baseDocument: DocumentName = "base";

/** A committed document. */
export interface CommittedDocument {
    /** Increases with each accepted change of this document. */
    readonly version: number;
    readonly changeId: ChangeId;
    readonly text: string;
}

/** The committed configuration from which a host builds its view. */
export interface CommittedConfig {
    readonly version: number;
    readonly documents: Readonly<Record<DocumentName, CommittedDocument>>;
    readonly outDataCentres: readonly DataCentreId[];
    readonly leavingEndpoints: readonly EndpointId[];
}

/** The committed configuration, confirmed by a quorum. */
export interface ConfirmedConfig {
    readonly config: CommittedConfig;
    /** The most recent accepted changes, the newest last. */
    readonly history: readonly ConfigLogEntry[];
}

/** Reads the configuration for operators, from any host. */
export interface ConfigReader {
    /** Left: why no quorum confirmed the configuration. */
    read(timeoutMs: number): Promise<Either<string, ConfirmedConfig>>;
    /** The latest report of each host that any control host knows of. */
    reports(): Promise<readonly HostReport[]>;
}

/** One accepted change, as `config log` shows it. */
export interface ConfigLogEntry {
    readonly version: number;
    readonly id: ChangeId;
    /** Host that proposed the change. */
    readonly host: HostId;
    readonly summary: string;
}

/** Version in force on a host, by its last report. */
export interface HostReport {
    readonly host: HostId;
    readonly version: number;
    /** Time since the report, in milliseconds. */
    readonly ageMs: number;
}
