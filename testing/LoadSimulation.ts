/**
 * Simulates the hosts of a fleet that choose model endpoints for requests with prompts, in one process and without
 * network. Hosts poll control hosts, which hold each poll for half a second and exchange load with a leader. An
 * endpoint processes one prompt after the other, without the shared part if it has cached it, and may turn slow.
 */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { Clock, EndpointId, HostId } from "../src/common/Types.js";
import type { ListedEndpoint } from "../src/fleet/Types.js";
import { EndpointChooser } from "../src/gateway/EndpointChooser.js";
import { EndpointTracker } from "../src/gateway/EndpointTracker.js";
import { ColdStartQuota } from "../src/gateway/FleetQuotas.js";
import type { PromptInfo, ReplyHead } from "../src/gateway/Types.js";
import { HostLoad } from "../src/load/HostLoad.js";
import { LoadBoard } from "../src/load/LoadBoard.js";
import { PrefixDemand } from "../src/load/PrefixDemand.js";
import {
    centreId,
    defaultBounds,
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    service,
    silentLog,
    testNotices,
} from "./FleetFixtures.js";

const tokensPerMs = 81.9;
const holdMs = 500;
const exchangeMs = 300;
const controlCount = 3;
/** Shared parts that an endpoint keeps, by tokens; the least recently used are dropped first. */
const cacheTokens = 200_000;
const skew = 1.2;
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

export interface LoadKind {
    readonly name: string;
    readonly perSecond: number;
    readonly sharedTokens: number;
    readonly ownTokens: number;
    readonly outputTokens: number;
    /** Number of different shared parts; their use falls with rank to the power of 1.2. */
    readonly subjects: number;
    readonly outputMs: number;
}

export interface LoadOutcome {
    readonly kind: string;
    readonly endpoint: string;
    readonly sentMs: number;
    readonly firstMs: number;
    readonly tokens: number;
    /** Tokens of the shared part that were processed again. */
    readonly again: number;
}

/** A clock that runs events in order of their time. */
class EventClock implements Clock {
    private now = 1_000_000;
    private readonly heap: { readonly atMs: number; readonly run: () => void; }[] = [];

    public nowMs(): number {
        return this.now;
    }

    public wallMs(): number {
        return this.now;
    }

    public setTimer(): never {
        throw new Error("the simulation has no timers");
    }

    public sleep(): never {
        throw new Error("the simulation has no timers");
    }

    public after(delayMs: number, run: () => void): void {
        const { heap } = this;
        heap.push({ atMs: this.now + delayMs, run });
        for (let at = heap.length - 1; at > 0;) {
            const above = (at - 1) >> 1;
            if (heap[above]!.atMs <= heap[at]!.atMs) {
                break;
            }
            [heap[above], heap[at]] = [heap[at]!, heap[above]!];
            at = above;
        }
    }

    public runUntil(untilMs: number): void {
        const { heap } = this;
        while (heap.length > 0 && heap[0]!.atMs <= untilMs) {
            const next = heap[0]!;
            const last = heap.pop()!;
            if (heap.length > 0) {
                heap[0] = last;
                this.sink();
            }
            this.now = next.atMs;
            next.run();
        }
        this.now = untilMs;
    }

    private sink(): void {
        const { heap } = this;
        for (let at = 0;;) {
            let least = at;
            for (const below of [2 * at + 1, 2 * at + 2]) {
                least = below < heap.length && heap[below]!.atMs < heap[least]!.atMs ? below : least;
            }
            if (least === at) {
                return;
            }
            [heap[least], heap[at]] = [heap[at]!, heap[least]!];
            at = least;
        }
    }
}

interface Engine {
    freeMs: number;
    readonly cached: Map<string, number>;
    readonly everCached: Set<string>;
    slowness: number;
    running: number;
    waiting: number;
}

interface SimulatedHost {
    readonly id: HostId;
    readonly fleet: FixedFleet;
    readonly tracker: EndpointTracker;
    readonly chooser: EndpointChooser;
    readonly load: HostLoad | undefined;
    isCutOff: boolean;
}

export interface LoadSimulationOptions {
    readonly hosts: number;
    readonly endpoints: number;
    readonly seed: number;
    /** False for hosts that know only their own requests. */
    readonly isShared: boolean;
}

