/**
 * Batches the pieces of one cell: queues submissions, sends full calls to endpoints as they become free, and delivers
 * the results to the submitters. The pieces of a call that fails or takes far too long return to the queue. A piece may
 * therefore run more than once; its first result counts.
 */
import { Left } from "purify-ts";
import type { Clock, DataCentreId, Disposable } from "../common/Types.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { BatchTraits, GatherPolicies, ListedEndpoint, ServiceId } from "../fleet/Types.js";
import type { EndpointSpeeds } from "../load/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { BatchCalls, type EndedCall } from "./BatchCalls.js";
import type { BatchEndpoint } from "./BatchEndpoint.js";
import { BatchEndpoints } from "./BatchEndpoints.js";
import { type CallTiming, SendAtOnce, WaitForFullerCalls } from "./CallTiming.js";
import { DemandMeter } from "./DemandMeter.js";
import { OpenSubmissions } from "./OpenSubmissions.js";
import { PieceQueue, type QueuedSubmission, type TakenPiece } from "./PieceQueue.js";
import { ResultRelease } from "./ResultRelease.js";
import { SourcePlacement } from "./SourcePlacement.js";
import { CellStorageClaims, NoClaims, type StorageClaims } from "./StorageClaims.js";
import { StorageReports } from "./StorageReports.js";
import type {
    CellWaits,
    PieceClient,
    PieceOutcome,
    PieceResult,
    Submission,
    SubmissionError,
    SubmissionId,
    SubmissionOutcome,
} from "./Types.js";
import { minRetryMs, WaitEstimator } from "./WaitEstimator.js";

const noPolicies: GatherPolicies = { reservesStorage: false, fillsCalls: false };
/** Longest time between two runs of the dispatcher while pieces are queued. */
const maxDispatchDelayMs = 100;
/** The wait reported to submitters is that of a submission with this much time before its latest start. */
const typicalSlackMs = 500;

interface CellGathererOptions {
    readonly service: ServiceId;
    readonly traits: () => BatchTraits | undefined;
    readonly client: PieceClient;
    readonly notices: EndpointNotices;
    readonly speeds?: EndpointSpeeds | undefined;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly policies?: GatherPolicies | undefined;
}

export class CellGatherer {
    private readonly queue = new PieceQueue();
    private readonly demand: DemandMeter;
    private readonly endpoints: BatchEndpoints;
    private readonly estimator: WaitEstimator;
    private readonly placement: SourcePlacement;
    private readonly open: OpenSubmissions;
    private readonly release: ResultRelease;
    private readonly calls: BatchCalls;
    private readonly timing: CallTiming;
    private readonly claims: StorageClaims;
    /** Undefined when storage is not learnt from reports. */
    private readonly reports: StorageReports | undefined;
    private dispatchTimer: Disposable | undefined;

    public constructor(private readonly options: CellGathererOptions) {
        this.demand = new DemandMeter(options.clock);
        this.endpoints = new BatchEndpoints(options.clock, options.notices, options.speeds);
        this.estimator = new WaitEstimator(this.queue, this.endpoints, this.demand, options.clock);
        this.placement = new SourcePlacement(this.queue, this.endpoints, options.clock);
        this.release = new ResultRelease({ ...options, onFreed: () => this.dispatch() });
        this.open = new OpenSubmissions(this.queue, results => this.free(results));
        this.calls = new BatchCalls(options);
        const { reservesStorage, fillsCalls } = options.policies ?? noPolicies;
        this.timing = fillsCalls ? new WaitForFullerCalls() : new SendAtOnce();
        this.claims = reservesStorage ? new CellStorageClaims(this.queue, this.endpoints) : new NoClaims();
        this.reports = reservesStorage
            ? new StorageReports({ ...options, onLearned: () => this.dispatch() })
            : undefined;
    }

