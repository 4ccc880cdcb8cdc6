/** Timer-based sleep, shared by the implementations of {@link Clock}. */
import type { Clock } from "./Types.js";

/** Resolves after `delayMs`, or as soon as the signal is aborted. Never rejects. */
export function sleepOn(clock: Pick<Clock, "setTimer">, delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted) {
            resolve();
            return;
        }
        const finish = () => {
            timer.dispose();
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = clock.setTimer(delayMs, finish);
        signal?.addEventListener("abort", finish);
    });
}
