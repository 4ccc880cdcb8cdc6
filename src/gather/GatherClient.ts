/**
 * Submits pieces to the gatherer of a cell: the first live host in rendezvous order, which all hosts determine without
 * exchanging messages. Submissions that are not bound to a data centre go to a cell of the local one, unless they would
 * wait less in another cell, by what it has reported. A cell that can't start a submission in time refuses it, and another cell is tried.
 * When a gatherer fails or stops responding, its submissions go to the next host in the order.
 */
import { Left, Right } from "purify-ts";
import type { Clock, DataCentreId, HostId } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { ServiceId } from "../fleet/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { Service } from "../supervise/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { Cell, CellCache } from "./Cells.js";
import { gatherMethods, type WorkReply, type WorkRequest } from "./GatherMessages.js";
import type { GatherServer } from "./GatherServer.js";
import { lateMarginMs } from "./PieceQueue.js";
import type {
    CellId,
    CellWaits,
    EndedSubmission,
    NewSubmission,
    PieceExecutor,
    PieceResult,
    Submission,
    SubmissionId,
    SubmissionOutcome,
} from "./Types.js";

/** Messages to a host are collected for this long and sent together. */
const sendDelayMs = 2;
/**
 * Time limit for a message to a gatherer. A busy host may be late by several hundred milliseconds; to give it up costs
 * more than to wait, since its pieces then run twice and two gatherers fill the same endpoints. One whose process has
 * ended refuses connections and is given up at once.
 */
const sendTimeoutMs = 700;
/** A gatherer with pending submissions is probed after this long without a message from it. */
const maxSilenceMs = 300;
const probeIntervalMs = 100;
/** A gatherer that failed is not used for this long. */
const avoidMs = 2000;
/** How long a reported wait is valid as an estimate for a service. */
const waitValidMs = 300;
/** How long it is valid for choosing a cell; longer, since a chosen cell reports its wait again. */
const waitHintValidMs = 1000;
/** A submission leaves its data centre if that shortens the wait by more than this; about half a call. */
const minRemoteGainMs = 100;
/** Number of cells that may refuse a submission because it would start late; the next one accepts a late start. */
const maxRefusals = 1;
/** How often a submission is sent again after its cell has vanished, and the pause before each time. */
const maxMoves = 6;
const movePauseMs = 50;
/** Retry advice for callers while a service has no endpoint. */
const noCellRetryMs = 1000;

interface PendingSubmission {
    readonly submission: NewSubmission;
    readonly submittedMs: number;
    readonly settle: (outcome: SubmissionOutcome) => void;
    /** Cells that refused it. */
    readonly refused: CellId[];
    cell: CellId | undefined;
    /** How often its cell had vanished, or was not known to the gatherer yet. */
    moves: number;
    /** True when the cell is to refuse it if it can't start in time; see {@link Submission}. */
    onTimeOnly: boolean;
    gatherer: HostId;
}

interface Outbox {
    readonly submissions: Submission[];
    readonly cancels: { cell: CellId; id: SubmissionId; }[];
    readonly frees: { cell: CellId; results: PieceResult[]; }[];
}

interface GatherClientOptions {
    readonly self: HostId;
    readonly dataCentre: DataCentreId;
    readonly cells: CellCache;
    /** The gatherer role of this host. */
    readonly local: GatherServer;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly log: EventLog;
}

export class GatherClient implements PieceExecutor, Service {
    public readonly name = "gather-client";
    private readonly pending = new Map<SubmissionId, PendingSubmission>();
    private readonly outboxes = new Map<HostId, Outbox>();
    private readonly lastContactMs = new Map<HostId, number>();
    private readonly avoidUntilMs = new Map<HostId, number>();
    private readonly reportedWaits = new Map<CellId, CellWaits & { readonly atMs: number; }>();
    /** Hosts to which a message is in flight. */
    private readonly inFlight = new Set<HostId>();

    public constructor(private readonly options: GatherClientOptions) {
        options.registry.handle(gatherMethods.ended, async ({ ended, ...waits }, from) => {
            this.lastContactMs.set(from, options.clock.nowMs());
            this.recordWaits(waits);
            ended.forEach(one => this.receiveOutcome(one, from));
            return {};
        });
    }

