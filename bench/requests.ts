/**
 * The requests experiment: compares the product's policies for requests and routing with simple baselines. Covers
 * attainment and goodput under load, the smallest workspace during another one's burst, retries after an outage,
 * prefill, and violations of guarantees. Runs the product's code in virtual time on simulated endpoints.
 */
import { type BenchTable, formatMarkdownTable } from "./MarkdownTable.js";
import {
    type LoadOptions,
    type LoadPolicyName,
    type LoadResult,
    LoadRun,
    type RequestStream,
} from "./requests/LoadRun.js";

const seed = 3;
const durationMs = 25_000;
const warmUpMs = 5000;
const workspaceShares = [0.4, 0.3, 0.15, 0.1, 0.05];
const loads = [0.7, 1, 1.5, 2];
const plainPolicies: readonly LoadPolicyName[] = ["round robin, FIFO, no budget", "least loaded, FIFO, no budget"];

/** Profiles, lookups and holds of five workspaces; `perSecond` is the rate of the profiles of all workspaces. */
function mixedStreams(perSecond: number): RequestStream[] {
    return workspaceShares.flatMap((share, index) => {
        const workspace = `w${index + 1}`;
        return [
            { workspace, pipeline: "profile" as const, perSecond: perSecond * share },
            { workspace, pipeline: "lookup" as const, perSecond: perSecond * share * 0.3 },
            { workspace, pipeline: "hold" as const, perSecond: perSecond * share * 0.1 },
        ];
    });
}

function simulate(
    options: Omit<LoadOptions, "seed" | "durationMs" | "warmUpMs"> & Partial<LoadOptions>,
): Promise<LoadResult> {
    return new LoadRun({ seed, durationMs, warmUpMs, ...options }).run();
}

function formatShare(part: number, whole: number): string {
    return whole === 0 ? "-" : `${(100 * part / whole).toFixed(2)} %`;
}

function attained(result: LoadResult, pipeline?: string, workspace?: string): string {
    const counted = result.results.filter(one =>
        (pipeline === undefined || one.pipeline === pipeline)
        && (workspace === undefined || one.workspace === workspace)
    );
    return formatShare(counted.filter(one => one.attained).length, counted.length);
}

function goodput(result: LoadResult): number {
    const completed = result.results.filter(one => one.pipeline === "profile" && one.answered).length;
    return completed * 1000 / result.countedMs;
}

function wasted(result: LoadResult): string {
    return formatShare(result.busyMs - result.usedMs, result.busyMs);
}

/** Measures the site's capacity, in profiles per second, with deadlines too long to matter. */
async function measureCapacity(): Promise<number> {
    const deadlineMs = 600_000;
    const streams = mixedStreams(150).map(stream => ({ ...stream, deadlineMs }));
    const result = await simulate({ policy: "no budget", streams, durationMs: 20_000, warmUpMs: 0 });
    const ends = result.results.filter(one => one.pipeline === "profile").map(one => one.endedMs).sort((a, b) => a - b);
    // In the first and last fifth the site's load rises and falls.
    const from = ends[Math.floor(ends.length * 0.2)] ?? 0;
    const to = ends[Math.floor(ends.length * 0.8)] ?? 1;
    return ends.length * 0.6 * 1000 / (to - from);
}

async function benchLoad(capacity: number): Promise<BenchTable> {
    const rows: (string | number)[][] = [];
    for (const load of loads) {
        for (const policy of ["fireflykeel" as const, ...plainPolicies]) {
            const result = await simulate({ policy, streams: mixedStreams(capacity * load), resends: 3 });
            const refusals = result.results.flatMap(one => one.refusalShares);
            const early = refusals.filter(one => one < 0.05).length;
            rows.push([
                load,
                policy,
                goodput(result).toFixed(1),
                attained(result, "profile"),
                attained(result, "lookup"),
                attained(result, "hold"),
                wasted(result),
                formatShare(early, refusals.length),
            ]);
        }
    }
    return {
        title: "Load",
        notes: [
            `Capacity: ${capacity.toFixed(1)} profiles/s, measured with callers that wait without limit. Seed ${seed}, `
            + `${durationMs / 1000} s of virtual time, the first ${
                warmUpMs / 1000
            } s not counted; two entry hosts; refused `
            + "callers resend up to three times after Retry-After. Attainment uses the first attempt's deadline.",
        ],
        columns: [
            "load",
            "policy",
            "profiles/s in time",
            "profiles attained",
            "lookups attained",
            "holds attained",
            "endpoint time wasted",
            "refusals within 5 % of the deadline",
        ],
        rows,
    };
}

