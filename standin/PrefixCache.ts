/**
 * An engine's prefix cache with LRU eviction, and its stream of numbered cache events. Events are delayed, and some are
 * lost, which leaves a gap in the sequence numbers.
 */
import type { Clock, Random } from "../src/common/Types.js";

interface PublishedEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted" | "cleared";
    readonly blocks: string[];
    readonly visibleAtMs: number;
}

/** Maximum number of events kept for readers. */
const maxEvents = 2000;

export class PrefixCache {
    /** Block hashes, least recently used first. */
    private readonly blocks = new Set<string>();
    private events: PublishedEvent[] = [];
    private sequence = 0;

    public constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly capacity: number,
        private readonly lagMs: number,
        private readonly gapShare: number,
    ) {}

    /** Number of leading blocks that are cached. */
    public match(hashes: readonly string[]): number {
        const missing = hashes.findIndex(hash => !this.blocks.has(hash));
        return missing === -1 ? hashes.length : missing;
    }

    /** Marks blocks as most recently used, adds the missing ones, and evicts the oldest over the capacity. */
    public store(hashes: readonly string[]): void {
        const added = hashes.filter(hash => !this.blocks.has(hash));
        for (const hash of hashes) {
            this.blocks.delete(hash);
            this.blocks.add(hash);
        }
        const evicted = [...this.blocks].slice(0, Math.max(0, this.blocks.size - this.capacity));
        for (const hash of evicted) {
            this.blocks.delete(hash);
        }
        this.publish("stored", added);
        this.publish("evicted", evicted);
    }

    public clear(): void {
        this.blocks.clear();
        this.publish("cleared", []);
    }

    /** Returns those of the given blocks that are cached. */
    public held(hashes: readonly string[]): string[] {
        return hashes.filter(hash => this.blocks.has(hash));
    }

    /** The visible events after a sequence number. */
    public eventsAfter(sequence: number): { sequence: number; kind: string; blocks: string[]; }[] {
        const nowMs = this.clock.nowMs();
        return this.events
            .filter(event => event.sequence > sequence && event.visibleAtMs <= nowMs)
            .map(event => ({ sequence: event.sequence, kind: event.kind, blocks: event.blocks }));
    }

    private publish(kind: PublishedEvent["kind"], blocks: string[]): void {
        if (blocks.length === 0 && kind !== "cleared") {
            return;
        }
        this.sequence += 1;
        if (this.random.next() < this.gapShare) {
            return;
        }
        this.events.push({ sequence: this.sequence, kind, blocks, visibleAtMs: this.clock.nowMs() + this.lagMs });
        if (this.events.length > maxEvents) {
            this.events = this.events.slice(-maxEvents / 2);
        }
    }
}
