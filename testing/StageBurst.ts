/**
 * Simulates a burst of one kind of request over the stages of a large deployment, without a network: four data centres,
 * one gatherer for each cell, endpoints with bounded storage, and callers that leave at their deadline.
 */
import { Left } from "purify-ts";
import type { DataCentreId, EndpointId, Random } from "../src/common/Types.js";
import type { BatchTraits, Deployment, GatherPolicies, Route, RouteStage, ServiceId } from "../src/fleet/Types.js";
import { StageGraph, type StagePlan } from "../src/gateway/StageGraph.js";
import { CellGatherer } from "../src/gather/CellGatherer.js";
import type {
    NewSubmission,
    PieceClient,
    PieceExecutor,
    PieceResult,
    SubmissionId,
    SubmissionOutcome,
} from "../src/gather/Types.js";
import { FakeClock } from "./FakeClock.js";
import { deployment, listed, noMetrics, route, service, serviceId, silentLog, testNotices } from "./FleetFixtures.js";
import { ResultRecord, StoredEndpoints } from "./StoredEndpoints.js";

const centres = ["a", "b", "c", "d"] as const;
const stepMs = 10;
const drainMs = 16_000;
/** As in GatherClient: a submission leaves its data centre when that shortens the wait by more than this. */
const minRemoteGainMs = 100;
const meanGroupSize = 3;

export interface BurstKind {
    readonly name: string;
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    /** Time until the reader of the results has them. */
    readonly replyMs: number;
    readonly priority: number;
    readonly stages: readonly RouteStage[];
    pieces(): readonly number[];
}

export interface BurstService {
    readonly traits: BatchTraits;
    readonly endpoints: number;
}

export class StageBurst implements PieceExecutor {
    public readonly clock = new FakeClock();
    public readonly results = new ResultRecord(this.clock);
    public readonly endpoints = new Map<ServiceId, StoredEndpoints>();
    public readonly ends: { readonly kind: BurstKind; readonly end: "on-time" | "late" | "refused" | "expired"; }[] =
        [];
    /** The gatherers of each cell: one, or two while hosts disagree on which one is in use. */
    private readonly gatherers = new Map<string, CellGatherer[]>();
    private readonly pending = new Map<SubmissionId, { readonly cell: string; readonly restart: () => void; }>();
    private readonly killed = new Set<CellGatherer>();
    private readonly ended = new Set<string>();
    private readonly bytes = new Map<string, number>();
    private readonly homes = new Map<string, string>();
    private readonly graph = new StageGraph(this, this.clock, () => this.nextId());
    private readonly deployment: Deployment;
    private readonly clients = new Map<ServiceId, { client: StoredEndpoints; traits: BatchTraits; }>();
    private readonly names = new Map<string, readonly string[]>();
    private lastId = 0;

    public constructor(
        services: Readonly<Record<string, BurstService>>,
        private readonly policies: GatherPolicies,
    ) {
        this.deployment = deployment(
            [],
            Object.entries(services).map(([id, { traits: pieces }]) => service(id, { pieces })),
        );
        for (const [id, { traits, endpoints }] of Object.entries(services)) {
            const bytesOf = (call: { request: string; stage: number; }) =>
                this.bytes.get(`${call.request}/${call.stage}`) ?? 0;
            const client = new StoredEndpoints(this.clock, traits, this.results, bytesOf);
            this.endpoints.set(serviceId(id), client);
            this.clients.set(serviceId(id), { client, traits });
            centres.forEach((centre, at) => {
                const count = Math.floor(endpoints / 4) + (at < endpoints % 4 ? 1 : 0);
                this.names.set(`${id}-${centre}`, Array.from({ length: count }, (_, one) => `${id}-${centre}${one}`));
                this.gatherers.set(`${id}-${centre}`, [this.gatherer(id, centre)]);
            });
        }
    }

