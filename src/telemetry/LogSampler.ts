/**
 * Keeps logging affordable while standard output is read slowly. The fuller the buffer of lines, the fewer requests keep
 * their lines of what went well; the choice is by request id and the same on every host, so that a request that is kept
 * is whole. Refusals, failures and changes of what the process believes are never left out here.
 */
import { hashText } from "../common/TextHash.js";
import type { Clock } from "../common/Types.js";
import { EventId } from "./Events.js";
import type { EventFields, EventLog } from "./Types.js";

/** The buffer's fill from which one request in so many keeps its lines; each set of requests holds the next. */
const levels: readonly { readonly fill: number; readonly keptOf: number; }[] = [
    { fill: 0, keptOf: 1 },
    { fill: 1 / 16, keptOf: 4 },
    { fill: 1 / 8, keptOf: 16 },
    { fill: 1 / 4, keptOf: 64 },
];
/** A level holds at least this long once reached, so that requests are kept whole. */
const holdMs = 2000;
/** While lines are left out, their count is told this often. */
const tellMs = 5000;

/** How full the buffer of lines is, in [0, 1], and the lines that it had to drop so far. */
export interface LogPressure {
    fill(): number;
    droppedLines(): number;
}

export class LogSampler {
    private level = 0;
    private holdUntilMs = 0;
    private leftOut = 0;
    private told = { atMs: -Infinity, leftOut: 0, dropped: 0 };

    public constructor(private readonly pressure: LogPressure, private readonly clock: Clock) {}

    /** Lines left out so far. */
    public get leftOutLines(): number {
        return this.leftOut;
    }

    /** True when the event is to be written. */
    public admits(id: EventId, fields: EventFields): boolean {
        const { keptOf = 1 } = this.currentLevel() ?? {};
        if (keptOf === 1 || !wentWell(id, fields) || requestsOf(fields).some(one => hashText(one) % keptOf === 0)) {
            return true;
        }
        this.leftOut += 1;
        return false;
    }

    /** Counts to tell, when lines were left out or dropped since they were told last and it is time. */
    public untold(): EventFields | undefined {
        const { leftOut } = this;
        const dropped = this.pressure.droppedLines();
        const nowMs = this.clock.nowMs();
        const hasNews = leftOut > this.told.leftOut || dropped > this.told.dropped;
        if (!hasNews || nowMs - this.told.atMs < tellMs) {
            return undefined;
        }
        const counts = { leftOut: leftOut - this.told.leftOut, dropped: dropped - this.told.dropped };
        this.told = { atMs: nowMs, leftOut, dropped };
        return { ...counts, keptOf: this.currentLevel()?.keptOf };
    }

    private currentLevel() {
        const fill = this.pressure.fill();
        const reached = levels.findLastIndex(one => fill >= one.fill);
        const nowMs = this.clock.nowMs();
        if (reached >= this.level || nowMs >= this.holdUntilMs) {
            this.level = reached;
            this.holdUntilMs = nowMs + holdMs;
        }
        return levels[this.level];
    }
}

/** An event log with a sampler before it. */
export class SampledEventLog implements EventLog {
    public constructor(
        private readonly log: EventLog,
        private readonly sampler: LogSampler,
        private readonly fields: EventFields = {},
    ) {}

    public event(id: EventId, fields: EventFields = {}): void {
        const untold = this.sampler.untold();
        if (untold !== undefined) {
            this.log.event(EventId.LogLinesLeftOut, untold);
        }
        if (this.sampler.admits(id, { ...this.fields, ...fields })) {
            this.log.event(id, fields);
        }
    }

    public with(fields: EventFields): EventLog {
        return new SampledEventLog(this.log.with(fields), this.sampler, { ...this.fields, ...fields });
    }
}

/** True for a step of a request that went as it should. */
function wentWell(id: EventId, fields: EventFields): boolean {
    switch (id) {
        case EventId.GatewayRequestTaken:
        case EventId.PiecesSubmitted:
            return true;
        case EventId.GatewayRequestEnded:
            return fields["outcome"] === "answered";
        case EventId.EndpointAttemptEnded:
            return fields["end"] === "replied" && Number(fields["status"]) < firstErrorStatus;
        case EventId.PiecesEnded:
            return (fields["outcome"] as { readonly kind?: string; } | undefined)?.kind === "made";
        case EventId.BatchEnded:
            return fields["outcome"] === "made";
        default:
            return false;
    }
}

const firstErrorStatus = 400;

function requestsOf({ request, requests }: EventFields): readonly string[] {
    return Array.isArray(requests) ? requests as readonly string[] : [String(request)];
}
