/**
 * The replication experiment: measures the replicated log and the configuration with real disk and transport, all hosts
 * in one process. Parts: commits per second by proposals in flight, time until a change takes effect on eight hosts,
 * start-up after up to 500 changes, and the cost of an idle site. `npm run bench -- replication [PART...]`.
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import { join, resolve } from "node:path";
import type { ChangeId, HostId } from "../src/common/Types.js";
import { baseText, Site, siteHosts } from "./replication/Site.js";

const results = resolve(import.meta.dirname, "../../bench/results");
/** Non-idempotent requests per second of both current users together, with a margin. */
const currentClaimsPerSecond = 200;
/** Length of a proposed command. */
const commandChars = 300;
const commitSeconds = 3;
const changes = 100;
const restartChanges = 500;
const idleSeconds = 20;

interface Distribution {
    readonly p50: number;
    readonly p99: number;
    readonly max: number;
}

function distribution(values: readonly number[]): Distribution {
    const sorted = [...values].sort((a, b) => a - b);
    const at = (share: number) => round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0);
    return { p50: at(0.5), p99: at(0.99), max: at(1) };
}

function round(value: number): number {
    return Math.round(value * 100) / 100;
}

const voters = siteHosts.filter(host => host.isVoter);

/** Measures commits per second with `inFlight` concurrent proposals at the leader. */
async function benchCommits(inFlight: number) {
    const site = new Site({ delayMs: 0, groups: ["records"], hosts: voters });
    await site.start();
    const leader = await site.leader("records");
    const command = "x".repeat(commandChars);
    const latencies: number[] = [];
    const startMs = site.clock.nowMs();
    const endMs = startMs + commitSeconds * 1000;
    const propose = async () => {
        while (site.clock.nowMs() < endMs) {
            const sentMs = site.clock.nowMs();
            const result = await leader.propose(command, 10_000);
            result.ifRight(() => latencies.push(site.clock.nowMs() - sentMs));
        }
    };
    const cpu = process.cpuUsage();
    await Promise.all(Array.from({ length: inFlight }, propose));
    const used = process.cpuUsage(cpu);
    const seconds = (site.clock.nowMs() - startMs) / 1000;
    await site.stopHosts();
    site.removeFiles();
    const commitsPerSecond = round(latencies.length / seconds);
    return {
        inFlight,
        commitsPerSecond,
        timesTodaysNeed: round(commitsPerSecond / currentClaimsPerSecond),
        latencyMs: distribution(latencies),
        cpuMillisecondsPerCommit: round((used.user + used.system) / 1000 / latencies.length),
    };
}

function makeChange(number: number) {
    const id = `change-${number}` as ChangeId;
    const text = `${baseText}\n# change ${number}\n`;
    return { kind: "put-document", id, document: "base", baseVersion: number, text } as const;
}

/** Measures the time from sending a change at one host until it is in effect on all eight. */
async function benchInForce(delayMs: number) {
    const site = new Site({ delayMs, groups: ["config"], hosts: siteHosts });
    await site.start();
    await site.waitForVersion(1);
    const accepted: number[] = [];
    const inForce: number[] = [];
    for (let number = 1; number <= changes; number++) {
        const writer = site.hosts[number % site.hosts.length]?.config;
        const startMs = site.clock.nowMs();
        const version = number + 1;
        const everywhere = site.waitForVersion(version).then(() => inForce.push(site.clock.nowMs() - startMs));
        const result = await writer?.change(makeChange(number), 10_000);
        if (result?.isRight() !== true) {
            throw new Error(`change ${number} failed: ${JSON.stringify(result?.extract())}`);
        }
        accepted.push(site.clock.nowMs() - startMs);
        await everywhere;
    }
    await site.stopHosts();
    site.removeFiles();
    return { delayMs, changes, acceptedMs: distribution(accepted), inForceMs: distribution(inForce) };
}

/**
 * Restarts a host and returns the time until the last change is in effect there, in milliseconds; the time includes the
 * stop of the host.
 */
async function timeRestart(site: Site, id: HostId | undefined, changesMade: number): Promise<number> {
    const startMs = site.clock.nowMs();
    const host = id === undefined ? undefined : await site.restartHost(id);
    while ((host?.config?.current()?.version ?? 0) <= changesMade) {
        await site.clock.sleep(1);
    }
    return round(site.clock.nowMs() - startMs);
}

