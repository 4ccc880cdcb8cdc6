/**
 * Aggregates the calls of a run: attainment, latency, how requests ended, cost by stage, and violations of guarantees.
 */
import * as hdr from "hdr-histogram-js";
import type { Settings } from "../src/config/Schema.js";
import { inputDigest } from "../standin/ExpectedOutput.js";
import type { StandInCounters } from "../standin/Types.js";
import type { CallRecord, RequestEnd } from "./Caller.js";

export interface Phase {
    readonly name: string;
    /** From the start of the load, in milliseconds. */
    readonly fromMs: number;
    readonly toMs: number;
}

export interface Attainment {
    readonly requests: number;
    /** Share of requests answered completely within their deadline; 0 without requests. */
    readonly attained: number;
    readonly ends: Readonly<Record<RequestEnd, number>>;
    readonly reasons: Readonly<Record<string, number>>;
    /** Latency percentiles of the answered requests, in milliseconds. */
    readonly p50Ms: number;
    readonly p95Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}

export interface SecondTally {
    readonly second: number;
    readonly requests: number;
    readonly attained: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
}

export interface StageCostRow {
    /** "pipeline/stage". */
    readonly stage: string;
    readonly calls: number;
    /** Mean per answered request of the pipeline, as are the other fields that end in "PerAnswer". */
    readonly callsPerAnswer: number;
    readonly busyMsPerAnswer: number;
    readonly promptTokensPerAnswer: number;
    /** Share of prompt tokens that the endpoint's cache held, in [0, 1]. */
    readonly cachedShare: number;
    readonly outputTokensPerAnswer: number;
}

/** Counts of broken guarantees, and of endpoint crashes. */
export interface Violations {
    /** Answers that were incomplete or belonged to another request. */
    readonly wrongAnswers: number;
    /** Requests for which a stage that is not idempotent ran more than once. */
    readonly doubledRuns: number;
    /** Answered requests for which a stage that is not idempotent never ran. */
    readonly answeredWithoutRun: number;
    /** Requests refused as "not-run" although one of their stages ran. */
    readonly untrueRefusals: number;
    /** Crashes of cold endpoints that received more concurrent calls than they could handle. */
    readonly fallsWhileCold: number;
    /** Crashes from any cause, including those that the experiment injected. */
    readonly crashes: number;
}

export function tallyAttainment(records: readonly CallRecord[]): Attainment {
    const ends: Record<RequestEnd, number> = {
        "answered": 0,
        "wrong": 0,
        "not-run": 0,
        "failed": 0,
        "unknown": 0,
        "lost": 0,
    };
    const reasons: Record<string, number> = {};
    for (const { end, reason } of records) {
        ends[end] += 1;
        if (reason !== "") {
            reasons[`${end}: ${reason}`] = (reasons[`${end}: ${reason}`] ?? 0) + 1;
        }
    }
    const latencies = histogramOf(records);
    return {
        requests: records.length,
        attained: shareAttained(records),
        ends,
        reasons,
        p50Ms: latencies.getValueAtPercentile(50),
        p95Ms: latencies.getValueAtPercentile(95),
        p99Ms: latencies.getValueAtPercentile(99),
        maxMs: latencies.maxValue,
    };
}

export function tallyPhases(records: readonly CallRecord[], phases: readonly Phase[]): Record<string, Attainment> {
    return Object.fromEntries(phases.map(({ name, fromMs, toMs }) => [
        name,
        tallyAttainment(records.filter(({ arrival }) => arrival.atMs >= fromMs && arrival.atMs < toMs)),
    ]));
}

export function tallyPipelines(records: readonly CallRecord[]): Record<string, Attainment> {
    const pipelines = [...new Set(records.map(record => record.arrival.pipeline))].sort();
    return Object.fromEntries(pipelines.map(pipeline => [
        pipeline,
        tallyAttainment(records.filter(record => record.arrival.pipeline === pipeline)),
    ]));
}

