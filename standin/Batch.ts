/** Limits the calls that an endpoint runs concurrently. Waiting calls are admitted by priority, then by arrival. */

interface Waiter {
    readonly priority: number;
    readonly arrival: number;
    readonly admit: (admitted: boolean) => void;
}

export class Batch {
    private runningCount = 0;
    private arrivals = 0;
    private waiters: Waiter[] = [];

    public constructor(private readonly size: number) {}

    public get running(): number {
        return this.runningCount;
    }

    public get waiting(): number {
        return this.waiters.length;
    }

    /** Waits for a place in the batch; resolves to false if the signal is aborted during the wait. */
    public enter(priority: number, signal: AbortSignal): Promise<boolean> {
        if (this.runningCount < this.size) {
            this.runningCount += 1;
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            const leaveQueue = () => {
                this.waiters = this.waiters.filter(one => one !== waiter);
                resolve(false);
            };
            this.arrivals += 1;
            const waiter: Waiter = {
                priority,
                arrival: this.arrivals,
                admit: admitted => {
                    signal.removeEventListener("abort", leaveQueue);
                    resolve(admitted);
                },
            };
            signal.addEventListener("abort", leaveQueue);
            this.waiters.push(waiter);
            this.waiters.sort((a, b) => a.priority - b.priority || a.arrival - b.arrival);
        });
    }

    /** Releases a place and admits the next waiting call. */
    public leave(): void {
        this.runningCount -= 1;
        const next = this.waiters.shift();
        if (next !== undefined) {
            this.runningCount += 1;
            next.admit(true);
        }
    }
}
