/** Pieces asked for in the last second or so: what a late submission has to reckon with before its turn comes. */
import type { Clock } from "../common/Types.js";

/** Time in which what was asked for fades to about a third. */
const fadeMs = 1000;

export class DemandMeter {
    private pieces = 0;
    private atMs: number;

    public constructor(private readonly clock: Clock) {
        this.atMs = clock.nowMs();
    }

    public record(pieces: number): void {
        this.fade();
        this.pieces += pieces;
    }

    /** Pieces asked for in one millisecond. */
    public piecesPerMs(): number {
        this.fade();
        return this.pieces / fadeMs;
    }

    private fade(): void {
        const nowMs = this.clock.nowMs();
        this.pieces *= Math.exp((this.atMs - nowMs) / fadeMs);
        this.atMs = nowMs;
    }
}
