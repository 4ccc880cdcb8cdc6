/**
 * Tracks what this host has observed of each endpoint: running requests, failures, reply times and silence. An endpoint
 * that can't be reached, breaks connections or sends nothing while replies are outstanding becomes suspect. It is
 * avoided until its silence ends, and after a failure for a backoff that grows with each one.
 */
import { Backoff } from "../common/Backoff.js";
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { FleetSource, FleetView, ListedEndpoint, Service, ServiceId } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { AttemptOutcome } from "./Types.js";

/** Weight of the newest attempt in moving averages. */
const newestWeight = 0.2;
/** Bounds of the backoff after failures. */
const initialBackoffMs = 250;
const maxBackoffMs = 4000;
/**
 * Pause after a failed connection that no other host could judge. It does not grow: on a host that is cut off while the
 * hosts beside it are slow, all endpoints would be avoided for seconds.
 */
const unconfirmedPauseMs = 250;
/** An endpoint with outstanding replies that sends nothing for this long becomes suspect. */
const maxSilenceMs = 700;
/** Pause after an endpoint refused a request for lack of a free slot. */
const busyPauseMs = 150;
/** A failed connection may mean a restart: the endpoint counts as cold for this long, until the list reports it. */
const assumedColdMs = 1500;
/** Consecutive broken requests that make an endpoint suspect; a single one may be caused by that request. */
const breaksUntilSuspect = 2;
/** Half-life of the failure share, and of what slows an endpoint; their decay lets an unused one be tried again. */
const failureHalfLifeMs = 3000;
const slownessHalfLifeMs = 1500;
/** A cancelled attempt that has lost against another one would have taken longer than it did: by this factor, it is assumed. */
const lostRaceFactor = 2;
/** Share by which a slower reply raises an endpoint's best time at most, so that this follows lasting changes only. */
const bestRiseShare = 0.02;

/**
 * Reachability of a data centre. When connections to several of its endpoints time out and none shows activity, it
 * counts as cut off, so that its other endpoints are not tried one by one.
 */
class DataCentreHealth {
    private lastActivityMs = -Infinity;
    private readonly timedOutMs = new Map<EndpointId, number>();
    /** When other hosts were last found not to reach it either, on the local clock. */
    private toldCutOffMs = -Infinity;
    private isToldCutOff = false;

    public constructor(private readonly clock: Clock) {}

    public get isCutOff(): boolean {
        if (this.isToldCutOff && this.lastActivityMs < this.toldCutOffMs) {
            return true;
        }
        const sinceMs = Math.max(this.lastActivityMs, this.clock.nowMs() - timeoutMemoryMs);
        let recent = 0;
        for (const atMs of this.timedOutMs.values()) {
            recent += atMs > sinceMs ? 1 : 0;
        }
        return recent >= timeoutsUntilCutOff;
    }

    public recordActivity(): void {
        this.lastActivityMs = this.clock.nowMs();
    }

    public recordTimeout(endpoint: EndpointId): void {
        this.timedOutMs.set(endpoint, this.clock.nowMs());
    }

    /** True when data has arrived from it within `withinMs`. */
    public isActive(withinMs: number): boolean {
        return this.clock.nowMs() - this.lastActivityMs < withinMs;
    }

    /** Sets whether hosts of this data centre report that they can't reach it. */
    public setToldCutOff(isToldCutOff: boolean): void {
        this.toldCutOffMs = isToldCutOff && !this.isToldCutOff ? this.clock.nowMs() : this.toldCutOffMs;
        this.isToldCutOff = isToldCutOff;
    }
}

/** Number of endpoints with timeouts at which a data centre counts as cut off, and how long each timeout counts. */
const timeoutsUntilCutOff = 2;
const timeoutMemoryMs = 1500;
/** Data from a data centre within this time contradicts reports that it can't be reached. */
const contradictionMs = 1000;
/** A time-out is reported if nothing has arrived from the data centre for this long; longer than a connect timeout. */
const quietMs = 250;

/** Observations of one endpoint. */
export class EndpointRecord {
    public listed: ListedEndpoint;
    /** End of the endpoint's cold start, on the local clock. */
    public coldUntilMs = 0;
    /** Running attempts, each with the time of its last activity. */
    public readonly running = new Map<object, number>();
    private averageFailure = 0;
    private failureUpdatedMs = 0;
    private averageReplyMs: number | undefined;
    private bestReplyMs: number | undefined;
    private repliedMs = 0;
    private readonly backoff: Backoff;
    private consecutiveBreaks = 0;
    private lastActivityMs = 0;

    public constructor(
        listed: ListedEndpoint,
        private readonly clock: Clock,
        private readonly dataCentreHealth: DataCentreHealth,
        private readonly notices: EndpointNotices,
    ) {
        this.listed = listed;
        this.backoff = new Backoff(clock, initialBackoffMs, maxBackoffMs);
    }