export class LoadSimulation {
    public readonly clock = new EventClock();
    public readonly outcomes: LoadOutcome[] = [];
    /** Bytes of digests sent to all hosts. */
    public digestBytes = 0;
    private readonly random: SeededRandom;
    private readonly engines = new Map<EndpointId, Engine>();
    private readonly boards: LoadBoard[];
    private readonly hosts: readonly SimulatedHost[];
    private endpoints: readonly ListedEndpoint[] = [];

    public constructor(private readonly options: LoadSimulationOptions) {
        this.random = new SeededRandom(options.seed);
        const { clock } = this;
        const endpoints = () => this.endpoints;
        this.boards = Array.from(
            { length: controlCount },
            () => new LoadBoard({ endpoints, clock, log: silentLog, metrics: noMetrics }),
        );
        this.hosts = entryHosts(options.hosts).map(({ host }, at) => this.addHost(host, at));
        this.list(Array.from({ length: options.endpoints }, (_, at) => `e${at}`));
        if (options.isShared) {
            this.hosts.forEach((host, at) => clock.after(this.random.below(holdMs), () => this.poll(host, at)));
            this.boards.slice(1).forEach((board, at) =>
                clock.after(this.random.below(exchangeMs), () => this.exchange(board, at + 1))
            );
        }
    }

    /** Replaces the list of endpoints on all hosts. */
    public list(ids: readonly string[]): void {
        this.endpoints = ids.map(id => listed(id, { slots: 16 }));
        for (const { id } of this.endpoints) {
            if (!this.engines.has(id)) {
                const fresh = { freeMs: 0, slowness: 1, running: 0, waiting: 0 };
                this.engines.set(id, { ...fresh, cached: new Map(), everCached: new Set() });
            }
        }
        const hosts = entryHosts(this.options.hosts);
        this.hosts.forEach(({ fleet }) => fleet.set({ hosts, endpoints: this.endpoints }));
    }

    public setSlowness(endpoint: string, slowness: number): void {
        this.engines.get(endpoint as EndpointId)!.slowness = slowness;
    }

    /** Cuts the first hosts off from the control hosts. */
    public cutOff(count: number): void {
        this.hosts.slice(0, count).forEach(host => host.isCutOff = true);
    }

    /** Sends requests for a time; `hotShare` of them are on the first subject. */
    public run(seconds: number, kinds: readonly LoadKind[], hotShare: number = 0): void {
        const endMs = this.clock.nowMs() + seconds * 1000;
        for (const kind of kinds) {
            const next = () => {
                if (this.clock.nowMs() < endMs) {
                    this.send(kind, hotShare);
                    this.clock.after(-Math.log(1 - this.random.next()) * 1000 / kind.perSecond, next);
                }
            };
            this.clock.after(0, next);
        }
        this.clock.runUntil(endMs);
    }

    private addHost(id: HostId, at: number): SimulatedHost {
        const { clock } = this;
        const fleet = new FixedFleet();
        const tracker = new EndpointTracker(fleet, testNotices(clock), clock, silentLog, () => undefined);
        const cold = new ColdStartQuota(id, defaultBounds, fleet, clock);
        const common = { view: () => fleet.view(), clock, log: silentLog, metrics: noMetrics };
        const load = this.options.isShared ? new HostLoad(common) : undefined;
        const random = new SeededRandom(this.options.seed * 1000 + at);
        const demand = this.options.isShared ? new PrefixDemand(clock) : undefined;
        const chooser = new EndpointChooser(centreId("a"), cold, random, load, demand);
        return { id, fleet, tracker, chooser, load, isCutOff: false };
    }

    private poll(host: SimulatedHost, at: number): void {
        const { clock } = this;
        if (host.isCutOff) {
            clock.after(holdMs, () => this.poll(host, at));
            return;
        }
        const board = this.boards[at % this.boards.length]!;
        const { report, held } = host.load!.report();
        const delayMs = () => 1 + 4 * this.random.next();
        clock.after(delayMs(), () => {
            board.recordReport(host.id, report);
            clock.after(holdMs, () => {
                const digest = board.digestFor(held);
                this.digestBytes += digest?.text?.length ?? 0;
                clock.after(delayMs(), () => {
                    if (digest !== undefined) {
                        host.load!.accept(digest, holdMs);
                    }
                    this.poll(host, at);
                });
            });
        });
    }

