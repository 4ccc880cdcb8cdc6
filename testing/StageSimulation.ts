/**
 * Simulates requests whose stages run at gatherers and timed endpoints, in one process and without network. Bursts and
 * losses of endpoints happen in simulated time; a refused caller retries once, after the advised delay.
 */
import { Left } from "purify-ts";
import type { Admission } from "../src/admission/Types.js";
import type { DataCentreId, Random } from "../src/common/Types.js";
import type { BatchTraits, Deployment, Route, RouteId, RouteStage, ServiceId } from "../src/fleet/Types.js";
import {
    defaultRetryMs,
    infeasibleStages,
    StageGraph,
    type StagePlan,
    stagesAndReplyMs,
} from "../src/gateway/StageGraph.js";
import { CellGatherer } from "../src/gather/CellGatherer.js";
import type {
    NewSubmission,
    PieceExecutor,
    PieceResult,
    SubmissionId,
    SubmissionOutcome,
} from "../src/gather/Types.js";
import { FakeClock } from "./FakeClock.js";
import {
    deployment,
    listed,
    noMetrics,
    route,
    service,
    serviceId,
    silentLog,
    testNotices,
    TimedEndpoints,
} from "./FleetFixtures.js";

export interface SimulatedService {
    readonly traits: BatchTraits;
    readonly endpoints: number;
}

export interface RequestProfile {
    readonly name: string;
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    readonly replyMs: number;
    readonly priority: number;
    /** Value of an answer that is on time, and of one that is late. */
    readonly worth: readonly [onTime: number, late: number];
    readonly stages: readonly RouteStage[];
    pieces(): readonly number[];
}

interface Outcome {
    readonly kind: RequestProfile;
    /** Number of pieces of all stages. */
    readonly size: number;
    readonly end: "on-time" | "late" | "refused-again";
}

/** Interval at which a host hears of the waits; every other host hears of them less often. */
const waitReportMs = 150;
/** Mean number of requests in a group that arrives at the same time. */
const meanGroupSize = 3;
const stepMs = 10;
/** Time for all requests to end after the last was sent; longer than any deadline in the loads. */
const drainMs = 20_000;
/** Maximum share of the remaining time that a caller waits before its retry. */
const maxRetryWaitShare = 1 / 3;

export class StageSimulation implements PieceExecutor {
    public readonly clock = new FakeClock();
    public readonly outcomes: Outcome[] = [];
    private readonly gatherers = new Map<ServiceId, CellGatherer>();
    private readonly endpoints = new Map<ServiceId, TimedEndpoints>();
    private readonly bytes = new Map<string, number>();
    private readonly graph: StageGraph;
    private readonly deployment: Deployment;
    private lastId = 0;
    private admissions: readonly Admission[] = [];
    /** Time that a submission takes to its gatherer, and its results back. */
    public messageMs = 0;

    public constructor(services: Readonly<Record<string, SimulatedService>>) {
        this.deployment = deployment(
            [],
            Object.entries(services).map(([id, { traits: pieces }]) => service(id, { pieces })),
        );
        for (const [id, { traits, endpoints }] of Object.entries(services)) {
            const client = new TimedEndpoints(
                this.clock,
                traits,
                call => this.bytes.get(`${call.request}/${call.stage}`) ?? 0,
            );
            const gatherer = new CellGatherer({
                service: serviceId(id),
                traits: () => traits,
                client,
                notices: testNotices(this.clock),
                clock: this.clock,
                log: silentLog,
                metrics: noMetrics,
            });
            this.gatherers.set(serviceId(id), gatherer);
            this.endpoints.set(serviceId(id), client);
            this.setEndpoints(id, endpoints);
        }
        this.graph = new StageGraph(this, this.clock, () => this.nextId());
    }

    /** Sets the number of endpoints of a service. */
    public setEndpoints(id: string, count: number): void {
        const names = Array.from(
            { length: count },
            (_, at) => listed(`${id}${at}`, { dataCentre: "a" as DataCentreId }),
        );
        this.gatherers.get(serviceId(id))?.setEndpoints(names);
    }

    /** Puts admission control in front of the stages at each of several hosts, to which waits are reported late. */
    public useAdmission(hosts: number, create: (waitMs: PieceExecutor["waitMs"]) => Admission): void {
        this.admissions = Array.from({ length: hosts }, (_, host) => {
            const reported = new Map<string, { readonly atMs: number; readonly waitMs: number | undefined; }>();
            return create((id, goes) => {
                const key = `${id} ${goes ?? ""}`;
                const nowMs = this.clock.nowMs();
                const last = reported.get(key);
                const isDue = last === undefined || nowMs - last.atMs >= waitReportMs * (1 + host % 2 / 2);
                const report = isDue ? { atMs: nowMs, waitMs: this.waitMs(id, goes) } : last;
                reported.set(key, report);
                return report.waitMs;
            });
        });
    }

    /** Sends one request and retries it once if it is refused. */
    public async send(kind: RequestProfile): Promise<void> {
        const sentMs = this.clock.nowMs();
        const pieces = kind.pieces();
        const firstRetryMs = await this.attempt(kind, pieces, kind.deadlineMs);
        const passedMs = () => this.clock.nowMs() - sentMs;
        let lastRetryMs = firstRetryMs;
        if (firstRetryMs !== undefined) {
            await this.clock.sleep(Math.min(firstRetryMs, (kind.deadlineMs - passedMs()) * maxRetryWaitShare));
            lastRetryMs = await this.attempt(kind, pieces, kind.deadlineMs - passedMs());
        }
        const servedEnd = passedMs() <= kind.objectiveMs ? "on-time" : "late";
        this.outcomes.push({
            kind,
            size: pieces.reduce((sum, one) => sum + one, 0),
            end: lastRetryMs === undefined ? servedEnd : "refused-again",
        });
    }

