/** What the parts of a daemon share while they are put together. */
import type { InvariantError } from "../common/Invariant.js";
import type { Clock, DataCentreId, HostId, Incarnation, Random } from "../common/Types.js";
import type { DaemonSettings, Settings } from "../config/Schema.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { DaemonKeys } from "./Keys.js";

export interface DaemonOptions {
    /** Settings from this process's own files; `daemon` names the host. */
    readonly settings: Settings & { readonly daemon: DaemonSettings; };
    /** Texts of the files by document, to seed a new config group. */
    readonly seeds: Readonly<Record<string, string>>;
    readonly keys: DaemonKeys;
    /** Receives the log, line by line. */
    readonly sink: (line: string) => void;
    /** Called once when an invariant is broken; the process has to stop. */
    readonly onFatal: (err: InvariantError) => void;
}

/** What every part gets. */
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
