/** An abort signal that follows another one and also aborts at a given time. */
import type { Clock, Disposable } from "../common/Types.js";
import { rethrowUncaught } from "./Uncaught.js";

export class DeadlineSignal implements Disposable {
    private readonly controller = new AbortController();
    private readonly timer: Disposable | undefined;
    private timedOutFlag = false;

    /** `atMs` is on the local monotonic clock; undefined for no time limit. */
    public constructor(clock: Clock, private readonly parent: AbortSignal, atMs: number | undefined) {
        if (parent.aborted) {
            this.controller.abort();
            return;
        }
        parent.addEventListener("abort", this.abort);
        if (atMs !== undefined) {
            this.timer = clock.setTimer(Math.max(0, atMs - clock.nowMs()), () => {
                this.timedOutFlag = true;
                this.abort();
            });
        }
    }

    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** True when it was the time, not the parent, that aborted the signal. */
    public get timedOut(): boolean {
        return this.timedOutFlag;
    }

    public readonly abort = (): void => {
        this.dispose();
        this.controller.abort();
    };

    /** Stops following; the signal then never aborts by itself. */
    public dispose(): void {
        this.parent.removeEventListener("abort", this.abort);
        this.timer?.dispose();
    }
}

/**
 * Resolves with the promise's value, or with `otherwise()` as soon as the signal aborts. What the promise throws after
 * that is passed on to the top of the process.
 */
export function raceAbort<T>(promise: Promise<T>, signal: AbortSignal, otherwise: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
        const aborted = () => {
            rethrowUncaught(promise);
            resolve(otherwise());
        };
        if (signal.aborted) {
            aborted();
            return;
        }
        signal.addEventListener("abort", aborted, { once: true });
        promise.then(resolve, reject).finally(() => signal.removeEventListener("abort", aborted));
    });
}
