/**
 * Simulates a site in virtual time: engines with batching and limited prefix caches, pools of services, and entry hosts
 * that share them. Each host knows its own calls immediately, and those of other hosts from delayed load reports.
 */
import { type Either, Left, Right } from "purify-ts";
import type { DispatchLedger } from "../../src/common/Outcome.js";
import type { Clock, DataCentreId, EndpointId, Random } from "../../src/common/Types.js";
import { blockHashes, promptOf } from "../../src/endpoints/Prompt.js";
import type {
    EndpointDirectory,
    EndpointView,
    Slot,
    SlotError,
    SlotHolder,
    SlotRequest,
    StageCall,
    StageCallError,
    StageClient,
    StageReply,
} from "../../src/endpoints/Types.js";
import { cacheBlockChars, charsPerToken } from "../../src/endpoints/Wire.js";
import type { CacheEvent } from "../../src/routing/Types.js";
import { FakeSlots } from "../../testing/pipeline/FakeSlots.js";

const reportIntervalMs = 1000;
const prefillMsPerToken = 0.25;
const decodeMsPerToken = 8;
/** Capacity of an engine's prefix cache, in blocks; the least recently used ones are evicted. */
const cacheBlocks = 200;
/** Share by which a full batch extends a call's duration. */
const batchSlowdown = 0.5;
/** Time until a call to an endpoint in an outage is lost. */
const outageCallMs = 30;
/** Delay of cache events, and the share of them that is lost. */
const cacheEventLagMs = 500;
const cacheEventLoss = 0.02;

export interface SimPool {
    readonly name: string;
    readonly count: number;
    readonly limit: number;
    readonly kind: "engine" | "service";
    /** Duration of a call on an idle endpoint; for engines, of the decode phase only. */
    readonly callMs: number;
}

export const sitePools: readonly SimPool[] = [
    { name: "encoder", count: 2, limit: 16, kind: "service", callMs: 8 },
    { name: "retriever", count: 2, limit: 16, kind: "service", callMs: 15 },
    { name: "reranker", count: 2, limit: 8, kind: "service", callMs: 20 },
    { name: "engine", count: 6, limit: 8, kind: "engine", callMs: 40 * decodeMsPerToken },
    { name: "lending", count: 3, limit: 4, kind: "service", callMs: 30 },
];

/** Faults of all endpoints, as probabilities for each call. */
export interface SimFaults {
    lost: number;
    badReply: number;
    neverSent: number;
    /** End of the outage of each endpoint, on the clock; until then the endpoint loses every call. */
    readonly outageUntilMs: Map<string, number>;
}

/** Totals over all endpoints and hosts. */
export interface SimTotals {
    calls: number;
    busyMs: number;
    usedMs: number;
    promptTokens: number;
    prefilledTokens: number;
    readonly sentByRequest: Map<string, number>;
    /** Calls sent that are not idempotent, by their input as JSON. */
    readonly nonIdempotentByInput: Map<string, number>;
}

interface Engine {
    readonly cache: Set<string>;
    readonly events: { readonly atMs: number; readonly event: CacheEvent; }[];
    sequence: number;
}

export class SimSite {
    public readonly slots: FakeSlots;
    public readonly faults: SimFaults = { lost: 0, badReply: 0, neverSent: 0, outageUntilMs: new Map() };
    public readonly totals: SimTotals = {
        calls: 0,
        busyMs: 0,
        usedMs: 0,
        promptTokens: 0,
        prefilledTokens: 0,
        sentByRequest: new Map(),
        nonIdempotentByInput: new Map(),
    };
    private readonly engines = new Map<string, Engine>();
    private readonly pools = new Map<string, SimPool>();
    private readonly reports = new Map<string, number>();
    private reportedAtMs = 0;

    public constructor(private readonly clock: Clock, private readonly random: Random) {
        const endpoints = sitePools.flatMap(pool =>
            Array.from({ length: pool.count }, (_, n) => ({
                id: `${pool.name}-${n}`,
                pool: pool.name,
                limit: pool.limit,
                kind: pool.kind,
            }))
        );
        this.slots = new FakeSlots(clock, endpoints);
        for (const pool of sitePools) {
            this.pools.set(pool.name, pool);
        }
        for (const endpoint of endpoints) {
            this.engines.set(endpoint.id, { cache: new Set(), events: [], sequence: 0 });
        }
        this.takeReports();
    }

