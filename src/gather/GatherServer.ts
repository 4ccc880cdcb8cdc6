/**
 * The gatherer role of an entry host: runs one {@link CellGatherer} for each cell that hosts send pieces for, and
 * returns the results to the submitting hosts in batched messages.
 */
import { Left } from "purify-ts";
import type { Clock, HostId } from "../common/Types.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import type { FleetSource, GatherPolicies } from "../fleet/Types.js";
import type { EndpointSpeeds } from "../load/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import { inBackground } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { CellGatherer } from "./CellGatherer.js";
import type { CellCache } from "./Cells.js";
import { gatherMethods, type WorkReply, type WorkRequest } from "./GatherMessages.js";
import type { CellId, EndedSubmission, PieceClient, SubmissionId, SubmissionOutcome } from "./Types.js";

/** Results for a host are collected for this long and sent together. */
const deliveryDelayMs = 2;
/** Time limit for delivering results, over all attempts; without results the submitter uses another gatherer. */
const deliveryTimeoutMs = 1400;
const maxDeliveryAttempts = 2;

interface GatherServerOptions {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly cells: CellCache;
    readonly client: PieceClient;
    readonly notices: EndpointNotices;
    /** Speeds that endpoints state to any host. */
    readonly speeds?: EndpointSpeeds;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
    readonly policies?: GatherPolicies | undefined;
}

export class GatherServer {
    private readonly gatherers = new Map<CellId, CellGatherer>();
    /** Outcomes to deliver, by submitting host. */
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

    /**
     * Accepts work from a host. For work of this host itself, `local` receives the outcomes directly instead of by
     * message.
     */
    public work(req: WorkRequest, from: HostId, local?: (id: SubmissionId, end: SubmissionOutcome) => void): WorkReply {
        const usedCells = new Set<CellId>();
        for (const { cell, results } of req.frees) {
            this.gatherer(cell)?.free(results);
        }
        for (const { cell, id } of req.cancels) {
            this.gatherers.get(cell)?.cancel(id);
        }
        for (const submission of req.submissions) {
            const { id, cell = "" as CellId } = submission;
            const deliver = (outcome: SubmissionOutcome) => {
                if (local === undefined) {
                    this.queueOutcome(from, id, cell, outcome);
                }
                else {
                    local(id, outcome);
                }
            };
            const gatherer = this.gatherer(cell);
            if (gatherer === undefined || this.options.cells.current().get(cell) === undefined) {
                deliver(Left({ kind: "moved", message: "the gatherer's endpoint list does not have the cell" }));
                continue;
            }
            usedCells.add(cell);
            gatherer.submit(submission, deliver);
        }
        return this.waitsOf(usedCells);
    }

    private waitsOf(cells: ReadonlySet<CellId>) {
        const waits: [CellId, number][] = [];
        const lateWaits: [CellId, number][] = [];
        for (const cell of cells) {
            const { onTimeMs, lateMs } = this.gatherers.get(cell)?.typicalWaits() ?? { onTimeMs: 0, lateMs: 0 };
            waits.push([cell, Math.round(onTimeMs)]);
            lateWaits.push([cell, Math.round(lateMs)]);
        }
        return { waits, lateWaits };
    }

    /**
     * The gatherer of a cell, created on first use; undefined when there is none yet and this host's endpoint list does
     * not have the cell. A gatherer outlives its cell, since results of the cell are still freed through it.
     */
    private gatherer(id: CellId): CellGatherer | undefined {
        const { fleet, cells, client, notices, speeds, clock, log, metrics, policies } = this.options;
        const known = this.gatherers.get(id);
        const service = cells.current().get(id)?.service;
        if (known !== undefined || service === undefined) {
            return known;
        }
        const traits = () => fleet.view().deployment?.services.get(service)?.pieces;
        const added = new CellGatherer({ service, traits, client, notices, speeds, clock, log, metrics, policies });
        this.gatherers.set(id, added);
        added.setEndpoints(cells.current().usableEndpoints(id));
        return added;
    }

    private queueOutcome(to: HostId, id: SubmissionId, cell: CellId, outcome: SubmissionOutcome): void {
        const ended = outcome.caseOf<EndedSubmission>({
            Left: error => ({ id, cell, results: [], error }),
            Right: results => ({ id, cell, results }),
        });
        const waiting = this.outbox.get(to);
        if (waiting !== undefined) {
            waiting.push(ended);
            return;
        }
        this.outbox.set(to, [ended]);
        this.options.clock.setTimer(
            deliveryDelayMs,
            () => inBackground(this.options.log, "send-outcomes", this.flush(to)),
        );
    }

    private async flush(to: HostId): Promise<void> {
        const { transport, signal, log } = this.options;
        const ended = this.outbox.get(to) ?? [];
        this.outbox.delete(to);
        const waits = this.waitsOf(new Set(ended.map(one => one.cell)));
        let message = "stopped";
        for (let attempts = 0; attempts < maxDeliveryAttempts && !signal.aborted; attempts++) {
            const options = { timeoutMs: deliveryTimeoutMs / maxDeliveryAttempts, signal };
            const sent = await transport.call(to, gatherMethods.ended, { ended, ...waits }, options);
            if (sent.isRight()) {
                return;
            }
            sent.ifLeft(error => message = error.message);
        }
        // The submitter has ended or uses another gatherer; the results stay unused until they expire.
        log.event(EventId.ResultsUndelivered, { to, submissions: ended.map(one => one.id), message });
    }
}
