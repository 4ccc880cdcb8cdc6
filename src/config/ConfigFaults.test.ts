/**
 * Checks the config group under crashes, restarts, partitions and lost messages: no accepted change is lost or
 * applied twice, and the version in force never decreases on a host.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigCluster, type ControlHost, putDocument, wordChecker } from "../../testing/ConfigCluster.js";
import type { FakeDisk } from "../../testing/FakeDisk.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { ChangeId, DataCentreId, HostId } from "../common/Types.js";
import { RemoteLog } from "../replication/RemoteLog.js";
import { EventId } from "../telemetry/Events.js";
import { ConfigOperations } from "./ConfigOperations.js";
import type { ConfigWriter } from "./Types.js";

const sites = { n1: "north", s1: "south", e1: "east" } as const;
type ControlName = keyof typeof sites;
const controlNames = Object.keys(sites) as ControlName[];
const compaction = { compactEntries: 100, keepEntries: 20 };

function startControl(cluster: ConfigCluster, name: ControlName, disk?: FakeDisk): ControlHost {
    return cluster.startControl(name, sites[name], { base: "one" }, disk, compaction);
}

async function startCluster(seed: number = 1): Promise<ConfigCluster> {
    const cluster = new ConfigCluster(seed, controlNames);
    controlNames.forEach(name => startControl(cluster, name));
    assert.ok(await cluster.until(() => [...cluster.controls.values()].every(host => host.config.current())));
    return cluster;
}

async function commitNextText(cluster: ConfigCluster, writer: ConfigWriter, baseVersion: number): Promise<void> {
    const change = putDocument(`c${baseVersion}`, "base", baseVersion, `text ${baseVersion + 1}`);
    const result = await cluster.settle(writer.change(change, 5000));
    assert.equal(result.unsafeCoerce().kind, "accepted");
}

test("a resent change gets its original result, through another host and after a snapshot", async () => {
    const cluster = await startCluster();
    const client = cluster.startClient("n2", "north");
    const leader = cluster.leader()!;
    const change = putDocument("lost", "base", 1, "two");
    controlNames.forEach(name => cluster.network.cutOneWay(name as string as HostId, client.id));
    const lost = await cluster.settle(client.config.change(change, 2000));
    assert.equal(lost.swap().unsafeCoerce().kind, "unknown");
    cluster.network.heal();
    for (let version = 2; version < 150; version++) {
        await commitNextText(cluster, leader.config, version);
    }
    assert.ok(leader.raft.status().snapshotIndex >= 100);
    const others = controlNames.filter(name => name !== (leader.id as string));
    others.forEach(name => startControl(cluster, name, cluster.crash(name)));
    for (const writer of [client.config, cluster.controls.get(others[0]!)!.config]) {
        const again = await cluster.settle(writer.change(change, 5000));
        assert.deepEqual(again.extract(), { kind: "accepted", version: 2, documentVersion: 2 });
    }
    const reused = await cluster.settle(client.config.change(putDocument("lost", "base", 150, "other"), 3000));
    assert.equal(reused.swap().unsafeCoerce().kind, "not-accepted");
    await cluster.stopAll();
});

test("a restart of one host, and then of all, after 500 changes reverts none of them", async () => {
    const cluster = await startCluster();
    for (let version = 1; version <= 500; version++) {
        await commitNextText(cluster, cluster.leader()!.config, version);
    }
    const version = cluster.leader()!.config.current()!.version;
    const restarted = startControl(cluster, "s1", cluster.crash("s1"));
    assert.ok(await cluster.until(() => restarted.config.current()?.version === version, 2000));
    const disks = controlNames.map(name => [name, cluster.crash(name)] as const);
    const back = disks.map(([name, disk]) => startControl(cluster, name, disk));
    await cluster.clock.advance(50);
    assert.deepEqual(back.map(host => host.config.current()?.version), [version, version, version]);
    assert.ok(await cluster.until(() => cluster.leader() !== undefined));
    await commitNextText(cluster, cluster.leader()!.config, 501);
    await cluster.stopAll();
});

test("a host that crashes while writing a snapshot restarts with every accepted change", async () => {
    const cluster = await startCluster();
    let version = 1;
    for (const stopAt of ["write", "sync", "rename", "syncDir", "remove"]) {
        const host = cluster.leader()!;
        let hasCrashed = false;
        host.disk.gate = (operation, path) => {
            hasCrashed ||= operation === stopAt && (path.includes("snapshot") || operation === "syncDir");
            return !hasCrashed;
        };
        let last = putDocument("none", "base", 0, "");
        while (!hasCrashed && version < 1000) {
            last = putDocument(`c${version}`, "base", version, `text ${version + 1}`);
            void host.config.change(last, 1000);
            await cluster.clock.advance(60);
            version += 1;
        }
        assert.ok(hasCrashed);
        const name = host.id as string as ControlName;
        startControl(cluster, name, cluster.crash(name));
        assert.ok(await cluster.until(() => cluster.leader() !== undefined));
        const again = await cluster.settle(cluster.leader()!.config.change(last, 5000));
        assert.equal(again.unsafeCoerce().kind, "accepted");
        await cluster.clock.advance(2000);
        const texts = [...cluster.controls.values()].map(one => one.state.committed().documents["base"]!.text);
        assert.deepEqual(texts, [`text ${version}`, `text ${version}`, `text ${version}`], `crashed at ${stopAt}`);
    }
    await cluster.stopAll();
});

test("a partitioned data centre keeps its version, and gets the newest soon after the partition heals", async () => {
    const cluster = await startCluster();
    const client = cluster.startClient("e2", "east", ["e3"]);
    const far = cluster.startClient("n2", "north");
    assert.ok(await cluster.until(() => client.config.current() !== undefined && far.config.current() !== undefined));
    const inside = ["e1", "e2"] as HostId[];
    const outside = ["n1", "s1", "n2"] as HostId[];
    inside.forEach(a => outside.forEach(b => cluster.network.cut(a, b)));
    await cluster.clock.advance(3000);
    const refused = await cluster.settle(client.config.change(putDocument("no", "base", 1, "cut off"), 2000));
    assert.equal(refused.isLeft(), true);
    assert.ok(await cluster.until(() => cluster.leader() !== undefined && cluster.leader()!.id !== inside[0]));
    await commitNextText(cluster, cluster.leader()!.config, 1);
    const version = cluster.leader()!.config.current()!.version;
    assert.ok(await cluster.until(() => far.config.current()?.version === version, 3000));
    const restarted = startControl(cluster, "e1", cluster.crash("e1"));
    inside.forEach(a => outside.forEach(b => cluster.network.cut(a, b)));
    const late = cluster.startClient("e3", "east", ["e2"]);
    outside.forEach(b => cluster.network.cut(late.id, b));
    assert.ok(
        await cluster.until(() => late.config.current() !== undefined, 10_000),
        "a host that starts in a partitioned data centre has a configuration",
    );
    assert.equal(late.config.current()!.version, version - 1);
    assert.equal(restarted.config.current()!.version, version - 1);
    cluster.network.heal();
    const isBack = () => [client, late].every(host => host.config.current()!.version === version);
    assert.ok(await cluster.until(isBack, 10_000));
    await cluster.stopAll();
});

for (const seed of [1, 2, 3, 4, 5, 6]) {
    test(`versions never decrease on any host under random faults, seed ${seed}`, async () => {
        const cluster = await startCluster(seed);
        const random = new SeededRandom(seed);
        const highest = new Map<string, number>();
        ["n2", "s2", "e2"].forEach((name, at) =>
            cluster.startClient(name, Object.values(sites)[at]!, ["n2", "s2", "e2"])
        );
        Object.assign(cluster.network.faults, { maxDelayMs: 30, loseRequest: 0.05, loseReply: 0.05 });
        let accepted = 0;
        for (let step = 0; step < 80; step++) {
            const writers = [...cluster.controls.values(), ...cluster.clients.values()];
            const writer = writers[random.below(writers.length)]!.config;
            const out = random.below(2) === 0;
            const dataCentre = "south" as DataCentreId;
            const change = { kind: "set-data-centre", id: `c${step}` as ChangeId, dataCentre, out } as const;
            void writer.change(change, 2000).then(result => accepted += result.isRight() ? 1 : 0);
            const name = controlNames[random.below(3)]!;
            switch (random.below(8)) {
                case 0:
                    startControl(cluster, name, cluster.crash(name));
                    break;
                case 1:
                    cluster.network.isolate(name as string as HostId);
                    break;
                case 2:
                case 3:
                    cluster.network.heal();
                    break;
            }
            await cluster.clock.advance(random.below(800));
            for (const host of [...cluster.controls.values(), ...cluster.clients.values()]) {
                const version = host.config.current()?.version ?? 0;
                assert.ok(version === 0 || version >= (highest.get(host.id) ?? 0), `${host.id} decreased its version`);
                highest.set(host.id, Math.max(version, highest.get(host.id) ?? 0));
            }
        }
        cluster.network.heal();
        Object.assign(cluster.network.faults, { loseRequest: 0, loseReply: 0 });
        assert.ok(await cluster.until(() => cluster.leader() !== undefined));
        await cluster.clock.advance(5000);
        const hosts = [...cluster.controls.values(), ...cluster.clients.values()];
        const versions = new Set(hosts.map(host => host.config.current()!.version));
        assert.equal(versions.size, 1, "all hosts have the same version in the end");
        assert.ok([...versions][0]! >= accepted && accepted > 5, `${accepted} accepted`);
        await cluster.stopAll();
    });
}

test("operators see whether a quorum is missing, and whether a change is in force on all live hosts", async () => {
    const cluster = await startCluster();
    const client = cluster.startClient("n2", "north");
    assert.ok(await cluster.until(() => client.config.current() !== undefined));
    const hosts = () => controlNames as string[] as HostId[];
    const transport = cluster.network.addHost("z" as HostId);
    const random = new SeededRandom(9);
    const options = { group: "config", self: "z" as HostId, hosts, transport, clock: cluster.clock, random };
    const groups = [new RemoteLog(options)];
    const operations = new ConfigOperations({
        config: client.config,
        groups,
        checker: wordChecker,
        clock: cluster.clock,
    });
    const change = putDocument("c1", "base", 1, "two");
    const report = await cluster.settle(operations.change(change, 3000));
    assert.ok(report.outcome === "accepted" && report.inForce?.everywhere === true, JSON.stringify(report));
    const status = await cluster.settle(operations.status());
    assert.deepEqual(status.hosts.map(host => [host.host, host.state]), [
        ["e1", "in force"],
        ["n1", "in force"],
        ["n2", "in force"],
        ["s1", "in force"],
    ]);
    const shown = await cluster.settle(operations.show("north"));
    assert.equal(shown.outcome === "read" && shown.settings?.name, "two+");
    assert.equal((await cluster.settle(operations.controlStatus()))[0]!.hosts.length, 3);
    cluster.crash("s1");
    cluster.crash("e1");
    await cluster.clock.advance(3000);
    const refused = await cluster.settle(operations.change(putDocument("c2", "base", 2, "three")));
    assert.ok(refused.outcome === "not-accepted", JSON.stringify(refused));
    assert.match(refused.advice, /was not accepted/);
    assert.equal((await cluster.settle(operations.show())).outcome, "no-quorum");
    await cluster.stopAll();
});

test("a file that differs from the committed document is logged and changes nothing", async () => {
    const cluster = await startCluster();
    await commitNextText(cluster, cluster.leader()!.config, 1);
    cluster.log.events.length = 0;
    startControl(cluster, "n1", cluster.crash("n1"));
    assert.ok(await cluster.until(() => cluster.log.events.some(event => event.id === EventId.ConfigFileDiffers)));
    assert.equal(cluster.leader()!.state.committed().documents["base"]!.text, "text 2");
    await cluster.stopAll();
});
