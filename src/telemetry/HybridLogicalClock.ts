/**
 * Hybrid logical clock: wall time that never goes backwards, with a counter for events of the same millisecond.
 * A stamp that is made after another one was observed sorts after it, even if the wall clocks disagree.
 */
import type { Clock, HostId } from "../common/Types.js";
import type { HlcStamp, HybridClock } from "./Types.js";

/** Time and counter are padded with zeros to these widths, so that stamps sort as text. */
const timeDigits = 14;
const counterDigits = 6;
/** Remote stamps further ahead than this are ignored, so that one wrong clock does not advance the clocks of all. */
const maxAheadMs = 60_000;

export class HybridLogicalClock implements HybridClock {
    private timeMs = 0;
    private counter = 0;

    public constructor(private readonly clock: Clock, private readonly host: HostId) {}

    public stamp(): HlcStamp {
        const wallMs = Math.floor(this.clock.wallMs());
        if (wallMs > this.timeMs) {
            this.timeMs = wallMs;
            this.counter = 0;
        }
        else {
            this.counter += 1;
        }
        return this.format();
    }

    public observe(stamp: HlcStamp): void {
        const [timeText, counterText] = stamp.split("-");
        const timeMs = Number(timeText);
        const counter = Number(counterText);
        if (!Number.isInteger(timeMs) || !Number.isInteger(counter)) {
            return;
        }
        if (timeMs > this.clock.wallMs() + maxAheadMs) {
            return;
        }
        if (timeMs > this.timeMs || (timeMs === this.timeMs && counter > this.counter)) {
            this.timeMs = timeMs;
            this.counter = counter;
        }
    }

    private format(): HlcStamp {
        const time = String(this.timeMs).padStart(timeDigits, "0");
        const counter = String(this.counter).padStart(counterDigits, "0");
        return `${time}-${counter}-${this.host}`;
    }
}
