/**
 * Gathers the pieces of one cell of a service: keeps those that wait in order, sends full calls to endpoints as they get
 * free, and tells each submitter its results. A call that fails or takes far too long gives its pieces back to the
 * queue: a piece may be made again, and the first result counts.
 */
import { Left, Right } from "purify-ts";
import type { Clock, DataCentreId, Disposable } from "../common/Types.js";
import type { BatchTraits, ListedEndpoint, ServiceId } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { BatchEndpoint } from "./BatchEndpoint.js";
import { BatchEndpoints } from "./BatchEndpoints.js";
import { CallMonitor } from "./CallMonitor.js";
import { DemandMeter } from "./DemandMeter.js";
import { PieceQueue, type QueuedSubmission, type TakenPiece } from "./PieceQueue.js";
import type {
    CallOutcome,
    PieceClient,
    PieceOutcome,
    PieceResult,
    Submission,
    SubmissionError,
    SubmissionId,
    SubmissionOutcome,
} from "./Types.js";
import { UnreachableSources } from "./UnreachableSources.js";
import { shortestRetryMs, WaitEstimator } from "./WaitEstimator.js";

/** A call is given up at this many times its expected time and a constant for the ways. */
const giveUpFactor = 4;
const giveUpExtraMs = 1000;
/** Calls that may fail for one submission. */
const mostFailures = 4;
/** How often what waits is looked through. */
const wakeMs = 100;
/** Submitters are told the wait of a submission with this much time before its latest start. */
const usualSlackMs = 500;

interface Open {
    readonly submission: Submission;
    readonly waiting: QueuedSubmission;
    readonly results: Map<number, PieceResult>;
    readonly deliver: (end: SubmissionOutcome) => void;
    failures: number;
}

