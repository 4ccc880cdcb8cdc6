/**
 * Limits the log volume while standard output is read slowly. The fuller the line buffer, the fewer requests keep the
 * lines of their successful steps. Requests are sampled by a hash of their id, which is the same on every host, so that
 * a sampled request is logged completely. Refusals, failures and state changes of the process are never left out.
 */
import { hashText } from "../common/TextHash.js";
import type { Clock } from "../common/Types.js";
import { EventId } from "./Events.js";
import type { EventFields, EventLog } from "./Types.js";

/**
 * Sampling rates by fill of the buffer: from each level on, the lines of one request in `keptOf` are kept. A request
 * that is kept at one level is also kept at all lower ones.
 */
const samplingLevels: readonly { readonly fill: number; readonly keptOf: number; }[] = [
    { fill: 0, keptOf: 1 },
    { fill: 1 / 16, keptOf: 4 },
    { fill: 1 / 8, keptOf: 16 },
    { fill: 1 / 4, keptOf: 64 },
];
/** Minimum time at a level before a lower one, so that sampled requests are logged completely. */
const minLevelDurationMs = 2000;
/** Minimum interval between reports of the lines that were left out or dropped. */
const reportIntervalMs = 5000;

/** Fill of the line buffer, in [0, 1], and the number of lines that it has dropped so far. */
export interface LogPressure {
    fill(): number;
    droppedLines(): number;
}

export class LogSampler {
    private level = 0;
    private holdUntilMs = 0;
    private leftOut = 0;
    private lastReport = { atMs: -Infinity, leftOut: 0, dropped: 0 };

    public constructor(private readonly pressure: LogPressure, private readonly clock: Clock) {}

    /** Number of lines left out so far. */
    public get leftOutLines(): number {
        return this.leftOut;
    }

    /** Returns true when the event is to be written; counts it as left out otherwise. */
    public admits(id: EventId, fields: EventFields): boolean {
        const { keptOf = 1 } = this.currentLevel() ?? {};
        if (keptOf === 1 || !isSuccess(id, fields) || requestIdsOf(fields).some(one => hashText(one) % keptOf === 0)) {
            return true;
        }
        this.leftOut += 1;
        return false;
    }

    /** Lines left out and dropped since the last report; undefined when there are none or no report is due yet. */
    public takeDueReport(): EventFields | undefined {
        const { leftOut } = this;
        const dropped = this.pressure.droppedLines();
        const nowMs = this.clock.nowMs();
        const hasUnreported = leftOut > this.lastReport.leftOut || dropped > this.lastReport.dropped;
        if (!hasUnreported || nowMs - this.lastReport.atMs < reportIntervalMs) {
            return undefined;
        }
        const counts = { leftOut: leftOut - this.lastReport.leftOut, dropped: dropped - this.lastReport.dropped };
        this.lastReport = { atMs: nowMs, leftOut, dropped };
        return { ...counts, keptOf: this.currentLevel()?.keptOf };
    }

    private currentLevel() {
        const fill = this.pressure.fill();
        const reachedLevel = samplingLevels.findLastIndex(one => fill >= one.fill);
        const nowMs = this.clock.nowMs();
        if (reachedLevel >= this.level || nowMs >= this.holdUntilMs) {
            this.level = reachedLevel;
            this.holdUntilMs = nowMs + minLevelDurationMs;
        }
        return samplingLevels[this.level];
    }
}

/** Event log that passes on the events that a sampler admits, and reports the lines left out. */
export class SampledEventLog implements EventLog {
    public constructor(
        private readonly log: EventLog,
        private readonly sampler: LogSampler,
        private readonly fields: EventFields = {},
    ) {}

    public event(id: EventId, fields: EventFields = {}): void {
        const report = this.sampler.takeDueReport();
        if (report !== undefined) {
            this.log.event(EventId.LogLinesLeftOut, report);
        }
        if (this.sampler.admits(id, { ...this.fields, ...fields })) {
            this.log.event(id, fields);
        }
    }

    public with(fields: EventFields): EventLog {
        return new SampledEventLog(this.log.with(fields), this.sampler, { ...this.fields, ...fields });
    }
}

/** True for a successful step of a request. The outcome `made` means that results were computed without failures. */
function isSuccess(id: EventId, fields: EventFields): boolean {
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

/** Lowest HTTP status that is an error. */
const firstErrorStatus = 400;

function requestIdsOf({ request, requests }: EventFields): readonly string[] {
    return Array.isArray(requests) ? requests as readonly string[] : [String(request)];
}