    public get id(): EndpointId {
        return this.listed.id;
    }

    /** Share of recent attempts that failed, in [0, 1]. */
    public get failureShare(): number {
        return this.averageFailure * 0.5 ** ((this.clock.nowMs() - this.failureUpdatedMs) / failureHalfLifeMs);
    }

    /**
     * Expected time to a complete reply, in milliseconds: the moving average, which approaches the best time while no
     * reply renews it. Undefined before the first one.
     */
    public get replyMs(): number | undefined {
        const { averageReplyMs: averageMs, bestReplyMs: bestMs } = this;
        if (averageMs === undefined || bestMs === undefined || averageMs <= bestMs) {
            return averageMs;
        }
        return bestMs + (averageMs - bestMs) * 0.5 ** ((this.clock.nowMs() - this.repliedMs) / slownessHalfLifeMs);
    }

    /** Time since the last complete reply, in milliseconds. */
    public get replyAgeMs(): number {
        return this.clock.nowMs() - this.repliedMs;
    }

    /** The least time to a complete reply lately, in milliseconds. Undefined before the first reply. */
    public get bestMs(): number | undefined {
        return this.bestReplyMs;
    }

    public get isCold(): boolean {
        return this.clock.nowMs() < this.coldUntilMs;
    }

    /** Time for which it must get no requests, since it has asked for a pause; 0 when it may get them. */
    public get pausedForMs(): number {
        return Math.max(0, this.notices.pauseEndMs(this.id) - this.clock.nowMs());
    }

    /** True while requests should go to other endpoints. */
    public get isSuspect(): boolean {
        return !this.backoff.isElapsed || this.isSilent || this.dataCentreHealth.isCutOff;
    }

    private get isSilent(): boolean {
        const nowMs = this.clock.nowMs();
        if (nowMs - this.lastActivityMs < maxSilenceMs) {
            return false;
        }
        for (const sinceMs of this.running.values()) {
            if (nowMs - sinceMs >= maxSilenceMs) {
                return true;
            }
        }
        return false;
    }

    /** Records that data has arrived for an attempt. */
    public recordActivity(attempt: object): void {
        this.lastActivityMs = this.clock.nowMs();
        this.dataCentreHealth.recordActivity();
        this.running.set(attempt, this.lastActivityMs);
    }

    /** Records that an attempt waits for its caller: that its endpoint sends nothing is then no sign of a fault. */
    public recordCallerWait(attempt: object, isWaiting: boolean): void {
        this.running.set(attempt, isWaiting ? Infinity : this.clock.nowMs());
    }

    /** Records the outcome of an attempt; returns the reason when it makes the endpoint suspect. */
    public recordOutcome(outcome: AttemptOutcome, takenMs: number, hasColdStart: boolean): string | undefined {
        switch (outcome.kind) {
            case "unsent":
                this.assumeCold(hasColdStart);
                if (outcome.isSilent) {
                    this.dataCentreHealth.recordTimeout(this.id);
                }
                if (outcome.isConfirmed === false) {
                    this.backoff.waitAtLeast(unconfirmedPauseMs);
                    return outcome.message;
                }
                return this.markSuspect(outcome.message);
            case "broken":
                this.updateFailureShare(1);
                this.consecutiveBreaks += 1;
                this.assumeCold(hasColdStart);
                return outcome.isSilent || this.consecutiveBreaks >= breaksUntilSuspect
                    ? this.markSuspect(outcome.message)
                    : undefined;
            case "not-run":
                if (outcome.status === misdirectedRequest) {
                    return this.markSuspect("another endpoint has taken over the address");
                }
                this.backoff.waitAtLeast(busyPauseMs);
                return undefined;
            case "replied":
                this.consecutiveBreaks = 0;
                this.backoff.recordSuccess();
                this.updateFailureShare(outcome.reply.status >= serverError ? 1 : 0);
                this.recordReplyTime(takenMs);
                return undefined;
            case "cancelled":
                if (outcome.hasLostRace === true && takenMs * lostRaceFactor > (this.replyMs ?? 0)) {
                    this.recordReplyTime(takenMs * lostRaceFactor);
                }
                return undefined;
        }
    }

    private assumeCold(hasColdStart: boolean): void {
        if (hasColdStart) {
            this.coldUntilMs = Math.max(this.coldUntilMs, this.clock.nowMs() + assumedColdMs);
        }
    }

    private recordReplyTime(takenMs: number): void {
        this.averageReplyMs = (this.replyMs ?? takenMs) * (1 - newestWeight) + takenMs * newestWeight;
        const bestMs = this.bestReplyMs ?? takenMs;
        this.bestReplyMs = Math.min(takenMs, bestMs * (1 + bestRiseShare));
        this.repliedMs = this.clock.nowMs();
    }

