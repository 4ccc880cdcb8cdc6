/** Promises that nobody may be waiting for when they fail. */

/**
 * Lets a failure of the promise reach the top of the process. Stage calls end with values; what they throw is a broken
 * invariant, and it must not be lost because the request behind the call has been answered.
 */
export function rethrowUncaught(promise: Promise<unknown>): void {
    promise.catch((err: unknown) => {
        queueMicrotask(() => {
            throw err;
        });
    });
}
