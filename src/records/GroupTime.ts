/**
 * This host's estimate of group time: a time that the group has reached, plus the local time since the host learned of
 * it. The estimate is never ahead of the true group time, since the host learns of a time only after it was reached.
 */
import type { Clock } from "../common/Types.js";
import type { RecordsCommand } from "./Commands.js";

export class GroupTime {
    private latest: { readonly nowMs: number; readonly atMs: number; } | undefined;

    public constructor(private readonly clock: Clock) {}

    /** The estimate in the form that a command carries. */
    public reading(): RecordsCommand["clock"] {
        const atMs = this.clock.nowMs();
        return this.latest === undefined
            ? { seenMs: 0, elapsedMs: 0 }
            : { seenMs: this.latest.nowMs, elapsedMs: atMs - this.latest.atMs };
    }

    /**
     * Updates the estimate with a group time in milliseconds, unless the current estimate is later: each observation is
     * late by the delay of its reply, and these delays would add up if each observation replaced the previous one.
     */
    public observe(nowMs: number): void {
        const atMs = this.clock.nowMs();
        if (this.latest === undefined || nowMs > this.latest.nowMs + (atMs - this.latest.atMs)) {
            this.latest = { nowMs, atMs };
        }
    }
}
