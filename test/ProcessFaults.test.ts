/**
 * Faults of whole processes: a paused control host, a lost disk, and a data centre whose traffic is silently dropped.
 * After each, no hold has run twice, its answer is available through any host, and no host has gone back to an older
 * version of the configuration.
 */
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { parse, stringify } from "yaml";
import { Cluster } from "../bench/Cluster.js";
import { runProgram } from "../src/cli/Program.js";
import { SystemClock } from "../src/common/SystemClock.js";
import { EventId } from "../src/telemetry/Events.js";
import { TcpRelay } from "../standin/TcpRelay.js";
import { SiteDriver } from "../testing/SiteDriver.js";

const clock = new SystemClock();
const demoFile = new URL("../../examples/demo/base.yaml", import.meta.url).pathname;
/** Added to all ports, so that this site and the one of ProcessSite.test.ts can run at the same time. */
const portOffset = 1000;
const cutDataCentre = "west";
/** Number of holds placed in each phase of the tests. */
const holdsPerPhase = 6;

let folder = "";
let cluster: Cluster;
let site: SiteDriver;
/** Relays in front of hosts and endpoints, by id; they carry the traffic between the cut data centre and the others. */
const relays = new Map<string, TcpRelay>();
const relayAddresses: Record<string, string> = {};

interface SiteDocument {
    hosts: Record<string, { callerAddress: string; peerAddress: string; dataCentre: string; }>;
    endpoints: Record<string, { address: string; dataCentre: string; }>;
}

function shiftPort(address: string): string {
    const [ip, port] = address.split(":");
    return `${ip}:${Number(port) + portOffset}`;
}

function writeSite(file: string): SiteDocument {
    const document = parse(readFileSync(demoFile, "utf8")) as SiteDocument;
    for (const host of Object.values(document.hosts)) {
        host.callerAddress = shiftPort(host.callerAddress);
        host.peerAddress = shiftPort(host.peerAddress);
    }
    for (const endpoint of Object.values(document.endpoints)) {
        endpoint.address = shiftPort(endpoint.address);
    }
    writeFileSync(file, stringify(document));
    return document;
}

/** Returns the relay addresses through which a host dials the hosts and endpoints on the other side of the cut. */
function dial(document: SiteDocument, host: string): Record<string, string> {
    const isCut = document.hosts[host]?.dataCentre === cutDataCentre;
    const others = Object.entries({ ...document.hosts, ...document.endpoints })
        .filter(([, one]) => (one.dataCentre === cutDataCentre) !== isCut);
    return Object.fromEntries(others.map(([id]) => [id, relayAddresses[id]!]));
}

before(async () => {
    folder = mkdtempSync(join(tmpdir(), "fireflykeel-faults-"));
    const baseFile = join(folder, "site.yaml");
    const document = writeSite(baseFile);
    const targets = [
        ...Object.entries(document.hosts).map(([id, host]) => [id, host.peerAddress] as const),
        ...Object.entries(document.endpoints).map(([id, endpoint]) => [id, endpoint.address] as const),
    ];
    for (const [id, target] of targets) {
        const relay = new TcpRelay(target);
        relayAddresses[id] = await relay.start("127.0.0.1:0");
        relays.set(id, relay);
    }
    cluster = new Cluster({
        folder: join(folder, "run"),
        baseFile,
        overlays: {},
        engineSpeed: {},
        seed: 2,
        clock,
        dial: host => dial(document, host),
    });
    site = new SiteDriver(cluster, clock);
    cluster.startStandIns();
    cluster.startDaemons();
    await Promise.all(site.hosts.map(host => site.untilReadiness(host, 200)));
});

after(async () => {
    await Promise.all([...relays.values()].map(relay => relay.stop()));
    await cluster.stop();
    rmSync(folder, { recursive: true, force: true });
});

async function operate(host: string, args: readonly string[]): Promise<number> {
    const target = ["--key-file", join(folder, "run", "operator.key"), "--address", site.peerAddress(host)];
    return runProgram(["node", "fireflykeel", ...args, ...target], { out: () => undefined, err: () => undefined });
}

/** Asserts that no hold ran more than once and that every answered hold did run. */
async function assertHoldsKept(placed: readonly { answered: number; unknown: number; }[]): Promise<void> {
    const runs = await site.holdRunCounts();
    assert.ok(runs.every(count => count === 1), `a hold ran more than once: ${runs.join(" ")}`);
    const answered = placed.reduce((sum, one) => sum + one.answered, 0);
    const unknown = placed.reduce((sum, one) => sum + one.unknown, 0);
    assert.ok(runs.length >= answered && runs.length <= answered + unknown, `${runs.length} ran, ${answered} answered`);
}

