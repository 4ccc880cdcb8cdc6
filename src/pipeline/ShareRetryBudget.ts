/**
 * Token bucket that limits retries and hedges to a share of first calls. Each first call adds `share` tokens and each
 * retry takes one; `burst` bounds the tokens that can accumulate before an outage.
 */
import type { RetryBudget } from "./Types.js";

const defaultBurst = 20;

export class ShareRetryBudget implements RetryBudget {
    private tokens: number;

    public constructor(private readonly share: () => number, private readonly burst: number = defaultBurst) {
        this.tokens = burst / 2;
    }

    public recordCall(): void {
        this.tokens = Math.min(this.burst, this.tokens + this.share());
    }

    public tryTake(): boolean {
        if (this.tokens < 1 || this.share() === 0) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
