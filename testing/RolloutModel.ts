/**
 * A roll-out in a model without a network: hosts with their version routers and counts, reports that arrive late or not
 * at all, and the judge of a leader. Time goes on in small steps.
 */
import type { SeededRandom } from "../src/common/SeededRandom.js";
import type { Clock, RouteId, ServiceId } from "../src/common/Types.js";
import { RolloutControl } from "../src/rollouts/RolloutControl.js";
import { RolloutTable } from "../src/rollouts/RolloutTable.js";
import type { HostReport, RolloutBounds, RolloutRecord } from "../src/rollouts/Types.js";
import { VersionCounts } from "../src/rollouts/VersionCounts.js";
import { requestVersions, type RouterView, VersionRouter } from "../src/rollouts/VersionRouter.js";
import { noMetrics, silentLog } from "./FleetFixtures.js";

const tickMs = 40;
const judgeMs = 300;
const pollMs = 260;
const service = "s" as ServiceId;
export const modelBounds: RolloutBounds = {
    exposureShare: 0.1,
    exposureSlack: 50,
    rollbackMs: 5000,
    outerBoundMs: 6000,
};

/** How answers of one version are drawn. */
export interface Behaviour {
    readonly failureShare: number;
    /** Factor on the latency of a share of the answers. */
    readonly slowFactor: number;
    readonly slowShare: number;
    /** Time after the order at which the faults begin. */
    readonly fromMs: number;
    /** The route that has them; undefined for all. */
    readonly route: number | undefined;
}

export const sound: Behaviour = { failureShare: 0, slowFactor: 1, slowShare: 0, fromMs: 0, route: undefined };

export interface ModelOptions {
    readonly random: SeededRandom;
    readonly hosts: number;
    readonly perSecond: number;
    readonly durationMs: number;
    readonly routes: number;
    readonly base: Behaviour;
    readonly target: Behaviour;
    /** Share of reports that are lost, and the longest delay of the others. */
    readonly lostReports: number;
    readonly maxDelayMs: number;
    /** Number of hosts that control hosts lose at `cutAtMs`, in both directions. */
    readonly cutHosts?: number;
    readonly cutAtMs?: number;
    /** Behaviour of all answers at host 0, whatever their version. */
    readonly firstHost?: Behaviour;
    readonly hasTargetEndpoints?: boolean;
    /** Number of target's endpoints, of as many old ones. */
    readonly bounds?: RolloutBounds;
}

interface ModelHost {
    readonly id: string;
    view: RouterView;
    confirmedMs: number;
    nextPollMs: number;
    readonly counts: VersionCounts;
    readonly router: VersionRouter;
}

export class RolloutModel {
    public readonly table = new RolloutTable();
    public exposed = 0;
    public requests = 0;
    /** Requests that no endpoint was allowed for. */
    public refused = 0;
    /** Greatest excess over the exposure bound while the version had not proved itself. */
    public worstExcess = -Infinity;
    /** When the 50th bad answer of the target ended, and the last request to it began, since the order. */
    public fiftiethBadMs: number | undefined;
    public lastExposedMs = 0;
    public endedMs: number | undefined;
    public runningAtBaseWhenCompleted: number | undefined;
    private nowMs = 1_000_000;
    private badAnswers = 0;
    private runningAtBase = 0;
    private requestCount = 0;
    private readonly clock: Clock;
    private readonly hosts: ModelHost[] = [];
    private readonly control: RolloutControl;
    private readonly pending: { readonly atMs: number; readonly run: () => void; }[] = [];

    public constructor(private readonly options: ModelOptions) {
        this.clock = {
            nowMs: () => this.nowMs,
            wallMs: () => this.nowMs,
            setTimer: () => ({ dispose: () => undefined }),
            sleep: async () => undefined,
        };
        this.control = new RolloutControl({
            table: this.table,
            hosts: () =>
                this.hosts.map(({ id: host, confirmedMs }) => ({
                    host,
                    incarnation: 1,
                    isLive: this.nowMs - confirmedMs < 2500,
                })),
            endpoints: () => this.endpoints().map(one => ({ ...one, slots: 16, coldLeftMs: 0 })),
            propose: async command => {
                this.later(50, () => this.table.apply(command));
                return true;
            },
            clock: this.clock,
            events: silentLog,
            metrics: noMetrics,
        });
        for (let at = 0; at < options.hosts; at++) {
            this.addHost(at);
        }
    }

    public get record(): RolloutRecord | undefined {
        return this.table.find(service);
    }

    /** Orders the roll-out, and runs until it has ended or `untilMs` after the order. */
    public async run(untilMs: number = this.options.durationMs + 2000): Promise<void> {
        const startMs = this.nowMs;
        const { durationMs, perSecond, random } = this.options;
        this.table.apply({ kind: "start-rollout", service, target: "v2", durationMs, atMs: startMs, after: 0 });
        let nextJudgeMs = startMs;
        let due = 0;
        while (this.nowMs - startMs < untilMs) {
            this.nowMs += tickMs;
            this.runPending();
            this.hosts.forEach((host, at) => this.poll(host, at, startMs));
            due += perSecond * tickMs / 1000;
            for (; due >= 1; due--) {
                this.sendRequest(this.hosts[random.below(this.hosts.length)]!, this.nowMs - startMs);
            }
            if (this.nowMs >= nextJudgeMs) {
                nextJudgeMs = this.nowMs + judgeMs;
                await this.control.judge();
            }
            this.noteEnd(startMs);
        }
    }

    private noteEnd(startMs: number): void {
        if (this.endedMs === undefined && this.record?.state !== "serving") {
            this.endedMs = this.nowMs - startMs;
            this.runningAtBaseWhenCompleted = this.runningAtBase;
        }
    }

