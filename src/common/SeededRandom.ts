/** Seeded pseudo-random generator (mulberry32). Not cryptographically secure. */
import type { Random } from "./Types.js";

export class SeededRandom implements Random {
    private state: number;

    public constructor(seed: number) {
        this.state = seed >>> 0;
    }

    public next(): number {
        this.state = (this.state + 0x6D2B79F5) >>> 0;
        let mixed = this.state;
        mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
    }

    public below(bound: number): number {
        return Math.floor(this.next() * bound);
    }

    public hex(length: number): string {
        let text = "";
        while (text.length < length) {
            text += this.below(16).toString(16);
        }
        return text;
    }
}
