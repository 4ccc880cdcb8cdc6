/**
 * Metrics of one daemon: counters and gauges by prom-client, latencies by hdr-histogram-js. Latencies are exported as
 * summaries with fixed percentiles, since the histograms are more precise than Prometheus buckets would be.
 */
import type { Histogram } from "hdr-histogram-js";
// The package's index also loads its log writer, which sets up number formats of the locale when it is loaded.
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";
import { Counter, Gauge, Registry } from "prom-client";
import type { Labels, Metrics } from "./Types.js";

const exportedPercentiles: readonly number[] = [50, 90, 99, 99.9];
/** Latencies are recorded in units of 0.01 ms. */
const unitsPerMs = 100;
const prefix = "fireflykeel_";
/** Resolution and initial range of latency histograms, in recorded units. */
const lowestValue = 1;
const initialHighestValue = 2;
const significantDigits = 2;

interface LatencySeries {
    readonly labels: Labels;
    readonly histogram: Histogram;
    sumMs: number;
}

export class MetricsRegistry implements Metrics {
    private readonly registry = new Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly latencies = new Map<string, Map<string, LatencySeries>>();
    /** Metrics with values that could not be recorded. */
    private readonly rejected = new Set<string>();

    /** `onRejected` is called once for each metric with a value that can't be recorded, such as one with other labels. */
    public constructor(private readonly onRejected: (name: string, message: string) => void = () => undefined) {}

    public count(name: string, labels: Labels = {}, by: number = 1): void {
        this.record(name, () => {
            const counter = this.counters.get(name) ?? this.addCounter(name, Object.keys(labels));
            counter.inc(labels, by);
        });
    }

    public gauge(name: string, value: number, labels: Labels = {}): void {
        this.record(name, () => {
            const gauge = this.gauges.get(name) ?? this.addGauge(name, Object.keys(labels));
            gauge.set(labels, value);
        });
    }

    public latency(name: string, valueMs: number, labels: Labels = {}): void {
        this.record(name, () => {
            const series = this.series(name, labels);
            series.histogram.recordValue(Math.max(0, Math.round(valueMs * unitsPerMs)));
            series.sumMs += valueMs;
        });
    }

    public percentileMs(name: string, percentile: number, labels: Labels = {}): number | undefined {
        const series = this.latencies.get(name)?.get(formatLabels(labels));
        if (series === undefined || series.histogram.totalCount === 0) {
            return undefined;
        }
        return series.histogram.getValueAtPercentile(percentile) / unitsPerMs;
    }

    public async render(): Promise<string> {
        const lines = [await this.registry.metrics()];
        for (const [name, byLabels] of this.latencies) {
            lines.push(`# TYPE ${prefix}${name}_ms summary\n`);
            for (const series of byLabels.values()) {
                lines.push(renderSeries(`${prefix}${name}_ms`, series));
            }
        }
        return lines.join("");
    }

    /** Records a value. One that the libraries reject must not end what is measured. */
    private record(name: string, add: () => void): void {
        try {
            add();
        }
        catch (err) {
            if (!this.rejected.has(name)) {
                this.rejected.add(name);
                this.onRejected(name, err instanceof Error ? err.message : String(err));
            }
        }
    }

    private series(name: string, labels: Labels): LatencySeries {
        const byLabels = this.latencies.get(name) ?? new Map<string, LatencySeries>();
        this.latencies.set(name, byLabels);
        const key = formatLabels(labels);
        const series = byLabels.get(key) ?? {
            labels,
            histogram: newHistogram(),
            sumMs: 0,
        };
        byLabels.set(key, series);
        return series;
    }

    private addCounter(name: string, labelNames: string[]): Counter {
        const counter = new Counter({
            name: `${prefix}${name}_total`,
            help: name,
            labelNames,
            registers: [this.registry],
        });
        this.counters.set(name, counter);
        return counter;
    }

    private addGauge(name: string, labelNames: string[]): Gauge {
        const gauge = new Gauge({ name: `${prefix}${name}`, help: name, labelNames, registers: [this.registry] });
        this.gauges.set(name, gauge);
        return gauge;
    }
}

function formatLabels(labels: Labels): string {
    return Object.entries(labels)
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
        .sort()
        .join(",");
}

function renderSeries(name: string, series: LatencySeries): string {
    const labels = formatLabels(series.labels);
    const separator = labels === "" ? "" : ",";
    const quantiles = exportedPercentiles.map(percentile => {
        const valueMs = series.histogram.getValueAtPercentile(percentile) / unitsPerMs;
        return `${name}{${labels}${separator}quantile="${percentile / 100}"} ${valueMs}\n`;
    });
    const braces = labels === "" ? "" : `{${labels}}`;
    const sum = `${name}_sum${braces} ${series.sumMs}\n`;
    const total = `${name}_count${braces} ${series.histogram.totalCount}\n`;
    return quantiles.join("") + sum + total;
}

/** A histogram that grows with its values. */
function newHistogram(): Histogram {
    const histogram = new int32Histogram.default(lowestValue, initialHighestValue, significantDigits);
    histogram.autoResize = true;
    return histogram;
}
