/** Runs one slot policy on a simulated site in virtual time, with open-loop or saturating load. */
import { SeededRandom } from "../../src/common/SeededRandom.js";
import type { EndpointId, HostId } from "../../src/common/Types.js";
import type { Settings } from "../../src/config/Schema.js";
import { type FakeEndpoint, type SiteHost, SlotSite } from "../../testing/SlotSite.js";
import { testSettings } from "../../testing/TestSettings.js";
import { makePolicy, type SlotPolicy, type SlotPolicyName } from "./SlotPolicies.js";

/** Mean duration of a call. */
export const callMs = 200;
/** Time from a request's arrival to its deadline. */
export const requestDeadlineMs = 5000;
/** How long a crashed endpoint refuses connections. */
const crashDurationMs = 400;
/** Pause before the first retry; it doubles with each retry up to the maximum. */
const retryPauseMs = 20;
const maxRetryPauseMs = 320;

export interface SiteShape {
    readonly centres: number;
    readonly hostsPerCentre: number;
    readonly enginesPerCentre: number;
    readonly warmLimit: number;
    readonly reportsLoad?: boolean;
}

export interface RequestRecord {
    readonly arrivedMs: number;
    readonly host: HostId;
    readonly attained: boolean;
    readonly retries: number;
}

export function siteSettings(shape: SiteShape): Settings {
    const centres = Array.from({ length: shape.centres }, (_, index) => `dc${index + 1}`);
    const numbered = (count: number) => Array.from({ length: count }, (_, index) => index + 1);
    const hosts = centres.flatMap((dataCentre, centre) =>
        numbered(shape.hostsPerCentre).map(number => [`${dataCentre}-h${number}`, {
            dataCentre,
            callerAddress: `127.0.0.1:${20_000 + centre * 100 + number}`,
            peerAddress: `127.0.0.1:${30_000 + centre * 100 + number}`,
        }])
    );
    const endpoints = centres.flatMap((dataCentre, centre) =>
        numbered(shape.enginesPerCentre).map(number => [`${dataCentre}-e${number}`, {
            dataCentre,
            address: `127.0.0.1:${40_000 + centre * 100 + number}`,
            kind: "engine",
            pool: "writer",
            models: ["m1"],
            coldLimit: 1,
            warmLimit: shape.warmLimit,
            reportsLoad: shape.reportsLoad ?? true,
        }])
    );
    return testSettings({
        dataCentres: Object.fromEntries(centres.map(name => [name, { region: "r1" }])),
        hosts: Object.fromEntries(hosts) as unknown,
        endpoints: Object.fromEntries(endpoints) as unknown,
    });
}

export class SlotRun {
    public readonly site: SlotSite;
    public readonly records: RequestRecord[] = [];
    public readonly endpoints: readonly FakeEndpoint[];
    /** Hosts to which the load balancer sends no requests. */
    public readonly notReady = new Set<HostId>();
    private readonly policy: SlotPolicy;
    private readonly random: SeededRandom;
    private readonly pool: readonly EndpointId[];
    private isSendingLoad = true;

    public constructor(policy: SlotPolicyName, shape: SiteShape, seed: number) {
        this.site = new SlotSite({ settings: siteSettings(shape), seed });
        this.policy = makePolicy(policy, this.site);
        this.random = new SeededRandom(seed);
        this.pool = Object.keys(this.site.settings.endpoints) as EndpointId[];
        this.endpoints = this.pool.map(id => this.site.endpoint(id));
        for (const endpoint of this.endpoints) {
            endpoint.crashOnOverloadMs = crashDurationMs;
        }
    }

    public get nowMs(): number {
        return this.site.clock.nowMs();
    }

    /** Starts all hosts and waits until they have discovered each other. */
    public async start(): Promise<void> {
        this.site.startAll();
        await this.site.clock.advance(8000);
    }

    public advance(ms: number): Promise<void> {
        return this.site.clock.advance(ms);
    }

    /** Starts open-loop load: requests arrive at random times, each at a random ready host. */
    public startOpenLoad(perSecond: number): void {
        void (async () => {
            while (this.isSendingLoad) {
                await this.site.clock.sleep((-Math.log(1 - this.random.next()) / perSecond) * 1000);
                const ready = this.site.live.filter(host => !this.notReady.has(host.id));
                void this.request(ready[this.random.below(ready.length)]!);
            }
        })();
    }

    /** Starts saturating load: keeps `perHost` requests in progress on each host. */
    public startSaturation(perHost: number): void {
        for (const host of this.site.live) {
            for (let index = 0; index < perHost; index += 1) {
                void (async () => {
                    while (this.isSendingLoad && !host.stopped) {
                        await this.request(host);
                    }
                })();
            }
        }
    }

    public stop(): void {
        this.isSendingLoad = false;
        this.site.stopAll();
    }

    /** Runs one request; retries after any failure until its deadline. */
    private async request(host: SiteHost): Promise<void> {
        const arrivedMs = this.nowMs;
        const deadlineMs = host.clock.nowMs() + requestDeadlineMs;
        const durationMs = callMs * (0.5 + this.random.next());
        for (let retries = 0;; retries += 1) {
            const end = await this.policy.call(host, this.pool, durationMs, deadlineMs);
            const isLate = host.clock.nowMs() > deadlineMs;
            if (end === "succeeded" || isLate || host.clock.nowMs() + durationMs > deadlineMs) {
                this.records.push({ arrivedMs, host: host.id, attained: end === "succeeded" && !isLate, retries });
                return;
            }
            await this.site.clock.sleep(Math.min(retryPauseMs * 2 ** retries, maxRetryPauseMs));
        }
    }
}
