/**
 * Admission control for requests with stages. A request begins if it is expected to be answered within its objective,
 * by the waits that gatherers report. Otherwise it is refused at once, instead of using stages' capacity and ending
 * late. Requests of the highest priority go ahead of late work, so that their wait is that of work that can be on time.
 * The others need room behind all that is queued: otherwise those with the shorter objectives starve the rest.
 */
import type { Clock, Random } from "../common/Types.js";
import type { ServiceId } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { Admission, AdmissionDecision, AdmissionRequest } from "./Types.js";

/** Bounds of the time after which a refused request may come back: bursts end within seconds. */
const minRetryMs = 500;
const maxRetryMs = 1500;
/** Part of that time by which returning requests are spread. */
const retrySpread = 0.5;
/** Capacity counts as scarce until no request has been refused for this long. */
const calmMs = 3000;

interface StageAdmissionOptions {
    /**
     * Expected wait of new work for a service that can be on time, and with "last" of work that goes after all that is
     * queued; undefined when unknown.
     */
    readonly waitMs: (service: ServiceId, goes?: "last") => number | undefined;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

const admitted: AdmissionDecision = { kind: "admitted" };

export class StageAdmission implements Admission {
    private lastRefusedMs = -Infinity;
    private isScarce = false;
    private refused = 0;

    public constructor(private readonly options: StageAdmissionOptions) {}

    public enter(request: AdmissionRequest): AdmissionDecision {
        const { priority, workMs, objectiveMs, stageServices } = request;
        this.noticeCalm();
        const waitsMs = this.totalWaitMs(stageServices, priority > 0 ? "last" : undefined);
        // Without a wait there is nothing to gain by coming back, even when the objective can't be met.
        if (waitsMs === 0 || workMs + waitsMs <= objectiveMs) {
            return admitted;
        }
        return this.refuse(request, waitsMs);
    }

    private refuse({ route, workMs, objectiveMs, remainingMs }: AdmissionRequest, waitsMs: number): AdmissionDecision {
        const { metrics, random } = this.options;
        const missingMs = Math.min(waitsMs, workMs + waitsMs - objectiveMs);
        const retryMs = Math.min(maxRetryMs, Math.max(minRetryMs, missingMs)) * (1 + retrySpread * random.next());
        this.noticeRefusal(route, waitsMs);
        metrics.count("admission_refused", { route });
        return {
            kind: "refused",
            message: `the stages need ${Math.round(workMs + waitsMs)} ms, ${Math.round(objectiveMs)} ms are left`,
            retryAfterMs: retryMs + workMs < remainingMs ? retryMs : undefined,
        };
    }

    private totalWaitMs(services: readonly ServiceId[], goes: "last" | undefined): number {
        let totalMs = 0;
        for (const service of services) {
            totalMs += this.options.waitMs(service, goes) ?? 0;
        }
        return totalMs;
    }

    private noticeRefusal(route: string, waitsMs: number): void {
        this.refused += 1;
        this.lastRefusedMs = this.options.clock.nowMs();
        if (!this.isScarce) {
            this.isScarce = true;
            this.options.log.event(EventId.CapacityScarce, { route, waitsMs: Math.round(waitsMs) });
        }
    }

    private noticeCalm(): void {
        if (this.isScarce && this.options.clock.nowMs() - this.lastRefusedMs > calmMs) {
            this.isScarce = false;
            this.options.log.event(EventId.CapacityRegained, { refused: this.refused });
            this.refused = 0;
        }
    }
}
