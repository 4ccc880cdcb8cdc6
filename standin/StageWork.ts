/**
 * Runs a stage call that has a place in the batch: simulates the time of prefill and output, and replies. Calls take
 * longer on an endpoint that is cold, busy or slowed down through its control path.
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
import { type CallIdentity, EventStream, type ReplyContent, type ReplyFaults, sendJsonReply } from "./Reply.js";
import { sendJson, type StandInHttpServer } from "./StandInHttpServer.js";
import type { ControlMessage, StageTotals, StandInCounters, StandInOptions } from "./Types.js";
import type { WarmUpState } from "./WarmUpState.js";

/** Additional time of a call in a full batch, as a fraction of its time when it runs alone. */
const fullBatchFactor = 0.5;

export interface RunningCall {
    readonly message: StageCallMessage;
    readonly abort: AbortController;
    /** Identity of the endpoint's process that accepted the call. */
    readonly incarnation: string;
}

/** Components of one endpoint that the work uses. */
export interface StageWorkComponents {
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
        private readonly components: StageWorkComponents,
        private readonly counters: StandInCounters,
    ) {}

    public apply(control: ControlMessage): void {
        this.slowBy = control.slowBy ?? this.slowBy;
        this.crashOnText = control.crashOnText ?? this.crashOnText;
        this.failShare = control.failShare ?? this.failShare;
        this.components.replyFaults.apply(control);
    }

    /** Runs a call and replies to it. "ended" means cancelled or failed, "crash" that the call crashes the endpoint. */
    public async run(
        call: RunningCall,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<"completed" | "ended" | "crash"> {
        const { message, abort } = call;
        const startMs = this.components.clock.nowMs();
        this.countRun(message);
        const text = JSON.stringify([message.input, message.previous]);
        if (this.crashOnText !== "" && text.includes(this.crashOnText)) {
            await this.components.clock.sleep(speedOf(this.options).baseMs, abort.signal);
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
            busyMs: Math.round((this.components.clock.nowMs() - startMs) * 100) / 100,
        });
        const completed = await this.reply(call, req, res, output, usageOf);
        this.countUsage(message, usageOf());
        return completed ? "completed" : "ended";
    }

    /** Simulates the time for the uncached part of the prompt; returns the number of cached tokens. */
    private async prefill(prompt: string, signal: AbortSignal): Promise<number> {
        const speed = speedOf(this.options);
        if (this.options.kind !== "engine") {
            await this.components.clock.sleep(speed.baseMs * this.durationFactor(), signal);
            return 0;
        }
        const hashes = blockHashes(prompt);
        const cachedChars = this.components.cache.match(hashes) * cacheBlockChars;
        const freshTokens = (prompt.length - cachedChars) / charsPerToken;
        await this.components.clock.sleep(
            (speed.baseMs + freshTokens * speed.prefillMsPerToken) * this.durationFactor(),
            signal,
        );
        if (!signal.aborted) {
            this.components.cache.store(hashes);
        }
        return cachedChars / charsPerToken;
    }

    /** Replies with a stream or JSON, as requested; resolves to false if the call was cancelled or failed. */
    private async reply(
        call: RunningCall,
        req: IncomingMessage,
        res: ServerResponse,
        output: string,
        usageOf: () => StageUsage,
    ): Promise<boolean> {
        const { message, abort } = call;
        const fault = this.components.replyFaults.next();
        const { request, stage, attempt } = message;
        const echo: CallIdentity = { request, stage, attempt, incarnation: call.incarnation };
        const content: ReplyContent = fault.swap
            ? await this.components.replyFaults.exchange({ echo, output })
            : { echo, output };
        await this.components.clock.sleep(fault.lateMs, abort.signal);
        if (this.components.random.next() < this.failShare) {
            this.counters.failed += 1;
            this.write(res, () => sendJson(res, 422, { state: "other", message: "the stage failed" }));
            return false;
        }
        const wantsStream = req.headers.accept?.includes("text/event-stream") === true;
        const stream = wantsStream && this.canWrite(res, abort) ? new EventStream(res, content, fault) : undefined;
        const { chunkChars, chunkMs } = speedOf(this.options);
        const from = message.resume?.offset ?? 0;
        for (let offset = from; offset < content.output.length && !abort.signal.aborted; offset += chunkChars) {
            await this.components.clock.sleep(chunkMs * this.durationFactor(), abort.signal);
            this.write(res, () => stream?.output(offset, content.output.slice(offset, offset + chunkChars)));
        }
        if (abort.signal.aborted) {
            this.counters.cancelled += 1;
            res.destroy();
            return false;
        }
        this.write(res, () => wantsStream ? stream?.end(usageOf()) : sendJsonReply(res, content, usageOf(), fault));
        return true;
    }

    private canWrite(res: ServerResponse, abort?: AbortController): boolean {
        return !res.destroyed && !this.components.http.isSilent(res) && abort?.signal.aborted !== true;
    }

    private write(res: ServerResponse, action: () => void): void {
        if (this.canWrite(res)) {
            action();
        }
    }

    private durationFactor(): number {
        const cold = this.components.warmth.state === "warm" ? 1 : speedOf(this.options).coldFactor;
        return this.slowBy * cold
            * (1 + fullBatchFactor * (this.components.batch.running - 1) / this.options.warmLimit);
    }

    private countRun(message: StageCallMessage): void {
        const { runsByRequest, runsByInput } = this.counters;
        const digest = inputDigest(message.stage, message.input);
        runsByRequest[message.request] = (runsByRequest[message.request] ?? 0) + 1;
        runsByInput[digest] = (runsByInput[digest] ?? 0) + 1;
    }

    private countUsage(message: StageCallMessage, usage: StageUsage): void {
        const key = `${message.pipeline}/${message.stage}`;
        const totals = this.counters.byStage[key] ??= newStageTotals();
        totals.calls += 1;
        totals.busyMs += usage.busyMs;
        totals.promptTokens += usage.promptTokens;
        totals.cachedTokens += usage.cachedTokens;
        totals.outputTokens += usage.outputTokens;
    }
}

function newStageTotals(): StageTotals {
    return { calls: 0, busyMs: 0, promptTokens: 0, cachedTokens: 0, outputTokens: 0 };
}
