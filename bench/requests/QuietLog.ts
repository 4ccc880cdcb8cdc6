/** An event log and metrics that discard everything, for long simulations. */
import type { EventLog, Metrics } from "../../src/telemetry/Types.js";

export class QuietLog implements EventLog {
    public event(): void {}

    public with(): EventLog {
        return this;
    }
}

export class QuietMetrics implements Metrics {
    public count(): void {}

    public gauge(): void {}

    public latency(): void {}

    public percentileMs(): number | undefined {
        return undefined;
    }

    public async render(): Promise<string> {
        return "";
    }
}
