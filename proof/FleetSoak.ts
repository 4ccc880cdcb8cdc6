/**
 * Randomised runs of a fleet of processes, with callers on keep-alive connections, an operator, and external faults
 * that may overlap. The seed determines the sequence of faults, but not the timing of the processes.
 */
import * as http from "node:http";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";
import type { CallerEnd, CallerKind } from "./FleetHistory.js";
import { FleetHistory, streamEvents } from "./FleetHistory.js";
import { FleetSite, type FleetSize } from "./FleetSite.js";

const startTimeoutMs = 20_000;
const callersPerHost = 3;
const callPauseMs = 20;
const operatorPauseMs = 300;
const callTimeoutMs = 6000;
/** Largest limit that an endpoint states, in requests per second; far below what the callers send. */
const maxLimitPerSecond = 8;
/** Time after which hosts know that the limits of all endpoints have ended. */
const limitEndMs = 3000;
/** Time after the end of a fault during which its effects may still show, in milliseconds. */
const faultEffectMs = 3000;
/** Number of times that a caller takes a stream up again. */
const maxResumes = 3;
const kinds: readonly CallerKind[] = ["once", "idempotent", "resumable"];

interface FleetSoakResult {
    readonly broken: readonly string[];
    readonly counts: Readonly<Record<string, number>>;
}

type Fault = (soak: FleetSoak) => Promise<void>;

export class FleetSoak {
    private readonly clock = new SystemClock();
    private readonly random: SeededRandom;
    private readonly history = new FleetHistory();
    private readonly site: FleetSite;
    private readonly counts: Record<string, number> = {};
    private readonly endOfRun = new AbortController();
    /** Hosts and endpoints with an active fault; each has at most one at a time. */
    private readonly faultyHosts = new Set<string>();
    private requestCount = 0;

    /** `firstNet` as of {@link FleetSite}. */
    public constructor(seed: number, size: FleetSize, folder: string, firstNet?: number) {
        this.random = new SeededRandom(seed);
        this.site = new FleetSite(size, folder, this.history, this.clock, new SeededRandom(seed + 1), firstNet);
    }

    public async run(seconds: number): Promise<FleetSoakResult> {
        const { site, clock } = this;
        await site.start();
        const started = await this.waitUntilReady();
        if (!started) {
            await site.stop();
            return { broken: ["the fleet did not become ready in time"], counts: this.counts };
        }
        site.setLimit(this.pick(site.endpoints), 1 + this.random.below(maxLimitPerSecond));
        const tasks = [this.runOperator(), ...site.entries.flatMap(host => this.runCallers(host))];
        const untilMs = clock.nowMs() + seconds * 1000;
        const faults: Promise<void>[] = [];
        while (clock.nowMs() < untilMs) {
            const [name, fault] = faultKinds[this.random.below(faultKinds.length)] ?? faultKinds[0];
            this.count(name);
            faults.push(fault(this));
            await clock.sleep(500 + this.random.below(2000));
        }
        await Promise.all(faults);
        site.endpoints.forEach(endpoint => site.setLimit(endpoint, undefined));
        await clock.sleep(limitEndMs);
        await this.waitUntilReady();
        const unserved = await this.unservedHosts();
        this.endOfRun.abort();
        await Promise.all(tasks);
        await site.stop();
        for (const end of this.history.ends) {
            this.count(end.status === 0 ? "cut" : `status ${end.status}`);
        }
        return { broken: [...this.history.broken(), ...unserved], counts: this.counts };
    }

    /** Describes the entry hosts that fail to serve an idempotent request after all faults have ended. */
    private async unservedHosts(): Promise<string[]> {
        const agent = new http.Agent();
        const ends = await Promise.all(
            this.site.entries.map(host => this.callOnce(host, agent, { kind: "idempotent" })),
        );
        return ends
            .filter(({ status }) => status !== 200)
            .map(({ host, status }) => `${host} answers with status ${status} after all faults have ended`);
    }

    /** Kills one of the hosts and restarts it after a pause, with an empty disk if `losesDisk`. */
    public kill(hosts: readonly string[], losesDisk: boolean): Promise<void> {
        return this.applyToOne(hosts, host =>
            this.recordFault(host, async () => {
                this.site.processes.signal(host, "SIGKILL");
                await this.clock.sleep(200 + this.random.below(1500));
                if (losesDisk) {
                    this.site.wipe(host);
                }
                this.site.startHost(host, false);
            }));
    }

    /** Suspends the process of one of the hosts for a while. */
    public pause(hosts: readonly string[]): Promise<void> {
        return this.applyToOne(hosts, host =>
            this.recordFault(host, async () => {
                this.site.processes.signal(host, "SIGSTOP");
                await this.clock.sleep(200 + this.random.below(2500));
                this.site.processes.signal(host, "SIGCONT");
            }));
    }

