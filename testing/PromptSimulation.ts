/**
 * Simulates hosts that choose model endpoints for requests with prompts, in one process and without network. An
 * endpoint processes one prompt after the other, without the shared parts that it has cached, and may limit its request
 * rate.
 */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { DataCentreId } from "../src/common/Types.js";
import { EndpointLimits } from "../src/endpoints/EndpointLimits.js";
import type { FleetSource } from "../src/fleet/Types.js";
import { EndpointChooser } from "../src/gateway/EndpointChooser.js";
import { EndpointSelection } from "../src/gateway/EndpointSelection.js";
import { EndpointTracker } from "../src/gateway/EndpointTracker.js";
import { ColdStartQuota } from "../src/gateway/FleetQuotas.js";
import type { ReplyHead } from "../src/gateway/Types.js";
import type { EndpointPermits } from "../src/limits/EndpointPermits.js";
import { FakeClock } from "./FakeClock.js";
import { FakeNetwork } from "./FakeNetwork.js";
import {
    defaultBounds,
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    service,
    silentLog,
    testNotices,
    testPermits,
} from "./FleetFixtures.js";

/** Kind of a request; times in milliseconds, sizes in tokens. */
export interface PromptProfile {
    readonly name: string;
    readonly perSecond: number;
    readonly sharedTokens: number;
    readonly ownTokens: number;
    /** Number of different shared parts. */
    readonly subjects: number;
    /** Time from the start of an attempt within which the first event is on time. */
    readonly objectiveMs: number;
    readonly outputMs: number;
    readonly priority: number;
}

interface PromptOutcome {
    readonly profile: string;
    readonly end: "on-time" | "late" | "refused";
    readonly atMs: number;
}

interface SimulatedEngine {
    /** When the prompts that it has taken are processed. */
    freeMs: number;
    readonly cached: Set<string>;
    limitPerSecond: number | undefined;
    readonly arrivalsMs: number[];
}

const tokensPerMs = 81.9;
const stepMs = 10;
const reply: ReplyHead = {
    status: 200,
    requestId: undefined,
    isSigned: true,
    isNotRun: false,
    isEventStream: true,
    isFramed: true,
    hasBody: true,
    forwarded: [],
};

class SimulatedHost {
    private readonly tracker: EndpointTracker;
    private readonly chooser: EndpointChooser;
    private readonly cold: ColdStartQuota;

    public constructor(
        private readonly site: PromptSimulation,
        fleet: FleetSource,
        private readonly limits: EndpointLimits,
        private readonly permits: EndpointPermits,
        at: number,
    ) {
        const { clock } = site;
        const notices = testNotices(clock, undefined, silentLog, limits);
        this.tracker = new EndpointTracker(fleet, notices, clock, silentLog, () => undefined);
        const [self] = entryHosts(at + 1).slice(-1);
        this.cold = new ColdStartQuota(self!.host, defaultBounds, fleet, clock);
        this.chooser = new EndpointChooser("a" as DataCentreId, this.cold, new SeededRandom(at));
    }

    /** Serves one request, and resolves with its end and its time to the first event. */
    public async serve(profile: PromptProfile, subject: string): Promise<number | undefined> {
        const { clock } = this.site;
        const { id } = service("s");
        const startMs = clock.nowMs();
        const selection = new EndpointSelection({
            chooser: this.chooser,
            permits: this.permits,
            cold: this.cold,
            clock,
            log: silentLog,
            metrics: noMetrics,
            signal: new AbortController().signal,
            request: "r",
            service: service("s"),
            prompt: { parts: [{ id: subject, tokens: 1 }, { id: "own", tokens: 1 }], inputTokens: 1, outputTokens: 1 },
            priority: profile.priority,
            deadlineMs: Infinity,
        });
        const usable = () => this.tracker.usable(id);
        if (selection.unavailableForMs(usable()) > profile.objectiveMs / 2) {
            return undefined;
        }
        const choice = await selection.choose(usable, new Set(), startMs + profile.objectiveMs / 2);
        if (choice === undefined) {
            return undefined;
        }
        const attempt = this.tracker.startAttempt(choice.record, undefined);
        const engine = this.site.engines.get(choice.record.id)!;
        const firstMs = this.site.prefill(engine, profile, subject);
        await clock.sleep(firstMs);
        this.limits.recordReply(choice.record.id, engine.limitPerSecond);
        attempt.recordActivity();
        const takenMs = clock.nowMs() - startMs;
        void clock.sleep(profile.outputMs).then(() =>
            attempt.recordOutcome({ kind: "replied", reply, body: undefined })
        );
        return takenMs;
    }
}

