/** Checks the config group without faults: seeding, changes, conflicts, data centres out of service and leases. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigCluster, putDocument } from "../../testing/ConfigCluster.js";
import type { ChangeId, DataCentreId } from "../common/Types.js";

/** Three control hosts in three data centres, seeded and with a leader. */
async function startSeededCluster(seed: number = 1): Promise<ConfigCluster> {
    const cluster = new ConfigCluster(seed, ["n1", "s1", "e1"]);
    cluster.startControl("n1", "north", { base: "one", north: "cold" });
    cluster.startControl("s1", "south", { base: "one", south: "warm" });
    cluster.startControl("e1", "east", { base: "one" });
    const isSeeded = () =>
        [...cluster.controls.values()].every(host => Object.keys(host.state.committed().documents).length === 3);
    assert.ok(await cluster.until(isSeeded));
    return cluster;
}

test("the files of the control hosts seed the group, and each site has its own view", async () => {
    const cluster = await startSeededCluster();
    const names = [...cluster.controls.values()].map(host => host.config.current()?.settings.name);
    assert.deepEqual(names, ["one+cold", "one+warm", "one+"]);
    await cluster.stopAll();
});

test("a change comes into force on every host, and resending it returns its original result", async () => {
    const cluster = await startSeededCluster();
    const client = cluster.startClient("n2", "north");
    assert.ok(await cluster.until(() => client.config.current() !== undefined));
    const before = client.config.current()!.version;
    const change = putDocument("c1", "base", 1, "two");
    const first = await cluster.settle(client.config.change(change, 3000));
    assert.deepEqual(first.extract(), { kind: "accepted", version: before + 1, documentVersion: 2 });
    assert.ok(await cluster.until(() => client.config.current()?.version === before + 1, 1000));
    assert.equal(client.config.current()?.settings.name, "two+cold");
    const again = await cluster.settle(cluster.controls.get("s1")!.config.change(change, 3000));
    assert.deepEqual(again.extract(), first.extract());
    await cluster.stopAll();
});

test("of two changes with the same base version one is accepted, and the conflict names the winner", async () => {
    const cluster = await startSeededCluster();
    const [one, two] = ["n1", "s1"].map(name => cluster.controls.get(name)!.config);
    const results = await cluster.settle(Promise.all([
        one!.change(putDocument("c1", "base", 1, "mine"), 3000),
        two!.change(putDocument("c2", "base", 1, "yours"), 3000),
    ]));
    const kinds = results.map(result => result.unsafeCoerce().kind).sort();
    assert.deepEqual(kinds, ["accepted", "conflict"]);
    const conflict = results.map(result => result.unsafeCoerce()).find(result => result.kind === "conflict");
    const held = cluster.leader()!.state.committed().documents["base"]!;
    assert.deepEqual(conflict, {
        kind: "conflict",
        documentVersion: 2,
        winner: { id: held.changeId, text: held.text },
    });
    await cluster.stopAll();
});

test("every site's merged result is checked before a change is accepted", async () => {
    const cluster = await startSeededCluster();
    const config = cluster.controls.get("e1")!.config;
    const refused = await cluster.settle(config.change(putDocument("c1", "south", 1, "bad"), 3000));
    assert.equal(refused.unsafeCoerce().kind, "invalid");
    const results = await cluster.settle(Promise.all([
        config.change(putDocument("c2", "south", 1, "alone"), 3000),
        cluster.controls.get("n1")!.config.change(putDocument("c3", "base", 1, "alone"), 3000),
    ]));
    const kinds = results.map(result => result.unsafeCoerce().kind).sort();
    assert.deepEqual(kinds, ["accepted", "invalid"], "two conflicting changes are not both accepted");
    await cluster.stopAll();
});

test("a data centre can be taken out of service and brought back", async () => {
    const cluster = await startSeededCluster();
    const config = cluster.controls.get("n1")!.config;
    const change = { kind: "set-data-centre", dataCentre: "south" as DataCentreId } as const;
    await cluster.settle(config.change({ ...change, id: "o1" as ChangeId, out: true }, 3000));
    assert.ok(await cluster.until(() => config.current()!.outDataCentres.has("south" as DataCentreId), 1000));
    await cluster.settle(config.change({ ...change, id: "o2" as ChangeId, out: false }, 3000));
    assert.ok(await cluster.until(() => config.current()!.outDataCentres.size === 0, 1000));
    await cluster.stopAll();
});

test("a lease keeps its epoch while renewed, and goes to another holder only after it has expired", async () => {
    const cluster = await startSeededCluster();
    const [one, two] = [cluster.startClient("n2", "north").config, cluster.startClient("s2", "south").config];
    const first = (await cluster.settle(one.acquire("orders/north", 2000, 1000))).unsafeCoerce();
    await cluster.clock.advance(1000);
    const renewed = (await cluster.settle(one.acquire("orders/north", 2000, 1000))).unsafeCoerce();
    assert.equal(renewed.epoch, first.epoch);
    const refused = await cluster.settle(two.acquire("orders/north", 2000, 1000));
    assert.equal(refused.isLeft(), true);
    await cluster.clock.advance(2100);
    const taken = (await cluster.settle(two.acquire("orders/north", 2000, 1000))).unsafeCoerce();
    assert.ok(taken.epoch > first.epoch);
    await cluster.stopAll();
});
