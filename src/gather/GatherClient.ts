/**
 * Sends pieces to the gatherer of a cell: the first live host in rendezvous order, which all hosts find without a
 * message. Pieces that no data centre binds go to a cell of this one unless another one has told a shorter wait; a cell
 * without time for them passes them on. A gatherer that fails or falls silent is passed by, and what it held is submitted
 * to the next one.
 */
import { Left, Right } from "purify-ts";
import type { Clock, DataCentreId, HostId } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { ServiceId } from "../fleet/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { Cell, CellCache } from "./Cells.js";
import { gatherMethods, type WorkRequest } from "./GatherMessages.js";
import type { GatherServer } from "./GatherServer.js";
import type {
    CellId,
    EndedSubmission,
    NewSubmission,
    PieceExecutor,
    PieceResult,
    Submission,
    SubmissionId,
    SubmissionOutcome,
} from "./Types.js";

/** Work of one moment travels together. */
const sendDelayMs = 2;
/** Bound on handing work over; many times a way within a region and the work of a busy host. */
const sendTimeoutMs = 300;
/** A gatherer that owes results and was not heard for this long is asked whether it lives. */
const silentMs = 300;
const watchEveryMs = 100;
/** A gatherer that failed is passed by for this long. */
const avoidMs = 2000;
/** An estimate of a wait counts for this long. */
const waitValidMs = 300;
/** For the choice of a cell an older one does, since any cell that is chosen tells its wait anew. */
const waitHintMs = 1000;
/** A submission leaves its data centre for a wait that is shorter by this much: half a call. */
const leaveCentreMs = 100;
/** Cells that may pass a submission on for want of time before one keeps it. */
const mostPassedOn = 1;
/** Times that a submission's cell may vanish before it is given up, and the pause before it is sent again. */
const mostMoves = 6;
const movePauseMs = 50;
/** What is advised while a service has no endpoint. */
const noCellRetryMs = 1000;

interface Pending {
    readonly asked: NewSubmission;
    readonly submittedMs: number;
    readonly settle: (end: SubmissionOutcome) => void;
    /** Cells that had no time for it. */
    readonly refused: CellId[];
    cell: CellId | undefined;
    /** Times that its cell had vanished, or was not known to the gatherer yet. */
    moves: number;
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
    readonly local: GatherServer;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly log: EventLog;
}

export class GatherClient implements PieceExecutor, Service {
    public readonly name = "gather-client";
    private readonly pending = new Map<SubmissionId, Pending>();
    private readonly outboxes = new Map<HostId, Outbox>();
    private readonly heardMs = new Map<HostId, number>();
    private readonly avoidUntilMs = new Map<HostId, number>();
    private readonly waits = new Map<CellId, { readonly waitMs: number; readonly atMs: number; }>();
    private readonly asking = new Set<HostId>();

    public constructor(private readonly options: GatherClientOptions) {
        options.registry.handle(gatherMethods.ended, async ({ ended, waits }, from) => {
            this.heardMs.set(from, options.clock.nowMs());
            this.noteWaits(waits);
            ended.forEach(one => this.take(one, from));
            return {};
        });
    }

    public execute(asked: NewSubmission, signal: AbortSignal): Promise<SubmissionOutcome> {
        return new Promise(resolve => {
            const cancelled = () => {
                const pending = this.pending.get(asked.id);
                if (pending?.cell !== undefined) {
                    this.outbox(pending.gatherer).cancels.push({ cell: pending.cell, id: asked.id });
                }
                settle(Left({ kind: "cancelled", message: "the request has ended" }));
            };
            const settle = (end: SubmissionOutcome) => {
                signal.removeEventListener("abort", cancelled);
                this.pending.delete(asked.id);
                resolve(end);
            };
            if (signal.aborted) {
                settle(Left({ kind: "cancelled", message: "the request has ended" }));
                return;
            }
            signal.addEventListener("abort", cancelled);
            const submittedMs = this.options.clock.nowMs();
            const { self: gatherer } = this.options;
            const pending: Pending = {
                asked,
                submittedMs,
                settle,
                refused: [],
                cell: undefined,
                moves: 0,
                onTimeOnly: true,
                gatherer,
            };
            this.pending.set(asked.id, pending);
            this.submit(pending);
        });
    }

