/** Results of the attainment experiment, as written to the JSON file and shown in the report. */
import type { ReceivedSample } from "./EndpointWatch.js";
import type { Attainment, Phase, SecondTally, StageCostRow, Violations } from "./Tally.js";

/** A fault or an operator's action during a run. */
export interface Mark {
    /** From the start of the load, in milliseconds. */
    readonly atMs: number;
    readonly what: string;
}

/** When new calls stopped and resumed in a data centre that operators took out of service and brought back. */
export interface DataCentreChange {
    readonly dataCentre: string;
    readonly outAtMs: number;
    readonly inAtMs: number;
    /** From the operator's call to the last new call received by one of its endpoints, in milliseconds; 0 if none. */
    readonly lastNewCallAfterOutMs: number;
    /** From the operator's call that brought it back to the first new call there; undefined if there was none. */
    readonly firstNewCallAfterInMs: number | undefined;
}

/** The result of one variant on one site. */
export interface RunResult {
    readonly site: string;
    readonly variant: string;
    readonly seed: number;
    readonly durationMs: number;
    readonly offeredPerSecond: number;
    readonly overall: Attainment;
    readonly phases: readonly Phase[];
    readonly byPhase: Readonly<Record<string, Attainment>>;
    readonly byPipeline: Readonly<Record<string, Attainment>>;
    readonly seconds: readonly SecondTally[];
    readonly costs: readonly StageCostRow[];
    readonly violations: Violations;
    readonly dataCentreChange: DataCentreChange | undefined;
    readonly marks: readonly Mark[];
    readonly received: readonly ReceivedSample[];
    /** CPU and memory usage of the daemons during the load. */
    readonly daemons: readonly DaemonUsage[];
}

export interface DaemonUsage {
    readonly host: string;
    /** CPU usage, as a share of one core. */
    readonly cpuShare: number;
    readonly residentBytes: number;
}

export interface ExperimentResult {
    readonly name: string;
    readonly command: string;
    /** End time in ISO 8601 format. */
    readonly endedAt: string;
    readonly node: string;
    readonly cores: number;
    readonly runs: readonly RunResult[];
}
