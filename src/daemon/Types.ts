/** Options of a daemon, and the dependencies that its components share. */
import type { InvariantError } from "../common/Invariant.js";
import type { Clock, DataCentreId, HostId, Incarnation, Random } from "../common/Types.js";
import type { DaemonSettings, Settings } from "../config/Schema.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { DaemonKeys } from "./Keys.js";

export interface DaemonOptions {
    /** Settings from this process's own files; `daemon` names the host. */
    readonly settings: Settings & { readonly daemon: DaemonSettings; };
    /** Configuration texts, by document, with which a new config group starts. */
    readonly seeds: Readonly<Record<string, string>>;
    readonly keys: DaemonKeys;
    /** Receives the log lines. */
    readonly sink: (line: string) => void;
    /** Called when an invariant is broken; the process must stop. */
    readonly onFatal: (err: InvariantError) => void;
}

/** Dependencies shared by all components. */
export interface DaemonBase {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    readonly incarnation: Incarnation;
    readonly settings: Settings & { readonly daemon: DaemonSettings; };
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
}
