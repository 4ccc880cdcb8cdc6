/**
 * What this host has seen of each endpoint: requests that run there, failures, times and silence. An endpoint that
 * can't be reached, breaks requests off or gives nothing while it owes replies is suspected and left out until it has
 * shown a sign of life, or for a pause that grows with each failure.
 */
import { Backoff } from "../common/Backoff.js";
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { FleetSource, FleetView, ListedEndpoint, Service, ServiceId } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { AttemptOutcome } from "./Types.js";

/** Weight of the newest attempt in averages. */
const newestWeight = 0.2;
const firstPauseMs = 250;
const longestPauseMs = 4000;
/** An endpoint that owes replies and gives nothing for this long is suspected. */
const silentMs = 700;
/** Pause after an endpoint had no place for a request. */
const fullPauseMs = 150;
/** A refused or broken connection tells of a restart: the endpoint may be cold for this long before the list says so. */
const assumedColdMs = 1500;
/** Breaks in a row that make an endpoint suspect; a single one may be that request's own. */
const breaksUntilSuspect = 2;
/** Failures are forgotten to a half in this time, so that an endpoint that is not used is tried again. */
const failureHalfLifeMs = 3000;

/**
 * Signs of a data centre's endpoints. When several of them can't be reached and none gives a sign, the way there is cut,
 * and the others are not tried one by one.
 */
class DataCentreHealth {
    private signMs = -Infinity;
    private readonly silent = new Map<EndpointId, number>();

    public constructor(private readonly clock: Clock) {}

    public get isCut(): boolean {
        const sinceMs = Math.max(this.signMs, this.clock.nowMs() - cutMemoryMs);
        let recent = 0;
        for (const atMs of this.silent.values()) {
            recent += atMs > sinceMs ? 1 : 0;
        }
        return recent >= silentUntilCut;
    }

    public sign(): void {
        this.signMs = this.clock.nowMs();
    }

    public noteSilent(endpoint: EndpointId): void {
        this.silent.set(endpoint, this.clock.nowMs());
    }
}

/** Endpoints of one data centre that can't be reached until it counts as cut off, and for how long they count. */
const silentUntilCut = 2;
const cutMemoryMs = 1500;

export class EndpointRecord {
    public listed: ListedEndpoint;
    public coldUntilMs = 0;
    /** Attempts under way, with the time of their last sign. */
    public readonly running = new Map<object, number>();
    private failing = 0;
    private failingAtMs = 0;
    private averageMs: number | undefined;
    private readonly pause: Backoff;
    private breaks = 0;
    private signMs = 0;

    public constructor(
        listed: ListedEndpoint,
        private readonly clock: Clock,
        private readonly centre: DataCentreHealth,
    ) {
        this.listed = listed;
        this.pause = new Backoff(clock, firstPauseMs, longestPauseMs);
    }

    public get id(): EndpointId {
        return this.listed.id;
    }

    /** Share of attempts that failed lately, in [0, 1]. */
    public get failureShare(): number {
        return this.failing * 0.5 ** ((this.clock.nowMs() - this.failingAtMs) / failureHalfLifeMs);
    }

    /** Average time of whole replies, in milliseconds. */
    public get replyMs(): number | undefined {
        return this.averageMs;
    }

    public get isCold(): boolean {
        return this.clock.nowMs() < this.coldUntilMs;
    }

    /** True while requests should go elsewhere. */
    public get isSuspect(): boolean {
        return !this.pause.isElapsed || this.isSilent || this.centre.isCut;
    }

    private get isSilent(): boolean {
        const nowMs = this.clock.nowMs();
        if (nowMs - this.signMs < silentMs) {
            return false;
        }
        for (const sinceMs of this.running.values()) {
            if (nowMs - sinceMs >= silentMs) {
                return true;
            }
        }
        return false;
    }

    /** The endpoint has given something for an attempt. */
    public recordActivity(attempt: object): void {
        this.signMs = this.clock.nowMs();
        this.centre.sign();
        this.running.set(attempt, this.signMs);
    }

