/**
 * A fake endpoint over HTTP as src/endpoints/Wire.ts describes it: an engine, an encoder, a retriever, a reranker or
 * a plain service. It runs calls in a batch, falls over when it gets too many while cold, and shows on
 * `/v1/control` what it has seen. Its outputs are those of {@link expectedOutput}.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";
import type { Clock } from "../src/common/Types.js";
import { blockHashes, promptOf } from "../src/endpoints/Prompt.js";
import type { StageUsage } from "../src/endpoints/Types.js";
import {
    cacheBlockChars,
    charsPerToken,
    orderSchema,
    type RefusalMessage,
    type StageCallMessage,
    stageCallSchema,
} from "../src/endpoints/Wire.js";
import { Batch } from "./Batch.js";
import { newCounters, speedOf } from "./Defaults.js";
import { EngineOrders } from "./EngineOrders.js";
import { expectedOutput, inputDigest } from "./ExpectedOutput.js";
import { HttpHost, sendJson } from "./HttpHost.js";
import { LoadHistory } from "./LoadHistory.js";
import { PrefixCache } from "./PrefixCache.js";
import { type Echo, EventStream, type ReplyContent, ReplyFaults, sendWhole } from "./Reply.js";
import { type ControlMessage, controlSchema, type StandInCounters, type StandInOptions } from "./Types.js";
import { Warmth } from "./Warmth.js";

/** Times of a stand-in that its options leave open, in milliseconds. */
const defaultLoadLagMs = 300;
const defaultCacheLagMs = 200;
const defaultRestartMs = 400;
const defaultCacheBlocks = 400;
const defaultCacheGapShare = 0.05;
/** How much longer a chunk takes in a full batch than alone. */
const fullBatchFactor = 0.5;

interface Call {
    readonly message: StageCallMessage;
    readonly abort: AbortController;
    readonly receivedMs: number;
}

export class StandInEndpoint {
    public readonly counters: StandInCounters = newCounters();
    private readonly clock: Clock;
    private readonly random: SeededRandom;
    private readonly http = new HttpHost((req, res, body) => this.route(req, res, body));
    private readonly batch: Batch;
    private readonly warmth: Warmth;
    private readonly cache: PrefixCache;
    private readonly load: LoadHistory;
    private readonly orders: EngineOrders;
    private readonly faults: ReplyFaults;
    private readonly calls = new Map<string, Call>();
    private address = "";
    private starts = 0;
    private startedMs = 0;
    private stopped = false;
    private down = false;
    private leavingSinceMs: number | undefined;
    private slowBy = 1;
    private crashOnText = "";
    private failShare = 0;

    public constructor(private readonly options: StandInOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.random = new SeededRandom(options.seed ?? 1);
        this.batch = new Batch(options.warmLimit);
        this.warmth = new Warmth(options.coldLimit, options.warmLimit, options.startsCold ?? true);
        this.cache = new PrefixCache(
            this.clock,
            this.random,
            options.cacheBlocks ?? defaultCacheBlocks,
            options.cacheLagMs ?? defaultCacheLagMs,
            options.cacheGapShare ?? defaultCacheGapShare,
        );
        this.load = new LoadHistory(this.clock, options.loadLagMs ?? defaultLoadLagMs);
        this.orders = new EngineOrders(options.models, options.checksFencing, options.weightStore, this.counters);
        this.faults = new ReplyFaults(this.clock);
    }

    /** Listens on an address such as "127.0.0.1:8080". */
    public async start(address: string): Promise<void> {
        this.address = address;
        this.stopped = false;
        await this.begin();
    }

    public async stop(): Promise<void> {
        this.stopped = true;
        this.abortCalls();
        await this.http.close();
    }

    /** Drops every connection and comes back cold, as another incarnation, after the restart time. */
    public async crash(): Promise<void> {
        if (this.down) {
            return;
        }
        this.down = true;
        this.counters.crashes += 1;
        this.abortCalls();
        this.warmth.turnCold();
        this.cache.clear();
        this.load.clear();
        await this.http.close();
        await this.clock.sleep(this.options.restartMs ?? defaultRestartMs);
        this.down = false;
        if (!this.stopped) {
            await this.begin();
        }
    }

