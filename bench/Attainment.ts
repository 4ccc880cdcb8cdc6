/**
 * The attainment experiment: both users' sites under open-loop load, with a data centre that operators take out of
 * service and bring back. While it is out its endpoints restart, so that they come back cold.
 */
import { mkdirSync, readdirSync } from "node:fs";
import { basename, join, resolve } from "node:path";
import { SystemClock } from "../src/common/SystemClock.js";
import { keyHeader } from "../src/peer/Keys.js";
import { Balancer } from "./Balancer.js";
import { Caller, type CallRecord } from "./Caller.js";
import { Cluster, operatorKey } from "./Cluster.js";
import { EndpointWatch } from "./EndpointWatch.js";
import { faultPlans } from "./Faults.js";
import { callJson } from "./HttpJson.js";
import type { ProcessUse } from "./Processes.js";
import {
    findViolations,
    type Phase,
    tallyAttainment,
    tallyCosts,
    tallyPhases,
    tallyPipelines,
    tallySeconds,
} from "./Tally.js";
import type { DaemonUse, DataCentreChange, Mark, RunResult } from "./Types.js";
import { writeVariant } from "./Variants.js";
import { type Arrival, planArrivals, type Rates } from "./Workload.js";

/** Requests a second of each pipeline at load 1. */
const ratesBySite: Readonly<Record<string, Rates>> = {
    bramwell: { profile: 4, quick: 12, listing: 4, hold: 4, notify: 2, intake: 2 },
    reading: { summary: 4, question: 8, lookup: 8, hold: 3, renewal: 3, audio: 1, meeting: 1 },
};

/** The data centre that is taken out, by site. */
const leavingBySite: Readonly<Record<string, string>> = { bramwell: "meadow", reading: "belso" };

/** Engines of the experiment: some 15 to 30 chunks of output at this pace make a call of about half a second. */
const engineSpeed = { chunkMs: 25, prefillMsPerToken: 0.2 };
/** Bounds on start and on the end of the last request, in milliseconds. */
const readyTimeoutMs = 60_000;

export const sites: readonly string[] = Object.keys(ratesBySite);
const examples = resolve(import.meta.dirname, "../../examples");

export interface AttainmentOptions {
    readonly site: string;
    readonly variant: string;
    readonly seed: number;
    readonly seconds: number;
    /** Factor on the site's rates. */
    readonly load: number;
    /** Whether all endpoints are cold at the start; otherwise only those that restart. */
    readonly cold: boolean;
    /** Whether a data centre leaves and returns. */
    readonly changes: boolean;
    /** Names of further faults, from {@link faultPlans}. */
    readonly faults: readonly string[];
    /** Factor on the rates in the fourth tenth of the load; 1 for none. */
    readonly burst: number;
    /** Folder for files and logs of the processes. */
    readonly folder: string;
    readonly progress: (text: string) => void;
}

export async function runAttainment(options: AttainmentOptions): Promise<RunResult> {
    const run = new AttainmentRun(options);
    try {
        return await run.run();
    }
    finally {
        await run.stop();
    }
}

class AttainmentRun {
    private readonly clock = new SystemClock();
    private readonly cluster: Cluster;
    private readonly balancer: Balancer;
    private readonly caller: Caller;
    private readonly watch: EndpointWatch;
    private readonly abort = new AbortController();
    private readonly records: CallRecord[] = [];
    private readonly marks: Mark[] = [];
    private startMs = 0;

    public constructor(private readonly options: AttainmentOptions) {
        const { site, variant, folder, seed, cold } = options;
        const example = join(examples, site);
        const files = readdirSync(example).filter(file => file !== "base.yaml");
        const overlays = Object.fromEntries(files.map(file => [basename(file, ".yaml"), join(example, file)]));
        mkdirSync(folder, { recursive: true });
        const baseFile = join(folder, `${site}-${variant}.yaml`);
        writeVariant(join(example, "base.yaml"), variant, baseFile);
        const runFolder = join(folder, `${site}-${variant}`);
        const { clock } = this;
        this.cluster = new Cluster({
            folder: runFolder,
            baseFile,
            overlays,
            engineSpeed,
            seed,
            clock,
            startsCold: cold,
        });
        this.balancer = new Balancer(this.cluster.settings, this.clock);
        this.caller = new Caller(this.cluster.settings, this.balancer);
        this.watch = new EndpointWatch(this.cluster.settings, this.clock);
    }