    /** Exchange of a control host with the leader, which is the first one. */
    private exchange(board: LoadBoard, at: number): void {
        const control = `control${at}` as HostId;
        const [leader] = this.boards;
        leader!.recordPart(control, board.ownPart()!);
        board.recordOthers(leader!.partFor(control)!, "control0" as HostId);
        this.clock.after(exchangeMs + 5 * this.random.next(), () => this.exchange(board, at));
    }

    private subject(kind: LoadKind, hotShare: number): string {
        if (this.random.next() < hotShare) {
            return `${kind.name} 0`;
        }
        const weights = Array.from({ length: kind.subjects }, (_, at) => (at + 1) ** -skew);
        let left = this.random.next() * weights.reduce((a, b) => a + b, 0);
        const at = weights.findIndex(weight => (left -= weight) < 0);
        return `${kind.name} ${Math.max(0, at)}`;
    }

    private send(kind: LoadKind, hotShare: number): void {
        const { clock } = this;
        const host = this.hosts[this.random.below(this.hosts.length)]!;
        const subject = this.subject(kind, hotShare);
        const prompt: PromptInfo = {
            parts: [{ id: subject, tokens: kind.sharedTokens }, { id: "own", tokens: kind.ownTokens }],
            inputTokens: kind.sharedTokens + kind.ownTokens,
            outputTokens: kind.outputTokens,
        };
        const usable = host.tracker.usable(service("s").id);
        const choice = host.chooser.choose(service("s"), usable, new Set(), prompt)!;
        const { id } = choice.record;
        host.chooser.recordSend(choice.record, prompt);
        const attempt = host.tracker.startAttempt(choice.record, undefined);
        const work = host.load?.start(id, choice.size);
        const engine = this.engines.get(id)!;
        const { tokens, again } = this.prefill(engine, kind, subject);
        const startMs = clock.nowMs();
        engine.running += 1;
        engine.waiting += 1;
        clock.after(engine.freeMs - startMs, () => {
            engine.waiting -= 1;
            attempt.recordActivity();
            work?.begin();
            this.outcomes.push({
                kind: kind.name,
                endpoint: id,
                sentMs: startMs,
                firstMs: clock.nowMs() - startMs,
                tokens,
                again,
            });
            const { running, waiting, slowness } = engine;
            host.load?.recordStatement(id, { running, waiting, slots: 16, speed: Math.round(slowness * 100) });
            clock.after(kind.outputMs * engine.slowness, () => {
                engine.running -= 1;
                work?.end();
                attempt.recordOutcome({ kind: "replied", reply, body: undefined });
            });
        });
    }

    /** Adds a prompt to an endpoint's queue. */
    private prefill(engine: Engine, kind: LoadKind, subject: string) {
        const { cached, everCached } = engine;
        const isCached = cached.delete(subject);
        cached.set(subject, kind.sharedTokens);
        everCached.add(subject);
        let held = [...cached.values()].reduce((a, b) => a + b, 0);
        for (const [oldest, tokens] of cached) {
            if (held <= cacheTokens) {
                break;
            }
            cached.delete(oldest);
            held -= tokens;
        }
        const again = isCached ? 0 : kind.sharedTokens;
        const tokens = kind.ownTokens + again;
        engine.freeMs = Math.max(engine.freeMs, this.clock.nowMs()) + tokens / tokensPerMs * engine.slowness;
        return { tokens, again };
    }
}

/** Figures of a part of a run. */
export function summarize(outcomes: readonly LoadOutcome[], endpoints: readonly string[]) {
    const tokens = new Map<string, number>(endpoints.map(id => [id, 0]));
    outcomes.forEach(one => tokens.set(one.endpoint, (tokens.get(one.endpoint) ?? 0) + one.tokens));
    const all = [...tokens.values()];
    const total = all.reduce((a, b) => a + b, 0);
    const times = outcomes.map(one => one.firstMs).sort((a, b) => a - b);
    return {
        busiest: Math.max(...all) / (total / all.length),
        p50Ms: times[Math.floor(times.length * 0.5)] ?? 0,
        p99Ms: times[Math.floor(times.length * 0.99)] ?? 0,
        again: outcomes.reduce((sum, one) => sum + one.again, 0),
        requests: outcomes.length,
    };
}