    /** Performs a planned stop of one of the hosts, and restarts it after its process has exited. */
    public restart(hosts: readonly string[]): Promise<void> {
        const { processes } = this.site;
        return this.applyToOne(hosts, async host => {
            const fromMs = this.clock.nowMs();
            processes.signal(host, "SIGTERM");
            while (processes.isRunning(host)) {
                await this.clock.sleep(50);
            }
            this.history.stops.push({ host, fromMs, toMs: this.clock.nowMs() });
            this.site.startHost(host, false);
        });
    }

    /** Makes all endpoints faulty for a while. */
    public async breakEndpoints(): Promise<void> {
        const { faults } = this.site;
        await this.recordFault("endpoints", async () => {
            Object.assign(faults, { loseAnswer: 0.2, refuse: 0.2, cutStream: 0.3, repeatRefusal: 0.5 });
            await this.clock.sleep(500 + this.random.below(1500));
            Object.assign(faults, { loseAnswer: 0, refuse: 0, cutStream: 0, repeatRefusal: 0 });
        });
    }

    /** Ends an endpoint with all its connections, in order, and starts it again. */
    public crashEndpoint(): Promise<void> {
        return this.applyToOne(
            this.site.endpoints,
            endpoint => this.recordFault("endpoints", () => this.site.crash(endpoint)),
        );
    }

    /** Changes the limit that an endpoint states on its request rate, or ends it. */
    public async changeLimit(): Promise<void> {
        const perSecond = this.random.below(maxLimitPerSecond);
        this.site.setLimit(this.pick(this.site.endpoints), perSecond === 0 ? undefined : perSecond);
    }

    /** Lets an endpoint leave, and starts it anew after a while. */
    public leaveEndpoint(): Promise<void> {
        return this.applyToOne(this.site.endpoints, async endpoint => {
            this.site.leave(endpoint);
            await this.clock.sleep(1000 + this.random.below(2000));
            this.site.restartEndpoint(endpoint);
        });
    }

    /** Lets an endpoint ask for a pause. */
    public pauseEndpoint(): Promise<void> {
        return this.applyToOne(this.site.endpoints, async endpoint => {
            const forMs = 500 + this.random.below(2000);
            this.site.pause(endpoint, forMs);
            await this.clock.sleep(forMs);
        });
    }

    /** Lets an endpoint fall silent for about a second, which is no fault: its requests are answered all the same. */
    public silenceEndpoint(): Promise<void> {
        return this.applyToOne(this.site.endpoints, async endpoint => {
            const forMs = 500 + this.random.below(1000);
            this.site.silence(endpoint, forMs);
            await this.clock.sleep(forMs);
        });
    }

    /** Lets a host read its settings again. */
    public async reload(): Promise<void> {
        this.site.processes.signal(this.pick([...this.entries, ...this.controls]), "SIGHUP");
    }

    public get controls(): readonly string[] {
        return this.site.controls;
    }

    public get entries(): readonly string[] {
        return this.site.entries;
    }

    /** Applies a fault to one random host without an active fault; does nothing if there is none. */
    private async applyToOne(hosts: readonly string[], act: (host: string) => Promise<void>): Promise<void> {
        const free = hosts.filter(host => !this.faultyHosts.has(host));
        if (free.length === 0) {
            return;
        }
        const host = this.pick(free);
        this.faultyHosts.add(host);
        await act(host);
        this.faultyHosts.delete(host);
    }

    private async recordFault(host: string, act: () => Promise<void>): Promise<void> {
        const fromMs = this.clock.nowMs();
        // The end is unknown until the fault is over; until then every cut request is attributed to the fault.
        const fault = { host, fromMs, toMs: Infinity };
        this.history.faults.push(fault);
        await act();
        this.history.faults.splice(this.history.faults.indexOf(fault), 1, {
            host,
            fromMs,
            toMs: this.clock.nowMs() + faultEffectMs,
        });
    }

    private async waitUntilReady(): Promise<boolean> {
        const untilMs = this.clock.nowMs() + startTimeoutMs;
        while (this.clock.nowMs() < untilMs) {
            await this.site.putConfig(this.pick(this.site.controls));
            const ready = await Promise.all(this.site.entries.map(host => this.site.isReady(host)));
            if (ready.every(one => one)) {
                return true;
            }
            await this.clock.sleep(operatorPauseMs);
        }
        return false;
    }

    private async runOperator(): Promise<void> {
        while (!this.endOfRun.signal.aborted) {
            await this.site.readConfig(this.pick(this.site.controls));
            await this.site.putConfig(this.pick(this.site.controls));
            await this.site.readConfig(this.pick(this.site.controls));
            await this.clock.sleep(operatorPauseMs, this.endOfRun.signal);
        }
    }

