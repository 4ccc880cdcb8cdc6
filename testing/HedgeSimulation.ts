/**
 * A host with its own choice of endpoints, race and hedging, before endpoints whose work takes virtual time. One
 * endpoint is slow by a factor for a part of the time.
 */
import { SeededRandom } from "../src/common/SeededRandom.js";
import type { HostId } from "../src/common/Types.js";
import { EndpointLimits } from "../src/endpoints/EndpointLimits.js";
import type { RequestKind } from "../src/fleet/Types.js";
import { AttemptRace, type Contender } from "../src/gateway/AttemptRace.js";
import { EndpointChooser } from "../src/gateway/EndpointChooser.js";
import { EndpointSelection, type PermittedChoice } from "../src/gateway/EndpointSelection.js";
import { EndpointTracker } from "../src/gateway/EndpointTracker.js";
import { ColdStartQuota, FleetRetryBudget } from "../src/gateway/FleetQuotas.js";
import { GatewayHedging } from "../src/gateway/GatewayHedging.js";
import { RequestHedges } from "../src/gateway/RequestHedges.js";
import type { AttemptOutcome, PromptInfo, ReplyHead } from "../src/gateway/Types.js";
import { FakeClock } from "./FakeClock.js";
import { FakeNetwork } from "./FakeNetwork.js";
import {
    centreId,
    defaultBounds,
    deployment,
    entryHosts,
    FixedFleet,
    listed,
    noMetrics,
    route,
    service,
    silentLog,
    testNotices,
    testPermits,
} from "./FleetFixtures.js";

/** Model endpoints; the work is that up to the first event. */
const endpointCount = 4;
const slots = 16;
const usualMs = 120;
const spreadMs = 20;
/** Number of shared parts of prompts; each has its preferred endpoint. */
const subjects = 16;
const slowFactor = 5;
/** The endpoint is slow for this first part of each period. */
const slowShare = 0.1;
const timeoutMs = 5000;

const goodReply: ReplyHead = {
    status: 200,
    requestId: undefined,
    isSigned: true,
    isNotRun: false,
    isEventStream: false,
    isFramed: true,
    hasBody: true,
    forwarded: [],
};

export interface HedgeSimulationResult {
    readonly requests: number;
    readonly attempts: number;
    readonly workMs: number;
    readonly answered: number;
    readonly p99Ms: number;
    readonly p50Ms: number;
    /** Times at which requests arrived and hedges started. */
    readonly arrivalsMs: readonly number[];
    readonly hedgesMs: readonly number[];
}

export class HedgeSimulation {
    private readonly clock = new FakeClock();
    private readonly random: SeededRandom;
    private readonly fleet = new FixedFleet();
    private readonly tracker: EndpointTracker;
    private readonly hedging: GatewayHedging;
    private readonly chooser: EndpointChooser;
    private readonly cold: ColdStartQuota;
    private readonly permits;
    private readonly startMs = this.clock.nowMs();
    private readonly durationsMs: number[] = [];
    private readonly arrivalsMs: number[] = [];
    private readonly hedgesMs: number[] = [];
    private attempts = 0;
    private workMs = 0;
    private readonly service = service("s");

    public constructor(
        seed: number,
        private readonly kind: RequestKind,
        maxShare: () => number,
        private readonly periodMs: number,
        private readonly hasPrompts: boolean = true,
    ) {
        const { clock, fleet } = this;
        const self = "10.0.0.1" as HostId;
        const network = new FakeNetwork(clock);
        const limits = new EndpointLimits(clock, silentLog, noMetrics);
        this.random = new SeededRandom(seed);
        this.tracker = new EndpointTracker(fleet, testNotices(clock), clock, silentLog, () => undefined);
        this.permits = testPermits({ self, fleet, limits, peers: network.addHost(self), clock });
        this.cold = new ColdStartQuota(self, defaultBounds, fleet, clock);
        this.chooser = new EndpointChooser(centreId("a"), this.cold, new SeededRandom(seed + 1));
        const retries = new FleetRetryBudget(defaultBounds, fleet, clock);
        this.hedging = new GatewayHedging(clock, retries, () => ({ maxShare: maxShare() }));
        fleet.set({
            hosts: entryHosts(1),
            deployment: deployment([this.route], [this.service]),
            endpoints: Array.from({ length: endpointCount }, (_, at) => listed(`e${at}`, { slots })),
        });
    }

