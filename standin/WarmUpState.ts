/**
 * Warm-up state of an endpoint. A cold endpoint can handle `coldLimit` concurrent calls, and one more for each call
 * completed since it turned cold, until it reaches `warmLimit` and is warm. More calls than that crash it.
 */
export class WarmUpState {
    private completed = 0;
    private cold: boolean;

    public constructor(private readonly coldLimit: number, private readonly warmLimit: number, startsCold: boolean) {
        this.cold = startsCold;
    }

    public turnCold(): void {
        this.cold = true;
        this.completed = 0;
    }

    public recordCompleted(): void {
        this.completed += 1;
        if (this.capacity >= this.warmLimit) {
            this.cold = false;
        }
    }

    /** Number of concurrent calls that it can handle; undefined when it is warm, since it then queues further calls. */
    public get capacityWhileCold(): number | undefined {
        return this.cold ? this.capacity : undefined;
    }

    public get state(): "cold" | "warming" | "warm" {
        if (!this.cold) {
            return "warm";
        }
        return this.completed < this.coldLimit ? "cold" : "warming";
    }

    private get capacity(): number {
        return this.coldLimit + this.completed;
    }
}
