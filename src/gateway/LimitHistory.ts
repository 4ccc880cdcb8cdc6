/**
 * The limits on what callers send and how long they stay idle. When a change makes them stricter, the earlier ones apply
 * for some time more: a caller that keeps to them may have begun a head, or may come back on an idle connection.
 */
import type { Clock } from "../common/Types.js";
import type { CallerLimits, FleetSource } from "../fleet/Types.js";

interface EarlierLimits {
    readonly limits: CallerLimits;
    /** By when no caller relies on them any more, on the local clock. */
    readonly untilMs: number;
}

export class LimitHistory {
    private newest: CallerLimits | undefined;
    private earlier: readonly EarlierLimits[] = [];

    public constructor(fleet: FleetSource, private readonly clock: Clock) {
        fleet.onChange(({ deployment }) => this.change(deployment?.limits));
        this.change(fleet.view().deployment?.limits);
    }

    /** The limits that apply now; undefined while no configuration is known. */
    public get current(): CallerLimits | undefined {
        if (this.newest === undefined || this.earlier.length === 0) {
            return this.newest;
        }
        const nowMs = this.clock.nowMs();
        this.earlier = this.earlier.filter(one => one.untilMs > nowMs);
        return this.earlier.reduce((widest, { limits }) => widerOf(widest, limits), this.newest);
    }

    private change(limits: CallerLimits | undefined): void {
        const before = this.newest;
        if (limits === undefined || before !== undefined && isEqual(limits, before)) {
            return;
        }
        this.newest = limits;
        if (before !== undefined) {
            const reliedOnMs = Math.max(before.idleTimeoutMs, before.headerTimeoutMs);
            this.earlier = [...this.earlier, { limits: before, untilMs: this.clock.nowMs() + reliedOnMs }];
        }
    }
}

function combine<T>(one: CallerLimits, other: CallerLimits, merge: (a: number, b: number) => T) {
    return {
        maxHeaderBytes: merge(one.maxHeaderBytes, other.maxHeaderBytes),
        maxBodyBytes: merge(one.maxBodyBytes, other.maxBodyBytes),
        headerTimeoutMs: merge(one.headerTimeoutMs, other.headerTimeoutMs),
        idleTimeoutMs: merge(one.idleTimeoutMs, other.idleTimeoutMs),
    };
}

function widerOf(one: CallerLimits, other: CallerLimits): CallerLimits {
    return combine(one, other, Math.max);
}

function isEqual(one: CallerLimits, other: CallerLimits): boolean {
    return Object.values(combine(one, other, (a, b) => a === b)).every(same => same);
}
