/** An abort signal that follows a parent signal and also aborts at a deadline. */
import type { Clock, Disposable } from "../common/Types.js";
import { rethrowUncaught } from "./Uncaught.js";

export class DeadlineSignal implements Disposable {
    private readonly controller = new AbortController();
    private readonly timer: Disposable | undefined;
    private hasTimedOut = false;

    /** `atMs` is the deadline on the local monotonic clock; undefined for none. */
    public constructor(clock: Clock, private readonly parent: AbortSignal, atMs: number | undefined) {
        if (parent.aborted) {
            this.controller.abort();
            return;
        }
        parent.addEventListener("abort", this.abort);
        if (atMs !== undefined) {
            this.timer = clock.setTimer(Math.max(0, atMs - clock.nowMs()), () => {
                this.hasTimedOut = true;
                this.abort();
            });
        }
    }

    public get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** True when the deadline, not the parent, aborted the signal. */
    public get timedOut(): boolean {
        return this.hasTimedOut;
    }

    public readonly abort = (): void => {
        this.dispose();
        this.controller.abort();
    };

    /** Stops following the parent and the deadline; the signal then aborts only by {@link abort}. */
    public dispose(): void {
        this.parent.removeEventListener("abort", this.abort);
        this.timer?.dispose();
    }
}

/**
 * Resolves with the promise's value, or with `otherwise()` as soon as the signal aborts. A later rejection of the
 * promise is rethrown as an uncaught exception.
 */
export function raceAbort<T>(promise: Promise<T>, signal: AbortSignal, otherwise: () => T): Promise<T> {
    return new Promise((resolve, reject) => {
        const onAbort = () => {
            rethrowUncaught(promise);
            resolve(otherwise());
        };
        if (signal.aborted) {
            onAbort();
            return;
        }
        signal.addEventListener("abort", onAbort, { once: true });
        promise.then(resolve, reject).finally(() => signal.removeEventListener("abort", onAbort));
    });
}
