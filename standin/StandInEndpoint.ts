/**
 * A fake endpoint with the HTTP API of src/endpoints/Wire.ts: an engine, encoder, retriever, reranker or plain service.
 * It runs calls in a batch, crashes when it gets too many while cold, and exposes its counters and fault controls on
 * `/v1/control`. Its outputs are those of {@link expectedOutput}.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";
import type { Clock } from "../src/common/Types.js";
import { orderSchema, type RefusalMessage, type StageCallMessage, stageCallSchema } from "../src/endpoints/Wire.js";
import { Batch } from "./Batch.js";
import { newCounters } from "./Defaults.js";
import { EngineOrders } from "./EngineOrders.js";
import { LoadHistory } from "./LoadHistory.js";
import { PrefixCache } from "./PrefixCache.js";
import { ReplyFaults } from "./Reply.js";
import { type RunningCall, StageWork } from "./StageWork.js";
import { sendJson, StandInHttpServer } from "./StandInHttpServer.js";
import { type ControlMessage, controlSchema, type StandInCounters, type StandInOptions } from "./Types.js";
import { WarmUpState } from "./WarmUpState.js";

/** Default times, in milliseconds. */
const defaultLoadLagMs = 300;
const defaultCacheLagMs = 200;
const defaultRestartMs = 400;
/** Default capacity of the prefix cache in blocks, and fraction of cache events that are lost. */
const defaultCacheBlocks = 400;
const defaultCacheGapShare = 0.05;

export class StandInEndpoint {
    public readonly counters: StandInCounters = newCounters();
    private readonly clock: Clock;
    private readonly random: SeededRandom;
    private readonly http = new StandInHttpServer((req, res, body) => this.route(req, res, body));
    private readonly batch: Batch;
    private readonly warmth: WarmUpState;
    private readonly cache: PrefixCache;
    private readonly load: LoadHistory;
    private readonly orders: EngineOrders;
    private readonly work: StageWork;
    private readonly calls = new Map<string, RunningCall>();
    private address = "";
    private startCount = 0;
    private startedMs = 0;
    private stopped = false;
    private isDown = false;
    private leavingSinceMs: number | undefined;

    public constructor(private readonly options: StandInOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.random = new SeededRandom(options.seed ?? 1);
        this.batch = new Batch(options.warmLimit);
        this.warmth = new WarmUpState(options.coldLimit, options.warmLimit, options.startsCold ?? true);
        this.cache = new PrefixCache(
            this.clock,
            this.random,
            options.cacheBlocks ?? defaultCacheBlocks,
            options.cacheLagMs ?? defaultCacheLagMs,
            options.cacheGapShare ?? defaultCacheGapShare,
        );
        this.load = new LoadHistory(this.clock, options.loadLagMs ?? defaultLoadLagMs);
        this.orders = new EngineOrders(options.models, options.checksFencing, options.weightStore, this.counters);
        const { clock, random, http, batch, warmth, cache } = this;
        const replyFaults = new ReplyFaults(clock);
        this.work = new StageWork(options, { clock, random, http, batch, warmth, cache, replyFaults }, this.counters);
    }

    /** Listens on an address such as "127.0.0.1:8080". */
    public async start(address: string): Promise<void> {
        this.address = address;
        this.stopped = false;
        await this.listen();
    }

    public async stop(): Promise<void> {
        this.stopped = true;
        this.abortCalls();
        await this.http.close();
    }

    /** Drops every connection and restarts cold, with a new incarnation, after the restart time. */
    public async crash(): Promise<void> {
        if (this.isDown) {
            return;
        }
        this.isDown = true;
        this.counters.crashes += 1;
        this.abortCalls();
        this.warmth.turnCold();
        this.cache.clear();
        this.load.clear();
        await this.http.close();
        await this.clock.sleep(this.options.restartMs ?? defaultRestartMs);
        this.isDown = false;
        if (!this.stopped) {
            await this.listen();
        }
    }

    private async listen(): Promise<void> {
        this.startCount += 1;
        this.startedMs = this.clock.nowMs();
        this.recordLoad();
        await this.http.listen(this.address);
    }

    private get incarnation(): string {
        return `${this.options.id}.${this.startCount}`;
    }

    private abortCalls(): void {
        for (const call of this.calls.values()) {
            call.abort.abort();
        }
    }

    private recordLoad(): void {
        const state = this.leavingSinceMs === undefined ? this.warmth.state : "leaving";
        this.load.record({ state, running: this.batch.running, waiting: this.batch.waiting });
    }

    private async route(req: IncomingMessage, res: ServerResponse, body: unknown): Promise<void> {
        const url = new URL(req.url ?? "/", "http://stand-in");
        switch (`${req.method} ${url.pathname}`) {
            case "POST /v1/stage":
                return this.stage(req, res, body);
            case "POST /v1/cancel":
                return this.cancel(res, body);
            case "GET /v1/load":
                return this.reportLoad(res);
            case "GET /v1/control":
                return sendJson(res, 200, this.shownCounters(url.searchParams.has("brief")));
            case "POST /v1/control":
                return this.control(res, body);
        }
        if (this.options.kind === "engine") {
            return this.routeEngine(`${req.method} ${url.pathname}`, url, res, body);
        }
        sendJson(res, 404, { message: "no such path" });
    }

