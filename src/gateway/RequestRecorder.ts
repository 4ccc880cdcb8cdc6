/** Writes the log lines and metrics of one request: the end of each attempt, and its final answer. */
import type { Clock, HostId } from "../common/Types.js";
import { failureMessage } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { PermittedChoice } from "./EndpointSelection.js";
import type { RequestProgress } from "./RequestProgress.js";
import type { AdmittedRequest, AttemptOutcome, Refusal } from "./Types.js";

export type RequestOutcome =
    | { readonly kind: "answered"; }
    | { readonly kind: "refused"; readonly refusal: Refusal; };

/** What only the request itself knows when it ends. */
interface RequestEnd {
    readonly outcome: RequestOutcome;
    /** Version of the configuration in force. */
    readonly config: number | undefined;
    readonly hasLeft: boolean;
    readonly isOver: boolean;
    /** Number of events written to the caller. */
    readonly events: number;
}

interface AttemptEnd {
    readonly outcome: AttemptOutcome;
    readonly startMs: number;
    /** The last event that the caller has. */
    readonly lastEvent: string | undefined;
    /** The host through which the request was sent; undefined when it was sent directly or not at all. */
    readonly through: HostId | undefined;
    readonly isHedge: boolean;
}

/** Records that an exception has ended the handling of a request. Throws a broken invariant on, which stops the process. */
export function recordFailure(
    log: EventLog,
    err: unknown,
    { request, stage }: Pick<RequestProgress, "request" | "stage">,
): void {
    log.event(EventId.RequestFailed, { request, at: stage, message: failureMessage(err) });
}

export class RequestRecorder {
    private readonly attempts: string[] = [];

    public constructor(
        private readonly admitted: AdmittedRequest,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly metrics: Metrics,
    ) {}

    /** Records an attempt that has ended. */
    public recordAttempt(
        { record, reason, permit, heldOff }: PermittedChoice,
        { outcome, startMs, lastEvent, through, isHedge }: AttemptEnd,
    ): void {
        this.attempts.push(`${record.id}:${outcome.kind}`);
        this.log.event(EventId.EndpointAttemptEnded, {
            request: this.admitted.head.id,
            endpoint: record.id,
            version: record.listed.version,
            chosenBy: reason,
            ...(through === undefined ? {} : { through }),
            ...(lastEvent === undefined ? {} : { lastEvent }),
            running: record.running.size,
            failureShare: Number(record.failureShare.toFixed(2)),
            isCold: record.isCold,
            ...(permit.limit === undefined ? {} : { limit: permit.limit }),
            ...(permit.place === undefined ? {} : { place: permit.place.basis }),
            ...(heldOff.length > 0 ? { heldOff: heldOff.map(one => one.id) } : {}),
            ...(isHedge ? { isHedge } : {}),
            end: outcome.kind,
            ...(outcome.kind === "cancelled" && outcome.hasLostRace === true ? { hasLostRace: true } : {}),
            ...(outcome.kind === "replied" ? { status: outcome.reply.status } : {}),
            ...(outcome.kind === "not-run" ? { status: outcome.status } : {}),
            ...(outcome.kind === "broken" || outcome.kind === "unsent" ? { message: outcome.message } : {}),
            takenMs: Math.round(this.clock.nowMs() - startMs),
        });
    }

    /** Records the request's end. */
    public recordEnd({ outcome: end, ...fields }: RequestEnd): void {
        const { head, route, arrivedMs } = this.admitted;
        const durationMs = this.clock.nowMs() - arrivedMs;
        const outcome = end.kind === "answered" ? "answered" : end.refusal.reason;
        this.metrics.count("gateway_requests", { outcome, kind: route.kind });
        this.metrics.latency("gateway_request", durationMs, { kind: route.kind });
        this.log.event(EventId.GatewayRequestEnded, {
            request: head.id,
            route: route.id,
            outcome,
            ...(end.kind === "refused" ? end.refusal : {}),
            ...fields,
            attempts: this.attempts,
            durationMs: Math.round(durationMs),
        });
    }
}
