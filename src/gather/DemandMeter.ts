/**
 * Measures the recent rate of submitted pieces as an exponentially decaying average. The wait of a late submission
 * depends on it, since pieces that arrive meanwhile go first.
 */
import type { Clock } from "../common/Types.js";

/** Time constant of the decay. */
const decayMs = 1000;

export class DemandMeter {
    private pieces = 0;
    private updatedMs: number;

    public constructor(private readonly clock: Clock) {
        this.updatedMs = clock.nowMs();
    }

    public record(pieces: number): void {
        this.decay();
        this.pieces += pieces;
    }

    /** Submitted pieces per millisecond. */
    public piecesPerMs(): number {
        this.decay();
        return this.pieces / decayMs;
    }

    private decay(): void {
        const nowMs = this.clock.nowMs();
        this.pieces *= Math.exp((this.updatedMs - nowMs) / decayMs);
        this.updatedMs = nowMs;
    }
}
