/**
 * Retries and hedges as a share of first calls. A bucket gains the share with each first call and loses one with each
 * retry; its size bounds how many retries a quiet time can save up for an outage.
 */
import type { RetryBudget } from "./Types.js";

const defaultBurst = 20;

export class ShareRetryBudget implements RetryBudget {
    private available: number;

    public constructor(private readonly share: () => number, private readonly burst: number = defaultBurst) {
        this.available = burst / 2;
    }

    public recordCall(): void {
        this.available = Math.min(this.burst, this.available + this.share());
    }

    public tryTake(): boolean {
        if (this.available < 1 || this.share() === 0) {
            return false;
        }
        this.available -= 1;
        return true;
    }
}
