/** Results of an experiment, as they are written to JSON and shown in the report. */
import type { ReceivedSample } from "./EndpointWatch.js";
import type { Attainment, Phase, SecondTally, StageCostRow, Violations } from "./Tally.js";

/** A fault or an operator's action that took place during a run. */
export interface Mark {
    /** From the start of the load, in milliseconds. */
    readonly atMs: number;
    readonly what: string;
}

/** How new work left and came back to a data centre that operators took out. */
export interface DataCentreChange {
    readonly dataCentre: string;
    readonly outAtMs: number;
    readonly inAtMs: number;
    /** From the operators' call to the last new call that reached one of its endpoints, in milliseconds. */
    readonly lastNewCallAfterOutMs: number;
    /** From the call that brought it back to the first new call there; undefined when there was none. */
    readonly firstNewCallAfterInMs: number | undefined;
}

/** One variant of one site. */
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
    /** Processor share and memory of the daemons during the load. */
    readonly daemons: readonly DaemonUse[];
}

export interface DaemonUse {
    readonly host: string;
    /** Share of one core. */
    readonly cpuShare: number;
    readonly residentBytes: number;
}

export interface ExperimentResult {
    readonly name: string;
    readonly command: string;
    /** When it ended, in ISO form. */
    readonly endedAt: string;
    readonly node: string;
    readonly cores: number;
    readonly runs: readonly RunResult[];
}
