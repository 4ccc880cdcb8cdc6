/**
 * Sends pieces to the gatherer of their service: the first live host in rendezvous order, which all hosts find without
 * a message. A gatherer that fails or falls silent is passed by, and what it held is submitted to the next one.
 */
import { Left, Right } from "purify-ts";
import type { Clock, HostId, Incarnation } from "../common/Types.js";
import { rankByWeight } from "../endpoints/Rendezvous.js";
import type { FleetSource, ServiceId } from "../fleet/Types.js";
import type { PeerRegistry, PeerTransport } from "../peer/Types.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog } from "../telemetry/Types.js";
import type { Gatherer } from "./Gatherer.js";
import { gatherMethods, type WorkRequest } from "./GatherMessages.js";
import type { EndedSubmission, PieceMaker, PieceResult, PiecesEnd, Submission, SubmissionId } from "./Types.js";

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

interface Pending {
    readonly submission: Submission;
    readonly submittedMs: number;
    readonly settle: (end: PiecesEnd) => void;
    gatherer: HostId;
}

interface Outbox {
    readonly submissions: Submission[];
    readonly cancels: { service: ServiceId; id: SubmissionId; }[];
    readonly frees: { service: ServiceId; results: PieceResult[]; }[];
}

export interface GatherClientOptions {
    readonly self: HostId;
    readonly incarnation: Incarnation;
    readonly fleet: FleetSource;
    readonly local: Gatherer;
    readonly transport: PeerTransport;
    readonly registry: PeerRegistry;
    readonly clock: Clock;
    readonly log: EventLog;
}

export class GatherClient implements PieceMaker, Service {
    public readonly name = "gather-client";
    private readonly pending = new Map<SubmissionId, Pending>();
    private readonly outboxes = new Map<HostId, Outbox>();
    private readonly heardMs = new Map<HostId, number>();
    private readonly avoidUntilMs = new Map<HostId, number>();
    private readonly waits = new Map<ServiceId, { readonly waitMs: number; readonly atMs: number; }>();
    private readonly asking = new Set<HostId>();

    public constructor(private readonly options: GatherClientOptions) {
        options.registry.handle(gatherMethods.ended, async ({ ended, waits }, from) => {
            this.heardMs.set(from, options.clock.nowMs());
            this.noteWaits(waits);
            ended.forEach(one => this.take(one, from));
            return {};
        });
    }

    public make(submission: Submission, signal: AbortSignal): Promise<PiecesEnd> {
        const { log, clock } = this.options;
        return new Promise(resolve => {
            const cancelled = () => {
                const gatherer = this.pending.get(submission.id)?.gatherer;
                if (gatherer !== undefined) {
                    this.outbox(gatherer).cancels.push({ service: submission.service, id: submission.id });
                }
                settle(Left({ kind: "cancelled", message: "the request has ended" }));
            };
            const settle = (end: PiecesEnd) => {
                signal.removeEventListener("abort", cancelled);
                this.pending.delete(submission.id);
                resolve(end);
            };
            if (signal.aborted) {
                settle(Left({ kind: "cancelled", message: "the request has ended" }));
                return;
            }
            signal.addEventListener("abort", cancelled);
            const gatherer = this.gathererOf(submission.service);
            this.pending.set(submission.id, { submission, submittedMs: clock.nowMs(), settle, gatherer });
            const { id, service, request, stage, pieces, startInMs } = submission;
            log.event(EventId.PiecesSubmitted, {
                request,
                submission: id,
                service,
                stage,
                pieces: pieces.length,
                startInMs: Math.round(startInMs),
                gatherer,
            });
            this.outbox(gatherer).submissions.push(submission);
        });
    }

    public free(service: ServiceId, results: readonly PieceResult[]): void {
        if (results.length > 0) {
            this.outbox(this.gathererOf(service)).frees.push({ service, results: [...results] });
        }
    }

    public waitMs(service: ServiceId): number | undefined {
        const known = this.waits.get(service);
        const isRecent = known !== undefined && this.options.clock.nowMs() - known.atMs < waitValidMs;
        return isRecent ? known.waitMs : undefined;
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

    /** The first live host in the service's order that has not just failed; this host where none is left. */
    private gathererOf(service: ServiceId): HostId {
        const { fleet, self, clock } = this.options;
        const hosts = fleet.view().hosts.filter(one => one.isLive).map(one => one.host);
        const nowMs = clock.nowMs();
        return rankByWeight(service, hosts).find(host => nowMs >= (this.avoidUntilMs.get(host) ?? 0)) ?? self;
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

    private noteWaits(waits: readonly (readonly [ServiceId, number])[]): void {
        const atMs = this.options.clock.nowMs();
        waits.forEach(([service, waitMs]) => this.waits.set(service, { waitMs, atMs }));
    }

    /** Passes a gatherer by and submits what it owes to the next ones. */
    private lost(host: HostId, message: string): void {
        const { clock, log } = this.options;
        this.avoidUntilMs.set(host, clock.nowMs() + avoidMs);
        const owed = [...this.pending.values()].filter(one => one.gatherer === host);
        log.event(EventId.GathererLost, { gatherer: host, message, submissions: owed.length });
        for (const pending of owed) {
            const { submission, submittedMs } = pending;
            const passedMs = clock.nowMs() - submittedMs;
            pending.gatherer = this.gathererOf(submission.service);
            this.outbox(pending.gatherer).submissions.push({
                ...submission,
                startInMs: submission.startInMs - passedMs,
                remainingMs: submission.remainingMs - passedMs,
            });
        }
    }

    private take({ id, service, results, error }: EndedSubmission, from: HostId): void {
        if (this.pending.has(id)) {
            this.finish(id, error === undefined ? Right(results) : Left(error));
        }
        else if (results.length > 0) {
            // Made twice, or for a request that has ended.
            this.outbox(from).frees.push({ service, results: [...results] });
        }
    }

    private finish(id: SubmissionId, end: PiecesEnd): void {
        const pending = this.pending.get(id);
        if (pending === undefined) {
            return;
        }
        const { log, clock } = this.options;
        const { request, service, stage } = pending.submission;
        log.event(EventId.PiecesEnded, {
            request,
            submission: id,
            service,
            stage,
            gatherer: pending.gatherer,
            durationMs: Math.round(clock.nowMs() - pending.submittedMs),
            outcome: end.caseOf<unknown>({
                Left: error => error,
                Right: results => ({ kind: "made", results: results.length }),
            }),
        });
        pending.settle(end);
    }
}