    public async run(): Promise<RunResult> {
        await this.start();
        const { site, seed, seconds, load, burst: factor } = this.options;
        const rates = Object.fromEntries(
            Object.entries(ratesBySite[site] ?? {}).map(([name, rate]) => [name, rate * load]),
        );
        const durationMs = seconds * 1000;
        const burst = { fromMs: durationMs * 0.3, toMs: durationMs * 0.4, factor };
        const arrivals = planArrivals(this.cluster.settings, { rates, durationMs, seed, burst });
        const useBefore = this.daemonUse();
        this.startMs = this.clock.nowMs();
        const watching = this.watch.run(this.startMs, this.abort.signal);
        const changing = this.options.changes ? this.changeDataCentre(durationMs) : Promise.resolve(undefined);
        const failing = this.bringFaults(durationMs);
        await this.drive(arrivals);
        const daemons = this.useSince(useBefore);
        const dataCentreChange = await changing;
        await failing;
        this.abort.abort();
        await watching;
        return this.result(durationMs, arrivals.length / seconds, dataCentreChange, daemons);
    }

    public async stop(): Promise<void> {
        this.abort.abort();
        this.balancer.dispose();
        this.caller.dispose();
        await this.cluster.stop();
    }

    private async start(): Promise<void> {
        this.cluster.startStandIns();
        this.cluster.startDaemons();
        this.balancer.start();
        const hosts = Object.keys(this.cluster.settings.hosts).length;
        const ready = await this.balancer.waitForReady(hosts, readyTimeoutMs);
        this.options.progress(`${this.balancer.readyHosts.length} of ${hosts} hosts are ready`);
        if (!ready) {
            throw new Error(`only ${this.balancer.readyHosts.join(", ")} got ready within ${readyTimeoutMs} ms`);
        }
    }

    /** Sends each request at its time, whatever became of the others, and waits for all ends. */
    private async drive(arrivals: readonly Arrival[]): Promise<void> {
        const running: Promise<void>[] = [];
        for (const arrival of arrivals) {
            const waitMs = this.startMs + arrival.atMs - this.clock.nowMs();
            if (waitMs > 0) {
                await this.clock.sleep(waitMs);
            }
            running.push(this.caller.call(arrival).then(record => void this.records.push(record)));
        }
        await Promise.all(running);
    }

    private get leaving(): string {
        return leavingBySite[this.options.site] ?? "";
    }

    /** Out after a third of the time, endpoints restarted half-way, back after two thirds. */
    private async changeDataCentre(durationMs: number): Promise<DataCentreChange> {
        await this.sleepUntil(durationMs / 3);
        const outAtMs = await this.setOut(true);
        await this.sleepUntil(durationMs / 2);
        const endpoints = Object.entries(this.cluster.settings.endpoints)
            .filter(([, endpoint]) => endpoint.dataCentre === this.leaving);
        await Promise.all(endpoints.map(([id]) => this.watch.control(id, { crash: true })));
        this.mark(`endpoints of ${this.leaving} restart`);
        await this.sleepUntil((durationMs * 2) / 3);
        const inAtMs = await this.setOut(false);
        await this.sleepUntil(durationMs);
        const last = this.watch.lastReceivedMs(this.leaving, outAtMs, inAtMs);
        const first = this.watch.firstReceivedMs(this.leaving, inAtMs, Infinity);
        return {
            dataCentre: this.leaving,
            outAtMs,
            inAtMs,
            lastNewCallAfterOutMs: last === undefined ? 0 : last - outAtMs,
            firstNewCallAfterInMs: first === undefined ? undefined : first - inAtMs,
        };
    }