    private async begin(): Promise<void> {
        this.starts += 1;
        this.startedMs = this.clock.nowMs();
        this.recordLoad();
        await this.http.listen(this.address);
    }

    private get incarnation(): string {
        return `${this.options.id}.${this.starts}`;
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
                return sendJson(res, 200, this.counters);
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
                const status = order.success ? await this.orders.obey(order.data) : 400;
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
        const named = stageCallSchema.pick({ request: true, stage: true, attempt: true }).safeParse(body);
        const call = named.success ? this.calls.get(callKey(named.data)) : undefined;
        call?.abort.abort();
        sendJson(res, 200, { cancelled: call !== undefined });
    }

    private control(res: ServerResponse, body: unknown): void {
        const parsed = controlSchema.safeParse(body);
        if (!parsed.success) {
            return sendJson(res, 400, { message: parsed.error.message });
        }
        this.applyControl(parsed.data, res);
        sendJson(res, 200, this.counters);
        if (parsed.data.crash === true) {
            void this.crash();
        }
    }

    private applyControl(control: ControlMessage, res: ServerResponse): void {
        this.slowBy = control.slowBy ?? this.slowBy;
        this.crashOnText = control.crashOnText ?? this.crashOnText;
        this.failShare = control.failShare ?? this.failShare;
        this.faults.apply(control);
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
        const call: Call = { message: parsed.data, abort: new AbortController(), receivedMs: this.clock.nowMs() };
        this.calls.set(callKey(call.message), call);
        // A plain service goes on with what it has begun; the others stop when their caller is gone.
        if (this.options.kind !== "service") {
            res.once("close", () => call.abort.abort());
        }
        await this.runInBatch(call, req, res);
        this.calls.delete(callKey(call.message));
    }

