/** Types for the check of a configuration before it is sent. */
import type { Either } from "purify-ts";
import type { Deployment, DocumentFault } from "../fleet/Types.js";

/**
 * "error": hosts refuse the configuration, or a route of it can never serve a request. "warning": hosts take it, but
 * something in it has no effect or can't work as written.
 */
export type Severity = "error" | "warning";

/** The rules of the check, one for each kind of finding. */
export type FindingCode =
    | "invalid"
    | "version-not-newer"
    | "route-hidden"
    | "route-never-matches"
    | "route-name-repeated"
    | "service-unused"
    | "weight-zero"
    | "no-endpoints-allowed"
    | "objective-above-timeout"
    | "stage-order-invalid"
    | "stage-service-runs-no-pieces"
    | "stages-longer-than-timeout"
    | "stages-longer-than-objective"
    | "result-larger-than-storage"
    | "batch-larger-than-storage"
    | "result-expires-too-soon"
    | "nobody-admitted"
    | "limit-not-positive";

export interface Finding {
    readonly severity: Severity;
    readonly code: FindingCode;
    /** What it is about, such as a route; empty for the whole configuration. */
    readonly subject: string;
    readonly message: string;
}

/** A difference to the version in force. Undefined values mean that the entry or field does not exist there. */
export interface Change {
    readonly kind: "added" | "removed" | "changed";
    readonly subject: string;
    /** The changed field; empty for a whole entry. */
    readonly field: string;
    readonly before?: string;
    readonly after?: string;
}

export interface CheckReport {
    /** Undefined when the configuration could not be decoded. */
    readonly version: number | undefined;
    readonly versionInForce: number | undefined;
    readonly findings: readonly Finding[];
    /** Undefined when there was nothing to compare with. */
    readonly changes: readonly Change[] | undefined;
}

/** A well-formed document, with the reasons for which hosts refuse it; it is in order when there are none. */
export interface InspectedDocument {
    readonly deployment: Deployment;
    readonly errors: readonly DocumentFault[];
}

/** Decodes configurations with the checks that hosts make; the faults of one that can't be decoded. */
export interface DocumentInspector {
    inspect(text: string): Either<readonly DocumentFault[], InspectedDocument>;
}
