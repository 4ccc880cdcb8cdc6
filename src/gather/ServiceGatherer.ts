/**
 * Gathers the pieces of one cell of a service: keeps those that wait in order, sends full calls to endpoints as they get
 * free, and tells each submitter its results. A call that fails or takes far too long gives its pieces back to the
 * queue: a piece may be made again, and the first result counts.
 */
import { Left, Right } from "purify-ts";
import type { Clock, Disposable } from "../common/Types.js";
import type { BatchTraits, ListedEndpoint, ServiceId } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { BatchDesk } from "./BatchDesk.js";
import { DemandMeter } from "./DemandMeter.js";
import { isLate, PieceQueue, type TakenPiece, type Waiting } from "./PieceQueue.js";
import type {
    CallEnd,
    PieceClient,
    PieceOutcome,
    PieceResult,
    PiecesEnd,
    PiecesError,
    Submission,
    SubmissionId,
} from "./Types.js";

/** A call is given up at this many times its expected time and a constant for the ways. */
const giveUpFactor = 4;
const giveUpExtraMs = 1000;
/** Its pieces go to other endpoints already at this many times its expected time. */
const hedgeFactor = 2;
const hedgeExtraMs = 100;
/** Calls that may fail for one submission. */
const mostFailures = 4;
/** An endpoint this much slower than the best one gets a call only where that is still sooner than waiting. */
const muchSlower = 1.8;
/** A caller is asked to come back no sooner and no later than this. */
const shortestRetryMs = 200;
const longestRetryMs = 1500;
/** A submission that needs more of its remaining time than this is refused at once rather than at its end. */
const sureShare = 0.8;
/** With less of the service to spare than this, late submissions wait for the end of the burst. */
const leastSpareShare = 0.05;
/** Bursts of callers last about this long; a request with more time than that waits for the end of one. */
const burstMs = 6000;
/** How often what waits is looked through. */
const wakeMs = 100;

interface Open {
    readonly submission: Submission;
    readonly waiting: Waiting;
    readonly results: Map<number, PieceResult>;
    readonly deliver: (end: PiecesEnd) => void;
    failures: number;
}

