/**
 * Reads the platform's list of endpoints for the whole fleet: the leader at a steady pace, any other control host only
 * once the list that it was told of has grown old. What can't be read leaves the list before in force.
 */
import type { Clock } from "../common/Types.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { type AgedEndpoints, tagOf } from "./FleetMessages.js";
import type { EndpointListSource, ListedEndpoint } from "./Types.js";

/** Between two readings; with delivery well inside the time within which a leaving endpoint must get nothing. */
const readEveryMs = 500;
/** A list of this age is read anew by a host that does not lead. */
const takeOverAgeMs = 1500;
/** Pause after the platform asked for fewer readings. */
const pushedBackMs = 1500;
/** Bound on one reading, all pages together. */
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
    readonly onChange: () => void;
}

export class EndpointListReader implements Service {
    public readonly name = "endpoint-list";
    private known: KnownList | undefined;
    private failing = false;

    public constructor(private readonly options: EndpointListReaderOptions) {}

    /** Age of the list; infinite while there is none. */
    public get ageMs(): number {
        return this.known === undefined ? Infinity : this.options.clock.nowMs() - this.known.readMs;
    }

    public current(): AgedEndpoints {
        const { tag = "", endpoints = [] } = this.known ?? {};
        return { tag, endpoints, ageMs: Number.isFinite(this.ageMs) ? this.ageMs : -1 };
    }

    /** Takes over a list that another control host has read, if it is newer. */
    public adoptIfNewer({ tag, endpoints, ageMs }: AgedEndpoints): void {
        if (ageMs >= 0 && ageMs < this.ageMs) {
            this.put(tag, endpoints, this.options.clock.nowMs() - ageMs);
        }
    }

    /** Another control host has read the same list again. */
    public confirm(ageMs: number): void {
        if (this.known !== undefined && ageMs >= 0 && ageMs < this.ageMs) {
            this.known = { ...this.known, readMs: this.options.clock.nowMs() - ageMs };
        }
    }

    public async run(signal: AbortSignal): Promise<void> {
        const { clock, isLeader: leads } = this.options;
        while (!signal.aborted) {
            const isDue = leads() || this.ageMs >= takeOverAgeMs;
            const pauseMs = isDue ? await this.read(signal) : readEveryMs / 2;
            await clock.sleep(pauseMs, signal);
        }
    }

    /** Reads once and gives the pause until the next reading. */
    private async read(signal: AbortSignal): Promise<number> {
        const { source, clock, log, metrics } = this.options;
        const startMs = clock.nowMs();
        const result = await source.read(AbortSignal.any([signal, AbortSignal.timeout(readTimeoutMs)]));
        metrics.count("endpoint_list_reads", { outcome: result.isRight() ? "read" : "failed" });
        return result.caseOf({
            Left: error => {
                if (!this.failing) {
                    log.event(EventId.EndpointListLost, { ...error, ageMs: Math.round(this.ageMs) });
                }
                this.failing = true;
                return error.kind === "too-many-reads" ? pushedBackMs : readEveryMs;
            },
            Right: ({ endpoints, unreadable }) => {
                if (this.failing) {
                    log.event(EventId.EndpointListRegained, { endpoints: endpoints.length });
                }
                this.failing = false;
                metrics.gauge("endpoint_list_unreadable", unreadable);
                this.put(tagOf(endpoints.map(one => withoutCountdown(one, startMs))), endpoints, startMs);
                return readEveryMs;
            },
        });
    }

    private put(tag: string, endpoints: readonly ListedEndpoint[], readMs: number): void {
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

/** Lists count as the same while nothing has changed but what is left of cold starts has run down. */
function withoutCountdown({ coldLeftMs, ...endpoint }: ListedEndpoint, readMs: number): unknown {
    const coldUntil = coldLeftMs > 0 ? Math.round((readMs + coldLeftMs) / coldGrainMs) : 0;
    return { ...endpoint, coldUntil };
}

/** Grain in which the ends of cold starts are compared; above the lag of the list. */
const coldGrainMs = 1000;