    /** Sets the endpoints that may receive calls, and dispatches to them. */
    public setEndpoints(endpoints: readonly ListedEndpoint[]): void {
        const added = this.endpoints.setEndpoints(endpoints);
        added.forEach(one => this.reports?.learnNew(one));
        this.dispatch();
    }

    /** Ends all submissions as moved, since the endpoint list has changed and this cell no longer exists. */
    public abandon(): void {
        this.open.failAll({ kind: "moved", message: "the cell no longer exists" });
    }

    /**
     * Queues a submission, or refuses it at once when it can't be completed in time. `deliver` is called with its
     * outcome.
     */
    public submit(submission: Submission, deliver: (outcome: SubmissionOutcome) => void): void {
        const { clock } = this.options;
        const nowMs = clock.nowMs();
        if (this.open.has(submission.id)) {
            return;
        }
        this.demand.record(submission.pieces.length);
        const waiting: QueuedSubmission = {
            submission,
            startByMs: nowMs + submission.startInMs,
            deadlineMs: nowMs + submission.remainingMs,
            pieces: [...submission.pieces],
            isStarted: false,
            dataCentre: submission.dataCentre,
            unreachableFrom: new Set(submission.notIn),
        };
        if (!this.placement.place(waiting)) {
            deliver(Left(sourceGoneError));
            return;
        }
        const traits = this.options.traits();
        const refusal = traits === undefined ? undefined : this.estimator.refusalFor(waiting, traits);
        if (refusal !== undefined) {
            deliver(Left(refusal));
            return;
        }
        this.open.add(waiting, deliver);
        this.dispatch();
    }

    /** Drops a submission without delivering an outcome, and frees its results. */
    public cancel(id: SubmissionId): void {
        this.open.cancel(id);
    }

    /** Frees results at the endpoints that hold them. */
    public free(results: readonly PieceResult[]): void {
        this.endpoints.groupByHolder(results).forEach((held, endpoint) => this.release.add(endpoint, held));
    }

    /** Estimated waits of typical new submissions, as reported to submitters. */
    public typicalWaits(): CellWaits {
        const traits = this.options.traits();
        if (traits === undefined) {
            return { onTimeMs: 0, lateMs: 0 };
        }
        const startByMs = this.options.clock.nowMs() + typicalSlackMs;
        const onTime = { startByMs, deadlineMs: Infinity, submission: { priority: 0, restMs: 0 } };
        const late = { startByMs: -Infinity, deadlineMs: Infinity, submission: { priority: Infinity, restMs: 0 } };
        return {
            onTimeMs: this.estimator.waitMs(traits, onTime),
            lateMs: this.estimator.waitMs(traits, late, true),
        };
    }

    /** Dispatches queued pieces to free endpoints, after ending submissions that can't meet their deadline. */
    private dispatch(): void {
        const traits = this.options.traits();
        if (traits === undefined) {
            return;
        }
        for (const { waiting, error } of this.estimator.infeasible(traits)) {
            this.open.fail(waiting.submission.id, error);
        }
        const served = this.endpoints.healthyDataCentres();
        const held = new Set<BatchEndpoint>();
        let holdMs = maxDispatchDelayMs;
        while (this.queue.size > 0) {
            const endpoint = this.endpoints.next(traits, this.queue.size, held);
            if (endpoint === undefined) {
                break;
            }
            const waitMs = this.startCall(endpoint, traits, served);
            if (waitMs > 0) {
                held.add(endpoint);
                holdMs = Math.min(holdMs, waitMs);
            }
        }
        this.scheduleDispatch(traits, held, holdMs);
    }

