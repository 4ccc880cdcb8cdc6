/**
 * The entry experiment: measures the overhead that an entry host adds to a stage call. Alternates calls sent directly
 * to the endpoint with calls through a one-stage pipeline, and reports the ratio of the median latencies and the host's
 * CPU time per request.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { parseDocument } from "yaml";
import { SystemClock } from "../src/common/SystemClock.js";
import type { HostId } from "../src/common/Types.js";
import { callPipeline } from "../src/daemon/CallerClient.js";
import { keyHeader } from "../src/peer/Keys.js";
import { Cluster, operatorKey } from "./Cluster.js";
import { callJson } from "./HttpJson.js";

const siteFile = resolve(import.meta.dirname, "../../examples/demo/base.yaml");
/** Name of the one-stage pipeline that is added to the site. */
const pipeline = "lookup";
const pool = "retrievers";
const warmUpCalls = 100;
const measuredCalls = 300;
const readyTimeoutMs = 60_000;
const callTimeoutMs = 10_000;

interface EntryCost {
    readonly directMedianMs: number;
    readonly entryMedianMs: number;
    readonly ratio: number;
    readonly directP95Ms: number;
    readonly entryP95Ms: number;
    readonly cpuMsPerRequest: number;
    /** Time to commit the claim of a call that is not idempotent. */
    readonly claimMedianMs: number;
    readonly claimP99Ms: number;
}

/** Runs the experiment and prints its result as JSON. */
export async function run(): Promise<void> {
    const clock = new SystemClock();
    const folder = join(tmpdir(), `fireflykeel-entry-${process.pid}`);
    const baseFile = join(tmpdir(), `fireflykeel-entry-${process.pid}.yaml`);
    const document = parseDocument(readFileSync(siteFile, "utf8"));
    document.setIn(["pipelines", pipeline], { deadlineMs: 4000, stages: [{ name: "find", pool }] });
    writeFileSync(baseFile, document.toString());
    const cluster = new Cluster({ folder, baseFile, overlays: {}, engineSpeed: {}, seed: 1, clock, startsCold: false });
    try {
        cluster.startStandIns();
        cluster.startDaemons();
        const [host = ""] = Object.keys(cluster.settings.hosts);
        await waitForReady(cluster, host, clock);
        console.log(JSON.stringify(await measure(cluster, host, clock), undefined, 2));
    }
    finally {
        await cluster.stop();
    }
}

async function waitForReady(cluster: Cluster, host: string, clock: SystemClock): Promise<void> {
    const address = cluster.settings.hosts[host as HostId]?.callerAddress ?? "";
    const deadlineMs = clock.nowMs() + readyTimeoutMs;
    while ((await callJson(address, "GET", "/v1/ready")).status !== 200) {
        if (clock.nowMs() > deadlineMs) {
            throw new Error(`host ${host} did not become ready in time`);
        }
        await clock.sleep(100);
    }
}

async function measure(cluster: Cluster, host: string, clock: SystemClock): Promise<EntryCost> {
    const address = cluster.settings.hosts[host as HostId]?.callerAddress ?? "";
    const endpoints = Object.values(cluster.settings.endpoints).filter(endpoint => endpoint.pool === pool);
    const endpoint = endpoints[0]?.address ?? "";
    for (let call = 0; call < warmUpCalls; call += 1) {
        await timeEntryCall(address, call, clock);
    }
    const direct: number[] = [];
    const entry: number[] = [];
    const before = cluster.processes.usage(host)?.cpuMs ?? 0;
    for (let call = 0; call < measuredCalls; call += 1) {
        direct.push(await timeDirectCall(endpoint, call, clock));
        entry.push(await timeEntryCall(address, warmUpCalls + call, clock));
    }
    const cpuMs = (cluster.processes.usage(host)?.cpuMs ?? 0) - before;
    return {
        directMedianMs: percentile(direct, 50),
        entryMedianMs: percentile(entry, 50),
        ratio: percentile(entry, 50) / percentile(direct, 50),
        directP95Ms: percentile(direct, 95),
        entryP95Ms: percentile(entry, 95),
        cpuMsPerRequest: cpuMs / measuredCalls,
        ...await measureClaims(cluster, host, address),
    };
}

/** Places holds one after another, then reads the claim latencies from the daemon's metrics. */
async function measureClaims(cluster: Cluster, host: string, address: string) {
    for (let call = 0; call < measuredCalls; call += 1) {
        const input = { hold: call };
        const idempotencyKey = `entry-${call}`;
        const sent = { address, pipeline: "hold", workspace: "families", input, idempotencyKey };
        await callPipeline({ ...sent, timeoutMs: callTimeoutMs });
    }
    const peerAddress = cluster.settings.hosts[host as HostId]?.peerAddress ?? "";
    const metrics = await callJson(peerAddress, "GET", "/metrics", undefined, { [keyHeader]: operatorKey });
    const quantile = (name: string) => {
        const found = new RegExp(`fireflykeel_claim_ms\\{quantile="${name}"\\} ([0-9.]+)`).exec(String(metrics.body));
        return Number(found?.[1] ?? Number.NaN);
    };
    return { claimMedianMs: quantile("0.5"), claimP99Ms: quantile("0.99") };
}

async function timeEntryCall(address: string, call: number, clock: SystemClock): Promise<number> {
    const startedMs = clock.nowMs();
    const input = { find: `book ${call}` };
    const reply = await callPipeline({ address, pipeline, workspace: "readers", input, timeoutMs: callTimeoutMs });
    const outcome = reply.map(answer => answer.outcome).orDefault("none");
    if (outcome !== "answered") {
        throw new Error(`call ${call} ended with outcome ${outcome}`);
    }
    return clock.nowMs() - startedMs;
}

async function timeDirectCall(address: string, call: number, clock: SystemClock): Promise<number> {
    const startedMs = clock.nowMs();
    const { status } = await callJson(address, "POST", "/v1/stage", {
        request: `direct-${call}`,
        stage: "find",
        attempt: 1,
        workspace: "readers",
        pipeline,
        priority: 0,
        remainingMs: callTimeoutMs,
        input: { find: `direct book ${call}` },
        previous: {},
    });
    if (status !== 200) {
        throw new Error(`direct call ${call} ended with status ${status}`);
    }
    return clock.nowMs() - startedMs;
}

function percentile(values: readonly number[], percent: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.min(sorted.length - 1, Math.floor((percent / 100) * sorted.length))] ?? 0;
}
