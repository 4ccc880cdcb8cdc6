/** A clock that tests advance by hand, based on @sinonjs/fake-timers. Hosts may share one, each with its own offset. */
import { type Clock as FakeTimers, createClock } from "@sinonjs/fake-timers";
import { sleepOn } from "../src/common/Sleep.js";
import type { Clock, Disposable } from "../src/common/Types.js";

export class FakeClock implements Clock {
    private readonly timers: FakeTimers;

    public constructor(timers?: FakeTimers, private readonly offsetMs: number = 0) {
        this.timers = timers ?? createClock(1_000_000);
    }

    /** Returns a clock that runs with this one and is `offsetMs` ahead of it. */
    public shifted(offsetMs: number): FakeClock {
        return new FakeClock(this.timers, this.offsetMs + offsetMs);
    }

    public nowMs(): number {
        return this.timers.now + this.offsetMs;
    }

    public wallMs(): number {
        return this.timers.now + this.offsetMs;
    }

    public setTimer(delayMs: number, callback: () => void): Disposable {
        const id = this.timers.setTimeout(callback, delayMs);
        return { dispose: () => this.timers.clearTimeout(id) };
    }

    public sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        return sleepOn(this, delayMs, signal);
    }

    /** Advances the time and runs the continuations of every promise that this resolves. */
    public async advance(ms: number): Promise<void> {
        await this.timers.tickAsync(ms);
    }
}