    private updateFailureShare(failed: number): void {
        this.averageFailure = this.failureShare * (1 - newestWeight) + failed * newestWeight;
        this.failureUpdatedMs = this.clock.nowMs();
    }

    private markSuspect(reason: string): string {
        this.backoff.recordFailure();
        return reason;
    }
}

const misdirectedRequest = 421;
const serverError = 500;

/** A running attempt at an endpoint. */
export interface RunningAttempt {
    readonly record: EndpointRecord;
    /** Records that data has arrived. */
    recordActivity(): void;
    /** Records whether the attempt waits for its caller to take data. */
    recordCallerWait(isWaiting: boolean): void;
    recordOutcome(outcome: AttemptOutcome): void;
}

/** The records of all listed endpoints. */
export class EndpointTracker {
    private readonly records = new Map<EndpointId, EndpointRecord>();
    private readonly byService = new Map<ServiceId, EndpointRecord[]>();
    private readonly dataCentres = new Map<DataCentreId, DataCentreHealth>();

    public constructor(
        private readonly fleet: FleetSource,
        private readonly notices: EndpointNotices,
        private readonly clock: Clock,
        private readonly log: EventLog,
        private readonly onRemoved: (endpoint: EndpointId) => void,
    ) {
        fleet.onChange(view => this.applyView(view));
    }

    /** Endpoints of a service that are not leaving and whose data centre is in use. */
    public usable(service: ServiceId): readonly EndpointRecord[] {
        const { dataCentresOut } = this.fleet.view();
        return (this.byService.get(service) ?? [])
            .filter(({ listed }) => !listed.isLeaving && !dataCentresOut.has(listed.dataCentre))
            .filter(({ id }) => !this.notices.isLeaving(id));
    }

    /** Address of an endpoint; undefined when it is no longer listed. */
    public addressOf(endpoint: EndpointId): string | undefined {
        return this.records.get(endpoint)?.listed.address;
    }

    /** Begins an attempt; the caller reports its activity and outcome through the returned object. */
    public startAttempt(record: EndpointRecord, service: Service | undefined): RunningAttempt {
        const attempt = {};
        const startMs = this.clock.nowMs();
        const hasColdStart = (service?.coldMs ?? 0) > 0;
        record.running.set(attempt, startMs);
        // Data that arrives after the outcome must not bring the attempt back.
        const isRunning = () => record.running.has(attempt);
        return {
            record,
            recordActivity: () => isRunning() && record.recordActivity(attempt),
            recordCallerWait: isWaiting => isRunning() && record.recordCallerWait(attempt, isWaiting),
            recordOutcome: outcome => {
                record.running.delete(attempt);
                const reason = record.recordOutcome(outcome, this.clock.nowMs() - startMs, hasColdStart);
                this.reportReach(record.listed, outcome);
                if (reason !== undefined) {
                    this.log.event(EventId.EndpointSuspected, { endpoint: record.id, reason });
                }
            },
        };
    }

    /**
     * Reports a time-out in a data centre that is otherwise quiet, and a reply from one that is told to be cut off. A
     * time-out of this host alone is not reported: a host that has lost its own paths meets them everywhere.
     */
    private reportReach(listed: ListedEndpoint, outcome: AttemptOutcome): void {
        const { dataCentre } = listed;
        const isActive = this.dataCentres.get(dataCentre)?.isActive(quietMs) === true;
        if (outcome.kind === "unsent" && outcome.isSilent && outcome.isConfirmed !== false && !isActive) {
            this.fleet.reportReach(listed, false);
        }
        else if (outcome.kind === "replied" && this.fleet.view().cutOff.has(dataCentre)) {
            this.fleet.reportReach(listed, true);
        }
    }

    /** Takes over which data centres are told to be cut off; contradicts where this host has just reached one. */
    private applyCuts({ cutOff }: FleetView): void {
        for (const [dataCentre, health] of this.dataCentres) {
            const isToldCutOff = cutOff.has(dataCentre);
            const [endpoint] = isToldCutOff && health.isActive(contradictionMs)
                ? [...this.records.values()].filter(one => one.listed.dataCentre === dataCentre)
                : [];
            health.setToldCutOff(isToldCutOff && endpoint === undefined);
            if (endpoint !== undefined) {
                this.fleet.reportReach(endpoint.listed, true);
            }
        }
    }

    private applyView(view: FleetView): void {
        this.applyCuts(view);
        const listed = new Set(view.endpoints.map(one => one.id));
        for (const id of this.records.keys()) {
            if (!listed.has(id)) {
                this.records.delete(id);
                this.onRemoved(id);
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
        const health = this.dataCentres.get(endpoint.dataCentre) ?? new DataCentreHealth(this.clock);
        this.dataCentres.set(endpoint.dataCentre, health);
        return new EndpointRecord(endpoint, this.clock, health, this.notices);
    }
}