    public execute(submission: NewSubmission, signal: AbortSignal): Promise<SubmissionOutcome> {
        return new Promise(resolve => {
            const onAbort = () => {
                const pending = this.pending.get(submission.id);
                if (pending?.cell !== undefined) {
                    this.outbox(pending.gatherer).cancels.push({ cell: pending.cell, id: submission.id });
                }
                settle(Left({ kind: "cancelled", message: "the request has ended" }));
            };
            const settle = (outcome: SubmissionOutcome) => {
                signal.removeEventListener("abort", onAbort);
                this.pending.delete(submission.id);
                resolve(outcome);
            };
            if (signal.aborted) {
                settle(Left({ kind: "cancelled", message: "the request has ended" }));
                return;
            }
            signal.addEventListener("abort", onAbort);
            const submittedMs = this.options.clock.nowMs();
            const { self: gatherer } = this.options;
            const pending: PendingSubmission = {
                submission,
                submittedMs,
                settle,
                refused: [],
                cell: undefined,
                moves: 0,
                onTimeOnly: true,
                gatherer,
            };
            this.pending.set(submission.id, pending);
            this.submit(pending);
        });
    }

    public free(results: readonly PieceResult[]): void {
        const cells = this.options.cells.current();
        for (const result of results) {
            const cell = cells.ofEndpoint(result.endpoint);
            if (cell !== undefined) {
                this.queueFree(this.gathererOf(cell), cell, result);
            }
        }
    }

    public waitMs(service: ServiceId, goes?: "last"): number | undefined {
        const key = goes === "last" ? "lateMs" : "onTimeMs";
        const recent = this.options.cells.current().ofService(service)
            .flatMap(({ id }) => this.reportedWaitsOf(id, waitValidMs)?.[key] ?? []);
        return recent.length === 0 ? undefined : Math.min(...recent);
    }

    /** Probes gatherers with pending submissions that have been silent for too long. */
    public async run(signal: AbortSignal): Promise<void> {
        const { clock, self } = this.options;
        while (!signal.aborted) {
            await clock.sleep(probeIntervalMs, signal);
            const gatherers = new Set([...this.pending.values()].map(one => one.gatherer));
            for (const host of gatherers) {
                const silentForMs = clock.nowMs() - (this.lastContactMs.get(host) ?? 0);
                if (host !== self && silentForMs > maxSilenceMs && !this.inFlight.has(host)) {
                    this.startSend(host, { submissions: [], cancels: [], frees: [] });
                }
            }
        }
    }

    /** Sends a submission to the best cell that has not refused it. */
    private submit(pending: PendingSubmission): void {
        const { clock, log } = this.options;
        const { submission, submittedMs, refused: refusedBy } = pending;
        const elapsedMs = clock.nowMs() - submittedMs;
        const startInMs = submission.startInMs - elapsedMs;
        const choices = this.candidateCells(submission, startInMs - lateMarginMs(submission))
            .filter(cell => !refusedBy.includes(cell));
        const [cell] = choices;
        if (cell === undefined) {
            const message = "no endpoint of the service is known";
            pending.settle(Left({ kind: "overloaded", message, retryAfterMs: noCellRetryMs }));
            return;
        }
        // Only the last cell that is tried queues a submission that it can't start in time.
        pending.onTimeOnly = refusedBy.length < maxRefusals && choices.length > 1;
        pending.cell = cell;
        pending.gatherer = this.gathererOf(cell);
        const { id, service, request, stage, pieces } = submission;
        log.event(EventId.PiecesSubmitted, {
            request,
            submission: id,
            service,
            cell,
            stage,
            pieces: pieces.length,
            startInMs: Math.round(startInMs),
            gatherer: pending.gatherer,
        });
        this.outbox(pending.gatherer).submissions.push({
            ...submission,
            cell,
            onTimeOnly: pending.onTimeOnly,
            startInMs,
            remainingMs: submission.remainingMs - elapsedMs,
        });
    }