    /** New gatherers take over the cells of a service and get all open submissions again; the former ones' hosts have ended. */
    public takeOver(id: string): void {
        for (const centre of centres) {
            const cell = `${id}-${centre}`;
            this.gatherers.get(cell)?.forEach(one => this.killed.add(one));
            this.gatherers.set(cell, [this.gatherer(id, centre)]);
            [...this.pending.values()].filter(one => one.cell === cell).forEach(one => one.restart());
        }
    }

    /** For a time, every second request goes to a second gatherer of its cell, whose host is believed to be in use. */
    public async split(id: string, forMs: number): Promise<void> {
        for (const centre of centres) {
            this.gatherers.get(`${id}-${centre}`)?.push(this.gatherer(id, centre));
        }
        await this.clock.sleep(forMs);
        for (const centre of centres) {
            this.gatherers.get(`${id}-${centre}`)?.splice(1);
        }
    }

    /** Ends one endpoint of each cell with its results; the endpoint list shows this half a second later. */
    public async endEndpoints(id: string, replyMs: number = 500): Promise<void> {
        const service = this.clients.get(serviceId(id));
        for (const centre of centres) {
            const name = `${id}-${centre}0`;
            this.results.clear(name as EndpointId);
            service?.client.broken.add(name);
            this.ended.add(name);
        }
        await this.clock.sleep(replyMs);
        for (const centre of centres) {
            this.gatherers.get(`${id}-${centre}`)?.forEach(one => one.setEndpoints(this.listedOf(id, centre)));
        }
    }

    private listedOf(id: string, centre: string) {
        return (this.names.get(`${id}-${centre}`) ?? []).filter(one => !this.ended.has(one))
            .map(one => listed(one, { dataCentre: centre as DataCentreId }));
    }

    private gatherer(id: string, centre: string): CellGatherer {
        const { client, traits } = this.clients.get(serviceId(id))!;
        // A gatherer whose host has ended sends nothing more.
        const never = new Promise<never>(() => {});
        const isKilled = (): boolean => this.killed.has(gatherer);
        const ownClient: PieceClient = {
            run: (...args) => isKilled() ? never : client.run(...args),
            free: (...args) => isKilled() ? never : client.free(...args),
            state: endpoint => isKilled() ? never : client.state(endpoint),
        };
        const gatherer: CellGatherer = new CellGatherer({
            service: serviceId(id),
            traits: () => traits,
            client: ownClient,
            notices: testNotices(this.clock),
            clock: this.clock,
            log: silentLog,
            metrics: noMetrics,
            policies: this.policies,
        });
        gatherer.setEndpoints(this.listedOf(id, centre));
        return gatherer;
    }

    public async runLoad(
        rates: ReadonlyMap<BurstKind, (atS: number) => number>,
        seconds: number,
        random: Random,
    ): Promise<void> {
        const sent: Promise<void>[] = [];
        for (let atMs = 0; atMs < seconds * 1000; atMs += stepMs) {
            for (const [kind, perSecond] of rates) {
                if (random.next() < perSecond(atMs / 1000) * stepMs / 1000 / meanGroupSize) {
                    const size = 1 + random.below(2 * meanGroupSize - 1);
                    sent.push(...Array.from({ length: size }, () => this.send(kind, random)));
                }
            }
            await this.clock.advance(stepMs);
        }
        await this.clock.advance(drainMs);
        await Promise.all(sent);
    }

