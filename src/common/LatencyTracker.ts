/**
 * Percentiles of recent latencies by name. Each name has two histograms that are rotated, so that values older than two
 * windows are discarded and an estimate from a slow period does not outlast it.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "./Types.js";

const defaultWindowMs = 20_000;
/** Values are recorded in tenths of a millisecond. */
const unitsPerMs = 10;
/** Longer latencies are recorded as this value, one hour. */
const maxLatencyMs = 3_600_000;
/** No percentile is given from fewer values than this. */
const minValues = 5;

interface HistogramPair {
    current: Histogram;
    previous: Histogram;
    rotatedAtMs: number;
}

function newHistogram(): Histogram {
    return build({
        bitBucketSize: 32,
        highestTrackableValue: maxLatencyMs * unitsPerMs,
        numberOfSignificantValueDigits: 2,
    });
}

export class LatencyTracker {
    private readonly pairs = new Map<string, HistogramPair>();

    public constructor(private readonly clock: Clock, private readonly windowMs: number = defaultWindowMs) {}

    public record(name: string, valueMs: number): void {
        const units = Math.round(Math.min(Math.max(valueMs, 0), maxLatencyMs) * unitsPerMs);
        this.pair(name).current.recordValue(units);
    }

    /** The latency at a percentile in [0, 100], in milliseconds; undefined while too few values are recorded. */
    public percentileMs(name: string, percentile: number): number | undefined {
        const pair = this.pair(name);
        const histogram = pair.current.totalCount >= minValues ? pair.current : pair.previous;
        if (histogram.totalCount < minValues) {
            return undefined;
        }
        return histogram.getValueAtPercentile(percentile) / unitsPerMs;
    }

    private pair(name: string): HistogramPair {
        const nowMs = this.clock.nowMs();
        let pair = this.pairs.get(name);
        if (pair === undefined) {
            pair = { current: newHistogram(), previous: newHistogram(), rotatedAtMs: nowMs };
            this.pairs.set(name, pair);
        }
        this.rotate(pair, nowMs);
        return pair;
    }

    private rotate(pair: HistogramPair, nowMs: number): void {
        const elapsedMs = nowMs - pair.rotatedAtMs;
        if (elapsedMs < this.windowMs) {
            return;
        }
        const recycled = pair.previous;
        recycled.reset();
        pair.previous = pair.current;
        pair.current = recycled;
        if (elapsedMs >= 2 * this.windowMs) {
            pair.previous.reset();
        }
        pair.rotatedAtMs = nowMs;
    }
}
