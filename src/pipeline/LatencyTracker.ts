/**
 * Recent latencies by name. Each name has two histograms that take turns, so that what is older than two windows is
 * forgotten, and an estimate made in bad times does not outlive them.
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Clock } from "../common/Types.js";

const defaultWindowMs = 20_000;
/** Values are kept in tenths of a millisecond. */
const unitsPerMs = 10;
const highestMs = 3_600_000;
/** Fewer values than this give no percentile. */
const leastValues = 5;

interface Pair {
    current: Histogram;
    previous: Histogram;
    rotatedAtMs: number;
}

function newHistogram(): Histogram {
    return build({
        bitBucketSize: 32,
        highestTrackableValue: highestMs * unitsPerMs,
        numberOfSignificantValueDigits: 2,
    });
}

export class LatencyTracker {
    private readonly pairs = new Map<string, Pair>();

    public constructor(private readonly clock: Clock, private readonly windowMs: number = defaultWindowMs) {}

    public record(name: string, valueMs: number): void {
        const units = Math.round(Math.min(Math.max(valueMs, 0), highestMs) * unitsPerMs);
        this.pair(name).current.recordValue(units);
    }

    /** The latency at a percentile in [0, 100], in milliseconds; undefined while too few are known. */
    public percentileMs(name: string, percentile: number): number | undefined {
        const pair = this.pair(name);
        const from = pair.current.totalCount >= leastValues ? pair.current : pair.previous;
        if (from.totalCount < leastValues) {
            return undefined;
        }
        return from.getValueAtPercentile(percentile) / unitsPerMs;
    }

    private pair(name: string): Pair {
        const nowMs = this.clock.nowMs();
        let pair = this.pairs.get(name);
        if (pair === undefined) {
            pair = { current: newHistogram(), previous: newHistogram(), rotatedAtMs: nowMs };
            this.pairs.set(name, pair);
        }
        this.rotate(pair, nowMs);
        return pair;
    }

    private rotate(pair: Pair, nowMs: number): void {
        const elapsedMs = nowMs - pair.rotatedAtMs;
        if (elapsedMs < this.windowMs) {
            return;
        }
        const emptied = pair.previous;
        emptied.reset();
        pair.previous = pair.current;
        pair.current = emptied;
        if (elapsedMs >= 2 * this.windowMs) {
            pair.previous.reset();
        }
        pair.rotatedAtMs = nowMs;
    }
}
