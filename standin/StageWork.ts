/**
 * What an endpoint does with a call that has a place in the batch: it spends the time of prompt and output, and
 * replies. Endpoints that are cold, busy or told to be slow take longer.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock, Random } from "../src/common/Types.js";
import { blockHashes, promptOf } from "../src/endpoints/Prompt.js";
import type { StageUsage } from "../src/endpoints/Types.js";
import { cacheBlockChars, charsPerToken, type StageCallMessage } from "../src/endpoints/Wire.js";
import type { Batch } from "./Batch.js";
import { speedOf } from "./Defaults.js";
import { expectedOutput, inputDigest } from "./ExpectedOutput.js";
import type { PrefixCache } from "./PrefixCache.js";
import { type Echo, EventStream, type ReplyContent, type ReplyFaults, sendWhole } from "./Reply.js";
import { sendJson, type StandInHttpServer } from "./StandInHttpServer.js";
import type { ControlMessage, StageSpending, StandInCounters, StandInOptions } from "./Types.js";
import type { WarmUpState } from "./WarmUpState.js";

/** How much longer a chunk takes in a full batch than alone. */
const fullBatchFactor = 0.5;

export interface RunningCall {
    readonly message: StageCallMessage;
    readonly abort: AbortController;
    /** Identity of the endpoint's process that took the call. */
    readonly incarnation: string;
}

/** What the work is done with; all of it belongs to one endpoint. */
export interface WorkParts {
    readonly clock: Clock;
    readonly random: Random;
    readonly http: StandInHttpServer;
    readonly batch: Batch;
    readonly warmth: WarmUpState;
    readonly cache: PrefixCache;
    readonly replyFaults: ReplyFaults;
}

export class StageWork {
    private slowBy = 1;
    private crashOnText = "";
    private failShare = 0;

    public constructor(
        private readonly options: StandInOptions,
        private readonly parts: WorkParts,
        private readonly counters: StandInCounters,
    ) {}

    public apply(control: ControlMessage): void {
        this.slowBy = control.slowBy ?? this.slowBy;
        this.crashOnText = control.crashOnText ?? this.crashOnText;
        this.failShare = control.failShare ?? this.failShare;
        this.parts.replyFaults.apply(control);
    }

    /** Runs a call and replies to it. "crash" means that the call brings the endpoint down. */
    public async run(
        call: RunningCall,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<"completed" | "ended" | "crash"> {
        const { message, abort } = call;
        const startMs = this.parts.clock.nowMs();
        this.countRun(message);
        const text = JSON.stringify([message.input, message.previous]);
        if (this.crashOnText !== "" && text.includes(this.crashOnText)) {
            await this.parts.clock.sleep(speedOf(this.options).baseMs, abort.signal);
            return "crash";
        }
        const body = { input: message.input, previous: message.previous };
        const prompt = promptOf(body);
        const cachedTokens = await this.prefill(prompt, abort.signal);
        const output = expectedOutput(message.stage, body);
        const usageOf = (): StageUsage => ({
            promptTokens: Math.ceil(prompt.length / charsPerToken),
            cachedTokens,
            outputTokens: Math.ceil((output.length - (message.resume?.offset ?? 0)) / charsPerToken),
            busyMs: Math.round((this.parts.clock.nowMs() - startMs) * 100) / 100,
        });
        const completed = await this.reply(call, req, res, output, usageOf);
        this.countUsage(message, usageOf());
        return completed ? "completed" : "ended";
    }

    /** Spends the time of the prompt that is not cached, and gives the tokens that were. */
    private async prefill(prompt: string, signal: AbortSignal): Promise<number> {
        const speed = speedOf(this.options);
        if (this.options.kind !== "engine") {
            await this.parts.clock.sleep(speed.baseMs * this.slowness(), signal);
            return 0;
        }
        const hashes = blockHashes(prompt);
        const cachedChars = this.parts.cache.match(hashes) * cacheBlockChars;
        const freshTokens = (prompt.length - cachedChars) / charsPerToken;
        await this.parts.clock.sleep((speed.baseMs + freshTokens * speed.prefillMsPerToken) * this.slowness(), signal);
        if (!signal.aborted) {
            this.parts.cache.store(hashes);
        }
        return cachedChars / charsPerToken;
    }

    /** Replies as the caller asked; false when the call was cancelled or failed. */
    private async reply(
        call: RunningCall,
        req: IncomingMessage,
        res: ServerResponse,
        output: string,
        usageOf: () => StageUsage,
    ): Promise<boolean> {
        const { message, abort } = call;
        const spoiling = this.parts.replyFaults.next();
        const { request, stage, attempt } = message;
        const echo: Echo = { request, stage, attempt, incarnation: call.incarnation };
        const content: ReplyContent = spoiling.swap
            ? await this.parts.replyFaults.exchange({ echo, output })
            : { echo, output };
        await this.parts.clock.sleep(spoiling.lateMs, abort.signal);
        if (this.parts.random.next() < this.failShare) {
            this.counters.failed += 1;
            this.write(res, () => sendJson(res, 422, { state: "other", message: "the stage failed" }));
            return false;
        }
        const streams = req.headers.accept?.includes("text/event-stream") === true;
        const stream = streams && this.canWrite(res, abort) ? new EventStream(res, content, spoiling) : undefined;
        const { chunkChars, chunkMs } = speedOf(this.options);
        const from = message.resume?.offset ?? 0;
        for (let offset = from; offset < content.output.length && !abort.signal.aborted; offset += chunkChars) {
            await this.parts.clock.sleep(chunkMs * this.slowness(), abort.signal);
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
        return !res.destroyed && !this.parts.http.isSilent(res) && abort?.signal.aborted !== true;
    }

    private write(res: ServerResponse, action: () => void): void {
        if (this.canWrite(res)) {
            action();
        }
    }

    private slowness(): number {
        const cold = this.parts.warmth.state === "warm" ? 1 : speedOf(this.options).coldFactor;
        return this.slowBy * cold * (1 + fullBatchFactor * (this.parts.batch.running - 1) / this.options.warmLimit);
    }

    private countRun(message: StageCallMessage): void {
        const { runsByRequest, runsByInput } = this.counters;
        const digest = inputDigest(message.stage, message.input);
        runsByRequest[message.request] = (runsByRequest[message.request] ?? 0) + 1;
        runsByInput[digest] = (runsByInput[digest] ?? 0) + 1;
    }

    private countUsage(message: StageCallMessage, usage: StageUsage): void {
        const key = `${message.pipeline}/${message.stage}`;
        const spent = this.counters.byStage[key] ??= newSpending();
        spent.calls += 1;
        spent.busyMs += usage.busyMs;
        spent.promptTokens += usage.promptTokens;
        spent.cachedTokens += usage.cachedTokens;
        spent.outputTokens += usage.outputTokens;
    }
}

function newSpending(): StageSpending {
    return { calls: 0, busyMs: 0, promptTokens: 0, cachedTokens: 0, outputTokens: 0 };
}
