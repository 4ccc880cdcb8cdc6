/** Times of recent occurrences by key, each kept for the length of a sliding window. */
import type { Clock } from "./Types.js";

export class RecentTimes<Key> {
    private readonly times = new Map<Key, number[]>();

    public constructor(private readonly clock: Clock, private readonly windowMs: number) {}

    /** Records an occurrence now. */
    public record(key: Key): void {
        this.recent(key).push(this.clock.nowMs());
    }

    /** Number of occurrences within the window that ends now. */
    public count(key: Key): number {
        return this.recent(key).length;
    }

    private recent(key: Key): number[] {
        const sinceMs = this.clock.nowMs() - this.windowMs;
        const known = this.times.get(key) ?? [];
        const firstRecent = known.findIndex(atMs => atMs >= sinceMs);
        known.splice(0, firstRecent < 0 ? known.length : firstRecent);
        this.times.set(key, known);
        return known;
    }
}