    /** Sends a submission again after a pause, unless its request has ended meanwhile. */
    private resubmit(pending: PendingSubmission): void {
        if (this.pending.get(pending.submission.id) === pending) {
            this.submit(pending);
        }
    }

    /**
     * Cells of a service in the order in which a submission tries them: the cell in its data centre first, unless
     * the expected wait in another one, picked pseudo-randomly in proportion to its endpoints, is shorter by more than
     * {@link minRemoteGainMs}. `slackMs` is the time before the submission counts as late.
     */
    private candidateCells(
        { service, dataCentre, notIn, id }: NewSubmission,
        slackMs: number,
    ): readonly CellId[] {
        const { cells, dataCentre: own } = this.options;
        const current = cells.current();
        // A cell without usable endpoints, as when its data centre is lost or taken out of use, takes no submissions.
        const endpoints = current.ofService(service)
            .filter(cell => cell.dataCentre === undefined || !notIn.includes(cell.dataCentre))
            .flatMap(cell => current.usableEndpoints(cell.id).map(one => [one.id, cell] as const));
        const cellOf = new Map(endpoints);
        const all = [...new Set(rankByWeight(id, [...cellOf.keys()]).map(one => cellOf.get(one)))]
            .filter(cell => cell !== undefined);
        const reachable = all.filter(cell => !current.isCutOff(cell));
        const ranked = reachable.length > 0 ? reachable : all;
        const preferred = ranked.find(cell => cell.dataCentre === (dataCentre ?? own));
        const [other, ...others] = ranked.filter(cell => cell !== preferred);
        if (preferred === undefined || other === undefined) {
            return ranked.map(cell => cell.id);
        }
        const waitOf = (cell: Cell) => {
            const { onTimeMs, lateMs } = this.reportedWaitsOf(cell.id, waitHintValidMs) ?? { onTimeMs: 0, lateMs: 0 };
            return onTimeMs <= slackMs ? onTimeMs : lateMs;
        };
        const isOtherSooner = waitOf(other) + minRemoteGainMs < waitOf(preferred);
        return [...(isOtherSooner ? [other, preferred] : [preferred, other]), ...others].map(cell => cell.id);
    }

    /** The waits that a cell has reported last; undefined when that was more than `validMs` ago. */
    private reportedWaitsOf(cell: CellId, validMs: number): CellWaits | undefined {
        const reported = this.reportedWaits.get(cell);
        return reported !== undefined && this.options.clock.nowMs() - reported.atMs < validMs ? reported : undefined;
    }

    /** The first host in the cell's order that is not being avoided; this host when there is none. */
    private gathererOf(cell: CellId): HostId {
        const { cells, self, clock } = this.options;
        const nowMs = clock.nowMs();
        const isAvailable = (host: HostId) => nowMs >= (this.avoidUntilMs.get(host) ?? 0);
        return cells.current().rankedGatherers(cell).find(isAvailable) ?? self;
    }

    private queueFree(host: HostId, cell: CellId, result: PieceResult): void {
        const { frees } = this.outbox(host);
        const known = frees.find(one => one.cell === cell);
        if (known === undefined) {
            frees.push({ cell, results: [result] });
        }
        else {
            known.results.push(result);
        }
    }

    private outbox(host: HostId): Outbox {
        const known = this.outboxes.get(host);
        if (known !== undefined) {
            return known;
        }
        const outbox: Outbox = { submissions: [], cancels: [], frees: [] };
        this.outboxes.set(host, outbox);
        this.options.clock.setTimer(sendDelayMs, () => {
            this.outboxes.delete(host);
            this.startSend(host, outbox);
        });
        return outbox;
    }

    private startSend(host: HostId, work: WorkRequest): void {
        inBackground(this.options.log, "send-work", this.send(host, work));
    }

