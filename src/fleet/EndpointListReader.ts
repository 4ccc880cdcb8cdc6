/**
 * Reads the platform's list of endpoints for the whole fleet. The leader polls it at a fixed interval; another control
 * host reads it only when the list that it received from the leader has become too old. After a failed read the
 * previous list stays in use.
 */
import type { Clock } from "../common/Types.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { EntryFaultLog } from "./EntryFaultLog.js";
import { type AgedEndpoints, tagOf } from "./FleetMessages.js";
import { checkListPart } from "./ListedEndpoints.js";
import type { EndpointListSource, ListedEndpoint } from "./Types.js";

/**
 * Polling interval. Together with the delivery to entry hosts it is well below the time after which a leaving endpoint
 * must get no more requests.
 */
const readIntervalMs = 1000;
/** A host that is not the leader reads the list when its own copy is this old. */
const takeOverAgeMs = 2500;
/** Pause after the platform has refused a read because of its rate. */
const rateLimitedPauseMs = 1500;
/** Time limit for one read of all pages. */
const readTimeoutMs = 1200;

interface KnownList {
    readonly tag: string;
    readonly endpoints: readonly ListedEndpoint[];
    readonly readMs: number;
}

interface EndpointListReaderOptions {
    readonly source: EndpointListSource;
    readonly isLeader: () => boolean;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Called after the list has changed. */
    readonly onChange: () => void;
}

export class EndpointListReader implements Service {
    public readonly name = "endpoint-list";
    private known: KnownList | undefined;
    private isFailing = false;
    private readonly faults: EntryFaultLog;

    public constructor(private readonly options: EndpointListReaderOptions) {
        this.faults = new EntryFaultLog(options.log);
    }

    /** Age of the list in milliseconds; Infinity while there is none. */
    public get ageMs(): number {
        return this.known === undefined ? Infinity : this.options.clock.nowMs() - this.known.readMs;
    }

    /** The current list; with an age of -1 while there is none. */
    public current(): AgedEndpoints {
        const { tag = "", endpoints = [] } = this.known ?? {};
        return { tag, endpoints, ageMs: Number.isFinite(this.ageMs) ? this.ageMs : -1 };
    }

    /** Adopts a list that another control host has read, if it is newer. */
    public adoptIfNewer({ tag, endpoints, ageMs }: AgedEndpoints): void {
        if (ageMs >= 0 && ageMs < this.ageMs) {
            const { part, faults } = checkListPart({ tag, items: endpoints, gone: [] });
            this.faults.record(faults, "leader");
            this.replace(tag, part.items, this.options.clock.nowMs() - ageMs);
        }
    }

    /** Records that another control host has read the same list again, `ageMs` ago. */
    public confirm(ageMs: number): void {
        if (this.known !== undefined && ageMs >= 0 && ageMs < this.ageMs) {
            this.known = { ...this.known, readMs: this.options.clock.nowMs() - ageMs };
        }
    }

    public async run(signal: AbortSignal): Promise<void> {
        const { clock, isLeader } = this.options;
        while (!signal.aborted) {
            const isDue = isLeader() || this.ageMs >= takeOverAgeMs;
            const pauseMs = isDue ? await this.read(signal) : readIntervalMs / 4;
            await clock.sleep(pauseMs, signal);
        }
    }

    /** Reads the list once and returns the pause until the next read. */
    private async read(signal: AbortSignal): Promise<number> {
        const { source, clock, log, metrics } = this.options;
        const startMs = clock.nowMs();
        const result = await source.read(AbortSignal.any([signal, AbortSignal.timeout(readTimeoutMs)]));
        metrics.count("endpoint_list_reads", { outcome: result.isRight() ? "read" : "failed" });
        return result.caseOf({
            Left: error => {
                if (!this.isFailing) {
                    log.event(EventId.EndpointListLost, { ...error, ageMs: Math.round(this.ageMs) });
                }
                this.isFailing = true;
                return error.kind === "too-many-reads" ? rateLimitedPauseMs : readIntervalMs;
            },
            Right: ({ endpoints, faults }) => {
                if (this.isFailing) {
                    log.event(EventId.EndpointListRegained, { endpoints: endpoints.length });
                }
                this.isFailing = false;
                metrics.gauge("endpoint_list_unreadable", faults.length);
                this.faults.record(faults);
                this.replace(tagOf(endpoints.map(one => comparableFields(one, startMs))), endpoints, startMs);
                return readIntervalMs;
            },
        });
    }

    private replace(tag: string, endpoints: readonly ListedEndpoint[], readMs: number): void {
        const isChange = tag !== this.known?.tag;
        this.known = { tag, endpoints, readMs };
        if (isChange) {
            this.options.log.event(EventId.EndpointListChanged, {
                tag,
                endpoints: endpoints.length,
                leaving: endpoints.filter(one => one.isLeaving).length,
            });
            this.options.onChange();
        }
    }
}

/**
 * The fields by which lists are compared. The remaining cold-start time decreases with each read, which is no change,
 * so that the end of the cold start is compared instead.
 */
function comparableFields({ coldLeftMs, ...endpoint }: ListedEndpoint, readMs: number): unknown {
    const coldUntil = coldLeftMs > 0 ? Math.round((readMs + coldLeftMs) / coldResolutionMs) : 0;
    return { ...endpoint, coldUntil };
}

/** Resolution at which the ends of cold starts are compared; greater than the lag of the list. */
const coldResolutionMs = 1000;