    public execute(submission: NewSubmission, signal: AbortSignal): Promise<SubmissionOutcome> {
        this.bytes.set(`${submission.request}/${submission.stage}`, submission.resultBytes);
        return new Promise(resolve => {
            const cell = `${submission.service}-${this.centreFor(submission)}`;
            let at: CellGatherer | undefined;
            let isEnded = false;
            const settle = (outcome: SubmissionOutcome, from?: CellGatherer) => {
                if (from !== undefined && from !== at) {
                    // Its host has ended: nothing arrives from there, and nothing is freed.
                    return;
                }
                if (isEnded) {
                    // A duplicate run of the pieces; GatherClient frees its results.
                    outcome.ifRight(results => from?.free(results));
                    return;
                }
                isEnded = true;
                this.pending.delete(submission.id);
                resolve(outcome);
            };
            const restart = () => {
                const gatherer = this.gathererOf(cell, submission.request);
                at = gatherer;
                gatherer?.submit(
                    { ...submission, cell: undefined, onTimeOnly: false },
                    outcome => settle(outcome, gatherer),
                );
            };
            signal.addEventListener("abort", () => {
                at?.cancel(submission.id);
                settle(Left({ kind: "cancelled", message: "the request has ended" }));
            });
            this.pending.set(submission.id, { cell, restart });
            restart();
        });
    }

    public free(results: readonly PieceResult[]): void {
        for (const result of results) {
            this.gatherers.get(`${result.endpoint.replace(/\d+$/u, "")}`)?.[0]?.free([result]);
        }
    }

    public waitMs(): number | undefined {
        return undefined;
    }

    public share(end: "on-time" | "late" | "refused" | "expired", kind?: BurstKind): number {
        const selected = this.ends.filter(one => kind === undefined || one.kind === kind);
        return selected.filter(one => one.end === end).length / Math.max(1, selected.length);
    }

    private async send(kind: BurstKind, random: Random): Promise<void> {
        const nowMs = this.clock.nowMs();
        const plan: StagePlan = {
            request: this.nextId(),
            route: this.routeOf(kind),
            deployment: this.deployment,
            pieces: kind.pieces(),
            pieceKey: "k",
            priority: kind.priority,
            objectiveMs: nowMs + kind.objectiveMs,
            deadlineMs: nowMs + kind.deadlineMs,
            replyMs: kind.replyMs,
            dataCentre: undefined,
            notIn: [],
        };
        this.homes.set(plan.request, centres[random.below(centres.length)]!);
        const left = new AbortController();
        const timer = this.clock.setTimer(kind.deadlineMs, () => left.abort());
        const outcome = await this.graph.run(plan, left.signal);
        timer.dispose();
        if (outcome.isLeft()) {
            this.ends.push({ kind, end: left.signal.aborted ? "expired" : "refused" });
            return;
        }
        const results = outcome.unsafeCoerce();
        await this.clock.sleep(kind.replyMs);
        const isWhole = results.handles.map(one => this.results.read(one)).every(Boolean);
        results.free();
        const passedMs = this.clock.nowMs() - nowMs;
        this.ends.push({ kind, end: !isWhole ? "refused" : passedMs <= kind.objectiveMs ? "on-time" : "late" });
    }

    private gathererOf(cell: string, request: string): CellGatherer | undefined {
        const all = this.gatherers.get(cell) ?? [];
        return all[Number.parseInt(request.slice(1), 10) % all.length];
    }

    private centreFor({ service: id, dataCentre, request, startInMs }: NewSubmission): string {
        const home = dataCentre ?? this.homes.get(request) ?? "a";
        const other = centres[(centres.indexOf(home as "a") + 1 + Number.parseInt(request.slice(1), 10) % 3) % 4]!;
        const waitOf = (centre: string) => {
            const { onTimeMs, lateMs } = this.gatherers.get(`${id}-${centre}`)?.[0]?.typicalWaits()
                ?? { onTimeMs: 0, lateMs: 0 };
            return onTimeMs <= startInMs ? onTimeMs : lateMs;
        };
        return waitOf(other) + minRemoteGainMs < waitOf(home) ? other : home;
    }

    private routeOf(kind: BurstKind): Route {
        return route({ objectiveMs: kind.objectiveMs, priority: kind.priority, stages: kind.stages });
    }

    private nextId(): SubmissionId {
        this.lastId += 1;
        return `p${this.lastId}` as SubmissionId;
    }
}