interface ServiceGathererOptions {
    readonly service: ServiceId;
    readonly traits: () => BatchTraits | undefined;
    readonly client: PieceClient;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class ServiceGatherer {
    private readonly queue = new PieceQueue();
    private readonly demand: DemandMeter;
    private readonly desks = new Map<string, BatchDesk>();
    private readonly open = new Map<SubmissionId, Open>();
    /** Endpoints that may be given calls; desks of others stay until their calls have ended. */
    private usable: ReadonlySet<string> = new Set();
    private wakeTimer: Disposable | undefined;

    public constructor(private readonly options: ServiceGathererOptions) {
        this.demand = new DemandMeter(options.clock);
    }

    /** Names the endpoints that may be used now. */
    public setEndpoints(endpoints: readonly ListedEndpoint[]): void {
        const ids = new Set<string>(endpoints.map(one => one.id));
        for (const [id, desk] of this.desks) {
            if (!ids.has(id) && desk.calls === 0) {
                this.desks.delete(id);
            }
        }
        for (const endpoint of endpoints) {
            const known = this.desks.get(endpoint.id);
            if (known === undefined) {
                this.desks.set(endpoint.id, new BatchDesk(endpoint, this.options.clock));
            }
            else {
                known.endpoint = endpoint;
            }
        }
        this.usable = ids;
        this.pump();
    }

    /** Gives back all that waits, since the list has divided the service anew and this cell is no more. */
    public abandon(): void {
        for (const id of [...this.open.keys()]) {
            this.end(id, { kind: "moved", message: "the cell is no more" });
        }
    }

    /** Takes a submission; refuses it at once when it can't be made in time. */
    public submit(submission: Submission, deliver: (end: PiecesEnd) => void): void {
        const { clock } = this.options;
        const nowMs = clock.nowMs();
        if (this.open.has(submission.id)) {
            return;
        }
        this.demand.note(submission.pieces.length);
        const waiting: Waiting = {
            submission,
            startByMs: nowMs + submission.startInMs,
            deadlineMs: nowMs + submission.remainingMs,
            pieces: [...submission.pieces],
            isBegun: false,
            dataCentre: submission.dataCentre,
        };
        const readyInMs = this.readyInMs(waiting);
        const isTooLate = submission.onTimeOnly
            && this.waitMs(waiting.startByMs, waiting.deadlineMs, submission.priority) > submission.startInMs;
        if (readyInMs > submission.remainingMs * sureShare || isTooLate) {
            deliver(Left(this.overloaded(readyInMs, submission.remainingMs)));
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
        const byDesk = new Map<BatchDesk, string[]>();
        for (const { endpoint, handle } of results) {
            const desk = this.desks.get(endpoint);
            if (desk !== undefined) {
                byDesk.set(desk, [...byDesk.get(desk) ?? [], handle]);
            }
        }
        await Promise.all([...byDesk].map(([desk, handles]) => this.freeAt(desk, handles)));
        this.pump();
    }

    /** Estimated wait before the first call of a submission that would go after those that have their times. */
    public waitMs(startByMs: number, deadlineMs: number, priority: number, isContinued: boolean = false): number {
        const nowMs = this.options.clock.nowMs();
        const piecesPerMs = this.piecesPerMs();
        if (piecesPerMs === 0) {
            return 0;
        }
        const traits = this.options.traits();
        const desks = this.usableDesks();
        const isBusy = traits !== undefined && desks.every(desk => !desk.mayStart(traits));
        const currentMs = isBusy ? this.callMs(traits.batch) / (2 * desks.length) : 0;
        const waitMs = currentMs + this.queue.ahead(startByMs, deadlineMs, priority, nowMs) / piecesPerMs;
        if (startByMs - nowMs >= waitMs) {
            return waitMs;
        }
        // It can't be on time, and then goes after all that can: what comes until then is ahead of it too.
        const late = this.queue.ahead(-Infinity, deadlineMs, priority, nowMs);
        if (isContinued) {
            return currentMs + late / piecesPerMs;
        }
        const sparePerMs = piecesPerMs - this.demand.perMs();
        const hasSpare = sparePerMs > piecesPerMs * leastSpareShare;
        return currentMs + (hasSpare ? Math.min(burstMs, late / sparePerMs) : burstMs);
    }

    /** Estimated time until the request of a submission can be answered. */
    private readyInMs({ submission, startByMs, deadlineMs }: Waiting): number {
        const waitMs = this.waitMs(startByMs, deadlineMs, submission.priority, isContinued(submission));
        return waitMs + this.callMs(submission.pieces.length) + submission.restMs;
    }

    private overloaded(readyInMs: number, remainingMs: number): PiecesError {
        const message = `${Math.round(readyInMs)} ms are needed, ${Math.round(remainingMs)} ms are left`;
        const missingMs = readyInMs - remainingMs * sureShare;
        const retryAfterMs = Math.min(longestRetryMs, Math.max(shortestRetryMs, missingMs));
        return { kind: "overloaded", message, retryAfterMs };
    }

    /** Pieces that all endpoints that are well make in a millisecond with full calls. */
    private piecesPerMs(): number {
        const traits = this.options.traits();
        if (traits === undefined) {
            return 0;
        }
        return this.usableDesks()
            .filter(desk => !desk.isSuspect)
            .reduce((sum, desk) => sum + traits.slots * traits.batch / desk.expectedMs(traits, traits.batch), 0);
    }

    private callMs(pieces: number): number {
        const traits = this.options.traits();
        return traits === undefined ? 0 : traits.callMs + Math.min(pieces, traits.batch) * traits.pieceMs;
    }

    private usableDesks(): BatchDesk[] {
        return [...this.desks.values()].filter(desk => this.usable.has(desk.id));
    }

    /** Starts as many calls as there are free endpoints and waiting pieces. */
    private pump(): void {
        const traits = this.options.traits();
        if (traits === undefined) {
            return;
        }
        this.refuseHopeless();
        const served = new Set(
            this.usableDesks().filter(desk => !desk.isSuspect).map(desk => desk.endpoint.dataCentre),
        );
        while (this.queue.size > 0) {
            const desk = this.nextDesk(traits);
            if (desk === undefined) {
                break;
            }
            const nowMs = this.options.clock.nowMs();
            const limits = {
                pieces: traits.batch,
                roomBytes: desk.roomBytes(traits),
                dataCentre: desk.endpoint.dataCentre,
                served,
            };
            const taken = this.queue.take(limits, nowMs);
            if (taken.length === 0) {
                desk.hadNothing();
                continue;
            }
            void this.call(desk, taken, traits);
        }
        this.planWake(traits);
    }

    /** The endpoint for the next call: the fastest free one, unless waiting for a faster one ends sooner. */
    private nextDesk(traits: BatchTraits): BatchDesk | undefined {
        const desks = this.usableDesks();
        const free = desks.filter(desk => desk.mayStart(traits));
        const timeOf = (desk: BatchDesk) => desk.expectedMs(traits, traits.batch);
        const best = free.sort((a, b) => Number(a.isSuspect) - Number(b.isSuspect) || timeOf(a) - timeOf(b))[0];
        const fastestMs = Math.min(...desks.map(timeOf));
        if (best === undefined || timeOf(best) <= fastestMs * muchSlower) {
            return best;
        }
        const fast = desks.filter(desk => timeOf(desk) <= fastestMs * muchSlower).length;
        const waitMs = fastestMs * (1 + this.queue.size / traits.batch / Math.max(1, fast));
        return timeOf(best) < waitMs + fastestMs ? best : undefined;
    }

    private planWake(traits: BatchTraits): void {
        this.wakeTimer?.dispose();
        if (this.queue.size > 0) {
            const waits = this.usableDesks()
                .filter(desk => desk.calls < traits.slots)
                .map(desk => desk.pausedUntilMs - this.options.clock.nowMs());
            const waitMs = Math.max(1, Math.min(...waits, wakeMs));
            this.wakeTimer = this.options.clock.setTimer(waitMs, () => this.pump());
        }
    }

    /** Refuses what waits and can't be expected to end in time any more, as soon as that is seen. */
    private refuseHopeless(): void {
        const nowMs = this.options.clock.nowMs();
        const sparePerMs = this.piecesPerMs() - this.demand.perMs();
        let ahead = 0;
        for (const waiting of this.queue.list(nowMs)) {
            ahead += waiting.pieces.length;
            const { submission, deadlineMs, isBegun } = waiting;
            const isLoose = isLate(waiting, nowMs) && !isBegun && !isContinued(submission);
            const turnMs = sparePerMs > 0 ? Math.min(burstMs, ahead / sparePerMs) : burstMs;
            const waitMs = isLoose ? turnMs : 0;
            const readyMs = nowMs + waitMs + this.callMs(waiting.pieces.length) + submission.restMs;
            if (readyMs > deadlineMs) {
                this.end(submission.id, this.overloaded(readyMs - nowMs, deadlineMs - nowMs));
            }
        }
    }

    private async call(desk: BatchDesk, taken: readonly TakenPiece[], traits: BatchTraits): Promise<void> {
        const { clock, log, metrics, service } = this.options;
        const bytes = taken.reduce((sum, { waiting }) => sum + waiting.submission.resultBytes, 0);
        const startMs = clock.nowMs();
        const expectedMs = desk.expectedMs(traits, taken.length);
        desk.started(bytes);
        const hedge = clock.setTimer(expectedMs * hedgeFactor + hedgeExtraMs, () => {
            desk.failed();
            log.event(EventId.BatchEndpointSuspected, { service, endpoint: desk.id, reason: "slow", expectedMs });
            this.giveBack(taken, false);
            this.pump();
        });
        const end = await this.send(desk, taken, expectedMs * giveUpFactor + giveUpExtraMs);
        hedge.dispose();
        desk.ended(bytes);
        const takenMs = clock.nowMs() - startMs;
        const outcome = this.takeEnd(desk, taken, end, takenMs);
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

    private send(desk: BatchDesk, taken: readonly TakenPiece[], timeoutMs: number): Promise<CallEnd> {
        const nowMs = this.options.clock.nowMs();
        const calls = taken.map(({ waiting, piece }) => ({
            request: waiting.submission.request,
            stage: waiting.submission.stage,
            piece,
            source: waiting.submission.source,
            remainingMs: Math.max(1, Math.floor(waiting.deadlineMs - nowMs)),
        }));
        return this.options.client.run(desk.endpoint, calls, timeoutMs);
    }

    /** Hands out what a call has made and gives back what it has not; tells the outcome for the log. */
    private takeEnd(desk: BatchDesk, taken: readonly TakenPiece[], end: CallEnd, takenMs: number): string {
        const traits = this.options.traits();
        if (end.kind !== "replied" || traits === undefined) {
            if (end.kind === "full") {
                desk.wasFull();
            }
            else {
                desk.failed();
            }
            this.giveBack(taken, end.kind === "broken");
            return end.kind === "replied" ? "the service is gone" : end.message;
        }
        desk.succeeded(takenMs, traits.callMs + taken.length * traits.pieceMs);
        taken.forEach((piece, at) => this.takeOutcome(desk, piece, end.outcomes[at], traits));
        const faults = end.outcomes.flatMap(one => (one.kind === "fault" ? [one.fault] : []));
        return faults.length === 0 ? "made" : `made, ${faults.length} not: ${[...new Set(faults)].join(", ")}`;
    }

    private takeOutcome(
        desk: BatchDesk,
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
            desk.made(outcome.handle, submission.resultBytes, traits);
            if (open === undefined || open.results.has(taken.piece)) {
                void this.free([result]);
                return;
            }
            open.results.set(taken.piece, result);
            this.endIfWhole(open);
            return;
        }
        const fault = outcome?.fault ?? "error";
        if (fault === "gone") {
            this.end(submission.id, { kind: "source-gone", message: "a result of an earlier stage has gone" });
        }
        else if (fault === "late") {
            const message = "the deadline passed before the call's turn";
            this.end(submission.id, { kind: "overloaded", message, retryAfterMs: shortestRetryMs });
        }
        else {
            if (fault === "room") {
                desk.lackedRoom();
            }
            this.giveBack([taken], fault === "error");
        }
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

    private end(id: SubmissionId, error: PiecesError): void {
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
            this.queue.putBack(open.waiting, piece);
        }
    }

    private async freeAt(desk: BatchDesk, handles: readonly string[]): Promise<void> {
        const { client, log, service } = this.options;
        handles.forEach(handle => desk.freed(handle));
        const message = await client.free(desk.endpoint, handles);
        if (message !== undefined) {
            const fields = { service, endpoint: desk.id, handles: handles.length, message };
            log.event(EventId.ResultsNotFreed, fields);
        }
    }
}

/** True for pieces that continue earlier stages: refusing them throws away what those have made. */
function isContinued({ source }: Submission): boolean {
    return source.kind === "results";
}
