/**
 * Estimates, for each route, the time from the start of an attempt to its reply. It is recorded at the first event of a
 * streamed reply; a route without such replies keeps the initial estimate.
 */
import type { RouteId } from "../fleet/Types.js";

/** Initial estimate: the time to process a prompt of usual length. */
const initialEstimateMs = 200;
/** Weight of the newest reply in the moving average. */
const newestWeight = 0.1;

export class ReplyTimes {
    private readonly averages = new Map<RouteId, number>();

    public record(route: RouteId, takenMs: number): void {
        const average = this.averages.get(route) ?? initialEstimateMs;
        this.averages.set(route, average * (1 - newestWeight) + takenMs * newestWeight);
    }

    public expectedMs(route: RouteId): number {
        return this.averages.get(route) ?? initialEstimateMs;
    }
}
