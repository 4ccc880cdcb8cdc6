/** A pause after failures: doubled with each further one in a row, up to a bound. */
import type { Clock } from "./Types.js";

export class Backoff {
    private failures = 0;
    private untilMs = -Infinity;

    public constructor(
        private readonly clock: Clock,
        private readonly firstMs: number,
        private readonly longestMs: number,
    ) {}

    /** Failures since the last success. */
    public get consecutiveFailures(): number {
        return this.failures;
    }

    /** When the pause ends or ended, on the local clock. */
    public get endMs(): number {
        return this.untilMs;
    }

    public get isElapsed(): boolean {
        return this.clock.nowMs() >= this.untilMs;
    }

    /** Begins the next pause and gives its length. */
    public recordFailure(): number {
        const pauseMs = Math.min(this.longestMs, this.firstMs * 2 ** this.failures);
        this.failures += 1;
        this.untilMs = this.clock.nowMs() + pauseMs;
        return pauseMs;
    }

    /** Pauses at least so long for a reason that is no failure. */
    public waitAtLeast(pauseMs: number): void {
        this.untilMs = Math.max(this.untilMs, this.clock.nowMs() + pauseMs);
    }

    public recordSuccess(): void {
        this.failures = 0;
        this.untilMs = -Infinity;
    }
}
