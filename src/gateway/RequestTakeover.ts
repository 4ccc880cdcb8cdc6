/**
 * Finds the endpoint that takes a request over from a silent one. A sound endpoint may be silent for a while, so an
 * attempt is given up only once all that the next one needs is there: the results of the stages, a reachable endpoint,
 * its permit and a retry.
 */
import type { Clock, EndpointId } from "../common/Types.js";
import type { ProbeResult } from "../endpoints/EndpointConnections.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { EndpointSelection, PermittedChoice } from "./EndpointSelection.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import type { RequestStages } from "./RequestStages.js";

interface RequestTakeoverOptions {
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Id of the request. */
    readonly request: string;
    readonly selection: EndpointSelection;
    readonly clock: Clock;
    readonly stages: Pick<RequestStages, "hasResults" | "free">;
    /** Runs the stages unless their results are available; false when that is not possible. */
    readonly runStages: () => Promise<boolean>;
    /** Finds out whether an endpoint accepts connections. */
    readonly probe: (endpoint: EndpointId) => Promise<ProbeResult>;
    /** Endpoints that may get the request. */
    readonly usable: () => readonly EndpointRecord[];
    /** Endpoints that get no further attempt. */
    readonly tried: () => ReadonlySet<EndpointRecord>;
    /** Number of attempts that are running. */
    readonly running: () => number;
    /** True while another attempt is allowed and could bring its answer before the caller leaves. */
    readonly mayMove: () => boolean;
    /** Counts a retry; false when the budget does not allow it. */
    readonly acquireRetry: () => boolean;
}

/** Why a request stays at a silent endpoint, for the log; see docs/EVENTS.md. */
type StayReason = "not-allowed" | "no-endpoint" | "stages" | "unreachable" | "resumed";

export class RequestTakeover {
    private choice: PermittedChoice | undefined;
    private hasLoggedStay = false;
    private hasEnded = false;
    /** True after the stages have run while no other endpoint could take the request; they do not run for another try. */
    private hasRunInVain = false;
    /** Resolves once no reservation is being made. */
    private reserving: Promise<unknown> = Promise.resolve();

    public constructor(private readonly options: RequestTakeoverOptions) {}

    /** True when an endpoint has been reserved, and a retry counted, for the next attempt. */
    public get isReserved(): boolean {
        return this.choice !== undefined;
    }

    /**
     * Reserves an endpoint that can take the request from `silent` now. When it returns true, the attempt there must be
     * given up. It returns false when there is no such endpoint, or when `isSilent` no longer holds.
     */
    public reserve(silent: EndpointRecord, isSilent: () => boolean): Promise<boolean> {
        const reserved = this.reserveUnlessStaying(silent, isSilent);
        this.reserving = Promise.allSettled([this.reserving, reserved]);
        return reserved;
    }

    /** Resolves once no reservation is being made, so that its stages do not run beside those of the next attempt. */
    public async settle(): Promise<void> {
        await this.reserving;
    }

    /** Releases what is reserved. Results of stages that are still running are freed once these have ended. */
    public end(): void {
        this.hasEnded = true;
        this.take()?.permit.place?.release(false);
    }

    private async reserveUnlessStaying(silent: EndpointRecord, isSilent: () => boolean): Promise<boolean> {
        const { stages, running } = this.options;
        const hadResults = stages.hasResults;
        const reason = await this.tryReserve(silent, isSilent);
        if (reason === undefined) {
            return true;
        }
        // Without a running attempt, the next one uses the results.
        if (this.hasEnded || !hadResults && running() > 0) {
            this.hasRunInVain ||= stages.hasResults && reason !== "resumed";
            stages.free();
        }
        this.recordStay(silent, reason);
        return false;
    }

    private async tryReserve(silent: EndpointRecord, isSilent: () => boolean): Promise<StayReason | undefined> {
        const { running, tried, mayMove, runStages, acquireRetry } = this.options;
        const excluded = new Set([...tried(), silent]);
        if (!mayMove()) {
            return "not-allowed";
        }
        if (running() > 1) {
            // The other attempt goes on.
            return undefined;
        }
        if (this.trusted().every(one => excluded.has(one))) {
            return "no-endpoint";
        }
        if (this.hasRunInVain || !await runStages()) {
            return "stages";
        }
        const choice = await this.findReachable(excluded, isSilent);
        if (choice !== undefined && isSilent() && mayMove() && acquireRetry()) {
            this.choice = choice;
            return undefined;
        }
        choice?.permit.place?.release(false);
        return !isSilent() ? "resumed" : choice === undefined ? "unreachable" : "not-allowed";
    }

    private recordStay({ id }: EndpointRecord, reason: StayReason): void {
        const { log, metrics, request } = this.options;
        metrics.count("silent_attempts_kept", { reason });
        if (!this.hasLoggedStay) {
            this.hasLoggedStay = true;
            log.event(EventId.SilentAttemptKept, { request, endpoint: id, reason });
        }
    }

    /** Returns the reserved endpoint, once. */
    public take(): PermittedChoice | undefined {
        const { choice } = this;
        this.choice = undefined;
        return choice;
    }

    /** Suspect endpoints are no better than the silent one. */
    private trusted(): readonly EndpointRecord[] {
        return this.options.usable().filter(one => !one.isSuspect);
    }

    private async findReachable(
        excluded: Set<EndpointRecord>,
        isSilent: () => boolean,
    ): Promise<PermittedChoice | undefined> {
        const { selection, clock, probe } = this.options;
        while (isSilent()) {
            const choice = await selection.choose(() => this.trusted(), excluded, clock.nowMs());
            if (choice === undefined || await probe(choice.record.id) === "reached") {
                return choice;
            }
            choice.permit.place?.release(false);
            excluded.add(choice.record);
        }
        return undefined;
    }
}
