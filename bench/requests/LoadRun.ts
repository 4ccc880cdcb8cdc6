/** Runs open-loop load against two entry hosts of a simulated site; callers resend refused requests. */
import type { Outcome } from "../../src/common/Outcome.js";
import { SeededRandom } from "../../src/common/SeededRandom.js";
import type { DataCentreId, PipelineId, RequestId, WorkspaceId } from "../../src/common/Types.js";
import type { Priority } from "../../src/endpoints/Types.js";
import type { EndpointDirectory } from "../../src/endpoints/Types.js";
import { StagedPipelineRunner } from "../../src/pipeline/StagedPipelineRunner.js";
import type { PipelineAnswer, PipelineRequest, RunnerPolicies } from "../../src/pipeline/Types.js";
import { BlockPrefixIndex } from "../../src/routing/BlockPrefixIndex.js";
import { CostRouter } from "../../src/routing/CostRouter.js";
import type { Router } from "../../src/routing/Types.js";
import { FakeClaims, FakeQuarantine } from "../../testing/pipeline/FakeRecords.js";
import { fakeConfig } from "../../testing/pipeline/PipelineBench.js";
import {
    AdmitAll,
    FifoQueue,
    LeastLoadedRouter,
    NoPrefixes,
    RoundRobinRouter,
    UnboundedRetries,
} from "../baselines/Baselines.js";
import { VirtualClock } from "../VirtualClock.js";
import { QuietLog, QuietMetrics } from "./QuietLog.js";
import { SimSite } from "./SimSite.js";

const pipelines = {
    profile: [
        { name: "encode", pool: "encoder" },
        { name: "retrieve", pool: "retriever", hedge: true },
        { name: "rerank", pool: "reranker", hedge: true },
        { name: "generate", pool: "engine", hedge: true },
    ],
    overnight: [{ name: "encode", pool: "encoder" }, { name: "generate", pool: "engine" }],
    lookup: [{ name: "encode", pool: "encoder" }, { name: "retrieve", pool: "retriever", hedge: true }],
    hold: [{ name: "hold", pool: "lending", idempotent: false }],
};

type PipelineName = keyof typeof pipelines;

/** Time from the sending of each attempt to its deadline, in milliseconds. */
const deadlines: Readonly<Record<PipelineName, number>> = {
    profile: 2500,
    overnight: 30_000,
    lookup: 500,
    hold: 1500,
};
const priorities: Readonly<Record<PipelineName, Priority>> = { profile: 1, overnight: 2, lookup: 0, hold: 0 };

/** Requests of one workspace to one pipeline. */
export interface RequestStream {
    readonly workspace: string;
    readonly pipeline: PipelineName;
    readonly perSecond: number;
    /** Start and end of the arrivals, in milliseconds from the start of the run; default the whole run. */
    readonly fromMs?: number;
    readonly untilMs?: number;
    /** Overrides the pipeline's deadline. */
    readonly deadlineMs?: number;
}

/**
 * "fireflykeel" is the product. The policies that begin with "round robin" and "least loaded" replace its router,
 * queue, retry budget and admission control by baselines; each of the others replaces only the part that it names.
 */
export type LoadPolicyName =
    | "fireflykeel"
    | "round robin, FIFO, no budget"
    | "least loaded, FIFO, no budget"
    | "FIFO"
    | "no prefix index"
    | "no budget";

export interface LoadOptions {
    readonly policy: LoadPolicyName;
    readonly seed: number;
    readonly streams: readonly RequestStream[];
    readonly durationMs: number;
    /** Requests that arrive before this time are not counted. */
    readonly warmUpMs?: number;
    readonly faults?: { readonly lost?: number; readonly badReply?: number; readonly neverSent?: number; };
    /** All endpoints of the pool lose every call in this period; times from the start of the run. */
    readonly outage?: { readonly pool: string; readonly fromMs: number; readonly untilMs: number; };
    /** Maximum number of times that a caller resends a request after a refusal or failure. */
    readonly resends?: number;
    /** Share of holds that are sent twice at once, through both hosts. */
    readonly duplicateShare?: number;
}

/** The result of one request over all attempts of its caller. */
export interface RequestResult {
    readonly workspace: string;
    readonly pipeline: PipelineName;
    readonly attempts: number;
    /** Answered within the deadline of the first attempt. */
    readonly attained: boolean;
    /** Answered within the deadline of any attempt. */
    readonly answered: boolean;
    readonly latencyMs: number;
    /** From the start of the run. */
    readonly endedMs: number;
    readonly outcomes: readonly Outcome<PipelineAnswer>[];
    /** Time until each refusal or failure, as a share of the deadline. */
    readonly refusalShares: readonly number[];
}