    /** Creates an entry host's view of the site. */
    public createHost(): SimHost {
        return new SimHost(this, this.clock);
    }

    /** An endpoint's calls in flight by its last load report, and the report's age. */
    public report(id: string): { running: number; ageMs: number; } {
        return { running: this.reports.get(id) ?? 0, ageMs: this.clock.nowMs() - this.reportedAtMs };
    }

    /** Published cache events of all engines with sequence numbers greater than those in `after`, by engine. */
    public cacheEvents(after: ReadonlyMap<string, number>): ReadonlyMap<EndpointId, readonly CacheEvent[]> {
        const untilMs = this.clock.nowMs() - cacheEventLagMs;
        const found = new Map<EndpointId, readonly CacheEvent[]>();
        for (const [id, engine] of this.engines) {
            const from = after.get(id) ?? 0;
            const events = engine.events.filter(one => one.atMs <= untilMs && one.event.sequence > from);
            found.set(id as EndpointId, events.map(one => one.event));
        }
        return found;
    }

    /** Simulates a call on an endpoint: its duration, its faults and its result. */
    public async serve(call: StageCall, slot: Slot, ledger: DispatchLedger, signal: AbortSignal): Promise<
        Either<StageCallError, StageReply>
    > {
        if (signal.aborted || this.random.next() < this.faults.neverSent || !slot.begin()) {
            slot.release("never-sent");
            return Left({ kind: "never-sent", message: "connection refused" });
        }
        ledger.markSent(call.idempotent);
        this.countSent(call);
        const startedMs = this.clock.nowMs();
        const work = this.workOf(call, slot.endpoint);
        const outageMs = (this.faults.outageUntilMs.get(slot.endpoint) ?? 0) - startedMs;
        await this.clock.sleep(outageMs > 0 ? Math.min(outageCallMs, call.deadlineMs - startedMs) : work.ms, signal);
        const busyMs = this.clock.nowMs() - startedMs;
        this.totals.busyMs += busyMs;
        const result = this.resultOf(call, work, busyMs, outageMs > 0, signal);
        slot.release(result.isRight() ? "succeeded" : "failed");
        return result;
    }

    private resultOf(
        call: StageCall,
        work: { promptTokens: number; cachedTokens: number; },
        busyMs: number,
        isInOutage: boolean,
        signal: AbortSignal,
    ): Either<StageCallError, StageReply> {
        if (signal.aborted) {
            return Left({ kind: "cancelled", message: "cancelled" });
        }
        if (isInOutage || this.random.next() < this.faults.lost) {
            return Left({ kind: "lost", message: "connection broke", crashed: false, received: "" });
        }
        if (this.random.next() < this.faults.badReply) {
            return Left({ kind: "bad-reply", message: "short reply" });
        }
        const output = `${call.stage}:${call.request}`;
        const usage = { ...work, outputTokens: 40, busyMs };
        return Right({ output, usage, evidence: { firstByteMs: busyMs, totalMs: busyMs, endpointIncarnation: "1" } });
    }

    private countSent(call: StageCall): void {
        const { totals } = this;
        totals.calls += 1;
        totals.sentByRequest.set(call.request, (totals.sentByRequest.get(call.request) ?? 0) + 1);
        if (!call.idempotent) {
            const key = JSON.stringify(call.body.input);
            totals.nonIdempotentByInput.set(key, (totals.nonIdempotentByInput.get(key) ?? 0) + 1);
        }
    }

    private workOf(call: StageCall, id: string): { ms: number; promptTokens: number; cachedTokens: number; } {
        const view = this.slots.get(id as EndpointId)!;
        const pool = this.pools.get(view.pool)!;
        const slowdown = 1 + batchSlowdown * Math.min(1, view.ownInFlight / view.limit);
        const spread = 0.6 + 0.8 * this.random.next();
        const ms = pool.callMs * slowdown * spread;
        if (pool.kind !== "engine") {
            return { ms, promptTokens: 0, cachedTokens: 0 };
        }
        const prompt = promptOf(call.body);
        const promptTokens = prompt.length / charsPerToken;
        const cachedTokens = this.prefill(id, prompt);
        this.totals.promptTokens += promptTokens;
        this.totals.prefilledTokens += promptTokens - cachedTokens;
        return { ms: ms + (promptTokens - cachedTokens) * prefillMsPerToken, promptTokens, cachedTokens };
    }

