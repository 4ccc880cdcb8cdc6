/**
 * This host's reading of group time: a time that the group has reached, and the local clock when the host heard of it.
 * The sum of the two is never ahead of the true group time, since the host hears of a time only after it was reached.
 */
import type { Clock } from "../common/Types.js";
import type { RecordsCommand } from "./Commands.js";

export class GroupTime {
    private seen: { readonly nowMs: number; readonly atMs: number; } | undefined;

    public constructor(private readonly clock: Clock) {}

    /** What a command carries. */
    public reading(): RecordsCommand["clock"] {
        const atMs = this.clock.nowMs();
        return this.seen === undefined
            ? { seenMs: 0, elapsedMs: 0 }
            : { seenMs: this.seen.nowMs, elapsedMs: atMs - this.seen.atMs };
    }

    /**
     * Notes a group time, in milliseconds. An earlier reading stays when, with the time passed since, it gives more:
     * each reading loses the way of its answer, and readings made from one another would add these losses up.
     */
    public see(nowMs: number): void {
        const atMs = this.clock.nowMs();
        if (this.seen === undefined || nowMs > this.seen.nowMs + (atMs - this.seen.atMs)) {
            this.seen = { nowMs, atMs };
        }
    }
}