    private endpoints() {
        const { hasTargetEndpoints = true } = this.options;
        const versions = hasTargetEndpoints ? ["v1", "v1", "v2", "v2"] : ["v1", "v1"];
        return versions.map((version, at) => ({
            id: `e${at}`,
            service,
            version,
            isLeaving: false,
            dataCentre: "a",
        }));
    }

    private addHost(at: number): void {
        const hosts = Array.from({ length: this.options.hosts }, (_, other) => ({ host: `h${other}` }));
        const counts = new VersionCounts(this.clock);
        // The order is acknowledged only when all hosts hold it, or don't use what they don't know.
        const state = {
            view: {
                endpoints: this.endpoints(),
                hosts,
                dataCentresOut: new Set<string>(),
                rollouts: { revision: 0, records: [] },
            } as RouterView,
            confirmedMs: this.nowMs,
            nextPollMs: this.nowMs + this.options.random.next() * pollMs,
        };
        const router = new VersionRouter({
            self: `h${at}`,
            fleet: {
                view: () => state.view,
                rolloutsAgeMs: () => this.nowMs - state.confirmedMs,
                onChange: () => ({ dispose: () => undefined }),
            },
            bounds: this.options.bounds ?? modelBounds,
            counts,
            log: silentLog,
            metrics: noMetrics,
        });
        this.hosts.push(Object.assign(state, { id: `h${at}`, counts, router }));
    }

    /** Takes over the table and sends a report, which may be late or lost. */
    private poll(host: ModelHost, at: number, startMs: number): void {
        const { random, cutHosts = 0, cutAtMs = 0, lostReports, maxDelayMs } = this.options;
        const isCut = at < cutHosts && this.nowMs - startMs >= cutAtMs;
        const isAcknowledging = host.view.rollouts?.revision === 0;
        if (isCut && !isAcknowledging) {
            return;
        }
        const isNotified = host.view.rollouts?.revision !== this.table.revision;
        if (this.nowMs < host.nextPollMs && !isNotified) {
            return;
        }
        host.nextPollMs = this.nowMs + pollMs;
        if (!isAcknowledging && random.next() < lostReports) {
            return;
        }
        const report: HostReport = {
            host: host.id,
            incarnation: 1,
            revision: host.view.rollouts?.revision ?? 0,
            services: host.counts.report(host.view.rollouts?.records ?? []),
            ageMs: 0,
        };
        host.confirmedMs = this.nowMs;
        host.view = { ...host.view, rollouts: this.table.snapshot() };
        this.later(random.next() * maxDelayMs, () => this.control.reports.record(report, true));
    }

    private sendRequest(host: ModelHost, sinceMs: number): void {
        const { random, routes } = this.options;
        this.requestCount += 1;
        const route = random.below(routes);
        const request = requestVersions(service, `r${route}` as RouteId, `q${this.requestCount}.${random.hex(6)}`);
        const all = host.view.endpoints.map(listed => ({ listed }));
        const usable = host.router.suitable(request, all, () => false);
        const choice = usable[random.below(Math.max(1, usable.length))];
        const attempt = choice === undefined ? undefined : host.router.begin(request, choice.listed, false);
        if (choice === undefined || attempt === undefined) {
            this.refused += 1;
            return;
        }
        const isTarget = choice.listed.version === "v2";
        this.noteRequest(isTarget, sinceMs);
        const { isFailure, isSlow, latencyMs } = this.drawAnswer(host, isTarget, route, sinceMs);
        this.runningAtBase += isTarget ? 0 : 1;
        this.later(latencyMs, () => {
            attempt.end(isFailure ? "failed" : "good", latencyMs);
            this.runningAtBase -= isTarget ? 0 : 1;
            this.badAnswers += isTarget && (isFailure || isSlow) ? 1 : 0;
            if (this.badAnswers === 50 && this.fiftiethBadMs === undefined) {
                this.fiftiethBadMs = this.nowMs - 1_000_000;
            }
        });
    }

    private noteRequest(isTarget: boolean, sinceMs: number): void {
        const { exposureShare, exposureSlack } = this.options.bounds ?? modelBounds;
        this.requests += 1;
        this.exposed += isTarget ? 1 : 0;
        this.lastExposedMs = isTarget ? sinceMs : this.lastExposedMs;
        if (this.record?.isProven === false) {
            this.worstExcess = Math.max(
                this.worstExcess,
                this.exposed - exposureShare * this.requests - exposureSlack,
            );
        }
    }

    private drawAnswer(host: ModelHost, isTarget: boolean, route: number, sinceMs: number) {
        const { random, base, target, firstHost } = this.options;
        const behaviour = host.id === "h0" && firstHost !== undefined ? firstHost : isTarget ? target : base;
        const { failureShare, slowFactor, slowShare, fromMs, route: ofRoute } = behaviour;
        const isFaulty = sinceMs >= fromMs && (ofRoute === undefined || ofRoute === route);
        const spread = Math.exp((random.next() + random.next() + random.next() - 1.5) * 0.6);
        const factor = isFaulty && random.next() < slowShare ? slowFactor : 1;
        return {
            isFailure: isFaulty && random.next() < failureShare,
            isSlow: factor > 1,
            latencyMs: 60 * (1 + route) * spread * factor,
        };
    }

    private later(delayMs: number, run: () => void): void {
        this.pending.push({ atMs: this.nowMs + delayMs, run });
    }

    private runPending(): void {
        const due = this.pending.filter(one => one.atMs <= this.nowMs).sort((a, b) => a.atMs - b.atMs);
        const left = this.pending.filter(one => one.atMs > this.nowMs);
        this.pending.splice(0, this.pending.length, ...left);
        due.forEach(one => one.run());
    }
}
