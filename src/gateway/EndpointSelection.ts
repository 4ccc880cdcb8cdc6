/**
 * Selects the endpoints of one request. Endpoints that have asked for a pause, or whose limit on their request rate is
 * used up, are passed over; while there is no other, the request waits for a limited time.
 */
import type { Clock } from "../common/Types.js";
import type { Service } from "../fleet/Types.js";
import type { EndpointPermit, EndpointPermits } from "../limits/EndpointPermits.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { EndpointChoice, EndpointChooser } from "./EndpointChooser.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { ColdStartQuota } from "./FleetQuotas.js";
import type { Unavailability } from "./RefusalCauses.js";
import type { PromptInfo } from "./Types.js";

/** Pause before the next selection when no endpoint may get the request. */
const noEndpointPauseMs = 40;

/** An endpoint that may get the request now, once. A place that the permit holds is released when the request ends. */
export interface PermittedChoice extends EndpointChoice {
    readonly permit: Exclude<EndpointPermit, { readonly kind: "denied"; }>;
    /** Endpoints that were passed over since their limits are used up. */
    readonly heldOff: readonly EndpointRecord[];
}

interface EndpointSelectionOptions {
    readonly chooser: EndpointChooser;
    readonly permits: EndpointPermits;
    readonly cold: ColdStartQuota;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Aborted when the request has ended. */
    readonly signal: AbortSignal;
    /** Id of the request. */
    readonly request: string;
    readonly service: Service;
    readonly prompt: PromptInfo | undefined;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Deadline of the request, on the local clock. */
    readonly deadlineMs: number;
    /** Called when the request waits since no endpoint may get it. */
    readonly onWait?: () => void;
}

export class EndpointSelection {
    public constructor(private readonly options: EndpointSelectionOptions) {}

    /** The endpoint that would be chosen now, without a permit for it. */
    public expected(
        usable: readonly EndpointRecord[],
        tried: ReadonlySet<EndpointRecord>,
    ): EndpointChoice | undefined {
        const { chooser, service, prompt } = this.options;
        return chooser.choose(service, usable.filter(one => this.heldOffMs(one) === 0), tried, prompt);
    }

    /**
     * Selects one of the endpoints that `usable` returns, and obtains a permit where it limits its request rate. While
     * there is none, waits until `untilMs` on the local clock, or not at all when none can be expected by then.
     */
    public async choose(
        usable: () => readonly EndpointRecord[],
        tried: ReadonlySet<EndpointRecord>,
        untilMs: number,
    ): Promise<PermittedChoice | undefined> {
        const { clock, cold, signal, onWait } = this.options;
        let wasDenied = false;
        while (!signal.aborted) {
            const endpoints = usable();
            const choice = this.expected(endpoints, tried);
            if (choice === undefined) {
                const nowMs = clock.nowMs();
                if (nowMs >= untilMs || nowMs + this.unavailableForMs(endpoints) > untilMs) {
                    return undefined;
                }
                onWait?.();
                await clock.sleep(noEndpointPauseMs, signal);
                continue;
            }
            if (choice.record.isCold) {
                cold.recordSend(choice.record.id);
            }
            const permit = await this.acquire(choice.record, wasDenied);
            wasDenied ||= permit.kind === "denied";
            if (permit.kind === "denied") {
                continue;
            }
            if (!signal.aborted) {
                return { ...choice, permit, heldOff: endpoints.filter(one => this.heldOffMs(one) > 0) };
            }
            permit.place?.release(false);
        }
        return undefined;
    }

    /** Time until one of the endpoints may get a request, in milliseconds; 0 when that may be now. */
    public unavailableForMs(endpoints: readonly EndpointRecord[]): number {
        return this.earliestMs(endpoints, one => Math.max(one.pausedForMs, this.heldOffMs(one)));
    }

    /** Why none of the endpoints may get the request, as far as that is known; undefined when one of them may. */
    public unavailability(endpoints: readonly EndpointRecord[]): Unavailability | undefined {
        const { permits, priority } = this.options;
        const forMs = this.earliestMs(
            endpoints,
            one => Math.max(one.pausedForMs, permits.retryAfterMs(one.id, priority)),
        );
        const isPaused = this.earliestMs(endpoints, one => one.pausedForMs) > 0;
        return forMs > 0 ? { reason: isPaused ? "paused" : "limited", forMs } : undefined;
    }

    private async acquire(record: EndpointRecord, wasDenied: boolean): Promise<EndpointPermit> {
        const { permits, priority, request, deadlineMs, clock, log, metrics } = this.options;
        const holdMs = Math.max(1, deadlineMs - clock.nowMs());
        const permit = await permits.acquire(record.listed, priority, { wasDenied, holdMs });
        if (permit.kind === "denied") {
            const { basis, waitMs } = permit;
            metrics.count("requests_kept_off_limited_endpoints");
            log.event(EventId.PermitDenied, { request, endpoint: record.id, ...basis, waitMs });
        }
        return permit;
    }

    private heldOffMs({ id }: EndpointRecord): number {
        return this.options.permits.heldOffMs(id, this.options.priority);
    }

    /** The least of the endpoints' times; 0 when there are no endpoints. */
    private earliestMs(endpoints: readonly EndpointRecord[], timeOf: (one: EndpointRecord) => number): number {
        return endpoints.length === 0 ? 0 : Math.min(...endpoints.map(timeOf));
    }
}
