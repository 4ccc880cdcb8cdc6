/**
 * Logs an event that a client can cause at any rate: at most one line in an interval, with the number of those before it
 * that were left out.
 */
import type { Clock } from "../common/Types.js";
import type { EventId } from "./Events.js";
import type { EventFields, EventLog } from "./Types.js";

const intervalMs = 1000;

export class RepeatedEvent {
    private leftOut = 0;
    private loggedMs = -Infinity;

    public constructor(private readonly id: EventId, private readonly log: EventLog, private readonly clock: Clock) {}

    public record(fields: EventFields): void {
        const nowMs = this.clock.nowMs();
        if (nowMs - this.loggedMs < intervalMs) {
            this.leftOut += 1;
            return;
        }
        this.log.event(this.id, this.leftOut === 0 ? fields : { ...fields, leftOut: this.leftOut });
        this.leftOut = 0;
        this.loggedMs = nowMs;
    }
}
