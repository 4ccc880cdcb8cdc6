/** Delays an endpoint's load reports: the reported load is the one before the lag. */
import type { Clock } from "../src/common/Types.js";
import type { LoadReportMessage } from "../src/endpoints/Wire.js";

export type LoadSample = Pick<LoadReportMessage, "state" | "running" | "waiting">;

export class LoadHistory {
    private samples: { readonly atMs: number; readonly sample: LoadSample; }[] = [];

    public constructor(private readonly clock: Clock, private readonly lagMs: number) {}

    public record(sample: LoadSample): void {
        this.samples.push({ atMs: this.clock.nowMs(), sample });
        this.prune();
    }

    /** The newest sample that is at least as old as the lag; undefined if there is none. */
    public reported(): LoadSample | undefined {
        this.prune();
        const [first] = this.samples;
        return first !== undefined && first.atMs <= this.clock.nowMs() - this.lagMs ? first.sample : undefined;
    }

    public clear(): void {
        this.samples = [];
    }

    /** Removes the samples before the newest one that is at least as old as the lag. */
    private prune(): void {
        const cutoffMs = this.clock.nowMs() - this.lagMs;
        const firstNewer = this.samples.findIndex(one => one.atMs > cutoffMs);
        const keepFrom = (firstNewer === -1 ? this.samples.length : firstNewer) - 1;
        if (keepFrom > 0) {
            this.samples.splice(0, keepFrom);
        }
    }
}