/** Returns the configuration versions that came into force at a host, in the order of its log. */
function versionsInForce(host: string): number[] {
    return readFileSync(join(folder, "run", `${host}.log`), "utf8")
        .split("\n")
        .filter(line => line !== "")
        .map(line => JSON.parse(line) as { event: number; version: number; })
        .filter(record => record.event === Number(EventId.ConfigInForce))
        .map(record => record.version);
}

function assertNeverReverts(): void {
    for (const host of site.hosts) {
        const versions = versionsInForce(host);
        assert.deepEqual(versions, [...versions].sort((a, b) => a - b), `${host} went back to an older version`);
    }
}

/** Outcomes of all holds placed so far; the tests run in order and share them. */
const placed: { answered: number; unknown: number; }[] = [];

test("no hold runs twice and no version reverts when a control host is paused for 4 s", async () => {
    placed.push(await site.placeHolds("before", holdsPerPhase));
    cluster.processes.signal("east-1", "SIGSTOP");
    const others = site.placeHolds("frozen", holdsPerPhase);
    await clock.sleep(4000);
    cluster.processes.signal("east-1", "SIGCONT");
    placed.push(await others);
    placed.push(await site.placeHolds("thawed", holdsPerPhase));
    await assertHoldsKept(placed);
    assert.equal(await operate("middle-2", ["dc", "out", "middle", "--id", "freeze-1"]), 0);
    assert.equal(await operate("east-1", ["dc", "in", "middle", "--id", "freeze-2"]), 0);
    await site.untilReadiness("middle-1", 200);
    assertNeverReverts();
});

test("a silently cut-off data centre serves idempotent requests, refuses holds, and rejoins", async () => {
    for (const relay of relays.values()) {
        relay.silenceAll("both");
    }
    const input = { note: "asked inside the cut-off data centre" };
    await site.until("the cut-off data centre serves an idempotent request", async () => {
        const answer = await site.tryCall("west-2", "profile", input);
        return answer?.output === site.expected("profile", input);
    });
    // Until a leader inside the cut-off data centre notices the cut, a hold may get as far as its claim; it is never
    // answered.
    await site.until("the cut-off data centre refuses a hold as not run", async () => {
        const refused = await site.call("west-2", "hold", { cat: "cut" }, "cut");
        assert.ok(refused.outcome === "not-run" || refused.outcome === "failed", refused.message);
        assert.equal(refused.repeat, "safe", refused.message);
        return refused.outcome === "not-run";
    });
    await site.until("the majority serves a hold", async () => {
        return (await site.tryCall("east-2", "hold", { cat: "majority" }, "majority"))?.outcome === "answered";
    });
    placed.push({ answered: 1, unknown: 0 });
    assert.equal(await operate("east-1", ["dc", "out", "west", "--id", "cut-1"]), 0);
    for (const relay of relays.values()) {
        relay.silenceAll(undefined);
    }
    await site.untilReadiness("west-2", 503);
    assert.equal(await operate("west-2", ["dc", "in", "west", "--id", "cut-2"]), 0);
    await site.untilReadiness("west-2", 200);
    const again = await site.call("west-1", "hold", { cat: "majority" }, "majority");
    assert.equal(again.output, site.expected("hold", { cat: "majority" }));
    placed.push(await site.placeHolds("healed", holdsPerPhase));
    await assertHoldsKept(placed);
    assertNeverReverts();
});

test("a control host that lost its disk becomes a voter again and knows the earlier holds", async () => {
    cluster.processes.signal("west-1", "SIGKILL");
    await site.until("west-1 has ended", () => !cluster.processes.isRunning("west-1"));
    rmSync(join(folder, "run", "data-west-1"), { recursive: true, force: true });
    placed.push(await site.placeHolds("lost", holdsPerPhase));
    cluster.startDaemon("west-1");
    await site.until("the host with the lost disk is a voter again", async () => {
        return await operate("east-1", ["control", "add", "west-1"]) === 0;
    });
    await site.untilReadiness("west-1", 200);
    cluster.processes.signal("east-1", "SIGKILL");
    placed.push(await site.placeHolds("second", holdsPerPhase));
    const kept = await site.call("west-1", "hold", { cat: "lost-0" }, "lost-0");
    assert.equal(kept.output, site.expected("hold", { cat: "lost-0" }));
    await assertHoldsKept(placed);
    assertNeverReverts();
});
