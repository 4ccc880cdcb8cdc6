/**
 * A clock for leases: it also counts the time for which the machine was suspended, which the monotonic clock leaves
 * out. A suspension shows as a jump of the wall clock against the monotonic one. A wall clock that is set forward looks
 * the same and ends leases early, which is safe; one that is set back changes nothing.
 */
import { sleepOn } from "./Sleep.js";
import type { Clock, Disposable } from "./Types.js";

/** Jumps up to here are clock adjustment and reading noise, far below any lease's margin. */
const noticedJumpMs = 150;

export class LeaseClock implements Clock {
    private offsetMs: number;
    private suspendedMs = 0;

    public constructor(private readonly clock: Clock) {
        this.offsetMs = clock.wallMs() - clock.nowMs();
    }

    public nowMs(): number {
        const offsetMs = this.clock.wallMs() - this.clock.nowMs();
        const jumpMs = offsetMs - this.offsetMs;
        this.offsetMs = offsetMs;
        if (jumpMs > noticedJumpMs) {
            this.suspendedMs += jumpMs;
        }
        return this.clock.nowMs() + this.suspendedMs;
    }

    public wallMs(): number {
        return this.clock.wallMs();
    }

    public setTimer(delayMs: number, callback: () => void): Disposable {
        return this.clock.setTimer(delayMs, callback);
    }

    public sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        return sleepOn(this, delayMs, signal);
    }
}