    /** Starts the next call of a free endpoint; returns how long the call waits for more pieces instead, else 0. */
    private startCall(endpoint: BatchEndpoint, traits: BatchTraits, served: ReadonlySet<DataCentreId>): number {
        const nowMs = this.options.clock.nowMs();
        const { dataCentre } = endpoint.listed;
        const limits = {
            pieces: traits.batch,
            availableBytes: endpoint.storage.availableBytes(traits),
            dataCentre,
            served,
            startable: this.claims.startable(dataCentre, traits),
        };
        if (endpoint.isSuspect) {
            this.runCall(endpoint, this.queue.peekFirst(limits, nowMs), traits);
            return 0;
        }
        const selection = this.queue.select(limits, nowMs);
        endpoint.heldSinceMs ??= nowMs;
        const holdMs = selection.pieces === 0 ? 0 : this.timing.holdMs({
            selection,
            queued: this.queue.size,
            batch: traits.batch,
            callMs: traits.callMs,
            nowMs,
            heldMs: nowMs - endpoint.heldSinceMs,
            demandPerMs: this.demand.piecesPerMs(),
            capacityPerMs: this.endpoints.piecesPerMs(traits),
        });
        if (holdMs >= 1) {
            return holdMs;
        }
        endpoint.heldSinceMs = undefined;
        this.runCall(endpoint, this.queue.takeSelected(selection, dataCentre), traits);
        return 0;
    }

    private scheduleDispatch(traits: BatchTraits, held: ReadonlySet<BatchEndpoint>, holdMs: number): void {
        this.dispatchTimer?.dispose();
        if (this.queue.size > 0) {
            const waits = this.endpoints.usable()
                .filter(endpoint => endpoint.runningCalls < traits.slots && !held.has(endpoint))
                .map(endpoint => endpoint.nextCallMs - this.options.clock.nowMs());
            const waitMs = Math.max(1, Math.min(...waits, holdMs));
            this.dispatchTimer = this.options.clock.setTimer(waitMs, () => this.dispatch());
        }
    }

    private runCall(endpoint: BatchEndpoint, taken: readonly TakenPiece[], traits: BatchTraits): void {
        if (taken.length === 0) {
            endpoint.recordIdle();
            return;
        }
        const onLate = () => {
            this.open.requeue(taken, false);
            this.dispatch();
        };
        const handled = this.calls.run(endpoint, taken, traits, onLate).then(ended => {
            const outcome = ended.isReplyLost
                ? this.handleLostReply(endpoint, taken, ended, traits)
                : this.handleReply(endpoint, taken, ended);
            this.options.log.event(EventId.BatchEnded, {
                service: this.options.service,
                endpoint: endpoint.id,
                pieces: taken.length,
                requests: [...new Set(taken.map(({ waiting }) => waiting.submission.request))],
                waiting: this.queue.size,
                expectedMs: Math.round(ended.expectedMs),
                takenMs: Math.round(ended.takenMs),
                outcome,
            });
            this.dispatch();
        });
        inBackground(this.options.log, "batch-call", handled);
    }

    /** Handles a lost reply: the results of the call exist at the endpoint, but their handles are unknown. */
    private handleLostReply(
        endpoint: BatchEndpoint,
        taken: readonly TakenPiece[],
        { bytes }: EndedCall,
        traits: BatchTraits,
    ): string {
        endpoint.recordLostReply();
        this.countLost(endpoint, bytes, traits);
        this.open.requeue(taken, false);
        return "the endpoint works on nothing, its reply was lost";
    }

    /** Counts storage that the results of a call without a reply may occupy, until the endpoint reports what is free. */
    private countLost(endpoint: BatchEndpoint, bytes: number, traits: BatchTraits): void {
        endpoint.storage.addLost(bytes, traits);
        this.reports?.learnAfterLoss(endpoint);
    }

