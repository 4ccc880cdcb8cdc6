/** Checks a replicated group under faults: crashes, partitions, failing disks, lost messages and clock jumps. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { DiskOperation, FakeDisk } from "../../testing/FakeDisk.js";
import { assertAgreement, type Cluster, startThreeHosts, write } from "../../testing/ListCluster.js";
import type { ListMachine } from "../../testing/RaftCluster.js";
import { type ClusterHost, RaftCluster, testTiming } from "../../testing/RaftCluster.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { Clock } from "../common/Types.js";
import type { HostId } from "../common/Types.js";
import { RemoteLog } from "./RemoteLog.js";
import type { Json, StateMachine } from "./Types.js";

/** Counts the commands without keeping them, so that its snapshots stay small. */
class CountMachine implements StateMachine {
    public count = 0;

    public apply(): number {
        this.count += 1;
        return this.count;
    }

    public snapshot(): number {
        return this.count;
    }

    public restore(snapshot: Json): void {
        this.count = snapshot as number;
    }
}

/** Makes a disk hang permanently at the next operation of a kind. */
function stopBefore(disk: FakeDisk, operation: DiskOperation): void {
    disk.gate = next => next !== operation;
}

const crashPoints: readonly {
    readonly at: string;
    readonly prepare: (cluster: Cluster, leader: ClusterHost<ListMachine>) => void;
}[] = [
    { at: "before the write", prepare: (_, leader) => stopBefore(leader.disk, "append") },
    { at: "between write and sync", prepare: (_, leader) => stopBefore(leader.disk, "sync") },
    { at: "before anything is sent", prepare: (cluster, leader) => cluster.network.isolate(leader.id) },
    {
        at: "between sending and commit",
        prepare: (cluster, leader) =>
            cluster.followersOf(leader).forEach(host => cluster.network.cutOneWay(host.id, leader.id)),
    },
    { at: "after the commit", prepare: () => undefined },
];

for (const { at, prepare } of crashPoints) {
    for (const through of ["leader", "follower"] as const) {
        test(`the leader crashes ${at}, with a proposal through the ${through}`, async () => {
            const cluster = await startThreeHosts();
            const leader = await cluster.leader();
            const proposer = through === "leader" ? leader : cluster.followersOf(leader)[0]!;
            prepare(cluster, leader);
            const answer = proposer.raft.propose("item", 1500);
            await cluster.clock.advance(200);
            cluster.crash(leader.id, { kind: "keep", bytes: 20, zeros: false });
            cluster.network.heal();
            const result = through === "leader" ? undefined : await cluster.settle(answer);
            await cluster.leader();
            cluster.start(leader.id, leader.disk.crash());
            await write(cluster, "last");
            const items = await assertAgreement(cluster);
            const isApplied = items.includes("item");
            const end = result?.caseOf({ Left: error => error.kind, Right: () => "committed" });
            assert.ok(end !== "committed" || isApplied, "an acknowledged entry is applied");
            assert.ok(end !== "not-accepted" || !isApplied, "an entry reported as not accepted is not applied");
            assert.deepEqual([items[0], items.at(-1)], ["first", "last"]);
            await cluster.stopAll();
        });
    }
}

test("a partitioned leader stops answering reads, steps down, and returns without disturbing the group", async () => {
    const cluster = await startThreeHosts();
    const old = await cluster.leader();
    cluster.network.isolate(old.id);
    await cluster.clock.advance(testTiming.electionMs);
    const read = await cluster.settle(old.raft.readBarrier(500));
    assert.equal(read.isLeft(), true);
    await cluster.clock.advance(1000);
    assert.notEqual(old.raft.status().role, "leader");
    const next = await cluster.leader();
    const term = next.raft.status().term;
    await cluster.clock.advance(600_000);
    await write(cluster, "second");
    assert.equal(old.raft.status().term < term, true, "a partitioned host does not raise its term");
    cluster.network.heal();
    await cluster.clock.advance(10_000);
    assert.equal((await cluster.leader()).raft.status().term, term, "its return does not depose the leader");
    assert.deepEqual(await assertAgreement(cluster), ["first", "second"]);
    await cluster.stopAll();
});