    private async routeEngine(path: string, url: URL, res: ServerResponse, body: unknown): Promise<void> {
        switch (path) {
            case "GET /v1/cache-events": {
                const events = this.cache.eventsAfter(Number(url.searchParams.get("after") ?? 0));
                return sendJson(res, 200, { incarnation: this.incarnation, events });
            }
            case "GET /v1/state":
                return sendJson(res, 200, this.orders.state(this.incarnation));
            case "POST /v1/order": {
                const order = orderSchema.safeParse(body);
                const status = order.success ? await this.orders.execute(order.data) : 400;
                return sendJson(res, status, { status });
            }
            case "POST /v1/cache/export":
                return sendJson(res, 200, { blocks: this.cache.held(blocksOf(body)) });
            case "POST /v1/cache/import":
                this.cache.store(blocksOf(body));
                return sendJson(res, 200, { blocks: this.cache.held(blocksOf(body)) });
        }
        sendJson(res, 404, { message: "no such path" });
    }

    private reportLoad(res: ServerResponse): void {
        if (!this.options.reportsLoad) {
            return sendJson(res, 404, { message: "this endpoint does not report its load" });
        }
        const sample = this.load.reported() ?? { state: this.warmth.state, running: 0, waiting: 0 };
        const uptimeMs = Math.round(this.clock.nowMs() - this.startedMs);
        sendJson(res, 200, { incarnation: this.incarnation, uptimeMs, ...sample });
    }

    private cancel(res: ServerResponse, body: unknown): void {
        const parsed = stageCallSchema.pick({ request: true, stage: true, attempt: true }).safeParse(body);
        const call = parsed.success ? this.calls.get(callKey(parsed.data)) : undefined;
        call?.abort.abort();
        sendJson(res, 200, { cancelled: call !== undefined });
    }

    private control(res: ServerResponse, body: unknown): void {
        const parsed = controlSchema.safeParse(body);
        if (!parsed.success) {
            return sendJson(res, 400, { message: parsed.error.message });
        }
        this.applyControl(parsed.data, res);
        sendJson(res, 200, this.shownCounters(true));
        if (parsed.data.crash === true) {
            void this.crash();
        }
    }

    private shownCounters(brief: boolean): StandInCounters {
        return brief ? { ...this.counters, runsByRequest: {}, runsByInput: {} } : this.counters;
    }

    private applyControl(control: ControlMessage, res: ServerResponse): void {
        this.work.apply(control);
        if (control.leaving !== undefined) {
            this.leavingSinceMs = control.leaving ? this.clock.nowMs() : undefined;
        }
        if (control.turnCold === true) {
            this.warmth.turnCold();
        }
        if (control.silent === true) {
            this.http.silenceAll(res.socket);
        }
        if (control.silent === false) {
            this.http.dropSilenced();
        }
        this.recordLoad();
    }

    private async stage(req: IncomingMessage, res: ServerResponse, body: unknown): Promise<void> {
        const parsed = stageCallSchema.safeParse(body);
        if (!parsed.success) {
            return sendJson(res, 400, { state: "other", message: parsed.error.message });
        }
        const refusal = this.admit(parsed.data);
        if (refusal === "crash") {
            return this.crash();
        }
        if (refusal !== undefined) {
            this.counters.refused += 1;
            return sendJson(res, 503, refusal);
        }
        const { incarnation } = this;
        const call: RunningCall = { message: parsed.data, abort: new AbortController(), incarnation };
        this.calls.set(callKey(call.message), call);
        // A plain service completes each call that it has begun; the other kinds cancel it if the caller disconnects.
        if (this.options.kind !== "service") {
            res.once("close", () => call.abort.abort());
        }
        await this.runInBatch(call, req, res);
        this.calls.delete(callKey(call.message));
    }

    /** Counts an arriving call; returns the refusal, "crash" if the call overloads a cold endpoint, or undefined. */
    private admit(message: StageCallMessage): RefusalMessage | "crash" | undefined {
        const concurrent = this.batch.running + this.batch.waiting + 1;
        const capacity = this.warmth.capacityWhileCold;
        this.counters.received += 1;
        this.counters.maxConcurrent = Math.max(this.counters.maxConcurrent, concurrent);
        if (this.leavingSinceMs !== undefined) {
            this.counters.receivedAfterLeaving += 1;
            this.counters.lastReceivedAfterLeavingMs = this.clock.nowMs() - this.leavingSinceMs;
        }
        if (capacity !== undefined) {
            this.counters.maxConcurrentWhileCold = Math.max(this.counters.maxConcurrentWhileCold, concurrent);
            if (concurrent > capacity) {
                this.counters.fallsWhileCold += 1;
                return "crash";
            }
        }
        if (!this.orders.serves(message.model)) {
            return { state: "other", message: `model ${message.model} is not loaded` };
        }
        if (concurrent > this.options.warmLimit + (this.options.queueLimit ?? 4 * this.options.warmLimit)) {
            return { state: "overloaded", message: "the queue is full" };
        }
        return undefined;
    }

    private async runInBatch(call: RunningCall, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const admission = this.batch.enter(call.message.priority, call.abort.signal);
        this.recordLoad();
        if (!await admission) {
            this.counters.cancelled += 1;
            this.recordLoad();
            return;
        }
        const end = await this.work.run(call, req, res);
        this.batch.leave();
        if (end === "completed" && call.incarnation === this.incarnation && !this.isDown) {
            this.warmth.recordCompleted();
            this.counters.completed += 1;
        }
        this.recordLoad();
        if (end === "crash") {
            await this.crash();
        }
    }
}

function callKey(call: { readonly request: string; readonly stage: string; readonly attempt: number; }): string {
    return `${call.request}/${call.stage}/${call.attempt}`;
}

function blocksOf(body: unknown): string[] {
    const blocks = (body as { blocks?: unknown; } | undefined)?.blocks;
    return Array.isArray(blocks) ? blocks.filter(block => typeof block === "string") : [];
}
