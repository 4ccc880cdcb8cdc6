/** An event log and metrics that keep what they record in memory, for tests to inspect. */
import type { EventId } from "../src/telemetry/Events.js";
import type { EventFields, EventLog, Labels, Metrics } from "../src/telemetry/Types.js";

export interface LoggedEvent {
    readonly id: EventId;
    readonly fields: EventFields;
}

export class MemoryLog implements EventLog {
    public constructor(public readonly events: LoggedEvent[] = [], private readonly fields: EventFields = {}) {}

    public event(id: EventId, fields: EventFields = {}): void {
        this.events.push({ id, fields: { ...this.fields, ...fields } });
    }

    public with(fields: EventFields): EventLog {
        return new MemoryLog(this.events, { ...this.fields, ...fields });
    }
}

export class MemoryMetrics implements Metrics {
    public readonly counts = new Map<string, number>();
    private readonly latencies = new Map<string, number[]>();

    public count(name: string, _labels?: Labels, by: number = 1): void {
        this.counts.set(name, (this.counts.get(name) ?? 0) + by);
    }

    public gauge(name: string, value: number): void {
        this.counts.set(name, value);
    }

    public latency(name: string, valueMs: number): void {
        this.latencies.set(name, [...(this.latencies.get(name) ?? []), valueMs]);
    }

    public percentileMs(name: string, percentile: number): number | undefined {
        const sorted = [...(this.latencies.get(name) ?? [])].sort((a, b) => a - b);
        return sorted[Math.min(sorted.length - 1, Math.floor((percentile / 100) * sorted.length))];
    }

    public async render(): Promise<string> {
        return "";
    }
}
