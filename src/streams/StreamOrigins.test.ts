/**
 * Checks that hosts find where a stream began after the host that began it and others have ended, and what that costs.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import { entryHosts, FixedFleet, noMetrics, serviceId, silentLog } from "../../testing/FleetFixtures.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { HostId } from "../common/Types.js";
import { type OriginSearch, StreamOrigins } from "./StreamOrigins.js";

const origin = { service: serviceId("s"), version: "v1" };

class Site {
    public readonly clock = new FakeClock();
    public readonly network = new FakeNetwork(this.clock);
    public readonly hosts: StreamOrigins[] = [];
    public readonly fleets: FixedFleet[] = [];

    /** `known` hosts are on every host's list at first. */
    public constructor(count: number, private readonly known: number = count) {
        this.network.faults.minDelayMs = 0.5;
        this.network.faults.maxDelayMs = 2;
        for (let at = 0; at < count; at++) {
            this.fleets.push(new FixedFleet());
            this.fleets[at]!.set({ hosts: entryHosts(this.known) });
            this.start(at);
        }
    }

    public id(at: number): HostId {
        return entryHosts(at + 1)[at]!.host;
    }

    /** Starts a host's process, with nothing remembered. */
    public start(at: number): void {
        const peers = this.network.addHost(this.id(at));
        this.hosts[at] = new StreamOrigins({
            self: this.id(at),
            fleet: this.fleets[at]!,
            transport: peers,
            registry: peers,
            clock: this.clock,
            log: silentLog,
            metrics: noMetrics,
        });
    }

    public async find(at: number, key: string): Promise<OriginSearch> {
        const search = this.hosts[at]!.find(key);
        await this.clock.advance(500);
        return search;
    }
}

interface Case {
    readonly name: string;
    /** Happens after host 0 has recorded a stream; host 7 then looks for it. */
    readonly disturb: (site: Site) => void;
}

const cases: readonly Case[] = [
    { name: "nothing happened", disturb: () => undefined },
    { name: "its host has been killed", disturb: site => site.network.kill(site.id(0)) },
    {
        name: "its host and two others have been killed",
        disturb: site => [0, 1, 2].forEach(at => site.network.kill(site.id(at))),
    },
    {
        name: "its host and two others have been started anew",
        disturb: site => [0, 3, 4].forEach(at => site.start(at)),
    },
    {
        name: "its host and two others are cut off",
        disturb: site => [0, 5, 6].forEach(at => site.network.isolate(site.id(at))),
    },
    {
        name: "its host is gone from the list of the one that looks for it",
        disturb: site => {
            site.network.kill(site.id(0));
            site.fleets[7]!.set({ hosts: entryHosts(8).map((one, at) => ({ ...one, isLive: at !== 0 })) });
        },
    },
    {
        name: "a host has joined",
        disturb: site => site.fleets[7]!.set({ hosts: entryHosts(9) }),
    },
];
for (const { name, disturb } of cases) {
    test(`a stream that a host began is known to another one: ${name}`, async () => {
        const site = new Site(9, 8);
        const keys = Array.from({ length: 60 }, (_, at) => `w/r${at}`);
        keys.forEach(key => site.hosts[0]!.record(key, origin, 1));
        await site.clock.advance(30);
        disturb(site);
        for (const key of keys) {
            const search = await site.find(7, key);
            assert.equal(search.kind === "found" ? search.origin.version : search.kind, "v1", key);
        }
    });
}

test("the first host that knows a stream decides, without waiting for silent ones", async () => {
    const site = new Site(8);
    site.hosts[0]!.record("w/r", origin, 1);
    await site.clock.advance(30);
    [0, 1].forEach(at => site.network.isolate(site.id(at)));
    let found: OriginSearch | undefined;
    void site.hosts[7]!.find("w/r").then(one => found = one);
    await site.clock.advance(10);
    assert.equal(found?.kind, "found");
});

test("a stream that nobody began is unknown, and hosts that did not reply are counted", async () => {
    const site = new Site(8);
    assert.deepEqual(await site.find(7, "w/r"), { kind: "unknown", asked: 5, silent: 0 });
    site.hosts.slice(0, 7).forEach((_, at) => site.network.isolate(site.id(at)));
    assert.deepEqual(await site.find(7, "w/r"), { kind: "unknown", asked: 5, silent: 5 });
});

test("a later attempt replaces an earlier one, in whatever order hosts hear of them", async () => {
    const site = new Site(8);
    site.hosts[0]!.record("w/r", { ...origin, version: "v2" }, 2);
    await site.clock.advance(30);
    site.hosts[0]!.record("w/r", origin, 1);
    await site.clock.advance(30);
    const search = await site.find(7, "w/r");
    assert.equal(search.kind === "found" ? search.origin.version : search.kind, "v2");
});

test("equal versions of two services are told apart", async () => {
    const site = new Site(8);
    site.hosts[0]!.record("w/r", { service: serviceId("other"), version: "v1" }, 1);
    await site.clock.advance(30);
    const search = await site.find(7, "w/r");
    assert.equal(search.kind === "found" ? search.origin.service : search.kind, "other");
});

test("streams are forgotten after two minutes", async () => {
    const site = new Site(8);
    site.hosts[0]!.record("w/r", origin, 1);
    await site.clock.advance(120_100);
    assert.equal((await site.find(7, "w/r")).kind, "unknown");
});

test("500 streams a second over 195 hosts cost each host less than eight messages a second", async () => {
    const count = 195;
    const seconds = 4;
    const site = new Site(count);
    const random = new SeededRandom(1);
    for (let at = 0; at < 500 * seconds; at++) {
        site.hosts[random.below(count)]!.record(`w/r${at}`, origin, 1);
        await site.clock.advance(2);
    }
    await site.clock.advance(30);
    const messages = site.network.delivered.get("streams.record") ?? 0;
    assert.ok(messages / seconds / count < 8, `${messages / seconds / count} messages a second for each host`);
    const chars = site.network.chars.get("streams.record") ?? 0;
    assert.ok(chars / messages < 200, `${chars / messages} characters a message`);
});
