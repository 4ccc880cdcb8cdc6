/** Error handling for promises that may reject after their caller has stopped awaiting them. */

/**
 * Rethrows a rejection of the promise as an uncaught exception. Stage calls report expected errors as values, so a
 * rejection is a broken invariant and must not be lost when the request has already been answered.
 */
export function rethrowUncaught(promise: Promise<unknown>): void {
    promise.catch((err: unknown) => {
        queueMicrotask(() => {
            throw err;
        });
    });
}
