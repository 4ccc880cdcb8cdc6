/**
 * What a gatherer knows of the result storage of one endpoint: results that it has received, what running calls will
 * store, and results that it has no record of, such as those of an earlier gatherer or of a call whose reply was lost.
 */
import type { Clock } from "../common/Types.js";
import type { BatchTraits } from "../fleet/Types.js";

/**
 * How long storage found occupied by unknown results counts as used; results usually stay until the next stage ends.
 */
const unknownResultsTtlMs = 1000;
/** Added to the configured retention of a result before its storage counts as free. */
const expiryMarginMs = 500;

interface StoredResult {
    readonly bytes: number;
    readonly untilMs: number;
}

export class EndpointStorage {
    /** In the order in which they expire, since all are kept equally long. */
    private readonly results = new Map<string, StoredResult>();
    private resultBytes = 0;
    private unknown: StoredResult = { bytes: 0, untilMs: -Infinity };
    private reservedBytes = 0;
    private lostReplies = 0;

    public constructor(private readonly clock: Clock) {}

    /** Estimated free storage, in bytes; expired results no longer count. */
    public availableBytes({ resultRoomBytes }: BatchTraits): number {
        const nowMs = this.clock.nowMs();
        for (const [handle, { untilMs }] of this.results) {
            if (untilMs >= nowMs) {
                break;
            }
            this.remove(handle, 0);
        }
        return resultRoomBytes - this.reservedBytes - this.resultBytes - this.unknownBytes(nowMs);
    }

    /** Reserves storage for the results of a call. */
    public reserve(bytes: number): void {
        this.reservedBytes += bytes;
    }

    public endReservation(bytes: number): void {
        this.reservedBytes -= bytes;
    }

    /** Records a result that occupies storage until it is freed or expires. */
    public add(handle: string, bytes: number, { resultKeptMs }: BatchTraits): void {
        this.remove(handle, 0);
        this.results.set(handle, { bytes, untilMs: this.clock.nowMs() + resultKeptMs + expiryMarginMs });
        this.resultBytes += bytes;
    }

    /** Records that a result was freed. One of which there is no record was among the unknown ones. */
    public remove(handle: string, bytes: number): void {
        const known = this.results.get(handle);
        if (known === undefined) {
            this.unknown = { ...this.unknown, bytes: Math.max(0, this.unknown.bytes - bytes) };
            return;
        }
        this.results.delete(handle);
        this.resultBytes -= known.bytes;
    }

    /** Records results of a call whose reply was lost: they can't be freed, so they stay until they expire. */
    public addLost(bytes: number, traits: BatchTraits): void {
        this.lostReplies += 1;
        this.add(`${lostPrefix}${this.lostReplies}`, bytes, traits);
    }

    /**
     * Records that of `expectedBytes` believed free at the start of a call only `storedBytes` were. The difference
     * counts as used by further unknown results for a while.
     */
    public recordShortage(expectedBytes: number, storedBytes: number): void {
        const nowMs = this.clock.nowMs();
        const bytes = this.unknownBytes(nowMs) + Math.max(0, expectedBytes - storedBytes);
        this.unknown = { bytes, untilMs: Math.max(this.unknown.untilMs, nowMs + unknownResultsTtlMs) };
    }

    /**
     * Takes over what the endpoint reports as free. What it holds beyond the known results counts as used by unknown
     * ones until it is freed or must have expired; their size is returned. Results of lost replies are in the report,
     * if there are any.
     */
    public learn(freeBytes: number, { resultRoomBytes, resultKeptMs }: BatchTraits): number {
        [...this.results.keys()].filter(one => one.startsWith(lostPrefix)).forEach(one => this.remove(one, 0));
        const bytes = Math.max(0, resultRoomBytes - freeBytes - this.resultBytes);
        this.unknown = { bytes, untilMs: this.clock.nowMs() + resultKeptMs + expiryMarginMs };
        return bytes;
    }

    /** Forgets all results, since the endpoint's process has started again and its storage is empty. */
    public clear(): void {
        this.results.clear();
        this.resultBytes = 0;
        this.unknown = { bytes: 0, untilMs: -Infinity };
    }

    private unknownBytes(nowMs: number): number {
        return this.unknown.untilMs > nowMs ? this.unknown.bytes : 0;
    }
}

const lostPrefix = "lost ";
