/** Expected time from an attempt to the first byte of its reply, by route. */
import type { RouteId } from "../fleet/Types.js";

/** Expected before the first reply, in milliseconds: reading a prompt of usual length. */
const unknownMs = 200;
/** Weight of the newest reply in the average. */
const newestWeight = 0.1;

export class ReplyTimes {
    private readonly averages = new Map<RouteId, number>();

    public record(route: RouteId, takenMs: number): void {
        const average = this.averages.get(route) ?? unknownMs;
        this.averages.set(route, average * (1 - newestWeight) + takenMs * newestWeight);
    }

    public expectedMs(route: RouteId): number {
        return this.averages.get(route) ?? unknownMs;
    }
}
