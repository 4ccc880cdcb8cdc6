/**
 * The attainment experiment: runs the example sites under open-loop load while operators take a data centre out of
 * service and bring it back. Its endpoints restart while it is out, so they are cold when it returns.
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
import type { ProcessUsage } from "./Processes.js";
import {
    findViolations,
    type Phase,
    tallyAttainment,
    tallyCosts,
    tallyPhases,
    tallyPipelines,
    tallySeconds,
} from "./Tally.js";
import type { DaemonUsage, DataCentreChange, Mark, RunResult } from "./Types.js";
import { writeVariant } from "./Variants.js";
import { type Arrival, planArrivals, type Rates } from "./Workload.js";

/** Requests per second for each pipeline at load 1, by site. */
const ratesBySite: Readonly<Record<string, Rates>> = {
    bramwell: { profile: 4, quick: 12, listing: 4, hold: 4, notify: 2, intake: 2 },
    reading: { summary: 4, question: 8, lookup: 8, hold: 3, renewal: 3, audio: 1, meeting: 1 },
};

/** The data centre that is taken out of service, by site. */
const removedDataCentreBySite: Readonly<Record<string, string>> = { bramwell: "meadow", reading: "belso" };

/** Speed of the stand-in engines: a call with 15 to 30 output chunks takes about half a second. */
const engineSpeed = { chunkMs: 25, prefillMsPerToken: 0.2 };
/** Maximum time until all hosts are ready, in milliseconds. */
const readyTimeoutMs = 60_000;

export const sites: readonly string[] = Object.keys(ratesBySite);
const examples = resolve(import.meta.dirname, "../../examples");

export interface AttainmentOptions {
    readonly site: string;
    readonly variant: string;
    readonly seed: number;
    readonly seconds: number;
    /** Factor on the site's request rates. */
    readonly load: number;
    /** Whether all endpoints start cold; otherwise only restarted endpoints are cold. */
    readonly cold: boolean;
    /** Whether a data centre is taken out of service and brought back. */
    readonly changes: boolean;
    /** Additional faults, by their names in {@link faultPlans}. */
    readonly faults: readonly string[];
    /** Factor on the rates from 30 % to 40 % of the duration; 1 means no burst. */
    readonly burst: number;
    /** Folder for the configuration files and logs of the processes. */
    readonly folder: string;
    readonly progress: (text: string) => void;
}

