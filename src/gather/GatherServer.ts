/**
 * The gathering side of an entry host: one {@link CellGatherer} for each cell that hosts send pieces for, and the
 * way back of results, in one message for each host and moment.
 */
import { Left } from "purify-ts";
import type { Clock, HostId } from "../common/Types.js";
import type { FleetSource } from "../fleet/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { CellGatherer } from "./CellGatherer.js";
import type { CellCache } from "./Cells.js";
import { gatherMethods, type WorkReply, type WorkRequest } from "./GatherMessages.js";
import type { CellId, EndedSubmission, PieceClient, SubmissionId, SubmissionOutcome } from "./Types.js";

/** Results of one moment travel together. */
const resultDelayMs = 2;
/** Bound on handing results over; the submitter asks another host if they do not come. */
const resultTimeoutMs = 1000;
const resultTries = 3;

interface GatherServerOptions {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly cells: CellCache;
    readonly client: PieceClient;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
}

export class GatherServer {
    private readonly gatherers = new Map<CellId, CellGatherer>();
    private readonly outbox = new Map<HostId, EndedSubmission[]>();

    public constructor(private readonly options: GatherServerOptions) {
        const { fleet, registry } = options;
        fleet.onChange(() => {
            const cells = options.cells.current();
            for (const [cell, gatherer] of this.gatherers) {
                gatherer.setEndpoints(cells.usableEndpoints(cell));
                if (cells.get(cell) === undefined) {
                    gatherer.abandon();
                }
            }
        });
        registry.handle(gatherMethods.work, async (req, from) => this.work(req, from));
    }

    /** Takes work of a host, which may be this one. */
    public work(req: WorkRequest, from: HostId, local?: (id: SubmissionId, end: SubmissionOutcome) => void): WorkReply {
        const named = new Set<CellId>();
        for (const { cell, results } of req.frees) {
            void this.gatherer(cell)?.free(results);
        }
        for (const { cell, id } of req.cancels) {
            this.gatherers.get(cell)?.cancel(id);
        }
        for (const submission of req.submissions) {
            const { id, cell = "" as CellId } = submission;
            const deliver = (end: SubmissionOutcome) => {
                if (local === undefined) {
                    this.sendBack(from, id, cell, end);
                }
                else {
                    local(id, end);
                }
            };
            const gatherer = this.gatherer(cell);
            if (gatherer === undefined) {
                deliver(Left({ kind: "moved", message: "the cell is not known here" }));
                continue;
            }
            named.add(cell);
            gatherer.submit(submission, deliver);
        }
        return { waits: [...named].map(cell => [cell, this.waitMs(cell)]) };
    }

    private waitMs(cell: CellId): number {
        return Math.round(this.gatherers.get(cell)?.typicalWaitMs() ?? 0);
    }

    /** The gatherer of a cell; undefined for a cell that this host's list does not have. */
    private gatherer(id: CellId): CellGatherer | undefined {
        const { fleet, cells, client, clock, log, metrics } = this.options;
        const known = this.gatherers.get(id);
        const service = cells.current().get(id)?.service;
        if (known !== undefined || service === undefined) {
            return known;
        }
        const traits = () => fleet.view().deployment?.services.get(service)?.pieces;
        const added = new CellGatherer({ service, traits, client, clock, log, metrics });
        this.gatherers.set(id, added);
        added.setEndpoints(cells.current().usableEndpoints(id));
        return added;
    }

    private sendBack(to: HostId, id: SubmissionId, cell: CellId, end: SubmissionOutcome): void {
        const ended = end.caseOf<EndedSubmission>({
            Left: error => ({ id, cell, results: [], error }),
            Right: results => ({ id, cell, results }),
        });
        const waiting = this.outbox.get(to);
        if (waiting !== undefined) {
            waiting.push(ended);
            return;
        }
        this.outbox.set(to, [ended]);
        this.options.clock.setTimer(resultDelayMs, () => void this.flush(to));
    }

    private async flush(to: HostId): Promise<void> {
        const { transport, signal, log } = this.options;
        const ended = this.outbox.get(to) ?? [];
        this.outbox.delete(to);
        const named = new Set(ended.map(one => one.cell));
        const waits = [...named].map((cell): [CellId, number] => [cell, this.waitMs(cell)]);
        let message = "stopped";
        for (let tries = 0; tries < resultTries && !signal.aborted; tries++) {
            const options = { timeoutMs: resultTimeoutMs / resultTries, signal };
            const sent = await transport.call(to, gatherMethods.ended, { ended, waits }, options);
            if (sent.isRight()) {
                return;
            }
            sent.ifLeft(error => message = error.message);
        }
        // The submitter has gone or asks elsewhere: its results lie unused until they expire.
        log.event(EventId.ResultsUndelivered, { to, submissions: ended.map(one => one.id), message });
    }
}