    private runCallers(host: string): Promise<void>[] {
        return Array.from({ length: callersPerHost }, () => this.runCaller(host));
    }

    /** Runs one caller, which sends requests on one keep-alive connection until the run ends. */
    private async runCaller(host: string): Promise<void> {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        while (!this.endOfRun.signal.aborted) {
            const end = await this.callOnce(host, agent, { kind: this.pick(kinds) });
            if (end.kind === "resumable" && !end.isWhole) {
                await this.resume(end);
            }
            await this.clock.sleep(callPauseMs, this.endOfRun.signal);
        }
        agent.destroy();
    }

    /** Takes a stream that broke off up again, at any host and on a new connection each time. */
    private async resume(begun: CallerEnd): Promise<void> {
        let lastEvent = lastEventOf(begun.body);
        for (let tries = 0; tries < maxResumes && lastEvent > 0 && lastEvent < streamEvents; tries++) {
            await this.clock.sleep(callPauseMs);
            const host = this.pick(this.site.entries);
            const resumed = { request: begun.request, lastEvent };
            const end = await this.callOnce(host, new http.Agent(), { kind: "resumable", resumed });
            lastEvent = Math.max(lastEvent, lastEventOf(end.body));
            this.count(lastEvent > resumed.lastEvent ? "resumed" : "not resumed");
        }
    }

    /** Sends one request, and resolves to its end after recording it in the history. */
    private callOnce(
        host: string,
        agent: http.Agent,
        { kind, resumed }: Pick<CallerEnd, "kind" | "resumed">,
    ): Promise<CallerEnd> {
        this.requestCount += 1;
        const request = `r${this.requestCount}`;
        const sentMs = this.clock.nowMs();
        return new Promise(resolve => {
            let wasSent = false;
            let body = "";
            let isRecorded = false;
            const recordEnd = (status: number, isWhole: boolean) => {
                if (!isRecorded) {
                    isRecorded = true;
                    const endedMs = this.clock.nowMs();
                    // A reused connection may have been closed before the host read the request.
                    const isRead = wasSent && !(status === 0 && req.reusedSocket);
                    const end = {
                        request,
                        kind,
                        resumed,
                        host,
                        sentMs,
                        endedMs,
                        status,
                        body,
                        isWhole,
                        wasSent: isRead,
                        isFresh: !req.reusedSocket,
                    };
                    this.history.ends.push(end);
                    resolve(end);
                }
            };
            const req = http.request({
                ...this.site.callerAddress(host),
                agent,
                method: "POST",
                path: `/${kind}/x`,
                timeout: callTimeoutMs,
                headers: {
                    "host": "h.example",
                    "fireflykeel-request-id": request,
                    "fireflykeel-deadline-ms": String(callTimeoutMs - 1000),
                    "content-length": 0,
                    ...(resumed === undefined
                        ? {}
                        : { "resumes": resumed.request, "last-event-id": String(resumed.lastEvent) }),
                },
            });
            req.on("finish", () => wasSent = true);
            req.on("timeout", () => req.destroy());
            req.on("error", () => recordEnd(0, false));
            req.on("response", res => {
                res.on("data", (chunk: Buffer) => body += chunk.toString());
                res.on("error", () => undefined);
                res.on("close", () => recordEnd(res.statusCode ?? 0, res.complete));
            });
            req.end();
        });
    }

    private pick<T>(items: readonly T[]): T {
        return items[this.random.below(items.length)] as T;
    }

    private count(name: string): void {
        this.counts[name] = (this.counts[name] ?? 0) + 1;
    }
}

const faultKinds: readonly [readonly [string, Fault], ...(readonly [string, Fault])[]] = [
    ["kill entry", soak => soak.kill(soak.entries, false)],
    ["kill control", soak => soak.kill(soak.controls, false)],
    ["wipe control", soak => soak.kill(soak.controls.slice(0, 1), true)],
    ["pause entry", soak => soak.pause(soak.entries)],
    ["pause control", soak => soak.pause(soak.controls)],
    ["restart entry", soak => soak.restart(soak.entries)],
    ["restart control", soak => soak.restart(soak.controls)],
    ["break endpoints", soak => soak.breakEndpoints()],
    ["crash endpoint", soak => soak.crashEndpoint()],
    ["change limit", soak => soak.changeLimit()],
    ["leave endpoint", soak => soak.leaveEndpoint()],
    ["pause endpoint", soak => soak.pauseEndpoint()],
    ["silence endpoint", soak => soak.silenceEndpoint()],
    ["reload settings", soak => soak.reload()],
];

/** Id of the last complete event of a stream's body; 0 when it has none. */
function lastEventOf(body: string): number {
    const complete = body.slice(0, body.lastIndexOf("\n\n") + 2);
    return Math.max(0, ...[...complete.matchAll(/^id: (\d+)$/gm)].map(one => Number(one[1])));
}
