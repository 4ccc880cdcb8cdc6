/**
 * The gathering side of an entry host: one {@link ServiceGatherer} for each service that hosts send pieces for, and the
 * way back of results, in one message for each host and moment.
 */
import type { Clock, HostId } from "../common/Types.js";
import type { FleetSource, FleetView, ServiceId } from "../fleet/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { gatherMethods, type WorkReply, type WorkRequest } from "./GatherMessages.js";
import { ServiceGatherer } from "./ServiceGatherer.js";
import type { EndedSubmission, PieceClient, PiecesEnd, Submission, SubmissionId } from "./Types.js";

/** Results of one moment travel together. */
const resultDelayMs = 2;
/** Bound on handing results over; the submitter asks another host if they do not come. */
const resultTimeoutMs = 1000;
const resultTries = 3;
/** Submitters are told the wait of a submission with this much time before its latest start. */
const usualSlackMs = 500;
/** Told where the end of a wait can't be seen. */
const unknownWaitMs = 60_000;

export interface GathererOptions {
    readonly self: HostId;
    readonly fleet: FleetSource;
    readonly client: PieceClient;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly signal: AbortSignal;
}

export class Gatherer {
    private readonly services = new Map<ServiceId, ServiceGatherer>();
    private readonly outbox = new Map<HostId, EndedSubmission[]>();

    public constructor(private readonly options: GathererOptions) {
        const { fleet, registry } = options;
        fleet.onChange(view => this.services.forEach((one, service) => one.setEndpoints(usable(view, service))));
        registry.handle(gatherMethods.work, async (req, from) => this.work(req, from));
    }

    /** Submissions that have not ended. */
    public get size(): number {
        return [...this.services.values()].reduce((sum, one) => sum + one.size, 0);
    }

    /** Takes work of a host, which may be this one. */
    public work(req: WorkRequest, from: HostId, local?: (id: SubmissionId, end: PiecesEnd) => void): WorkReply {
        const services = new Set<ServiceId>();
        for (const { service, results } of req.frees) {
            void this.service(service).free(results);
        }
        for (const { service, id } of req.cancels) {
            this.service(service).cancel(id);
        }
        for (const submission of req.submissions) {
            services.add(submission.service);
            const deliver = (end: PiecesEnd) => {
                if (local === undefined) {
                    this.sendBack(from, submission, end);
                }
                else {
                    local(submission.id, end);
                }
            };
            this.service(submission.service).submit(submission, deliver);
        }
        return { waits: [...services].map(service => [service, this.waitMs(service)]) };
    }

    private waitMs(service: ServiceId): number {
        const waitMs = this.service(service).waitMs(this.options.clock.nowMs() + usualSlackMs, Infinity, 0);
        return Math.round(Math.min(waitMs, unknownWaitMs));
    }

    private service(service: ServiceId): ServiceGatherer {
        const { fleet, client, clock, log, metrics } = this.options;
        const known = this.services.get(service);
        if (known !== undefined) {
            return known;
        }
        const traits = () => fleet.view().deployment?.services.get(service)?.pieces;
        const added = new ServiceGatherer({ service, traits, client, clock, log, metrics });
        this.services.set(service, added);
        added.setEndpoints(usable(fleet.view(), service));
        return added;
    }

    private sendBack(to: HostId, { id, service }: Submission, end: PiecesEnd): void {
        const ended = end.caseOf<EndedSubmission>({
            Left: error => ({ id, service, results: [], error }),
            Right: results => ({ id, service, results }),
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
        const { transport, signal } = this.options;
        const ended = this.outbox.get(to) ?? [];
        this.outbox.delete(to);
        const waits = [...new Set(ended.map(one => one.service))].map((service): [ServiceId, number] => [
            service,
            this.waitMs(service),
        ]);
        for (let tries = 0; tries < resultTries && !signal.aborted; tries++) {
            const options = { timeoutMs: resultTimeoutMs / resultTries, signal };
            const sent = await transport.call(to, gatherMethods.ended, { ended, waits }, options);
            if (sent.isRight()) {
                return;
            }
        }
        // The submitter has gone or asks elsewhere: its results lie unused until they expire.
    }
}

function usable(view: FleetView, service: ServiceId) {
    return view.endpoints.filter(one =>
        one.service === service && !one.isLeaving && !view.dataCentresOut.has(one.dataCentre)
    );
}