export class PromptSimulation {
    public readonly clock = new FakeClock();
    public readonly engines = new Map<string, SimulatedEngine>();
    public readonly outcomes: PromptOutcome[] = [];
    private readonly hosts: readonly SimulatedHost[];
    private readonly random: SeededRandom;

    public constructor(hosts: number, engines: number, seed: number) {
        this.random = new SeededRandom(seed);
        const network = new FakeNetwork(this.clock, seed);
        network.faults.minDelayMs = 1;
        network.faults.maxDelayMs = 5;
        const endpoints = Array.from({ length: engines }, (_, at) => listed(`e${at}`, { slots: 64 }));
        for (const { id } of endpoints) {
            this.engines.set(id, { freeMs: 0, cached: new Set(), limitPerSecond: undefined, arrivalsMs: [] });
        }
        const all = entryHosts(hosts);
        this.hosts = all.map(({ host }, at) => {
            const fleet = new FixedFleet();
            const limits = new EndpointLimits(this.clock, silentLog, noMetrics);
            const permits = testPermits({ self: host, fleet, limits, peers: network.addHost(host), clock: this.clock });
            const started = new SimulatedHost(this, fleet, limits, permits, at);
            fleet.set({ hosts: all, endpoints });
            return started;
        });
    }

    /** Lets the first engines limit their request rate. */
    public limitEngines(count: number, perSecond: number | undefined): void {
        [...this.engines.values()].slice(0, count).forEach(one => one.limitPerSecond = perSecond);
    }

    /** Adds a prompt to an engine's queue; returns the time until its first token. */
    public prefill(engine: SimulatedEngine, profile: PromptProfile, subject: string): number {
        const nowMs = this.clock.nowMs();
        const tokens = profile.ownTokens + (engine.cached.has(subject) ? 0 : profile.sharedTokens);
        engine.cached.add(subject);
        engine.arrivalsMs.push(nowMs);
        engine.freeMs = Math.max(engine.freeMs, nowMs) + tokens / tokensPerMs;
        return engine.freeMs - nowMs;
    }

    public async run(seconds: number, profiles: readonly PromptProfile[]): Promise<void> {
        for (let atMs = 0; atMs < seconds * 1000; atMs += stepMs) {
            for (const profile of profiles) {
                if (this.random.next() < profile.perSecond * stepMs / 1000) {
                    void this.send(profile, atMs);
                }
            }
            await this.clock.advance(stepMs);
        }
    }

    /** Share of the requests of a kind that ended in a way, of those sent from `fromMs` on. */
    public share(end: PromptOutcome["end"], profile: string, fromMs: number = 0): number {
        const all = this.outcomes.filter(one => one.profile === profile && one.atMs >= fromMs);
        return all.filter(one => one.end === end).length / all.length;
    }

    private async send(profile: PromptProfile, atMs: number): Promise<void> {
        const subject = `${profile.name}${this.random.below(profile.subjects)}`;
        const host = this.hosts[this.random.below(this.hosts.length)];
        const takenMs = await host!.serve(profile, subject);
        const end = takenMs === undefined ? "refused" : takenMs <= profile.objectiveMs ? "on-time" : "late";
        this.outcomes.push({ profile: profile.name, end, atMs });
    }
}
