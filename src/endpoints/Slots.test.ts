/** Tests slot leasing between owner and holders: limits, lost messages, killed hosts, partitions, restarts, priority. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    countEnds,
    generateLoad,
    northHosts,
    settleMs,
    smallSettings,
    startSlotSite,
    writer,
} from "../../testing/SlotLoad.js";
import { type SiteHost, SlotSite } from "../../testing/SlotSite.js";
import type { HostId } from "../common/Types.js";

test("a cold endpoint gets one call at a time from all hosts, then warms up to its full limit", async () => {
    const site = await startSlotSite(smallSettings(4));
    const load = generateLoad(site.live, writer, 4, 100);
    await site.clock.advance(10_000);
    const endpoint = site.endpoint(writer);
    assert.equal(endpoint.overloads, 0);
    assert.equal(endpoint.maxInFlight, 8);
    assert.ok(countEnds(load.results, "succeeded") > 300, `${countEnds(load.results, "succeeded")} calls`);
    load.stop();
    site.stopAll();
});

test("hosts of another data centre share the same limit through the same owner", async () => {
    const site = await startSlotSite();
    const load = generateLoad(site.live, writer, 3, 100);
    await site.clock.advance(8000);
    assert.equal(site.endpoint(writer).overloads, 0);
    assert.equal(site.live.length, 4);
    for (const host of site.live) {
        assert.ok((host.holder.peek(writer)?.recentMs ?? 0) > 0, `${host.id} got slots`);
    }
    load.stop();
    site.stopAll();
});

const faultCases = [
    { name: "messages lost", faults: { loseRequest: 0.2, loseReply: 0.2 } },
    { name: "messages duplicated", faults: { doubleRequest: 0.5 } },
    { name: "messages delayed and reordered", faults: { maxDelayMs: 400 } },
    { name: "all three faults", faults: { loseRequest: 0.1, loseReply: 0.1, doubleRequest: 0.3, maxDelayMs: 200 } },
];

for (const { name, faults } of faultCases) {
    for (const seed of [11, 12, 13]) {
        test(`the limit holds with ${name}, seed ${seed}`, async () => {
            const site = new SlotSite({ settings: smallSettings(3), seed });
            site.startAll();
            await site.clock.advance(settleMs);
            Object.assign(site.network.faults, faults);
            const load = generateLoad(site.live, writer, 3, 80, seed);
            for (let round = 0; round < 6; round += 1) {
                await site.clock.advance(2500);
            }
            assert.equal(site.endpoint(writer).overloads, 0);
            assert.ok(countEnds(load.results, "succeeded") > 50, `${countEnds(load.results, "succeeded")} calls`);
            load.stop();
            site.stopAll();
        });
    }
}

test("when the owner is killed, holders keep using their slots, and the limit is not exceeded", async () => {
    const site = await startSlotSite(smallSettings(3));
    const load = generateLoad(site.live, writer, 4, 100);
    await site.clock.advance(6000);
    const owner = site.ownerOf(writer)!;
    site.kill(owner.id);
    const before = countEnds(load.results, "succeeded");
    await site.clock.advance(1500);
    assert.ok(countEnds(load.results, "succeeded") > before, "slots stay usable after the owner was killed");
    await site.clock.advance(6000);
    const resumed = countEnds(load.results, "succeeded");
    await site.clock.advance(2000);
    assert.ok(countEnds(load.results, "succeeded") > resumed + 50, "the new owner grants slots");
    assert.equal(site.endpoint(writer).overloads, 0);
    assert.notEqual(site.ownerOf(writer)!.id, owner.id);
    load.stop();
    site.stopAll();
});

test("the slots of a dead holder count until its calls must have ended", async () => {
    const site = await startSlotSite(smallSettings(2, { warmLimit: 6, coldLimit: 6, reportsLoad: false }));
    const owner = site.ownerOf(writer)!;
    const other = site.live.find(host => host !== owner)!;
    for (let index = 0; index < 4; index += 1) {
        void other.call(writer, 9000, 10_000);
    }
    await site.clock.advance(100);
    assert.equal(site.endpoint(writer).inFlight, 4);
    site.kill(other.id);
    const load = generateLoad([owner], writer, 6, 50);
    await site.clock.advance(8000);
    const { maxInFlight } = site.endpoint(writer);
    assert.ok(maxInFlight === 5 || maxInFlight === 6, `${maxInFlight} calls in flight`);
    await site.clock.advance(12_000);
    assert.equal(owner.owner.view()[0]?.used, 6, "all slots are free again once no call can still be running");
    load.stop();
    site.stopAll();
});

test("an endpoint's load report frees the slots of a dead holder", async () => {
    const site = await startSlotSite(smallSettings(2, { warmLimit: 4, coldLimit: 4 }));
    const owner = site.ownerOf(writer)!;
    const other = site.live.find(host => host !== owner)!;
    for (let index = 0; index < 4; index += 1) {
        void other.call(writer, 500, 60_000);
    }
    await site.clock.advance(100);
    site.kill(other.id);
    await site.clock.advance(7000);
    const result = await Promise.all([owner.call(writer, 10, 500), site.clock.advance(1000)]);
    assert.equal(result[0].end, "succeeded", "long before the 60 s that the calls could have lasted");
    site.stopAll();
});

test("a holder paused beyond its lease sends no call on its old slot", async () => {
    const site = await startSlotSite(smallSettings(2));
    const owner = site.ownerOf(writer)!;
    const other = site.live.find(host => host !== owner)!;
    const result = other.call(writer, 100, 10_000, 1, async () => {
        site.network.isolate(other.id);
        await site.clock.sleep(4000);
    });
    await site.clock.advance(6000);
    assert.equal((await result).end, "lease-lost");
    assert.equal(site.endpoint(writer).completed, 0);
    site.stopAll();
});

test("two hosts that can't reach each other divide a cold endpoint's single slot by static shares", async () => {
    const site = await startSlotSite(smallSettings(2, {}, true));
    site.network.cut("north-1" as HostId, "north-2" as HostId);
    const load = generateLoad(northHosts(site), writer, 3, 100);
    await site.clock.advance(15_000);
    const endpoint = site.endpoint(writer);
    assert.equal(endpoint.overloads, 0);
    assert.ok(endpoint.completed > 20, `${endpoint.completed} calls`);
    site.network.heal();
    await site.clock.advance(15_000);
    assert.equal(endpoint.overloads, 0);
    assert.ok(site.live.every(host => host.membership.view().certain));
    load.stop();
    site.stopAll();
});

test("after a one-way cut both hosts use their static shares", async () => {
    const site = await startSlotSite(smallSettings(2, {}, true));
    const load = generateLoad(northHosts(site), writer, 4, 100);
    await site.clock.advance(5000);
    site.network.cutOneWay("north-1" as HostId, "north-2" as HostId);
    await site.clock.advance(6000);
    const ownerships = northHosts(site).map(host => host.authority.ownership(writer).key);
    assert.deepEqual(ownerships, ["static", "static"]);
    assert.equal(site.endpoint(writer).overloads, 0);
    load.stop();
    site.stopAll();
});

test("an endpoint that restarts during a lease starts cold again and is not overloaded", async () => {
    const site = await startSlotSite(smallSettings(3));
    const load = generateLoad(site.live, writer, 4, 100);
    await site.clock.advance(6000);
    const endpoint = site.endpoint(writer);
    endpoint.refusesConnections = true;
    endpoint.restart();
    await site.clock.advance(400);
    endpoint.refusesConnections = false;
    await site.clock.advance(8000);
    assert.equal(endpoint.overloads, 0);
    assert.equal(endpoint.maxInFlight, 8);
    load.stop();
    site.stopAll();
});

test("a stopping owner hands over its endpoints, and calls continue without a gap", async () => {
    const site = await startSlotSite(smallSettings(3));
    const load = generateLoad(site.live, writer, 4, 100);
    await site.clock.advance(6000);
    const owner = site.ownerOf(writer)!;
    const drained = owner.owner.drain(5000);
    await site.clock.advance(1000);
    assert.deepEqual(await drained, { unfinished: 0, what: "endpoints not handed over" });
    const before = site.endpoint(writer).completed;
    await site.clock.advance(1000);
    assert.ok(site.endpoint(writer).completed > before + 40, "the next owner continues at once with the same limit");
    assert.equal(site.endpoint(writer).overloads, 0);
    load.stop();
    site.stopAll();
});

test("scarce slots are granted by priority, then by deadline", async () => {
    const site = await startSlotSite(smallSettings(3, { warmLimit: 1 }));
    const owner = site.ownerOf(writer)!;
    const order: string[] = [];
    const callAs = (host: SiteHost, name: string, patienceMs: number, priority: 0 | 1 | 2) =>
        host.call(writer, 50, patienceMs, priority).then(result => order.push(`${name} ${result.end}`));
    const [first, second, third] = site.live as [SiteHost, SiteHost, SiteHost];
    const running = owner.call(writer, 300, 5000, 2);
    await site.clock.advance(100);
    const waiting = [
        callAs(first, "overnight", 4000, 2),
        callAs(second, "later", 4000, 0),
        callAs(third, "sooner", 3000, 0),
    ];
    await site.clock.advance(3000);
    await Promise.all([running, ...waiting]);
    assert.deepEqual(order, ["sooner succeeded", "later succeeded", "overnight succeeded"]);
    site.stopAll();
});

test("an endpoint that restarts without refusing connections gets at most three calls too many, and warms up again", async () => {
    const site = await startSlotSite(smallSettings(3));
    const load = generateLoad(site.live, writer, 4, 100);
    await site.clock.advance(8000);
    const endpoint = site.endpoint(writer);
    endpoint.restart();
    await site.clock.advance(8000);
    assert.ok(endpoint.overloads <= 3, `${endpoint.overloads} calls`);
    assert.equal(endpoint.bearable, 8);
    load.stop();
    site.stopAll();
});

test("an exclusive slot excludes all other calls, which continue after it", async () => {
    const site = await startSlotSite(smallSettings(3));
    const load = generateLoad(site.live, writer, 4, 100);
    await site.clock.advance(6000);
    const endpoint = site.endpoint(writer);
    const host = site.live.find(one => one !== site.ownerOf(writer))!;
    let inFlightAtBegin = -1;
    const exclusive = host.holder.acquire(writer, {
        priority: 1,
        deadlineMs: host.clock.nowMs() + 5000,
        exclusive: true,
    })
        .then(async acquired => {
            const slot = acquired.unsafeCoerce();
            assert.equal(slot.exclusive, true);
            assert.equal(slot.begin(), true);
            inFlightAtBegin = endpoint.inFlight;
            const before = endpoint.completed;
            await site.clock.sleep(500);
            assert.equal(endpoint.completed, before, "no other call ran during the exclusive call");
            slot.release("succeeded");
        });
    await site.clock.advance(2000);
    await exclusive;
    assert.equal(inFlightAtBegin, 0);
    const before = endpoint.completed;
    await site.clock.advance(1000);
    assert.ok(endpoint.completed > before + 40, `${endpoint.completed - before} calls in a second`);
    load.stop();
    site.stopAll();
});

test("with an owner epoch, connected hosts grant all but the static share of the host cut off", async () => {
    const site = new SlotSite({ settings: smallSettings(4, {}, true), withEpochs: true });
    site.startAll();
    await site.clock.advance(settleMs);
    const load = generateLoad(northHosts(site), writer, 4, 100);
    await site.clock.advance(6000);
    for (const other of ["north-1", "north-2", "north-3"]) {
        site.network.cut("north-4" as HostId, other as HostId);
    }
    site.leases!.cutOff.add("north-4" as HostId);
    await site.clock.advance(12_000);
    const inside = northHosts(site).filter(host => host.id !== "north-4");
    const owners = new Set(inside.map(host => host.authority.ownership(writer).owner));
    assert.equal(owners.size, 1, "one owner among the hosts that reach each other");
    const owner = inside.find(host => owners.has(host.id))!;
    assert.equal(owner.owner.view()[0]?.limit, 6, "8 less the static share of 2 of the host that is cut off");
    assert.equal(site.host("north-4").owner.view()[0]?.limit, 2);
    assert.equal(site.endpoint(writer).overloads, 0);
    assert.equal(site.endpoint(writer).maxInFlight, 8);
    site.network.heal();
    site.leases!.cutOff.clear();
    await site.clock.advance(10_000);
    assert.equal(site.ownerOf(writer)!.owner.view()[0]?.limit, 8);
    assert.equal(site.endpoint(writer).overloads, 0);
    load.stop();
    site.stopAll();
});

test("without the config group each host keeps to its static share", async () => {
    const site = new SlotSite({ settings: smallSettings(4, {}, true), withEpochs: true });
    site.startAll();
    await site.clock.advance(settleMs);
    const load = generateLoad(northHosts(site), writer, 4, 100);
    site.live.forEach(host => site.leases!.cutOff.add(host.id));
    for (const other of ["north-1", "north-2", "north-3"]) {
        site.network.cut("north-4" as HostId, other as HostId);
    }
    await site.clock.advance(12_000);
    assert.deepEqual(northHosts(site).map(host => host.owner.view()[0]?.limit), [2, 2, 2, 2]);
    assert.equal(site.endpoint(writer).overloads, 0);
    load.stop();
    site.stopAll();
});
