/** The system's monotonic clock, wall clock and timers. */
import { performance } from "node:perf_hooks";
import { sleepOn } from "./Sleep.js";
import type { Clock, Disposable } from "./Types.js";

export class SystemClock implements Clock {
    public nowMs(): number {
        return performance.now();
    }

    public wallMs(): number {
        return Date.now();
    }

    public setTimer(delayMs: number, callback: () => void): Disposable {
        const timer = setTimeout(callback, delayMs);
        return { dispose: () => clearTimeout(timer) };
    }

    public sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        return sleepOn(this, delayMs, signal);
    }
}
