/**
 * Types of the fleet's load: what endpoints state of themselves, what hosts have running at them, and the sums over all
 * hosts that choosers and admission use.
 */
import type { EndpointId } from "../common/Types.js";
import type { LoadStatement } from "../endpoints/EndpointNotices.js";
import type { ServiceId } from "../fleet/Types.js";

export type { LoadStatement } from "../endpoints/EndpointNotices.js";

/** Work of one host, or of several, at an endpoint. */
export interface EndpointWork {
    /** Requests, or calls with pieces, that have not ended. */
    readonly running: number;
    /** Tokens of prompts that were sent and whose first event has not come. */
    readonly prefillTokens: number;
    /** Tokens of memory that running requests hold at most: input and output. */
    readonly heldTokens: number;
}

/** Work of all hosts at an endpoint, with what it has stated lately. */
export interface EndpointLoad extends EndpointWork {
    /** Duration of work as a multiple of the usual one; undefined when the endpoint has not stated it lately. */
    readonly slowness: number | undefined;
    /** Requests that it has taken and not begun, as stated lately; 0 when unknown. */
    readonly waiting: number;
    /** Moving average of the held tokens; evens out what differs by chance at the moment. */
    readonly usualHeldTokens: number;
}

/** A statement with its age. */
export interface AgedStatement extends LoadStatement {
    readonly ageMs: number;
}

/** Work and statements at all endpoints, as sent between hosts. */
export interface LoadSummary {
    /** Number of hosts whose work is included. */
    readonly hosts: number;
    readonly ageMs: number;
    readonly work: ReadonlyMap<EndpointId, EndpointWork>;
    readonly statements: ReadonlyMap<EndpointId, AgedStatement>;
}

/** The fleet's load as known to an entry host. */
export interface LoadView {
    /** Load of an endpoint over all hosts; undefined while the fleet's figures are unknown or old. */
    of(endpoint: EndpointId): EndpointLoad | undefined;
    /**
     * Load of an endpoint by this host alone, with averages of the fleet as last known; undefined where the fleet's
     * figures have never been known.
     */
    ofHost(endpoint: EndpointId): EndpointLoad | undefined;
}

/** Speed of endpoints as they state it, to this host or to another one. */
export interface EndpointSpeeds {
    /** Duration of work as a multiple of the usual one; undefined when the endpoint has not stated it lately. */
    slowness(endpoint: EndpointId): number | undefined;
}

/** Load of all endpoints of a service that may get requests. */
export interface ServiceLoad {
    readonly slots: number;
    /** Running requests of all hosts. */
    readonly running: number;
    /** Prompt tokens of all hosts that are still to be processed. */
    readonly waitingTokens: number;
    /** Age of the figures in milliseconds. */
    readonly ageMs: number;
}

/** Load of services over the fleet, for admission. */
export interface FleetLoad {
    /** Undefined while the fleet's figures are unknown or old. */
    ofService(service: ServiceId): ServiceLoad | undefined;
}