    /** Takes note of an attempt's end; gives why the endpoint is suspected now, if it is. */
    public recordOutcome(end: AttemptOutcome, takenMs: number, hasColdStart: boolean): string | undefined {
        switch (end.kind) {
            case "unsent":
                this.assumeCold(hasColdStart);
                if (end.isSilent) {
                    this.centre.noteSilent(this.id);
                }
                return this.suspect(end.message);
            case "broken":
                this.countFailure(1);
                this.breaks += 1;
                this.assumeCold(hasColdStart);
                return end.isSilent || this.breaks >= breaksUntilSuspect ? this.suspect(end.message) : undefined;
            case "not-run":
                if (end.status === misdirected) {
                    return this.suspect("another endpoint has the address");
                }
                this.pause.waitAtLeast(fullPauseMs);
                return undefined;
            case "replied":
                this.breaks = 0;
                this.pause.recordSuccess();
                this.countFailure(end.reply.status >= serverError ? 1 : 0);
                this.averageMs = (this.averageMs ?? takenMs) * (1 - newestWeight) + takenMs * newestWeight;
                return undefined;
            case "cancelled":
                return undefined;
        }
    }

    private assumeCold(hasColdStart: boolean): void {
        if (hasColdStart) {
            this.coldUntilMs = Math.max(this.coldUntilMs, this.clock.nowMs() + assumedColdMs);
        }
    }

    private countFailure(failed: number): void {
        this.failing = this.failureShare * (1 - newestWeight) + failed * newestWeight;
        this.failingAtMs = this.clock.nowMs();
    }

    private suspect(reason: string): string {
        this.pause.recordFailure();
        return reason;
    }
}

const misdirected = 421;
const serverError = 500;

/** One attempt that runs at an endpoint. */
export interface RunningAttempt {
    readonly record: EndpointRecord;
    recordActivity(): void;
    recordOutcome(end: AttemptOutcome): void;
}

export class EndpointTracker {
    private readonly records = new Map<EndpointId, EndpointRecord>();
    private readonly byService = new Map<ServiceId, EndpointRecord[]>();
    private readonly centres = new Map<DataCentreId, DataCentreHealth>();

    public constructor(
        private readonly fleet: FleetSource,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly onGone: (endpoint: EndpointId) => void,
    ) {
        fleet.onChange(view => this.takeView(view));
    }

    /** Endpoints of a service that may be given work by what the fleet knows. */
    public usable(service: ServiceId): readonly EndpointRecord[] {
        const { dataCentresOut } = this.fleet.view();
        return (this.byService.get(service) ?? [])
            .filter(({ listed }) => !listed.isLeaving && !dataCentresOut.has(listed.dataCentre));
    }

    /** Where an endpoint is dialled; undefined once it is gone. */
    public addressOf(endpoint: EndpointId): string | undefined {
        return this.records.get(endpoint)?.listed.address;
    }

    public startAttempt(record: EndpointRecord, service: Service | undefined): RunningAttempt {
        const key = {};
        const startMs = this.clock.nowMs();
        const hasColdStart = (service?.coldMs ?? 0) > 0;
        record.running.set(key, startMs);
        return {
            record,
            recordActivity: () => record.recordActivity(key),
            recordOutcome: end => {
                record.running.delete(key);
                const reason = record.recordOutcome(end, this.clock.nowMs() - startMs, hasColdStart);
                if (reason !== undefined) {
                    this.log.event(EventId.EndpointSuspected, { endpoint: record.id, reason });
                }
            },
        };
    }

    private takeView(view: FleetView): void {
        const listed = new Set(view.endpoints.map(one => one.id));
        for (const id of this.records.keys()) {
            if (!listed.has(id)) {
                this.records.delete(id);
                this.onGone(id);
            }
        }
        this.byService.clear();
        for (const endpoint of view.endpoints) {
            const record = this.records.get(endpoint.id) ?? this.newRecord(endpoint);
            this.records.set(endpoint.id, record);
            record.listed = endpoint;
            if (endpoint.coldLeftMs > 0) {
                record.coldUntilMs = Math.max(record.coldUntilMs, view.endpointsReadMs + endpoint.coldLeftMs);
            }
            const ofService = this.byService.get(endpoint.service) ?? [];
            ofService.push(record);
            this.byService.set(endpoint.service, ofService);
        }
    }

    private newRecord(endpoint: ListedEndpoint): EndpointRecord {
        const centre = this.centres.get(endpoint.dataCentre) ?? new DataCentreHealth(this.clock);
        this.centres.set(endpoint.dataCentre, centre);
        return new EndpointRecord(endpoint, this.clock, centre);
    }
}
