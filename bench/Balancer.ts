/** Simulates the platform's load balancer: polls the readiness of each host and chooses ready hosts in turn. */
import { setMaxListeners } from "node:events";
import { get } from "node:http";
import type { Clock, Disposable } from "../src/common/Types.js";
import type { Settings } from "../src/config/Schema.js";
import { splitAddress } from "../standin/StandInHttpServer.js";

export interface BalancerTarget {
    readonly host: string;
    readonly address: string;
}

/** Interval and timeout of readiness checks, in milliseconds. */
const pollMs = 500;
const pollTimeoutMs = 1000;

export class Balancer implements Disposable {
    private readonly ready = new Set<string>();
    private readonly targets: readonly BalancerTarget[];
    private readonly abort = new AbortController();
    private turn = 0;

    public constructor(settings: Settings, private readonly clock: Clock) {
        this.targets = Object.entries(settings.hosts).map(([host, { callerAddress }]) => ({
            host,
            address: callerAddress,
        }));
    }

    /** Starts polling the hosts. */
    public start(): void {
        setMaxListeners(0, this.abort.signal);
        for (const target of this.targets) {
            void this.pollHost(target);
        }
    }

    /** Resolves to true once `count` hosts are ready, or to false after `timeoutMs`. */
    public async waitForReady(count: number, timeoutMs: number): Promise<boolean> {
        const deadlineMs = this.clock.nowMs() + timeoutMs;
        while (this.ready.size < count && this.clock.nowMs() < deadlineMs) {
            await this.clock.sleep(pollMs / 5);
        }
        return this.ready.size >= count;
    }

    public get readyHosts(): readonly string[] {
        return [...this.ready].sort();
    }

    /** Returns the next ready host in turn; undefined if none is ready. */
    public pick(): BalancerTarget | undefined {
        const readyTargets = this.targets.filter(target => this.ready.has(target.host));
        this.turn += 1;
        return readyTargets[this.turn % Math.max(1, readyTargets.length)];
    }

    /** Treats a host that refused a connection as not ready until the next successful check. */
    public reportRefused(host: string): void {
        this.ready.delete(host);
    }

    public dispose(): void {
        this.abort.abort();
    }

    private async pollHost(target: BalancerTarget): Promise<void> {
        while (!this.abort.signal.aborted) {
            if (await isReady(target.address)) {
                this.ready.add(target.host);
            }
            else {
                this.ready.delete(target.host);
            }
            await this.clock.sleep(pollMs, this.abort.signal);
        }
    }
}

function isReady(address: string): Promise<boolean> {
    return new Promise(resolve => {
        const req = get({ ...splitAddress(address), path: "/v1/ready", timeout: pollTimeoutMs }, res => {
            res.resume();
            resolve(res.statusCode === 200);
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve(false));
    });
}
