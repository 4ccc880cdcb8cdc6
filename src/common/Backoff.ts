/** Exponential backoff: the delay doubles with each consecutive failure, up to a maximum. */
import type { Clock } from "./Types.js";

export class Backoff {
    private failures = 0;
    private untilMs = -Infinity;

    public constructor(
        private readonly clock: Clock,
        private readonly initialDelayMs: number,
        private readonly maxDelayMs: number,
    ) {}

    /** Number of failures since the last success. */
    public get consecutiveFailures(): number {
        return this.failures;
    }

    /** When the current delay ends or the last one ended, on the local monotonic clock. */
    public get endMs(): number {
        return this.untilMs;
    }

    public get isElapsed(): boolean {
        return this.clock.nowMs() >= this.untilMs;
    }

    /** Records a failure and starts the next delay; returns its length in milliseconds. */
    public recordFailure(): number {
        const delayMs = Math.min(this.maxDelayMs, this.initialDelayMs * 2 ** this.failures);
        this.failures += 1;
        this.untilMs = this.clock.nowMs() + delayMs;
        return delayMs;
    }

    /** Extends the delay to at least `delayMs` from now, without counting a failure. */
    public waitAtLeast(delayMs: number): void {
        this.untilMs = Math.max(this.untilMs, this.clock.nowMs() + delayMs);
    }

    /** Resets the failure count and ends the delay. */
    public recordSuccess(): void {
        this.failures = 0;
        this.untilMs = -Infinity;
    }
}
