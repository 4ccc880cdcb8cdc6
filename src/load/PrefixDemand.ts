/**
 * Estimates which share of a service's prompt tokens each shared part has, from the requests of this host. Callers reach
 * hosts at random, so that the host's own requests are a sample of the fleet's, and no message is needed.
 */
import { BoundedMap } from "../common/BoundedMap.js";
import type { Clock } from "../common/Types.js";

/** Time after which a request counts for a third; long enough for tens of requests at one of 195 hosts. */
const memoryMs = 20_000;
const maxKeys = 512;

class DecayingSum {
    private sum = 0;
    private updatedMs = 0;

    public at(nowMs: number): number {
        return this.sum * Math.exp((this.updatedMs - nowMs) / memoryMs);
    }

    public add(nowMs: number, amount: number): void {
        this.sum = this.at(nowMs) + amount;
        this.updatedMs = nowMs;
    }
}

export class PrefixDemand {
    private readonly total = new DecayingSum();
    private readonly byKey = new BoundedMap<string, DecayingSum>(maxKeys);

    public constructor(private readonly clock: Clock) {}

    public record(key: string, tokens: number): void {
        const nowMs = this.clock.nowMs();
        const ofKey = this.byKey.get(key) ?? new DecayingSum();
        ofKey.add(nowMs, tokens);
        this.byKey.set(key, ofKey);
        this.total.add(nowMs, tokens);
    }

    /** Share of a key in all recent tokens, in [0, 1]; 0 before the first request. */
    public share(key: string): number {
        const nowMs = this.clock.nowMs();
        const total = this.total.at(nowMs);
        return total > 0 ? (this.byKey.get(key)?.at(nowMs) ?? 0) / total : 0;
    }
}