test("a leader that can receive but not send steps down", async () => {
    const cluster = await startThreeHosts();
    const old = await cluster.leader();
    cluster.followersOf(old).forEach(host => cluster.network.cutOneWay(old.id, host.id));
    await cluster.clock.advance(5000);
    assert.notEqual((await cluster.leader()).id, old.id);
    await write(cluster, "second");
    await cluster.stopAll();
});

const diskFaults = [
    { name: "a full disk", set: (disk: FakeDisk, isOn: boolean) => disk.isFull = isOn },
    { name: "a failing sync", set: (disk: FakeDisk, isOn: boolean) => disk.failSync = isOn },
];

for (const { name, set } of diskFaults) {
    test(`${name} makes the leader step down without acknowledging, and the host returns once it ends`, async () => {
        const cluster = await startThreeHosts();
        const old = await cluster.leader();
        set(old.disk, true);
        const answer = await cluster.settle(old.raft.propose("during", 1000));
        assert.equal(answer.isLeft(), true);
        assert.equal(old.raft.status().role, "stopped");
        assert.ok(old.raft.status().fault !== undefined);
        await write(cluster, "second");
        set(old.disk, false);
        await cluster.clock.advance(5000);
        assert.equal(old.raft.status().fault, undefined);
        await write(cluster, "third");
        await assertAgreement(cluster);
        await cluster.stopAll();
    });

    test(`${name} on two of three hosts prevents every acknowledgement`, async () => {
        const cluster = await startThreeHosts();
        const leader = await cluster.leader();
        cluster.followersOf(leader).forEach(host => set(host.disk, true));
        const answer = await cluster.settle(leader.raft.propose("during", 1000));
        assert.equal(answer.swap().unsafeCoerce().kind, "unknown");
        cluster.followersOf(leader).forEach(host => set(host.disk, false));
        await cluster.clock.advance(5000);
        await write(cluster, "after");
        await assertAgreement(cluster);
        await cluster.stopAll();
    });
}

test("a leader whose disk hangs is replaced by a host with a working disk", async () => {
    const cluster = await startThreeHosts();
    const old = await cluster.leader();
    old.disk.gate = async () => {
        await cluster.clock.sleep(20_000);
        return true;
    };
    const answer = old.raft.propose("during", 1000);
    await cluster.clock.advance(6000);
    const next = cluster.followersOf(old).find(host => host.raft.status().hasQuorum);
    assert.ok(next !== undefined, "another host leads");
    assert.equal((await cluster.settle(next.raft.propose("second", 2000))).isRight(), true);
    const end = await cluster.settle(answer);
    old.disk.gate = () => true;
    await cluster.clock.advance(60_000);
    const items = await assertAgreement(cluster);
    assert.ok(end.isLeft() || items.includes("during"), "if the other hosts commit the entry, every host applies it");
    await cluster.stopAll();
});

test("a follower that was down for long receives the snapshot in parts", async () => {
    const cluster = await startThreeHosts();
    const follower = cluster.followersOf(await cluster.leader())[0]!;
    const disk = cluster.crash(follower.id);
    const large = "x".repeat(20_000);
    for (let item = 0; item < 120; item++) {
        await write(cluster, `${item} ${large}`);
    }
    const back = cluster.start(follower.id, disk);
    await cluster.clock.advance(5000);
    assert.equal(back.machine.items.length, 121);
    assert.ok((cluster.network.delivered.get("replication.snapshot-test") ?? 0) > 3);
    await assertAgreement(cluster);
    await cluster.stopAll();
});

test("a log of large entries is compacted by its size", async () => {
    const cluster = new RaftCluster({
        voters: ["a", "b", "c"],
        makeMachine: () => new CountMachine(),
        compaction: { compactEntries: 10_000, keepEntries: 1000, compactBytes: 400_000 },
    });
    const leader = await cluster.leader();
    const large = "x".repeat(50_000);
    for (let item = 0; item < 40; item++) {
        assert.ok((await cluster.settle(leader.raft.propose(large, 2000))).isRight());
    }
    await cluster.clock.advance(2000);
    for (const host of cluster.up()) {
        const bytes = host.disk.paths().reduce((sum, path) => sum + host.disk.content(path)!.length, 0);
        assert.ok(bytes < 1_000_000, `${host.id} holds ${bytes} bytes of the 2,000,000 written`);
        assert.equal(host.machine.count, 40);
    }
    await cluster.stopAll();
});

