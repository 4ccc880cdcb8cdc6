/** Which hosts of a data centre are there: heartbeats, incarnations, and the platform's list as a second witness. */
import type { DataCentreId, EndpointId, Event, HostId, Incarnation } from "../common/Types.js";

export type HostState =
    | "alive"
    /** Has said that it stops; takes no new work. */
    | "leaving"
    /** No heartbeat, but nothing shows that the process has ended. */
    | "unreachable"
    /** Refused a connection, was replaced by a new incarnation, or is off the platform's list for long. */
    | "dead";

export interface HostView {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    readonly state: HostState;
    readonly incarnation: Incarnation;
    /** When the state last changed, on the local monotonic clock. */
    readonly sinceMs: number;
}

export interface MembershipView {
    /** Hosts of the own data centre, this one included, in order of id. */
    readonly local: readonly HostView[];
    /** True when every configured host of the data centre is alive, leaving or dead: none is merely unreachable. */
    readonly certain: boolean;
    /** For each other data centre, whether any of its hosts answers. */
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

/** One line of the platform's lagging list. */
export interface PlatformEntry {
    readonly id: HostId | EndpointId;
    readonly state: "live" | "leaving";
}

/** The platform's list; it lags, and is missing while the platform can't be reached. */
export interface PlatformList {
    latest(): readonly PlatformEntry[] | undefined;
    readonly onChange: Event<readonly PlatformEntry[]>;
}