    /** Adds the prompt to the engine's cache, and returns how many of its tokens were cached before. */
    private prefill(id: string, prompt: string): number {
        const engine = this.engines.get(id)!;
        const { cache } = engine;
        const hashes = blockHashes(prompt);
        let blocks = 0;
        while (blocks < hashes.length && cache.has(hashes[blocks]!)) {
            blocks += 1;
        }
        for (const hash of hashes) {
            cache.delete(hash);
            cache.add(hash);
        }
        const evicted: string[] = [];
        for (const hash of cache) {
            if (cache.size <= cacheBlocks) {
                break;
            }
            cache.delete(hash);
            evicted.push(hash);
        }
        this.publish(engine, "stored", hashes.slice(blocks));
        this.publish(engine, "evicted", evicted);
        return blocks * cacheBlockChars / charsPerToken;
    }

    private publish(engine: Engine, kind: "stored" | "evicted", blocks: readonly string[]): void {
        if (blocks.length === 0) {
            return;
        }
        engine.sequence += 1;
        if (this.random.next() >= cacheEventLoss) {
            const event = { sequence: engine.sequence, kind, blocks };
            engine.events.push({ atMs: this.clock.nowMs(), event });
        }
    }

    private takeReports(): void {
        for (const id of this.engines.keys()) {
            this.reports.set(id, this.slots.inFlight(id));
        }
        this.reportedAtMs = this.clock.nowMs();
        this.clock.setTimer(reportIntervalMs, () => this.takeReports());
    }
}

/** One entry host's view of the site's endpoints. */
export class SimHost implements EndpointDirectory, SlotHolder, StageClient {
    private readonly ownCalls = new Map<EndpointId, number>();
    private readonly meanCallMs = new Map<EndpointId, number>();
    public readonly onChange;

    public constructor(private readonly site: SimSite, private readonly clock: Clock) {
        this.onChange = site.slots.onChange;
    }

    public get(id: EndpointId): EndpointView | undefined {
        const view = this.site.slots.get(id);
        return view === undefined ? undefined : this.viewOf(view);
    }

    public inPool(pool: string): readonly EndpointView[] {
        return this.site.slots.inPool(pool).map(view => this.viewOf(view));
    }

    public async acquire(id: EndpointId, req: SlotRequest): Promise<Either<SlotError, Slot>> {
        const granted = await this.site.slots.acquire(id, req);
        return granted.map(slot => {
            this.ownCalls.set(id, (this.ownCalls.get(id) ?? 0) + 1);
            return {
                ...slot,
                release: end => {
                    this.ownCalls.set(id, (this.ownCalls.get(id) ?? 1) - 1);
                    slot.release(end);
                },
            };
        });
    }

    public async call(
        call: StageCall,
        slot: Slot,
        ledger: DispatchLedger,
        signal: AbortSignal,
    ): Promise<Either<StageCallError, StageReply>> {
        const startedMs = this.clock.nowMs();
        const result = await this.site.serve(call, slot, ledger, signal);
        if (result.isRight()) {
            const tookMs = this.clock.nowMs() - startedMs;
            const before = this.meanCallMs.get(slot.endpoint) ?? tookMs;
            this.meanCallMs.set(slot.endpoint, before * 0.9 + tookMs * 0.1);
        }
        return result;
    }

    private viewOf(view: EndpointView): EndpointView {
        const { running, ageMs } = this.site.report(view.id);
        const own = this.ownCalls.get(view.id) ?? 0;
        return {
            ...view,
            dataCentre: "dc1" as DataCentreId,
            ownInFlight: own,
            credits: 0,
            reported: { running, waiting: 0, ageMs },
            recentMs: this.meanCallMs.get(view.id),
        };
    }
}