test("lost, duplicated, reordered and late messages do not affect the result", async () => {
    const cluster = await startThreeHosts(7);
    Object.assign(cluster.network.faults, { maxDelayMs: 60, loseRequest: 0.1, loseReply: 0.1, doubleRequest: 0.2 });
    const ends: string[] = [];
    for (let item = 0; item < 60; item++) {
        const host = cluster.up()[item % 3]!;
        void host.raft.propose(item, 3000).then(end => ends.push(end.isRight() ? `${item}` : "?"));
        await cluster.clock.advance(50);
    }
    await cluster.clock.advance(5000);
    Object.assign(cluster.network.faults, { loseRequest: 0, loseReply: 0 });
    await write(cluster, "last");
    const items = (await assertAgreement(cluster)).map(item => `${item as string}`);
    assert.equal(new Set(items).size, items.length);
    assert.ok(ends.filter(end => end !== "?").every(end => items.includes(end)));
    assert.equal(ends.length, 60);
    await cluster.stopAll();
});

test("all hosts restart at once and keep all acknowledged entries", async () => {
    const cluster = await startThreeHosts();
    for (let item = 0; item < 70; item++) {
        await write(cluster, `${item}`);
    }
    cluster.up().forEach(host => cluster.restart(host.id));
    await write(cluster, "last");
    assert.equal((await assertAgreement(cluster)).length, 72);
    await cluster.stopAll();
});

test("a host that restarts while partitioned still applies what was committed", async () => {
    const cluster = await startThreeHosts();
    await cluster.clock.advance(1000);
    const follower = cluster.followersOf(await cluster.leader())[0]!;
    cluster.network.isolate(follower.id);
    await cluster.clock.advance(1000);
    const back = cluster.restart(follower.id);
    cluster.network.isolate(follower.id);
    await cluster.clock.advance(100);
    assert.deepEqual(back.machine.items, ["first"]);
    await cluster.stopAll();
});

test("jumps of the wall clock have no effect", async () => {
    const cluster = await startThreeHosts();
    const follower = cluster.followersOf(await cluster.leader())[0]!;
    const disk = cluster.crash(follower.id);
    const jumping: Clock = {
        nowMs: () => cluster.clock.nowMs() + 5_000_000,
        wallMs: () => (cluster.clock.nowMs() % 7) * 1e9,
        setTimer: (delayMs, callback) => cluster.clock.setTimer(delayMs, callback),
        sleep: (delayMs, signal) => cluster.clock.sleep(delayMs, signal),
    };
    cluster.start(follower.id, disk, jumping);
    const term = (await cluster.leader()).raft.status().term;
    await cluster.clock.advance(30_000);
    await write(cluster, "second");
    assert.equal((await cluster.leader()).raft.status().term, term);
    await assertAgreement(cluster);
    await cluster.stopAll();
});

test("a host without a replica can propose, and gets the correct error when no host replies", async () => {
    const cluster = await startThreeHosts();
    const self = "z" as HostId;
    const remote = new RemoteLog({
        group: "test",
        self,
        hosts: () => ["a", "b", "c"] as HostId[],
        transport: cluster.network.addHost(self),
        clock: cluster.clock,
        random: new SeededRandom(5),
    });
    assert.equal((await cluster.settle(remote.propose("remote", 2000))).extract(), 2);
    assert.equal((await cluster.settle(remote.statuses())).size, 3);
    const leader = await cluster.leader();
    cluster.network.cutOneWay(leader.id, self);
    const lost = await cluster.settle(remote.propose("lost", 1000));
    assert.equal(lost.swap().unsafeCoerce().kind, "unknown");
    ["a", "b", "c"].forEach(name => cluster.crash(name));
    cluster.network.heal();
    const refused = await cluster.settle(remote.propose("refused", 1000));
    assert.equal(refused.swap().unsafeCoerce().kind, "not-accepted");
    await cluster.stopAll();
});

test("an idle group sends a bounded number of messages", async () => {
    const cluster = await startThreeHosts();
    await cluster.clock.advance(2000);
    cluster.network.delivered.clear();
    await cluster.clock.advance(60_000);
    const messages = [...cluster.network.delivered.values()].reduce((sum, one) => sum + one, 0);
    assert.ok(messages <= 2 * 60_000 / testTiming.heartbeatMs + 10, `${messages} messages in a minute`);
    await cluster.stopAll();
});
