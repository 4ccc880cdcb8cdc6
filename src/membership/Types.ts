/** Types for membership: which hosts of a data centre are alive, by heartbeats, incarnations and the platform list. */
import type { DataCentreId, EndpointId, Event, HostId, Incarnation } from "../common/Types.js";

export type HostState =
    | "alive"
    /** Has announced that it stops; takes no new work. */
    | "leaving"
    /** Answers no heartbeats, but there is no evidence that the process has ended. */
    | "unreachable"
    /** Refuses connections, or has been unreachable for a long time and is not on the platform's list. */
    | "dead";

export interface HostView {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    readonly state: HostState;
    /** 0 while no process of the host is known yet. */
    readonly incarnation: Incarnation;
    /** When the state last changed, on the local monotonic clock. */
    readonly sinceMs: number;
}

export interface MembershipView {
    /** Hosts of the own data centre, including this one, sorted by id. */
    readonly local: readonly HostView[];
    /**
     * True when every configured host of the data centre is alive, leaving or dead, none is unreachable, and the peers
     * that are up account for all hosts as well.
     */
    readonly certain: boolean;
    /** Summary of each other data centre; `reachable` is true when any of its hosts answers. */
    readonly remote: ReadonlyMap<DataCentreId, { readonly reachable: boolean; readonly aliveHosts: number; }>;
}

export interface Membership {
    readonly self: HostId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: Incarnation;
    view(): MembershipView;
    readonly onChange: Event<MembershipView>;
    /** Tells the peers that this host is about to stop. */
    announceLeaving(): void;
}

/** An entry of the platform's list. */
export interface PlatformEntry {
    readonly id: HostId | EndpointId;
    readonly state: "live" | "leaving";
}

/** The platform's list of hosts and endpoints; it lags, and is undefined while the platform can't be reached. */
export interface PlatformList {
    latest(): readonly PlatformEntry[] | undefined;
    readonly onChange: Event<readonly PlatformEntry[]>;
}