/**
 * Measures restarts after `changesMade` changes: of one control host, of one entry host and of all hosts, each until
 * the last change is in effect there, and the time from the start of all hosts until the config group has a leader.
 */
async function benchRestart(changesMade: number) {
    const site = new Site({ delayMs: 0, groups: ["config"], hosts: siteHosts });
    await site.start();
    await site.waitForVersion(1);
    const writer = site.hosts[0]?.config;
    for (let number = 1; number <= changesMade; number++) {
        await writer?.change(makeChange(number), 10_000);
    }
    await site.waitForVersion(changesMade + 1);
    const leader = await site.leader("config");
    const follower = site.hosts.find(host => host.host.isVoter && !host.replicas.includes(leader))?.host.id;
    const entry = site.hosts.find(host => !host.host.isVoter)?.host.id;
    const oneControlHostMs = await timeRestart(site, follower, changesMade);
    const oneEntryHostMs = await timeRestart(site, entry, changesMade);
    await site.stopHosts();
    const startMs = site.clock.nowMs();
    await site.start();
    const controls = site.hosts.filter(host => host.host.isVoter);
    const waits = site.hosts.map(async host => {
        while ((host.config?.current()?.version ?? 0) <= changesMade) {
            await site.clock.sleep(1);
        }
        return { isControl: controls.includes(host), ms: site.clock.nowMs() - startMs };
    });
    const times = await Promise.all(waits);
    await site.leader("config");
    const leaderMs = site.clock.nowMs() - startMs;
    await site.stopHosts();
    site.removeFiles();
    return {
        changes: changesMade,
        oneControlHostMs,
        oneEntryHostMs,
        controlHostsMs: round(Math.max(...times.filter(time => time.isControl).map(time => time.ms))),
        allHostsMs: round(Math.max(...times.map(time => time.ms))),
        leaderMs: round(leaderMs),
    };
}

/** Measures network traffic and CPU time of an idle site with both groups. */
async function benchIdle() {
    const site = new Site({ delayMs: 0, groups: ["config", "records"], hosts: siteHosts });
    await site.start();
    await site.waitForVersion(1);
    const leaders = await Promise.all([site.leader("config"), site.leader("records")]);
    await site.clock.sleep(3000);
    const before = site.bytesByHost();
    const cpu = process.cpuUsage();
    await site.clock.sleep(idleSeconds * 1000);
    const used = process.cpuUsage(cpu);
    const after = site.bytesByHost();
    const hosts = site.hosts.map(({ host, replicas }) => ({
        host: host.id,
        role: host.isVoter ? "control" : "entry",
        leads: replicas.filter(replica => leaders.includes(replica)).map(replica => replica.group),
        bytesPerSecond: round(((after.get(host.id) ?? 0) - (before.get(host.id) ?? 0)) / idleSeconds),
    }));
    await site.stopHosts();
    site.removeFiles();
    const cpuPercentOfAllHosts = round(((used.user + used.system) / 1e6 / idleSeconds) * 100);
    return { hosts, cpuPercentOfAllHosts: cpuPercentOfAllHosts, cpuPercentPerHost: round(cpuPercentOfAllHosts / 8) };
}

const parts = {
    commits: async () => {
        const points = [];
        for (const inFlight of [1, 16, 64, 256, 1024]) {
            points.push(await benchCommits(inFlight));
        }
        return points;
    },
    inForce: async () => [await benchInForce(0.5), await benchInForce(1.5)],
    restart: async () => [await benchRestart(50), await benchRestart(restartChanges)],
    idle: benchIdle,
};

/** Runs the named parts, or all if none is named, and prints the result as JSON. */
export async function benchReplication(names: readonly string[] = []): Promise<Record<string, unknown>> {
    const result: Record<string, unknown> = { loadAverage: loadavg().map(round) };
    for (const [name, part] of Object.entries(parts)) {
        if (names.length === 0 || names.includes(name)) {
            result[name] = await part();
        }
    }
    console.log(JSON.stringify(result, undefined, 2));
    return result;
}

/** Runs the experiment; writes a result file only if all parts run. */
export async function run(args: readonly string[]): Promise<void> {
    const result = await benchReplication(args);
    if (args.length === 0) {
        mkdirSync(results, { recursive: true });
        writeFileSync(join(results, "replication.json"), `${JSON.stringify(result, undefined, 2)}\n`);
    }
}
