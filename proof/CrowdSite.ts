/**
 * A small site of processes for callers that keep to no limits: opens their connections, watches the memory and the
 * descriptors of one host while they last, and sends ordinary requests. The hosts have the options of
 * deploy/system.toml, and limits that a crowd of a few dozen reaches.
 */
import { mkdtempSync, rmSync } from "node:fs";
import * as net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";
import { FleetHistory } from "./FleetHistory.js";
import { FleetSite, sendRequest } from "./FleetSite.js";

/** As in deploy/system.toml. */
const deployedOptions = ["--max-old-space-size=160", "--max-semi-space-size=8"];
const watchIntervalMs = 20;
const readyPollMs = 200;
/** An ordinary caller sends its request again until it is served, at most this often. */
const maxTries = 40;
const retryPauseMs = 250;

export interface CrowdSiteOptions {
    /** Second number of the first loopback addresses; five nets are used. */
    readonly net: number;
    /** Settings of hosts in place of the usual ones of {@link FleetSite}. */
    readonly settings?: Readonly<Record<string, unknown>>;
    /** Limits on callers' requests, as in a configuration. */
    readonly callerLimits?: Readonly<Record<string, number>>;
    /** Maximum number of descriptors of each process; undefined for that of this process. */
    readonly maxDescriptors?: number;
    readonly entries?: number;
}

/** The most that was seen of one process. */
export interface Peak {
    residentBytes: number;
    descriptors: number;
}

interface Address {
    readonly host: string;
    readonly port: number;
}

export class CrowdSite {
    public readonly clock = new SystemClock();
    /** Holds the logs of all processes; removed by {@link stop}. */
    public readonly folder = mkdtempSync(join(tmpdir(), "fireflykeel-crowd-"));
    public readonly site: FleetSite;
    private readonly sockets = new Set<net.Socket>();
    private ordinaryCount = 0;

    public constructor(options: CrowdSiteOptions) {
        const size = { controls: 3, entries: options.entries ?? 1, endpoints: 3 };
        this.site = new FleetSite(
            size,
            this.folder,
            new FleetHistory(),
            this.clock,
            new SeededRandom(1),
            options.net,
        );
        this.site.settings = options.settings ?? {};
        this.site.callerLimits = options.callerLimits ?? {};
        this.site.processes.nodeOptions = deployedOptions;
        this.site.processes.maxDescriptors = options.maxDescriptors;
    }

    public get entry(): string {
        return this.site.entries[0] ?? "";
    }

    public get control(): string {
        return this.site.controls[0] ?? "";
    }

    /** Starts all processes; resolves once the entry hosts are ready. */
    public async start(): Promise<void> {
        await this.site.start();
        while (!(await Promise.all(this.site.entries.map(one => this.site.isReady(one)))).every(isReady => isReady)) {
            await this.site.putConfig(this.control);
            await this.clock.sleep(readyPollMs);
        }
    }

    /** Opens a connection of the crowd; it ignores errors, and what it gets is read unless the crowd pauses it. */
    public connect(address: Address): net.Socket {
        const socket = net.connect(address.port, address.host);
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        socket.resume();
        return socket;
    }

    /** Number of the crowd's connections that are open. */
    public get openConnections(): number {
        return this.sockets.size;
    }

    /** Closes all connections of the crowd, by a reset. */
    public async leave(): Promise<void> {
        this.sockets.forEach(socket => socket.resetAndDestroy());
        while (this.sockets.size > 0) {
            await this.clock.sleep(watchIntervalMs);
        }
    }

    /** Watches a host until the work has ended; infinite figures if its process ended. */
    public async watch(host: string, work: Promise<void>): Promise<Peak> {
        const peak = { residentBytes: 0, descriptors: 0 };
        let isOver = false;
        const ended = work.finally(() => isOver = true);
        while (!isOver) {
            const usage = this.site.processes.usage(host);
            peak.residentBytes = Math.max(peak.residentBytes, usage?.residentBytes ?? Infinity);
            peak.descriptors = Math.max(peak.descriptors, usage?.descriptors ?? Infinity);
            await this.clock.sleep(watchIntervalMs);
        }
        await ended;
        return peak;
    }

    /** Sends one request as an ordinary caller does, once; 0 if there was no complete answer. */
    public async request(path: string = "/idempotent/a", body: string = ""): Promise<number> {
        this.ordinaryCount += 1;
        const headers = {
            "Host": "h.example",
            "Fireflykeel-Request-Id": `ordinary-${this.ordinaryCount}`,
            "Fireflykeel-Deadline-Ms": "4000",
        };
        const address = this.site.callerAddress(this.entry);
        const { code } = await sendRequest({ ...address, path, method: "POST", headers, timeout: 5000 }, body);
        return code;
    }

    /** Sends an ordinary request until it is served; returns the last status, 0 for none. */
    public async requestUntilServed(): Promise<number> {
        let code = await this.request();
        for (let tries = 1; code !== 200 && tries < maxTries; tries++) {
            await this.clock.sleep(retryPauseMs);
            code = await this.request();
        }
        return code;
    }

    public async stop(): Promise<void> {
        await this.leave();
        await this.site.stop();
    }

    /** Removes the logs, for a test that has passed. */
    public removeLogs(): void {
        rmSync(this.folder, { recursive: true, force: true });
    }
}