export interface LoadResult {
    readonly results: readonly RequestResult[];
    /** Duration of the run without the warm-up. */
    readonly countedMs: number;
    readonly calls: number;
    /** Endpoint time of all calls. */
    readonly busyMs: number;
    /** Endpoint time of the calls whose output became part of an answer. */
    readonly usedMs: number;
    readonly promptTokens: number;
    /** Prompt tokens that were not cached. */
    readonly prefilledTokens: number;
    /** Requests refused as "not-run" although one of their calls had been sent. */
    readonly falseRefusals: number;
    /** Inputs of calls that are not idempotent and were sent more than once. */
    readonly repeatedRuns: number;
    /** Answers that belong to another request. */
    readonly wrongAnswers: number;
}

/** Number of texts with which prompts begin, so that engines can reuse their prefixes, and their length. */
const sharedTexts = 60;
const sharedTextChars = 4096;

export class LoadRun {
    private readonly clock = new VirtualClock();
    private readonly random: SeededRandom;
    private readonly site: SimSite;
    private readonly hosts: readonly StagedPipelineRunner[];
    private readonly results: RequestResult[] = [];
    private readonly texts: readonly string[];
    private lastRequest = 0;
    private falseRefusals = 0;
    private wrongAnswers = 0;
    private usedMs = 0;

    public constructor(private readonly options: LoadOptions) {
        this.random = new SeededRandom(options.seed);
        this.site = new SimSite(this.clock, new SeededRandom(options.seed + 1));
        Object.assign(this.site.faults, options.faults ?? {});
        this.texts = Array.from({ length: sharedTexts }, () => this.random.hex(sharedTextChars));
        const claims = new FakeClaims(this.clock);
        const quarantine = new FakeQuarantine();
        const workspaces = Object.fromEntries(["w1", "w2", "w3", "w4", "w5"].map(name => [name, {}]));
        const config = fakeConfig({ pipelines, workspaces });
        this.hosts = [1, 2].map(n => {
            const host = this.site.createHost();
            return new StagedPipelineRunner({
                config,
                router: this.routerFor(host),
                directory: host,
                slots: host,
                client: host,
                claims,
                quarantine,
                clock: this.clock,
                log: new QuietLog(),
                metrics: new QuietMetrics(),
                random: new SeededRandom(options.seed + 10 + n),
            }, this.policies());
        });
    }

    public async run(): Promise<LoadResult> {
        const startMs = this.clock.nowMs();
        this.scheduleOutage(startMs);
        const running = this.options.streams.map((stream, index) =>
            this.sendStream(stream, startMs, new SeededRandom(this.options.seed * 1000 + index))
        );
        await this.clock.runUntil(Promise.all(running));
        const { totals } = this.site;
        return {
            results: this.results,
            countedMs: this.options.durationMs - (this.options.warmUpMs ?? 0),
            calls: totals.calls,
            busyMs: totals.busyMs,
            usedMs: this.usedMs,
            promptTokens: totals.promptTokens,
            prefilledTokens: totals.prefilledTokens,
            falseRefusals: this.falseRefusals,
            repeatedRuns: [...totals.nonIdempotentByInput.values()].filter(times => times > 1).length,
            wrongAnswers: this.wrongAnswers,
        };
    }

    /** Sends one stream's requests. Arrivals use their own random generator, so that all policies get the same ones. */
    private async sendStream(stream: RequestStream, startMs: number, random: SeededRandom): Promise<void> {
        const endMs = startMs + (stream.untilMs ?? this.options.durationMs);
        const running: Promise<void>[] = [];
        await this.clock.sleep(stream.fromMs ?? 0);
        while (true) {
            await this.clock.sleep(-Math.log(1 - random.next()) * 1000 / stream.perSecond);
            if (this.clock.nowMs() >= endMs) {
                break;
            }
            running.push(this.request(stream, startMs, this.texts[random.below(sharedTexts)]!));
        }
        await Promise.all(running);
    }

