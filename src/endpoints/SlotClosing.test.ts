/** Tests that calls stop in time when an endpoint is closed, also from hosts that are cut off from its owner. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { countEnds, generateLoad, smallSettings, startSlotSite, writer } from "../../testing/SlotLoad.js";
import { testView } from "../../testing/TestSettings.js";

const closings = [
    {
        name: "its data centre is taken out",
        view: { outDataCentres: new Set(["north"]) as never },
        state: "out",
    },
    { name: "an operator marks it as leaving", view: { leavingEndpoints: new Set([writer]) }, state: "leaving" },
];

for (const { name, view, state } of closings) {
    test(`no new call is sent later than one lease after ${name}, even by a host unaware of it`, async () => {
        const site = await startSlotSite(smallSettings(3));
        const load = generateLoad(site.live, writer, 4, 100);
        await site.clock.advance(5000);
        const owner = site.ownerOf(writer)!;
        owner.config.set({ ...testView(site.settings, 2), ...view });
        const atMs = site.clock.nowMs();
        await site.clock.advance(6000);
        const lateMs = site.endpoint(writer).lastCallAtMs - atMs;
        assert.ok(lateMs <= 2100, `the last call came ${lateMs} ms after the closing`);
        const other = site.live.find(host => host !== owner)!;
        assert.equal(other.holder.peek(writer)?.state, state);
        assert.ok(countEnds(load.results, "closed") > 0);
        load.stop();
        site.stopAll();
    });
}

test("a host cut off from the owner before the endpoint is closed stops within its lease", async () => {
    const site = await startSlotSite(smallSettings(3));
    const load = generateLoad(site.live, writer, 4, 100);
    await site.clock.advance(5000);
    const owner = site.ownerOf(writer)!;
    const other = site.live.find(host => host !== owner)!;
    site.network.isolate(other.id);
    const atMs = site.clock.nowMs();
    for (const host of site.live.filter(one => one !== other)) {
        host.config.set({ ...testView(site.settings, 2), leavingEndpoints: new Set([writer]) });
    }
    await site.clock.advance(3000);
    const last = site.endpoint(writer).lastCallAtMs - atMs;
    assert.ok(last <= 2100, `the last call came ${last} ms after the closing`);
    load.stop();
    site.stopAll();
});

test("a host that reaches no other host soon stops sending, with other data centres or without", async () => {
    for (const withSouth of [false, true]) {
        const site = await startSlotSite(smallSettings(2, {}, withSouth));
        const owner = site.ownerOf(writer)!;
        const load = generateLoad([owner], writer, 4, 100);
        await site.clock.advance(5000);
        site.network.isolate(owner.id);
        const atMs = site.clock.nowMs();
        await site.clock.advance(15_000);
        const last = site.endpoint(writer).lastCallAtMs - atMs;
        assert.ok(last <= 8000, `the last call came ${last} ms after the isolation`);
        load.stop();
        site.stopAll();
    }
});

test("an endpoint that restarted while its data centre was out is used again after it without being overloaded", async () => {
    const site = await startSlotSite(smallSettings(3));
    const load = generateLoad(site.live, writer, 4, 100);
    await site.clock.advance(6000);
    const setOut = (out: readonly string[], version: number) =>
        site.live.forEach(host =>
            host.config.set({ ...testView(site.settings, version), outDataCentres: new Set(out) as never })
        );
    setOut(["north"], 2);
    await site.clock.advance(5000);
    const endpoint = site.endpoint(writer);
    assert.equal(site.live[0]!.table.get(writer)?.state, "out");
    endpoint.restart();
    await site.clock.advance(100);
    setOut([], 3);
    await site.clock.advance(2500);
    assert.deepEqual(
        site.live.filter(host => host.table.inPool("writer").length === 0),
        [],
        "in the pool of every host again",
    );
    await site.clock.advance(4000);
    assert.equal(endpoint.overloads, 0);
    assert.equal(endpoint.bearable, 8);
    load.stop();
    site.stopAll();
});