    /** Counts an arriving call, and says why it is not run, if it is not. */
    private admit(message: StageCallMessage): RefusalMessage | "crash" | undefined {
        const concurrent = this.batch.running + this.batch.waiting + 1;
        const bearable = this.warmth.bearableWhileCold;
        this.counters.received += 1;
        this.counters.maxConcurrent = Math.max(this.counters.maxConcurrent, concurrent);
        if (this.leavingSinceMs !== undefined) {
            this.counters.receivedAfterLeaving += 1;
            this.counters.lastReceivedAfterLeavingMs = this.clock.nowMs() - this.leavingSinceMs;
        }
        if (bearable !== undefined) {
            this.counters.maxConcurrentWhileCold = Math.max(this.counters.maxConcurrentWhileCold, concurrent);
            if (concurrent > bearable) {
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

    private async runInBatch(call: Call, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const admission = this.batch.enter(call.message.priority, call.abort.signal);
        this.recordLoad();
        if (!await admission) {
            this.counters.cancelled += 1;
            this.recordLoad();
            return;
        }
        await this.run(call, req, res);
        this.batch.leave();
        this.recordLoad();
    }

    private async run(call: Call, req: IncomingMessage, res: ServerResponse): Promise<void> {
        const { message, abort } = call;
        const startMs = this.clock.nowMs();
        const start = this.starts;
        this.countRun(message);
        const text = JSON.stringify([message.input, message.previous]);
        if (this.crashOnText !== "" && text.includes(this.crashOnText)) {
            await this.clock.sleep(speedOf(this.options).baseMs, abort.signal);
            return this.crash();
        }
        const body = { input: message.input, previous: message.previous };
        const prompt = promptOf(body);
        const cachedTokens = await this.prefill(prompt, abort.signal);
        const output = expectedOutput(message.stage, body);
        const promptTokens = Math.ceil(prompt.length / charsPerToken);
        const usageOf = (): StageUsage => ({
            promptTokens,
            cachedTokens,
            outputTokens: Math.ceil((output.length - (message.resume?.offset ?? 0)) / charsPerToken),
            busyMs: Math.round((this.clock.nowMs() - startMs) * 100) / 100,
        });
        const done = await this.reply(call, req, res, output, usageOf);
        if (done && start === this.starts && !this.down) {
            this.warmth.recordCompleted();
            this.counters.completed += 1;
        }
        this.countUsage(usageOf());
    }

    /** Spends the time of the prompt that is not cached, and gives the tokens that were. */
    private async prefill(prompt: string, signal: AbortSignal): Promise<number> {
        const speed = speedOf(this.options);
        if (this.options.kind !== "engine") {
            await this.clock.sleep(speed.baseMs * this.slowness(), signal);
            return 0;
        }
        const hashes = blockHashes(prompt);
        const cachedChars = this.cache.match(hashes) * cacheBlockChars;
        const freshTokens = (prompt.length - cachedChars) / charsPerToken;
        await this.clock.sleep((speed.baseMs + freshTokens * speed.prefillMsPerToken) * this.slowness(), signal);
        if (!signal.aborted) {
            this.cache.store(hashes);
        }
        return cachedChars / charsPerToken;
    }

    /** Replies as the caller asked; false when the call was cancelled or failed. */
    private async reply(
        call: Call,
        req: IncomingMessage,
        res: ServerResponse,
        output: string,
        usageOf: () => StageUsage,
    ): Promise<boolean> {
        const { message, abort } = call;
        const spoiling = this.faults.next();
        const { request, stage, attempt } = message;
        const echo: Echo = { request, stage, attempt, incarnation: this.incarnation };
        const content: ReplyContent = spoiling.swap ? await this.faults.exchange({ echo, output }) : { echo, output };
        await this.clock.sleep(spoiling.lateMs, abort.signal);
        if (this.random.next() < this.failShare) {
            this.counters.failed += 1;
            this.write(res, () => sendJson(res, 422, { state: "other", message: "the stage failed" }));
            return false;
        }
        const streams = req.headers.accept?.includes("text/event-stream") === true;
        const stream = streams && this.canWrite(res, abort) ? new EventStream(res, content, spoiling) : undefined;
        const { chunkChars, chunkMs } = speedOf(this.options);
        const from = message.resume?.offset ?? 0;
        for (let offset = from; offset < content.output.length && !abort.signal.aborted; offset += chunkChars) {
            await this.clock.sleep(chunkMs * this.slowness(), abort.signal);
            this.write(res, () => stream?.output(offset, content.output.slice(offset, offset + chunkChars)));
        }
        if (abort.signal.aborted) {
            this.counters.cancelled += 1;
            res.destroy();
            return false;
        }
        this.write(res, () => streams ? stream?.end(usageOf()) : sendWhole(res, content, usageOf(), spoiling));
        return true;
    }

    private canWrite(res: ServerResponse, abort?: AbortController): boolean {
        return !res.destroyed && !this.http.isSilent(res) && abort?.signal.aborted !== true;
    }

    private write(res: ServerResponse, action: () => void): void {
        if (this.canWrite(res)) {
            action();
        }
    }

    private slowness(): number {
        const cold = this.warmth.state === "warm" ? 1 : speedOf(this.options).coldFactor;
        return this.slowBy * cold * (1 + fullBatchFactor * (this.batch.running - 1) / this.options.warmLimit);
    }

    private countRun(message: StageCallMessage): void {
        const { runsByRequest, runsByInput } = this.counters;
        const digest = inputDigest(message.stage, message.input);
        runsByRequest[message.request] = (runsByRequest[message.request] ?? 0) + 1;
        runsByInput[digest] = (runsByInput[digest] ?? 0) + 1;
    }

    private countUsage(usage: StageUsage): void {
        this.counters.busyMs += usage.busyMs;
        this.counters.promptTokens += usage.promptTokens;
        this.counters.cachedTokens += usage.cachedTokens;
        this.counters.outputTokens += usage.outputTokens;
    }
}

function callKey(call: { readonly request: string; readonly stage: string; readonly attempt: number; }): string {
    return `${call.request}/${call.stage}/${call.attempt}`;
}

function blocksOf(body: unknown): string[] {
    const blocks = (body as { blocks?: unknown; } | undefined)?.blocks;
    return Array.isArray(blocks) ? blocks.filter(block => typeof block === "string") : [];
}