    /** Sends groups of requests of each kind at its mean rate and waits until all have ended. */
    public async runLoad(rates: ReadonlyMap<RequestProfile, (atS: number) => number>, seconds: number, random: Random) {
        const sent: Promise<void>[] = [];
        for (let atMs = 0; atMs < seconds * 1000; atMs += stepMs) {
            for (const [kind, perSecond] of rates) {
                if (random.next() < perSecond(atMs / 1000) * stepMs / 1000 / meanGroupSize) {
                    const groupSize = 1 + random.below(2 * meanGroupSize - 1);
                    sent.push(...Array.from({ length: groupSize }, () => this.send(kind)));
                }
            }
            await this.clock.advance(stepMs);
        }
        await this.clock.advance(drainMs);
        await Promise.all(sent);
    }

    /** Returns the share of requests of one kind, or of all, with the given end. */
    public share(end: Outcome["end"], kind?: RequestProfile): number {
        const selected = this.outcomes.filter(one => kind === undefined || one.kind === kind);
        return selected.filter(one => one.end === end).length / Math.max(1, selected.length);
    }

    /** Returns the value earned as a share of the value of answering all on time, for one kind or all. */
    public worth(kind?: RequestProfile): number {
        const selected = this.outcomes.filter(one => kind === undefined || one.kind === kind);
        const possible = selected.reduce((sum, one) => sum + one.kind.worth[0], 0);
        const earned = selected.reduce((sum, one) => sum + earnedValue(one), 0);
        return earned / Math.max(1, possible);
    }

    public async execute(submission: NewSubmission, signal: AbortSignal): Promise<SubmissionOutcome> {
        const { messageMs, clock } = this;
        if (messageMs === 0) {
            return this.submit(submission, signal);
        }
        await clock.sleep(messageMs);
        const { startInMs, remainingMs } = submission;
        const arrived = { ...submission, startInMs: startInMs - messageMs, remainingMs: remainingMs - messageMs };
        const outcome = await this.submit(arrived, signal);
        await clock.sleep(messageMs);
        return outcome;
    }

    private submit(submission: NewSubmission, signal: AbortSignal): Promise<SubmissionOutcome> {
        this.bytes.set(`${submission.request}/${submission.stage}`, submission.resultBytes);
        return new Promise(resolve => {
            const gatherer = this.gatherers.get(submission.service);
            signal.addEventListener("abort", () => {
                gatherer?.cancel(submission.id);
                resolve(Left({ kind: "cancelled", message: "the request has ended" }));
            });
            gatherer?.submit({ ...submission, cell: undefined, onTimeOnly: false }, resolve);
        });
    }

    public free(results: readonly PieceResult[]): void {
        this.gatherers.forEach(one => one.free(results));
    }

    public waitMs(id: ServiceId, goes?: "last"): number | undefined {
        const waits = this.gatherers.get(id)?.typicalWaits();
        return goes === "last" ? waits?.lateMs : waits?.onTimeMs;
    }

    /** Runs a request; returns undefined if it was served, else the advised delay before a retry in milliseconds. */
    private async attempt(
        kind: RequestProfile,
        pieces: readonly number[],
        leftMs: number,
    ): Promise<number | undefined> {
        const nowMs = this.clock.nowMs();
        const plan: StagePlan = {
            request: this.nextId(),
            route: this.routeOf(kind),
            deployment: this.deployment,
            pieces,
            pieceKey: "k",
            priority: kind.priority,
            objectiveMs: nowMs + kind.objectiveMs,
            deadlineMs: nowMs + leftMs,
            replyMs: kind.replyMs,
            dataCentre: undefined,
            notIn: [],
        };
        // Requests reach the hosts in turn.
        const refusal = this.admissions[this.lastId % this.admissions.length]?.enter({
            route: kind.name as RouteId,
            stageServices: kind.stages.filter((_, at) => (pieces[at] ?? 0) > 0).map(one => one.service),
            workMs: stagesAndReplyMs(plan, () => 0),
            priority: kind.priority,
            objectiveMs: kind.objectiveMs,
            remainingMs: leftMs,
        });
        if (refusal?.kind === "refused") {
            return refusal.retryAfterMs ?? leftMs;
        }
        return this.runAdmitted(kind, plan);
    }

    private async runAdmitted(kind: RequestProfile, plan: StagePlan): Promise<number | undefined> {
        const infeasible = infeasibleStages(plan, this.clock.nowMs(), id => this.waitMs(id));
        if (infeasible !== undefined) {
            return infeasible.retryAfterMs;
        }
        const result = await this.graph.run(plan, AbortSignal.any([]));
        if (result.isLeft()) {
            const error = result.swap().unsafeCoerce();
            return error.kind === "overloaded" ? error.retryAfterMs : defaultRetryMs;
        }
        await this.clock.sleep(kind.replyMs);
        result.ifRight(results => results.free());
        return undefined;
    }

    private routeOf(kind: RequestProfile): Route {
        return route({ objectiveMs: kind.objectiveMs, priority: kind.priority, stages: kind.stages });
    }

    private nextId(): SubmissionId {
        this.lastId += 1;
        return `p${this.lastId}` as SubmissionId;
    }
}

function earnedValue({ kind, end }: Outcome): number {
    const [onTime, late] = kind.worth;
    return end === "on-time" ? onTime : end === "late" ? late : 0;
}
