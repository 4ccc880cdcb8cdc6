/** Wakes tasks that wait for a change. A wait that starts after a change waits for the next one. */
import type { Clock } from "../common/Types.js";

export class Notifier {
    private readonly waiters = new Set<() => void>();

    public constructor(private readonly clock: Clock) {}

    public notify(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        for (const wake of waiters) {
            wake();
        }
    }

    /** Resolves at the next change, after `timeoutMs`, or when the signal is aborted. Never rejects. */
    public wait(timeoutMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            if (signal?.aborted === true || timeoutMs <= 0) {
                resolve();
                return;
            }
            const finish = () => {
                timer.dispose();
                this.waiters.delete(finish);
                signal?.removeEventListener("abort", finish);
                resolve();
            };
            const timer = this.clock.setTimer(timeoutMs, finish);
            this.waiters.add(finish);
            signal?.addEventListener("abort", finish);
        });
    }
}
