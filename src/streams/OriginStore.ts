/** Keeps where streams began, in memory, for a bounded time and number of streams. */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock } from "../common/Types.js";
import type { OriginRecord } from "./StreamMessages.js";

/** Longer than a caller waits for any stream, its own tries included. */
const keptMs = 120_000;
/** Maximum number of streams; the oldest are forgotten first. */
const maxRecords = 16_384;

export class OriginStore {
    /** In the order of their times. */
    private readonly records = new BoundedMap<string, { readonly record: OriginRecord; readonly atMs: number; }>(
        maxRecords,
    );

    public constructor(private readonly clock: Clock) {}

    public put(record: OriginRecord): void {
        const known = this.get(record.key);
        if (known !== undefined && known.attempt > record.attempt) {
            return;
        }
        this.records.set(record.key, { record, atMs: this.clock.nowMs() });
        for (const [key, { atMs }] of this.records) {
            if (!this.isExpired(atMs)) {
                break;
            }
            this.records.delete(key);
        }
    }

    public get(key: string): OriginRecord | undefined {
        const known = this.records.get(key);
        return known === undefined || this.isExpired(known.atMs) ? undefined : known.record;
    }

    private isExpired(atMs: number): boolean {
        return this.clock.nowMs() - atMs >= keptMs;
    }
}