    private async bringFaults(durationMs: number): Promise<void> {
        const { settings } = this.cluster;
        const steps = this.options.faults.flatMap(name => faultPlans[name]?.(settings) ?? []);
        for (const step of [...steps].sort((a, b) => a.at - b.at)) {
            await this.sleepUntil(durationMs * step.at);
            await step.run({ cluster: this.cluster, watch: this.watch });
            this.mark(step.what);
        }
    }

    /** Gives when the operators' call was sent. Any host takes it; the next one is asked while it fails. */
    private async setOut(out: boolean): Promise<number> {
        const atMs = this.clock.nowMs() - this.startMs;
        const change = { kind: "set-data-centre", id: `bench-${out ? "out" : "in"}`, dataCentre: this.leaving, out };
        for (const { peerAddress } of Object.values(this.cluster.settings.hosts)) {
            const headers = { [keyHeader]: operatorKey };
            const reply = await callJson(peerAddress, "POST", "/v1/operator/config/change", change, headers);
            if (reply.status === 200) {
                const tookMs = Math.round(this.clock.nowMs() - this.startMs - atMs);
                this.mark(`${this.leaving} is taken ${out ? "out" : "in"}; accepted after ${tookMs} ms`, atMs);
                return atMs;
            }
        }
        this.mark(`${this.leaving} could not be taken ${out ? "out" : "in"}`, atMs);
        return atMs;
    }

    private async sleepUntil(atMs: number): Promise<void> {
        await this.clock.sleep(Math.max(0, this.startMs + atMs - this.clock.nowMs()), this.abort.signal);
    }

    private mark(what: string, atMs: number = this.clock.nowMs() - this.startMs): void {
        this.marks.push({ atMs: Math.round(atMs), what });
        this.options.progress(`${(atMs / 1000).toFixed(1)} s: ${what}`);
    }

    private daemonUse(): Map<string, ProcessUse> {
        const uses = new Map<string, ProcessUse>();
        for (const host of Object.keys(this.cluster.settings.hosts)) {
            const use = this.cluster.processes.use(host);
            if (use !== undefined) {
                uses.set(host, use);
            }
        }
        return uses;
    }

    private useSince(before: ReadonlyMap<string, ProcessUse>): DaemonUse[] {
        const elapsedMs = this.clock.nowMs() - this.startMs;
        return [...this.daemonUse()].map(([host, { cpuMs, residentBytes }]) => ({
            host,
            cpuShare: (cpuMs - (before.get(host)?.cpuMs ?? 0)) / elapsedMs,
            residentBytes,
        }));
    }

    private async result(
        durationMs: number,
        offeredPerSecond: number,
        dataCentreChange: DataCentreChange | undefined,
        daemons: readonly DaemonUse[],
    ): Promise<RunResult> {
        const { site, variant, seed } = this.options;
        const { records, marks } = this;
        const phases = phasesOf(durationMs, dataCentreChange);
        const counters = await this.watch.counters(false);
        return {
            site,
            variant,
            seed,
            durationMs,
            offeredPerSecond,
            overall: tallyAttainment(records),
            phases,
            byPhase: tallyPhases(records, phases),
            byPipeline: tallyPipelines(records),
            seconds: tallySeconds(records, durationMs),
            costs: tallyCosts(records, counters),
            violations: findViolations(this.cluster.settings, records, counters),
            dataCentreChange,
            marks,
            received: this.watch.samples,
            daemons,
        };
    }
}

/** The first seconds, then before, during and after the data centre's absence. */
function phasesOf(durationMs: number, change: DataCentreChange | undefined): Phase[] {
    const startMs = Math.min(10_000, durationMs / 6);
    const start = { name: "start", fromMs: 0, toMs: startMs };
    if (change === undefined) {
        return [start, { name: "steady", fromMs: startMs, toMs: durationMs }];
    }
    const { outAtMs, inAtMs } = change;
    return [
        start,
        { name: "before", fromMs: startMs, toMs: outAtMs },
        { name: "out", fromMs: outAtMs, toMs: inAtMs },
        { name: "returned", fromMs: inAtMs, toMs: durationMs },
    ];
}
