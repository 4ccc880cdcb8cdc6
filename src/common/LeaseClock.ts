/**
 * A clock for leases that also counts the time in which the machine was suspended, which the monotonic clock omits.
 * A suspension shows as a forward jump of the wall clock relative to the monotonic clock. Setting the wall clock
 * forward looks the same and ends leases early, which is safe; setting it back has no effect.
 */
import { sleepOn } from "./Sleep.js";
import type { Clock, Disposable } from "./Types.js";

/** Smaller jumps are attributed to clock adjustment and reading noise; far below the safety margin of any lease. */
const minSuspensionMs = 150;

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
        if (jumpMs > minSuspensionMs) {
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