    public free(results: readonly PieceResult[]): void {
        const cells = this.options.cells.current();
        for (const result of results) {
            const cell = cells.ofEndpoint(result.endpoint);
            if (cell !== undefined) {
                this.freeAt(this.gathererOf(cell), cell, result);
            }
        }
    }

    public waitMs(service: ServiceId): number | undefined {
        const recent = this.options.cells.current().ofService(service)
            .flatMap(({ id }) => this.toldWaitMs(id, waitValidMs) ?? []);
        return recent.length === 0 ? undefined : Math.min(...recent);
    }

    /** Watches gatherers that owe results. */
    public async run(signal: AbortSignal): Promise<void> {
        const { clock, self } = this.options;
        while (!signal.aborted) {
            await clock.sleep(watchEveryMs, signal);
            const owing = new Set([...this.pending.values()].map(one => one.gatherer));
            for (const host of owing) {
                const quietMs = clock.nowMs() - (this.heardMs.get(host) ?? 0);
                if (host !== self && quietMs > silentMs && !this.asking.has(host)) {
                    void this.send(host, { submissions: [], cancels: [], frees: [] });
                }
            }
        }
    }

    /** Sends a submission to the best cell that has not refused it. */
    private submit(pending: Pending): void {
        const { clock, log } = this.options;
        const { asked, submittedMs, refused } = pending;
        const choices = this.cellsFor(asked).filter(cell => !refused.includes(cell));
        const [cell] = choices;
        if (cell === undefined) {
            const message = "no endpoint of the service is known";
            pending.settle(Left({ kind: "overloaded", message, retryAfterMs: noCellRetryMs }));
            return;
        }
        // Only the last cell that is tried keeps what can't be on time.
        pending.onTimeOnly = refused.length < mostPassedOn && choices.length > 1;
        pending.cell = cell;
        pending.gatherer = this.gathererOf(cell);
        const passedMs = clock.nowMs() - submittedMs;
        const { id, service, request, stage, pieces } = asked;
        const startInMs = asked.startInMs - passedMs;
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
            ...asked,
            cell,
            onTimeOnly: pending.onTimeOnly,
            startInMs,
            remainingMs: asked.remainingMs - passedMs,
        });
    }

    /** Sends a submission again after a pause, unless its request has ended meanwhile. */
    private resubmit(pending: Pending): void {
        if (this.pending.get(pending.asked.id) === pending) {
            this.submit(pending);
        }
    }

    /**
     * Cells of a service in the order in which a submission tries them: the one beside it, unless another one, drawn by
     * its number of endpoints, has told a wait that is shorter by more than the way there is worth.
     */
    private cellsFor({ service, dataCentre, notIn, id }: NewSubmission): readonly CellId[] {
        const { cells, dataCentre: own } = this.options;
        const current = cells.current();
        // A cell that its own data centre's loss or order has emptied has no endpoints and takes nothing.
        const endpoints = current.ofService(service)
            .filter(cell => cell.dataCentre === undefined || !notIn.includes(cell.dataCentre))
            .flatMap(cell => current.usableEndpoints(cell.id).map(one => [one.id, cell] as const));
        const cellOf = new Map(endpoints);
        const drawn = [...new Set(rankByWeight(id, [...cellOf.keys()]).map(one => cellOf.get(one)))]
            .filter(cell => cell !== undefined);
        const near = drawn.find(cell => cell.dataCentre === (dataCentre ?? own));
        const [other, ...others] = drawn.filter(cell => cell !== near);
        if (near === undefined || other === undefined) {
            return drawn.map(cell => cell.id);
        }
        const waitOf = (cell: Cell) => this.toldWaitMs(cell.id, waitHintMs) ?? 0;
        const isOtherSooner = waitOf(other) + leaveCentreMs < waitOf(near);
        return [...(isOtherSooner ? [other, near] : [near, other]), ...others].map(cell => cell.id);
    }

    /** The wait that a cell has told last; undefined when it has told none for so long. */
    private toldWaitMs(cell: CellId, validMs: number): number | undefined {
        const told = this.waits.get(cell);
        return told !== undefined && this.options.clock.nowMs() - told.atMs < validMs ? told.waitMs : undefined;
    }

    /** The first host in the cell's order that has not just failed; this host where none is left. */
    private gathererOf(cell: CellId): HostId {
        const { cells, self, clock } = this.options;
        const nowMs = clock.nowMs();
        const isOpen = (host: HostId) => nowMs >= (this.avoidUntilMs.get(host) ?? 0);
        return cells.current().rankedGatherers(cell).find(isOpen) ?? self;
    }

    private freeAt(host: HostId, cell: CellId, result: PieceResult): void {
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
            void this.send(host, outbox);
        });
        return outbox;
    }

    private async send(host: HostId, work: WorkRequest): Promise<void> {
        const { self, local, transport, clock } = this.options;
        if (host === self) {
            const reply = local.work(work, self, (id, end) => this.finish(id, end));
            this.noteWaits(reply.waits);
            return;
        }
        this.asking.add(host);
        const sent = await transport.call(host, gatherMethods.work, work, { timeoutMs: sendTimeoutMs });
        this.asking.delete(host);
        sent.caseOf({
            Left: error => this.lost(host, error.message),
            Right: reply => {
                this.heardMs.set(host, clock.nowMs());
                this.noteWaits(reply.waits);
            },
        });
    }

    private noteWaits(waits: readonly (readonly [CellId, number])[]): void {
        const atMs = this.options.clock.nowMs();
        waits.forEach(([cell, waitMs]) => this.waits.set(cell, { waitMs, atMs }));
    }

    /** Passes a gatherer by and submits what it owes to the next ones. */
    private lost(host: HostId, message: string): void {
        const { clock, log } = this.options;
        this.avoidUntilMs.set(host, clock.nowMs() + avoidMs);
        const owed = [...this.pending.values()].filter(one => one.gatherer === host);
        log.event(EventId.GathererLost, { gatherer: host, message, submissions: owed.length });
        owed.forEach(pending => this.submit(pending));
    }

    private take({ id, cell, results, error }: EndedSubmission, from: HostId): void {
        if (this.pending.has(id)) {
            this.finish(id, error === undefined ? Right(results) : Left(error));
        }
        else {
            // Made twice, or for a request that has ended.
            results.forEach(result => this.freeAt(from, cell, result));
        }
    }

    private finish(id: SubmissionId, end: SubmissionOutcome): void {
        const pending = this.pending.get(id);
        if (pending === undefined) {
            return;
        }
        const { log, clock } = this.options;
        const { request, service, stage } = pending.asked;
        const hasMoved = end.caseOf({ Left: error => error.kind === "moved", Right: () => false })
            && pending.moves < mostMoves;
        const isPassedOn = pending.onTimeOnly && end.caseOf({
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
            outcome: end.caseOf<unknown>({
                Left: error => error,
                Right: results => ({ kind: "made", results: results.length }),
            }),
        });
        if (hasMoved) {
            // Hosts take over a new list one after another.
            pending.moves += 1;
            clock.setTimer(movePauseMs, () => this.resubmit(pending));
            return;
        }
        if (isPassedOn && pending.cell !== undefined) {
            pending.refused.push(pending.cell);
            this.submit(pending);
            return;
        }
        pending.settle(end);
    }
}