interface CellGathererOptions {
    readonly service: ServiceId;
    readonly traits: () => BatchTraits | undefined;
    readonly client: PieceClient;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class CellGatherer {
    private readonly queue = new PieceQueue();
    private readonly demand: DemandMeter;
    private readonly desks: BatchEndpoints;
    private readonly estimate: WaitEstimator;
    private readonly lostMakers: UnreachableSources;
    private readonly open = new Map<SubmissionId, Open>();
    private wakeTimer: Disposable | undefined;

    public constructor(private readonly options: CellGathererOptions) {
        this.demand = new DemandMeter(options.clock);
        this.desks = new BatchEndpoints(options.clock);
        this.estimate = new WaitEstimator(this.queue, this.desks, this.demand, options.clock);
        this.lostMakers = new UnreachableSources(options.clock);
    }

    /** Names the endpoints that may be used now. */
    public setEndpoints(endpoints: readonly ListedEndpoint[]): void {
        this.desks.setEndpoints(endpoints);
        this.pump();
    }

    /** Gives back all that waits, since the list has divided the service anew and this cell is no more. */
    public abandon(): void {
        for (const id of [...this.open.keys()]) {
            this.end(id, { kind: "moved", message: "the cell is no more" });
        }
    }

    /** Takes a submission; refuses it at once when it can't be made in time. */
    public submit(submission: Submission, deliver: (end: SubmissionOutcome) => void): void {
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
        const served = [...this.desks.healthyDataCentres()];
        const lostFrom = served.filter(one => this.lostMakers.isUnreachable(submission.source, one));
        const isNowhere = served.length > 0 && served.every(one => waiting.unreachableFrom.has(one));
        if (isNowhere || lostFrom.some(one => !this.leave(waiting, one))) {
            deliver(Left(sourceGone));
            return;
        }
        const traits = this.options.traits();
        const refusal = traits === undefined ? undefined : this.estimate.refusalFor(waiting, traits);
        if (refusal !== undefined) {
            deliver(Left(refusal));
            return;
        }
        this.open.set(submission.id, { submission, waiting, results: new Map(), deliver, failures: 0 });
        this.queue.add(waiting);
        this.pump();
    }

    public cancel(id: SubmissionId): void {
        this.queue.remove(id);
        const open = this.open.get(id);
        this.open.delete(id);
        if (open !== undefined) {
            void this.free([...open.results.values()]);
        }
    }

    /** Gives up results at their makers. */
    public async free(results: readonly PieceResult[]): Promise<void> {
        await Promise.all([...this.desks.handlesAt(results)].map(([desk, handles]) => this.freeAt(desk, handles)));
        this.pump();
    }

    /** Estimated wait of a new submission of the usual kind, as submitters are told it. */
    public typicalWaitMs(): number {
        const traits = this.options.traits();
        const startByMs = this.options.clock.nowMs() + usualSlackMs;
        return traits === undefined ? 0 : this.estimate.waitMs(traits, startByMs, Infinity, 0);
    }

    /** Starts as many calls as there are free endpoints and waiting pieces. */
    private pump(): void {
        const traits = this.options.traits();
        if (traits === undefined) {
            return;
        }
        for (const { waiting, error } of this.estimate.infeasible(traits)) {
            this.end(waiting.submission.id, error);
        }
        const served = this.desks.healthyDataCentres();
        while (this.queue.size > 0) {
            const desk = this.desks.next(traits, this.queue.size);
            if (desk === undefined) {
                break;
            }
            const nowMs = this.options.clock.nowMs();
            const limits = {
                pieces: traits.batch,
                availableBytes: desk.availableBytes(traits),
                dataCentre: desk.endpoint.dataCentre,
                served,
            };
            const taken = desk.isSuspect ? this.queue.peekFirst(limits, nowMs) : this.queue.take(limits, nowMs);
            if (taken.length === 0) {
                desk.recordIdle();
                continue;
            }
            void this.call(desk, taken, traits);
        }
        this.planWake(traits);
    }

    private planWake(traits: BatchTraits): void {
        this.wakeTimer?.dispose();
        if (this.queue.size > 0) {
            const waits = this.desks.usable()
                .filter(desk => desk.calls < traits.slots)
                .map(desk => desk.pausedUntilMs - this.options.clock.nowMs());
            const waitMs = Math.max(1, Math.min(...waits, wakeMs));
            this.wakeTimer = this.options.clock.setTimer(waitMs, () => this.pump());
        }
    }

    private async call(desk: BatchEndpoint, taken: readonly TakenPiece[], traits: BatchTraits): Promise<void> {
        const { clock, log, metrics, service } = this.options;
        const bytes = taken.reduce((sum, { waiting }) => sum + waiting.submission.resultBytes, 0);
        const startMs = clock.nowMs();
        const expectedMs = desk.expectedMs(traits, taken.length);
        const roomBytes = desk.availableBytes(traits);
        desk.callStarted(bytes);
        const lost = new AbortController();
        const suspected = (reason: string) =>
            log.event(EventId.BatchEndpointSuspected, { service, endpoint: desk.id, reason, expectedMs });
        const watch = new CallMonitor({
            endpoint: desk.endpoint,
            client: this.options.client,
            clock,
            expectedMs,
            onLate: reason => {
                desk.recordFailure();
                suspected(reason);
                this.giveBack(taken, false);
                this.pump();
            },
            onLost: () => {
                suspected("reply-lost");
                lost.abort();
            },
        });
        const end = await this.send(desk, taken, expectedMs * giveUpFactor + giveUpExtraMs, lost.signal);
        watch.dispose();
        desk.callEnded(bytes);
        const takenMs = clock.nowMs() - startMs;
        const outcome = lost.signal.aborted
            ? this.takeLoss(desk, taken, bytes, traits)
            : this.takeEnd(desk, taken, end, { takenMs, roomBytes });
        metrics.count("batches", { service, outcome: end.kind });
        metrics.count("batch_pieces", { service }, taken.length);
        metrics.latency("batch", takenMs, { service });
        log.event(EventId.BatchEnded, {
            service,
            endpoint: desk.id,
            pieces: taken.length,
            requests: [...new Set(taken.map(({ waiting }) => waiting.submission.request))],
            waiting: this.queue.size,
            expectedMs: Math.round(expectedMs),
            takenMs: Math.round(takenMs),
            outcome,
        });
        this.pump();
    }

    private send(
        desk: BatchEndpoint,
        taken: readonly TakenPiece[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        const nowMs = this.options.clock.nowMs();
        const calls = taken.map(({ waiting, piece }) => ({
            request: waiting.submission.request,
            stage: waiting.submission.stage,
            piece,
            source: waiting.submission.source,
            remainingMs: Math.max(1, Math.floor(waiting.deadlineMs - nowMs)),
        }));
        return this.options.client.run(desk.endpoint, calls, timeoutMs, signal);
    }

    /** The endpoint has ended the call and its reply was lost: the results lie there, and nobody knows their handles. */
    private takeLoss(desk: BatchEndpoint, taken: readonly TakenPiece[], bytes: number, traits: BatchTraits): string {
        desk.recordLostReply(bytes, traits);
        this.giveBack(taken, false);
        return "the endpoint works on nothing, its reply was lost";
    }

    /** Hands out what a call has made and gives back what it has not; tells the outcome for the log. */
    private takeEnd(
        desk: BatchEndpoint,
        taken: readonly TakenPiece[],
        end: CallOutcome,
        { takenMs, roomBytes }: { readonly takenMs: number; readonly roomBytes: number; },
    ): string {
        const traits = this.options.traits();
        if (end.kind !== "replied" || traits === undefined) {
            if (end.kind === "full") {
                desk.recordBusy();
            }
            else {
                desk.recordFailure();
            }
            this.giveBack(taken, end.kind === "broken");
            return end.kind === "replied" ? "the service is gone" : end.message;
        }
        const isWhole = end.outcomes.every(one => one.kind === "made");
        // Pieces that are not made take no time, and tell nothing of how fast the endpoint is.
        desk.recordSuccess(isWhole ? takenMs / (traits.callMs + taken.length * traits.pieceMs) : undefined);
        taken.forEach((piece, at) => this.takeOutcome(desk, piece, end.outcomes[at], traits));
        this.leaveLost(desk, taken, end.outcomes);
        const faults = end.outcomes.flatMap(one => (one.kind === "fault" ? [one.fault] : []));
        if (faults.includes("room")) {
            const made = taken.filter((_, at) => end.outcomes[at]?.kind === "made");
            desk.recordStorageShortage(
                roomBytes,
                made.reduce((sum, { waiting }) => sum + waiting.submission.resultBytes, 0),
            );
        }
        return faults.length === 0 ? "made" : `made, ${faults.length} not: ${[...new Set(faults)].join(", ")}`;
    }

    private takeOutcome(
        desk: BatchEndpoint,
        taken: TakenPiece,
        outcome: PieceOutcome | undefined,
        traits: BatchTraits,
    ): void {
        const { submission } = taken.waiting;
        const open = this.open.get(submission.id);
        if (outcome?.kind === "made") {
            const { dataCentre } = desk.endpoint;
            const { resultBytes: bytes } = submission;
            const result = { handle: outcome.handle, endpoint: desk.id, dataCentre, bytes };
            desk.addResult(outcome.handle, submission.resultBytes, traits);
            if (open === undefined || open.results.has(taken.piece)) {
                void this.free([result]);
                return;
            }
            open.results.set(taken.piece, result);
            this.queue.removePiece(submission.id, taken.piece);
            this.endIfWhole(open);
            return;
        }
        const fault = outcome?.fault ?? "error";
        if (fault === "gone") {
            if (this.leave(taken.waiting, desk.endpoint.dataCentre)) {
                this.giveBack([taken], false);
            }
            else {
                this.end(submission.id, sourceGone);
            }
        }
        else if (fault === "late") {
            const message = "the deadline passed before the call's turn";
            this.end(submission.id, { kind: "overloaded", message, retryAfterMs: shortestRetryMs });
        }
        else {
            this.giveBack([taken], fault === "error");
        }
    }

    /** Takes what waits for results of endpoints that a call has shown to be lost to its data centre away from there. */
    private leaveLost(desk: BatchEndpoint, taken: readonly TakenPiece[], outcomes: readonly PieceOutcome[]): void {
        const { dataCentre } = desk.endpoint;
        const ended = taken.map(({ waiting: { submission: { request, source } } }, at) => ({
            request,
            source,
            outcome: outcomes[at],
        }));
        const lost = this.lostMakers.recordCall(ended, dataCentre);
        if (lost.length === 0) {
            return;
        }
        const waiting = this.queue.inOrder(this.options.clock.nowMs())
            .filter(one => !one.unreachableFrom.has(dataCentre))
            .filter(({ submission }) => this.lostMakers.isUnreachable(submission.source, dataCentre));
        const gone = waiting.filter(one => !this.leave(one, dataCentre));
        this.options.log.event(EventId.ResultsLost, {
            service: this.options.service,
            makers: lost,
            dataCentre,
            requests: waiting.map(({ submission }) => submission.request),
            ended: gone.length,
        });
        gone.forEach(({ submission }) => this.end(submission.id, sourceGone));
    }

    /**
     * Takes a submission away from a data centre that can't reach its sources; false when no other one may reach them,
     * since only an endpoint beside their makers is sure to.
     */
    private leave(waiting: QueuedSubmission, from: DataCentreId): boolean {
        const { source } = waiting.submission;
        waiting.unreachableFrom.add(from);
        const served = this.desks.healthyDataCentres();
        const next = source.kind === "results"
            ? source.makers.map(one => one.dataCentre).find(one => served.has(one) && !waiting.unreachableFrom.has(one))
            : undefined;
        waiting.dataCentre = next;
        return next !== undefined;
    }

    private endIfWhole(open: Open): void {
        const { submission, results } = open;
        if (results.size < submission.pieces.length) {
            return;
        }
        this.queue.remove(submission.id);
        this.open.delete(submission.id);
        const ordered = submission.pieces.map(piece => results.get(piece)).filter(one => one !== undefined);
        open.deliver(Right(ordered));
    }

    private end(id: SubmissionId, error: SubmissionError): void {
        const open = this.open.get(id);
        this.queue.remove(id);
        this.open.delete(id);
        if (open !== undefined) {
            void this.free([...open.results.values()]);
            open.deliver(Left(error));
        }
    }

    /** Puts pieces without a result back into the queue; `failed` counts against their submissions. */
    private giveBack(taken: readonly TakenPiece[], failed: boolean): void {
        const counted = new Set<SubmissionId>();
        for (const { waiting, piece } of taken) {
            const open = this.open.get(waiting.submission.id);
            if (open === undefined || open.results.has(piece)) {
                continue;
            }
            if (failed && !counted.has(open.submission.id)) {
                counted.add(open.submission.id);
                open.failures += 1;
            }
            if (open.failures >= mostFailures) {
                this.end(open.submission.id, { kind: "failed", message: "calls failed at several endpoints" });
                continue;
            }
            this.queue.requeue(open.waiting, piece);
        }
    }

    private async freeAt(desk: BatchEndpoint, handles: readonly string[]): Promise<void> {
        const { client, log, service } = this.options;
        const message = await client.free(desk.endpoint, handles);
        if (message === undefined) {
            handles.forEach(handle => desk.removeResult(handle));
        }
        else {
            const fields = { service, endpoint: desk.id, handles: handles.length, message };
            log.event(EventId.ResultsNotFreed, fields);
        }
    }
}

const sourceGone: SubmissionError = { kind: "source-gone", message: "a result of an earlier stage has gone" };