/** Runs one variant of one site. Throws if not all hosts become ready in time; always stops the processes. */
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
        const usagesBefore = this.daemonUsages();
        this.startMs = this.clock.nowMs();
        const watching = this.watch.run(this.startMs, this.abort.signal);
        const changing = this.options.changes ? this.changeDataCentre(durationMs) : Promise.resolve(undefined);
        const injecting = this.injectFaults(durationMs);
        await this.sendRequests(arrivals);
        const daemons = this.daemonUsagesSince(usagesBefore);
        const dataCentreChange = await changing;
        await injecting;
        this.abort.abort();
        await watching;
        return this.buildResult(durationMs, arrivals.length / seconds, dataCentreChange, daemons);
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
            throw new Error(
                `only hosts ${this.balancer.readyHosts.join(", ")} became ready within ${readyTimeoutMs} ms`,
            );
        }
    }

    /** Sends each request at its planned time without waiting for earlier ones, then waits until all have ended. */
    private async sendRequests(arrivals: readonly Arrival[]): Promise<void> {
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

    private get removedDataCentre(): string {
        return removedDataCentreBySite[this.options.site] ?? "";
    }

    /** Takes the data centre out at 1/3 of the duration, restarts its endpoints at 1/2 and brings it back at 2/3. */
    private async changeDataCentre(durationMs: number): Promise<DataCentreChange> {
        await this.sleepUntil(durationMs / 3);
        const outAtMs = await this.setOutOfService(true);
        await this.sleepUntil(durationMs / 2);
        const endpoints = Object.entries(this.cluster.settings.endpoints)
            .filter(([, endpoint]) => endpoint.dataCentre === this.removedDataCentre);
        await Promise.all(endpoints.map(([id]) => this.watch.control(id, { crash: true })));
        this.addMark(`endpoints of ${this.removedDataCentre} restart`);
        await this.sleepUntil((durationMs * 2) / 3);
        const inAtMs = await this.setOutOfService(false);
        await this.sleepUntil(durationMs);
        const last = this.watch.lastReceivedMs(this.removedDataCentre, outAtMs, inAtMs);
        const first = this.watch.firstReceivedMs(this.removedDataCentre, inAtMs, Infinity);
        return {
            dataCentre: this.removedDataCentre,
            outAtMs,
            inAtMs,
            lastNewCallAfterOutMs: last === undefined ? 0 : last - outAtMs,
            firstNewCallAfterInMs: first === undefined ? undefined : first - inAtMs,
        };
    }

    private async injectFaults(durationMs: number): Promise<void> {
        const { settings } = this.cluster;
        const steps = this.options.faults.flatMap(name => faultPlans[name]?.(settings) ?? []);
        for (const step of [...steps].sort((a, b) => a.at - b.at)) {
            await this.sleepUntil(durationMs * step.at);
            await step.run({ cluster: this.cluster, watch: this.watch });
            this.addMark(step.what);
        }
    }

    /**
     * Sends the operator's change to one host after another until one accepts it. Returns the time when the first call
     * was sent, in milliseconds from the start of the load.
     */
    private async setOutOfService(out: boolean): Promise<number> {
        const atMs = this.clock.nowMs() - this.startMs;
        const change = {
            kind: "set-data-centre",
            id: `bench-${out ? "out" : "in"}`,
            dataCentre: this.removedDataCentre,
            out,
        };
        for (const { peerAddress } of Object.values(this.cluster.settings.hosts)) {
            const headers = { [keyHeader]: operatorKey };
            const reply = await callJson(peerAddress, "POST", "/v1/operator/config/change", change, headers);
            if (reply.status === 200) {
                const tookMs = Math.round(this.clock.nowMs() - this.startMs - atMs);
                this.addMark(
                    `${this.removedDataCentre} is taken ${out ? "out" : "in"}; accepted after ${tookMs} ms`,
                    atMs,
                );
                return atMs;
            }
        }
        this.addMark(`${this.removedDataCentre} could not be taken ${out ? "out" : "in"}`, atMs);
        return atMs;
    }

    private async sleepUntil(atMs: number): Promise<void> {
        await this.clock.sleep(Math.max(0, this.startMs + atMs - this.clock.nowMs()), this.abort.signal);
    }

    private addMark(what: string, atMs: number = this.clock.nowMs() - this.startMs): void {
        this.marks.push({ atMs: Math.round(atMs), what });
        this.options.progress(`${(atMs / 1000).toFixed(1)} s: ${what}`);
    }

    private daemonUsages(): Map<string, ProcessUsage> {
        const usages = new Map<string, ProcessUsage>();
        for (const host of Object.keys(this.cluster.settings.hosts)) {
            const usage = this.cluster.processes.usage(host);
            if (usage !== undefined) {
                usages.set(host, usage);
            }
        }
        return usages;
    }

    private daemonUsagesSince(before: ReadonlyMap<string, ProcessUsage>): DaemonUsage[] {
        const elapsedMs = this.clock.nowMs() - this.startMs;
        return [...this.daemonUsages()].map(([host, { cpuMs, residentBytes }]) => ({
            host,
            cpuShare: (cpuMs - (before.get(host)?.cpuMs ?? 0)) / elapsedMs,
            residentBytes,
        }));
    }

    private async buildResult(
        durationMs: number,
        offeredPerSecond: number,
        dataCentreChange: DataCentreChange | undefined,
        daemons: readonly DaemonUsage[],
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

/** Phases: the first seconds, then before, during and after the time when the data centre is out of service. */
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