    /** Sends requests at a mean rate for a time, and returns what was measured. */
    public async run(perSecond: number, seconds: number): Promise<HedgeSimulationResult> {
        const untilMs = this.clock.nowMs() + seconds * 1000;
        while (this.clock.nowMs() < untilMs) {
            void this.serve(String(this.arrivalsMs.length));
            await this.clock.advance(Math.max(1, Math.round(-Math.log(1 - this.random.next()) * 1000 / perSecond)));
        }
        await this.clock.advance(timeoutMs);
        const sorted = [...this.durationsMs].sort((one, other) => one - other);
        const percentile = (share: number) => sorted[Math.floor(sorted.length * share)] ?? NaN;
        return {
            requests: this.arrivalsMs.length,
            attempts: this.attempts,
            workMs: this.workMs,
            answered: sorted.length,
            p50Ms: percentile(0.5),
            p99Ms: percentile(0.99),
            arrivalsMs: this.arrivalsMs,
            hedgesMs: this.hedgesMs,
        };
    }

    private get route() {
        return route({ kind: this.kind, maxEndpoints: 2, timeoutMs });
    }

    private promptOf(id: string): PromptInfo {
        const shared = { id: `subject-${this.random.below(subjects)}`, tokens: 1000 };
        return { parts: [shared, { id, tokens: 100 }], inputTokens: 1100, outputTokens: 100 };
    }

    private async serve(id: string): Promise<void> {
        const { clock, chooser, cold, permits, tracker, hedging } = this;
        const startMs = clock.nowMs();
        this.arrivalsMs.push(startMs);
        hedging.recordRequest(this.route.id);
        const { signal } = new AbortController();
        const deadlineMs = startMs + timeoutMs;
        const usable = () => tracker.usable(this.service.id);
        const selection = new EndpointSelection({
            ...{ chooser, permits, cold, clock, signal, deadlineMs },
            log: silentLog,
            metrics: noMetrics,
            request: id,
            service: this.service,
            prompt: this.hasPrompts ? this.promptOf(id) : undefined,
            priority: 0,
        });
        const race: AttemptRace<PermittedChoice> = new AttemptRace(
            signal,
            (choice, contender) => this.attempt(choice, contender),
        );
        const hedges = new RequestHedges({
            deps: { hedging, clock, log: silentLog, metrics: noMetrics },
            admitted: { head: { id }, route: this.route, service: this.service },
            isQuarantined: () => false,
            selection,
            usable,
            tried: () => new Set(),
            runsLeft: () => 2 - race.possibleRuns,
            deadlineMs,
        });
        const choice = await selection.choose(usable, new Set(), deadlineMs);
        if (choice === undefined) {
            return;
        }
        const delayMs = hedges.delayMs();
        race.enter(choice);
        if (delayMs !== undefined) {
            void hedges.enterLater(race, choice, delayMs);
        }
        const { decisive } = await race.end();
        if (decisive.outcome.kind === "replied") {
            this.durationsMs.push(clock.nowMs() - startMs);
        }
    }

    private async attempt({ record }: PermittedChoice, contender: Contender): Promise<AttemptOutcome> {
        const { clock } = this;
        this.attempts += 1;
        const startMs = clock.nowMs();
        if (contender.isHedge) {
            this.hedgesMs.push(startMs);
        }
        const attempt = this.tracker.startAttempt(record, this.service);
        const isSlow = record.id === "e1" && (startMs - this.startMs) % this.periodMs < this.periodMs * slowShare;
        const workMs = (usualMs - Math.log(1 - this.random.next()) * spreadMs) * (isSlow ? slowFactor : 1);
        await clock.sleep(workMs, contender.signal);
        const takenMs = clock.nowMs() - startMs;
        this.workMs += takenMs;
        this.hedging.recordFirstByte(this.route.id, takenMs);
        attempt.recordActivity();
        const outcome: AttemptOutcome = contender.signal.aborted
            ? { kind: "cancelled", hasLostRace: contender.hasLostRace }
            : { kind: "replied", reply: goodReply, body: Buffer.alloc(0) };
        attempt.recordOutcome(outcome);
        this.hedging.recordOutcome(this.service.id, outcome);
        return outcome;
    }
}
