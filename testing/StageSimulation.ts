/**
 * Requests whose stages run at gatherers and timed endpoints in one process and without network: bursts and losses of
 * endpoints are played in simulated time, and each caller comes back once after a refusal, as it was told.
 */
import { Left } from "purify-ts";
import type { DataCentreId, Random } from "../src/common/Types.js";
import type { BatchTraits, Deployment, Route, RouteStage, ServiceId } from "../src/fleet/Types.js";
import { defaultRetryMs, infeasibleStages, StageGraph, type StagePlan } from "../src/gateway/StageGraph.js";
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
    /** What an answer is worth on time, and late. */
    readonly worth: readonly [onTime: number, late: number];
    readonly stages: readonly RouteStage[];
    pieces(): readonly number[];
}

interface Outcome {
    readonly kind: RequestProfile;
    readonly end: "on-time" | "late" | "refused-again";
}

/** Requests of a clump arrive together; so many on average. */
const meanClump = 3;
const stepMs = 10;
/** Time for all requests to end after the last was sent; more than any deadline of the loads. */
const drainMs = 20_000;
/** Share of the time left for which a caller stays away at most. */
const mostAwayShare = 1 / 3;

export class StageSimulation implements PieceExecutor {
    public readonly clock = new FakeClock();
    public readonly outcomes: Outcome[] = [];
    private readonly gatherers = new Map<ServiceId, CellGatherer>();
    private readonly endpoints = new Map<ServiceId, TimedEndpoints>();
    private readonly bytes = new Map<string, number>();
    private readonly graph: StageGraph;
    private readonly deployment: Deployment;
    private made = 0;

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

    /** Leaves so many endpoints of a service. */
    public setEndpoints(id: string, count: number): void {
        const names = Array.from(
            { length: count },
            (_, at) => listed(`${id}${at}`, { dataCentre: "a" as DataCentreId }),
        );
        this.gatherers.get(serviceId(id))?.setEndpoints(names);
    }

    /** Sends one request, and once more if it is refused. */
    public async send(kind: RequestProfile): Promise<void> {
        const sentMs = this.clock.nowMs();
        const pieces = kind.pieces();
        const first = await this.attempt(kind, pieces, kind.deadlineMs);
        const passedMs = () => this.clock.nowMs() - sentMs;
        let refused = first;
        if (first !== undefined) {
            await this.clock.sleep(Math.min(first, (kind.deadlineMs - passedMs()) * mostAwayShare));
            refused = await this.attempt(kind, pieces, kind.deadlineMs - passedMs());
        }
        const servedEnd = passedMs() <= kind.objectiveMs ? "on-time" : "late";
        this.outcomes.push({ kind, end: refused === undefined ? servedEnd : "refused-again" });
    }

    /** Sends clumps of requests of each kind at its rate, and waits until all have their answers. */
    public async runLoad(rates: ReadonlyMap<RequestProfile, (atS: number) => number>, seconds: number, random: Random) {
        const sent: Promise<void>[] = [];
        for (let atMs = 0; atMs < seconds * 1000; atMs += stepMs) {
            for (const [kind, perSecond] of rates) {
                if (random.next() < perSecond(atMs / 1000) * stepMs / 1000 / meanClump) {
                    const clump = 1 + random.below(2 * meanClump - 1);
                    sent.push(...Array.from({ length: clump }, () => this.send(kind)));
                }
            }
            await this.clock.advance(stepMs);
        }
        await this.clock.advance(drainMs);
        await Promise.all(sent);
    }

    /** Share of a kind's requests, or of all, that ended so. */
    public share(end: Outcome["end"], kind?: RequestProfile): number {
        const those = this.outcomes.filter(one => kind === undefined || one.kind === kind);
        return those.filter(one => one.end === end).length / Math.max(1, those.length);
    }

    /** What was earned of what all answers on time would be worth, for one kind or all. */
    public worth(kind?: RequestProfile): number {
        const those = this.outcomes.filter(one => kind === undefined || one.kind === kind);
        const owed = those.reduce((sum, one) => sum + one.kind.worth[0], 0);
        const earned = those.reduce((sum, one) => sum + earnedBy(one), 0);
        return earned / Math.max(1, owed);
    }

    public execute(asked: NewSubmission, signal: AbortSignal): Promise<SubmissionOutcome> {
        this.bytes.set(`${asked.request}/${asked.stage}`, asked.resultBytes);
        return new Promise(resolve => {
            const gatherer = this.gatherers.get(asked.service);
            signal.addEventListener("abort", () => {
                gatherer?.cancel(asked.id);
                resolve(Left({ kind: "cancelled", message: "the request has ended" }));
            });
            gatherer?.submit({ ...asked, cell: undefined, onTimeOnly: false }, resolve);
        });
    }

    public free(results: readonly PieceResult[]): void {
        this.gatherers.forEach(one => void one.free(results));
    }

    public waitMs(id: ServiceId): number | undefined {
        return this.gatherers.get(id)?.typicalWaitMs();
    }

    /** Runs a request; undefined once it is served, else the advised time to come back. */
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
        const hopeless = infeasibleStages(plan, nowMs, id => this.waitMs(id));
        if (hopeless !== undefined) {
            return hopeless.retryAfterMs;
        }
        const ended = await this.graph.run(plan, AbortSignal.any([]));
        if (ended.isLeft()) {
            const error = ended.swap().unsafeCoerce();
            return error.kind === "overloaded" ? error.retryAfterMs : defaultRetryMs;
        }
        await this.clock.sleep(kind.replyMs);
        ended.ifRight(results => results.free());
        return undefined;
    }

    private routeOf(kind: RequestProfile): Route {
        return route({ objectiveMs: kind.objectiveMs, priority: kind.priority, stages: kind.stages });
    }

    private nextId(): SubmissionId {
        this.made += 1;
        return `p${this.made}` as SubmissionId;
    }
}

function earnedBy({ kind, end }: Outcome): number {
    const [onTime, late] = kind.worth;
    return end === "on-time" ? onTime : end === "late" ? late : 0;
}
