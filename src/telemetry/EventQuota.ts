/** Bounds how often events are logged that callers can cause at any rate. */
import type { Clock } from "../common/Types.js";
import type { EventId } from "./Events.js";
import type { EventFields, EventLog } from "./Types.js";

const periodMs = 1000;

interface Period {
    fromMs: number;
    written: number;
    leftOut: number;
}

export class EventQuota {
    private readonly periods = new Map<EventId, Period>();

    /** @param maxPerSecond Maximum number of lines of each event in a second. */
    public constructor(
        private readonly log: EventLog,
        private readonly clock: Clock,
        private readonly maxPerSecond: number = 20,
    ) {}

    /** Logs an event, or counts it; the next line has the number of those that were left out before it. */
    public event(id: EventId, fields: EventFields): void {
        const nowMs = this.clock.nowMs();
        const period = this.periods.get(id) ?? { fromMs: nowMs, written: 0, leftOut: 0 };
        this.periods.set(id, period);
        if (nowMs - period.fromMs >= periodMs) {
            period.fromMs = nowMs;
            period.written = 0;
        }
        if (period.written >= this.maxPerSecond) {
            period.leftOut += 1;
            return;
        }
        const { leftOut } = period;
        period.written += 1;
        period.leftOut = 0;
        this.log.event(id, leftOut === 0 ? fields : { ...fields, leftOut });
    }
}