    /**
     * Delivers the results of a call and requeues the other pieces; returns a description of the outcome for the log.
     */
    private handleReply(
        endpoint: BatchEndpoint,
        taken: readonly TakenPiece[],
        { outcome: callOutcome, takenMs, availableBytes, bytes }: EndedCall,
    ): string {
        const traits = this.options.traits();
        if (callOutcome.kind !== "replied" || traits === undefined) {
            if (callOutcome.kind === "full" || callOutcome.kind === "unproven") {
                endpoint.recordBusy();
            }
            else if (callOutcome.kind === "limited") {
                endpoint.waitAtLeast(callOutcome.waitMs);
            }
            else {
                endpoint.recordFailure();
            }
            const mayHaveRun = callOutcome.kind === "broken" || callOutcome.kind === "unproven";
            if (mayHaveRun && this.reports !== undefined && traits !== undefined) {
                // Results that no record counts led to calls without room.
                this.countLost(endpoint, bytes, traits);
            }
            this.open.requeue(taken, callOutcome.kind === "broken");
            return callOutcome.kind === "replied" ? "the service is no longer configured" : callOutcome.message;
        }
        const isComplete = callOutcome.outcomes.every(one => one.kind === "made");
        // Failed pieces take no time, so that a call with failures says nothing about the endpoint's speed.
        endpoint.recordSuccess(isComplete ? takenMs / (traits.callMs + taken.length * traits.pieceMs) : undefined);
        taken.forEach((piece, at) => this.handlePieceOutcome(endpoint, piece, callOutcome.outcomes[at], traits));
        this.moveFromUnreachable(endpoint, taken, callOutcome.outcomes);
        const faults = callOutcome.outcomes.flatMap(one => (one.kind === "fault" ? [one.fault] : []));
        if (faults.includes("room")) {
            this.reports?.learnAfterLoss(endpoint);
            const made = taken.filter((_, at) => callOutcome.outcomes[at]?.kind === "made");
            endpoint.recordStorageShortage(
                availableBytes,
                made.reduce((sum, { waiting }) => sum + waiting.submission.resultBytes, 0),
            );
        }
        return faults.length === 0 ? "made" : `made, ${faults.length} failed: ${[...new Set(faults)].join(", ")}`;
    }

    private handlePieceOutcome(
        endpoint: BatchEndpoint,
        taken: TakenPiece,
        outcome: PieceOutcome | undefined,
        traits: BatchTraits,
    ): void {
        const { submission } = taken.waiting;
        if (outcome?.kind === "made") {
            const { dataCentre } = endpoint.listed;
            const { resultBytes: bytes } = submission;
            endpoint.storage.add(outcome.handle, bytes, traits);
            this.open.addResult(taken, { handle: outcome.handle, endpoint: endpoint.id, dataCentre, bytes });
            return;
        }
        const fault = outcome?.fault ?? "error";
        if (fault === "gone") {
            if (this.placement.moveElsewhere(taken.waiting, endpoint.listed.dataCentre)) {
                this.open.requeue([taken], false);
            }
            else {
                this.open.fail(submission.id, sourceGoneError);
            }
        }
        else if (fault === "late") {
            const message = "the deadline passed before the call's turn";
            this.open.fail(submission.id, { kind: "overloaded", message, retryAfterMs: minRetryMs });
        }
        else {
            this.open.requeue([taken], fault === "error");
        }
    }

    /** Moves queued submissions away from sources that a call could not fetch, and ends those that can't move. */
    private moveFromUnreachable(
        endpoint: BatchEndpoint,
        taken: readonly TakenPiece[],
        outcomes: readonly PieceOutcome[],
    ): void {
        const { dataCentre } = endpoint.listed;
        const { makers, affected, unplaceable } = this.placement.recordCall(taken, outcomes, dataCentre);
        if (makers.length === 0) {
            return;
        }
        this.options.log.event(EventId.ResultsLost, {
            service: this.options.service,
            makers,
            dataCentre,
            requests: affected.map(({ submission }) => submission.request),
            ended: unplaceable.length,
        });
        unplaceable.forEach(({ submission }) => this.open.fail(submission.id, sourceGoneError));
    }
}

const sourceGoneError: SubmissionError = {
    kind: "source-gone",
    message: "a result of an earlier stage no longer exists",
};