    private async request(stream: RequestStream, startMs: number, text: string): Promise<void> {
        this.lastRequest += 1;
        const name = `r${this.lastRequest}`;
        const input = stream.pipeline === "hold" ? name : `${text} ${name}`;
        const arrivedMs = this.clock.nowMs();
        const deadlineMs = stream.deadlineMs ?? deadlines[stream.pipeline];
        const outcomes: Outcome<PipelineAnswer>[] = [];
        const refusalShares: number[] = [];
        const maxAttempts = 1 + (this.options.resends ?? 0);
        let answered = false;
        let latencyMs = 0;
        while (!answered && outcomes.length < maxAttempts) {
            const sentMs = this.clock.nowMs();
            const req = this.makeRequest(stream, `${name}-${outcomes.length}`, input, name, sentMs + deadlineMs);
            const outcome = await this.send(req);
            const spentMs = this.clock.nowMs() - sentMs;
            outcomes.push(outcome);
            answered = outcome.kind === "answered" && spentMs <= deadlineMs;
            latencyMs = this.clock.nowMs() - arrivedMs;
            if (answered || outcome.kind === "answered") {
                break;
            }
            refusalShares.push(spentMs / deadlineMs);
            const retryAfterMs = "retryAfterMs" in outcome ? outcome.retryAfterMs : 1000;
            if (retryAfterMs === undefined) {
                break;
            }
            await this.clock.sleep(retryAfterMs);
        }
        if (arrivedMs - startMs >= (this.options.warmUpMs ?? 0)) {
            this.results.push({
                workspace: stream.workspace,
                pipeline: stream.pipeline,
                attempts: outcomes.length,
                attained: answered && latencyMs <= deadlineMs,
                answered,
                latencyMs: latencyMs,
                endedMs: arrivedMs + latencyMs - startMs,
                outcomes,
                refusalShares,
            });
        }
    }

    private async send(req: PipelineRequest): Promise<Outcome<PipelineAnswer>> {
        const host = this.hosts[this.random.below(this.hosts.length)]!;
        const neverAborted = new AbortController().signal;
        if (req.idempotencyKey !== undefined && this.random.next() < (this.options.duplicateShare ?? 0)) {
            const otherHost = this.hosts.find(one => one !== host)!;
            void otherHost.run({ ...req, id: `${req.id}-double` as RequestId }, neverAborted);
        }
        const outcome = await host.run(req, neverAborted);
        this.checkOutcome(req, outcome);
        return outcome;
    }

    private checkOutcome(req: PipelineRequest, outcome: Outcome<PipelineAnswer>): void {
        if (outcome.kind === "not-run" && (this.site.totals.sentByRequest.get(req.id) ?? 0) > 0) {
            this.falseRefusals += 1;
        }
        if (outcome.kind !== "answered") {
            return;
        }
        const isOwnAnswer = req.idempotencyKey === undefined
            ? outcome.answer.output.endsWith(`:${req.id}`)
            : outcome.answer.output.includes(`:${String(req.input)}-`);
        this.wrongAnswers += isOwnAnswer ? 0 : 1;
        this.usedMs += outcome.answer.stages.reduce((sum, stage) => sum + stage.usage.busyMs, 0);
    }

    private makeRequest(
        stream: RequestStream,
        id: string,
        input: string,
        key: string,
        deadlineMs: number,
    ): PipelineRequest {
        return {
            id: id as RequestId,
            workspace: stream.workspace as WorkspaceId,
            pipeline: stream.pipeline as string as PipelineId,
            input,
            idempotencyKey: stream.pipeline === "hold" ? key : undefined,
            deadlineMs,
            priority: priorities[stream.pipeline],
        };
    }

    private scheduleOutage(startMs: number): void {
        const { outage } = this.options;
        if (outage !== undefined) {
            this.clock.setTimer(outage.fromMs, () => {
                for (const endpoint of this.site.slots.inPool(outage.pool)) {
                    this.site.faults.outageUntilMs.set(endpoint.id, startMs + outage.untilMs);
                }
            });
        }
    }

    /** Reads the engines' cache events every second, as a host does. */
    private pollCacheEvents(index: BlockPrefixIndex, after: Map<string, number>): void {
        for (const [id, events] of this.site.cacheEvents(after)) {
            index.recordEvents(id, events);
            after.set(id, events[events.length - 1]?.sequence ?? after.get(id) ?? 0);
        }
        this.clock.setTimer(1000, () => this.pollCacheEvents(index, after));
    }

    private routerFor(host: EndpointDirectory): Router {
        const dataCentre = "dc1" as DataCentreId;
        switch (this.options.policy) {
            case "round robin, FIFO, no budget":
                return new RoundRobinRouter(host);
            case "least loaded, FIFO, no budget":
                return new LeastLoadedRouter(host);
            case "no prefix index":
                return new CostRouter({ directory: host, prefixes: new NoPrefixes(), dataCentre });
            default: {
                const index = new BlockPrefixIndex(new QuietLog());
                this.pollCacheEvents(index, new Map());
                return new CostRouter({ directory: host, prefixes: index, dataCentre });
            }
        }
    }

    private policies(): RunnerPolicies {
        switch (this.options.policy) {
            case "round robin, FIFO, no budget":
            case "least loaded, FIFO, no budget":
                return { queueClass: FifoQueue, budget: new UnboundedRetries(), admission: () => new AdmitAll() };
            case "FIFO":
                return { queueClass: FifoQueue };
            case "no budget":
                return { budget: new UnboundedRetries() };
            default:
                return {};
        }
    }
}
