/**
 * How warm an endpoint is. A cold one bears `coldLimit` calls at once, and one more for each call it has completed
 * since, until it bears its warm limit; more than that makes it fall over.
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
        if (this.bearable >= this.warmLimit) {
            this.cold = false;
        }
    }

    /** Calls at once that it can bear; undefined when it is warm and only queues. */
    public get bearableWhileCold(): number | undefined {
        return this.cold ? this.bearable : undefined;
    }

    public get state(): "cold" | "warming" | "warm" {
        if (!this.cold) {
            return "warm";
        }
        return this.completed < this.coldLimit ? "cold" : "warming";
    }

    private get bearable(): number {
        return this.coldLimit + this.completed;
    }
}