async function benchBurst(capacity: number): Promise<BenchTable> {
    const rows: (string | number)[][] = [];
    const burst: RequestStream = {
        workspace: "w1",
        pipeline: "profile",
        perSecond: capacity * 2,
        fromMs: 8000,
        untilMs: 18_000,
    };
    for (const policy of ["fireflykeel" as const, "FIFO" as const, ...plainPolicies]) {
        const result = await simulate({ policy, streams: [...mixedStreams(capacity * 0.5), burst], resends: 1 });
        rows.push([
            policy,
            attained(result, undefined, "w5"),
            attained(result, undefined, "w1"),
            goodput(result).toFixed(1),
        ]);
    }
    return {
        title: "Burst of one workspace",
        notes: [`w1 sends twice the capacity for 10 s, in addition to half the capacity from all; seed ${seed}.`],
        columns: ["policy", "smallest workspace attained", "bursting workspace attained", "profiles/s in time"],
        rows,
    };
}

async function benchOutage(capacity: number): Promise<BenchTable> {
    const rows: (string | number)[][] = [];
    for (const policy of ["fireflykeel" as const, "no budget" as const, ...plainPolicies]) {
        const result = await simulate({
            policy,
            streams: mixedStreams(capacity * 0.6),
            outage: { pool: "retriever", fromMs: 8000, untilMs: 13_000 },
            resends: 3,
        });
        rows.push([policy, result.calls, attained(result, "profile"), goodput(result).toFixed(1), wasted(result)]);
    }
    return {
        title: "Retries after an outage",
        notes: [`All retrievers lose every call for 5 s, at 0.6 times the capacity; seed ${seed}.`],
        columns: ["policy", "stage calls", "profiles attained", "profiles/s in time", "endpoint time wasted"],
        rows,
    };
}

async function benchPrefixes(capacity: number): Promise<BenchTable> {
    const rows: (string | number)[][] = [];
    for (const policy of ["fireflykeel" as const, "no prefix index" as const, ...plainPolicies]) {
        const result = await simulate({ policy, streams: mixedStreams(capacity * 0.7) });
        rows.push([
            policy,
            formatShare(result.prefilledTokens, result.promptTokens),
            attained(result, "profile"),
            medianLatencyMs(result).toFixed(0),
        ]);
    }
    return {
        title: "Prefill",
        notes: [
            `60 shared texts of 1,024 tokens; each engine's cache holds 12 of them; 0.7 times the capacity; seed ${seed}.`,
        ],
        columns: ["policy", "prompt tokens prefilled", "profiles attained", "median profile, ms"],
        rows,
    };
}

function medianLatencyMs(result: LoadResult): number {
    const times = result.results.filter(one => one.pipeline === "profile" && one.answered).map(one => one.latencyMs);
    return times.sort((a, b) => a - b)[times.length >> 1] ?? 0;
}

async function benchViolations(capacity: number): Promise<BenchTable> {
    let requests = 0;
    let holds = 0;
    let repeatedRuns = 0;
    let falseRefusals = 0;
    let wrong = 0;
    const seeds = [21, 22, 23, 24, 25, 26];
    for (const one of seeds) {
        const result = await simulate({
            policy: "fireflykeel",
            seed: one,
            streams: mixedStreams(capacity * (one % 2 === 0 ? 0.8 : 1.5)),
            durationMs: 15_000,
            warmUpMs: 0,
            faults: { lost: 0.03, badReply: 0.02, neverSent: 0.05 },
            resends: 3,
            duplicateShare: 0.3,
        });
        requests += result.results.length;
        holds += result.results.filter(request => request.pipeline === "hold").length;
        repeatedRuns += result.repeatedRuns;
        falseRefusals += result.falseRefusals;
        wrong += result.wrongAnswers;
    }
    return {
        title: "Violations of guarantees",
        notes: [
            "Calls are lost (3 %), get an invalid reply (2 %) or fail to connect (5 %); three in ten holds are sent twice at "
            + `once through both hosts, and refused callers resend. Loads of 0.8 and 1.5; seeds ${seeds.join(", ")}.`,
        ],
        columns: ["requests", "holds", "calls run twice", "false not-run refusals", "answers to another request"],
        rows: [[requests, holds, repeatedRuns, falseRefusals, wrong]],
    };
}

/** Measures all tables and passes each to `onTable` as soon as it is complete. Takes several minutes of one core. */
export async function benchRequests(onTable: (table: BenchTable) => void = () => {}): Promise<readonly BenchTable[]> {
    const capacity = await measureCapacity();
    const tables: BenchTable[] = [];
    for (const measure of [benchViolations, benchLoad, benchBurst, benchOutage, benchPrefixes]) {
        const table = await measure(capacity);
        tables.push(table);
        onTable(table);
    }
    return tables;
}

/** Runs the experiment for `npm run bench -- requests` and prints its tables. */
export async function run(): Promise<void> {
    await benchRequests(table => process.stdout.write(`${formatMarkdownTable(table)}\n`));
}
