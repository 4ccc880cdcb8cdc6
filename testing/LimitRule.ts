/** How many requests an endpoint that states a limit on its request rate may get, over all hosts that know the limit. */

/** The limit counts from this long after it was first stated. */
export const limitContactMs = 3000;
export const limitWindowMs = 4000;
const overrun = 1.5;
const slack = 5;

/** Requests that the endpoint may get in any window. */
export function allowedInWindow(perSecond: number): number {
    return Math.floor(perSecond * limitWindowMs / 1000 * overrun + slack);
}

/** Largest number of times that lie in one window. */
export function mostInWindow(times: readonly number[]): number {
    return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + limitWindowMs).length));
}
