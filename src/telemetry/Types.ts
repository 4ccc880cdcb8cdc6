/** Interfaces of event logs, hybrid logical clocks and metrics. */
import type { EventId } from "./Events.js";

/** A stamp of the hybrid logical clock: wall milliseconds, a counter for ties, and the host. Sorts as text. */
export type HlcStamp = string;

export type EventFields = Readonly<Record<string, unknown>>;

/** Writes numbered events as JSON lines. */
export interface EventLog {
    event(id: EventId, fields?: EventFields): void;
    /** A log that adds the given fields to each event. */
    with(fields: EventFields): EventLog;
}

/** Clock that orders the events of several processes: a stamp made after another was observed sorts after it. */
export interface HybridClock {
    /** Returns a stamp that sorts after all that this clock made or accepted before. */
    stamp(): HlcStamp;
    /** Advances the clock to a stamp of another process; stamps that are malformed or too far ahead are ignored. */
    observe(stamp: HlcStamp): void;
}

export type Labels = Readonly<Record<string, string>>;

/** Counters, gauges and latency histograms. Rendered names have a common prefix, and a suffix by kind. */
export interface Metrics {
    count(name: string, labels?: Labels, by?: number): void;
    gauge(name: string, value: number, labels?: Labels): void;
    /** Records a latency in milliseconds. */
    latency(name: string, valueMs: number, labels?: Labels): void;
    /** The latency at a percentile in [0, 100]; undefined before the first record. */
    percentileMs(name: string, percentile: number, labels?: Labels): number | undefined;
    /** All metrics in the text exposition format of Prometheus. */
    render(): Promise<string>;
}