/** One row for each second of the load, with the requests that arrived in it. */
export function tallySeconds(records: readonly CallRecord[], durationMs: number): SecondTally[] {
    const seconds = Math.ceil(durationMs / 1000);
    return Array.from({ length: seconds }, (_, second) => {
        const within = records.filter(({ arrival }) => Math.floor(arrival.atMs / 1000) === second);
        const latencies = histogramOf(within);
        return {
            second,
            requests: within.length,
            attained: shareAttained(within),
            p50Ms: latencies.getValueAtPercentile(50),
            p99Ms: latencies.getValueAtPercentile(99),
        };
    });
}

/** One row for each stage, sorted by "pipeline/stage", with sums over all endpoints. */
export function tallyCosts(
    records: readonly CallRecord[],
    counters: Readonly<Record<string, StandInCounters>>,
): StageCostRow[] {
    const answers = new Map<string, number>();
    for (const { arrival, end } of records) {
        answers.set(arrival.pipeline, (answers.get(arrival.pipeline) ?? 0) + Number(end === "answered"));
    }
    const keys = new Set(Object.values(counters).flatMap(one => Object.keys(one.byStage)));
    return [...keys].sort().map(stage => {
        const spendings = Object.values(counters).flatMap(one => one.byStage[stage] ?? []);
        const sum = (field: "calls" | "busyMs" | "promptTokens" | "cachedTokens" | "outputTokens") =>
            spendings.reduce((total, one) => total + one[field], 0);
        const perAnswer = (total: number) => total / Math.max(1, answers.get(stage.split("/")[0] ?? "") ?? 0);
        return {
            stage,
            calls: sum("calls"),
            callsPerAnswer: perAnswer(sum("calls")),
            busyMsPerAnswer: perAnswer(sum("busyMs")),
            promptTokensPerAnswer: perAnswer(sum("promptTokens")),
            cachedShare: sum("cachedTokens") / Math.max(1, sum("promptTokens")),
            outputTokensPerAnswer: perAnswer(sum("outputTokens")),
        };
    });
}

/**
 * Compares the replies that callers received with the stages that endpoints ran. Runs are matched to requests by input,
 * so each request needs a unique one.
 */
export function findViolations(
    settings: Settings,
    records: readonly CallRecord[],
    counters: Readonly<Record<string, StandInCounters>>,
): Violations {
    const runs = new Map<string, number>();
    for (const { runsByInput } of Object.values(counters)) {
        Object.entries(runsByInput).forEach(([digest, count]) => runs.set(digest, (runs.get(digest) ?? 0) + count));
    }
    const stagesOf = (record: CallRecord) =>
        Object.entries(settings.pipelines).find(([name]) => name === record.arrival.pipeline)?.[1].stages ?? [];
    const runsOf = (record: CallRecord, onlyNonIdempotent: boolean) =>
        stagesOf(record)
            .filter(stage => !onlyNonIdempotent || !stage.idempotent)
            .map(stage => runs.get(inputDigest(stage.name, record.arrival.input)) ?? 0);
    const count = (isViolation: (record: CallRecord) => boolean) => records.filter(isViolation).length;
    const sumOver = (field: (one: StandInCounters) => number) =>
        Object.values(counters).reduce((sum, one) => sum + field(one), 0);
    return {
        wrongAnswers: count(record => record.end === "wrong"),
        doubledRuns: count(record => runsOf(record, true).some(times => times > 1)),
        answeredWithoutRun: count(record => record.end === "answered" && runsOf(record, true).includes(0)),
        untrueRefusals: count(record => record.end === "not-run" && runsOf(record, false).some(times => times > 0)),
        fallsWhileCold: sumOver(one => one.fallsWhileCold),
        crashes: sumOver(one => one.crashes),
    };
}

function shareAttained(records: readonly CallRecord[]): number {
    return records.filter(record => record.attained).length / Math.max(1, records.length);
}

function histogramOf(records: readonly CallRecord[]): hdr.Histogram {
    const histogram = hdr.build({ numberOfSignificantValueDigits: 3 });
    for (const { end, latencyMs } of records) {
        if (end === "answered") {
            histogram.recordValue(Math.round(latencyMs));
        }
    }
    return histogram;
}