    private async send(host: HostId, work: WorkRequest): Promise<void> {
        const { self, local, transport, clock } = this.options;
        if (host === self) {
            const reply = local.work(work, self, (id, end) => this.handleOutcome(id, end));
            this.recordWaits(reply);
            return;
        }
        this.inFlight.add(host);
        const sent = await transport.call(host, gatherMethods.work, work, { timeoutMs: sendTimeoutMs });
        this.inFlight.delete(host);
        sent.caseOf({
            Left: error => this.handleGathererLoss(host, error.message),
            Right: reply => {
                this.lastContactMs.set(host, clock.nowMs());
                this.recordWaits(reply);
            },
        });
    }

    private recordWaits({ waits, lateWaits }: WorkReply): void {
        const atMs = this.options.clock.nowMs();
        const late = new Map(lateWaits);
        waits.forEach(([cell, onTimeMs]) =>
            this.reportedWaits.set(cell, { onTimeMs, lateMs: late.get(cell) ?? onTimeMs, atMs })
        );
    }

    /** Avoids a gatherer for a while and sends its pending submissions to other gatherers. */
    private handleGathererLoss(host: HostId, message: string): void {
        const { clock, log } = this.options;
        this.avoidUntilMs.set(host, clock.nowMs() + avoidMs);
        const affected = [...this.pending.values()].filter(one => one.gatherer === host);
        log.event(EventId.GathererLost, { gatherer: host, message, submissions: affected.length });
        if (affected.length > 0) {
            inBackground(log, "withdraw", this.withdraw(host, affected));
        }
        affected.forEach(pending => this.submit(pending));
    }

    /** Cancels submissions at a gatherer that was given up; it may only be slow, or out of reach in one direction. */
    private async withdraw(host: HostId, affected: readonly PendingSubmission[]): Promise<void> {
        const { transport, log } = this.options;
        const cancels = affected.flatMap(({ cell, submission: { id } }) => cell === undefined ? [] : [{ cell, id }]);
        const work = { submissions: [], cancels, frees: [] };
        const sent = await transport.call(host, gatherMethods.work, work, { timeoutMs: sendTimeoutMs });
        sent.ifLeft(({ message }) =>
            log.event(EventId.SubmissionsNotWithdrawn, { gatherer: host, message, submissions: cancels.length })
        );
    }

    private receiveOutcome({ id, cell, results, error }: EndedSubmission, from: HostId): void {
        const pending = this.pending.get(id);
        if (pending !== undefined) {
            if (error === undefined && pending.gatherer !== from && pending.cell !== undefined) {
                // The gatherer that got the pieces again would run them without their inputs, which are freed now.
                this.outbox(pending.gatherer).cancels.push({ cell: pending.cell, id });
            }
            this.handleOutcome(id, error === undefined ? Right(results) : Left(error));
        }
        else {
            // Results of a duplicate run, or of a request that has ended.
            results.forEach(result => this.queueFree(from, cell, result));
        }
    }

    private handleOutcome(id: SubmissionId, outcome: SubmissionOutcome): void {
        const pending = this.pending.get(id);
        if (pending === undefined) {
            return;
        }
        const { log, clock } = this.options;
        const { request, service, stage } = pending.submission;
        const hasMoved = outcome.caseOf({ Left: error => error.kind === "moved", Right: () => false })
            && pending.moves < maxMoves;
        const isPassedOn = pending.onTimeOnly && outcome.caseOf({
            Left: error => error.kind === "overloaded" || error.kind === "failed",
            Right: () => false,
        });
        log.event(EventId.PiecesEnded, {
            request,
            submission: id,
            service,
            cell: pending.cell,
            stage,
            gatherer: pending.gatherer,
            isPassedOn,
            durationMs: Math.round(clock.nowMs() - pending.submittedMs),
            outcome: outcome.caseOf<unknown>({
                Left: error => error,
                Right: results => ({ kind: "made", results: results.length }),
            }),
        });
        if (hasMoved) {
            // Hosts receive a new endpoint list at different times.
            pending.moves += 1;
            clock.setTimer(movePauseMs, () => this.resubmit(pending));
            return;
        }
        if (isPassedOn && pending.cell !== undefined) {
            pending.refused.push(pending.cell);
            this.submit(pending);
            return;
        }
        pending.settle(outcome);
    }
}
