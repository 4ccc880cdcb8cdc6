/**
 * Checks that membership changes, and hosts whose disks were emptied, neither lose acknowledged entries nor leave the
 * group without a quorum.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeDisk } from "../../testing/FakeDisk.js";
import { ListMachine, RaftCluster } from "../../testing/RaftCluster.js";
import type { HostId } from "../common/Types.js";

const host = (name: string) => name as HostId;

async function startCluster(seed: number = 1): Promise<RaftCluster<ListMachine>> {
    const cluster = new RaftCluster({ seed, voters: ["a", "b", "c"], makeMachine: () => new ListMachine() });
    await cluster.leader();
    return cluster;
}

async function write(cluster: RaftCluster<ListMachine>, item: number): Promise<void> {
    const leader = await cluster.leader();
    const result = await cluster.settle(leader.raft.propose(item, 2000));
    assert.ok(result.isRight(), JSON.stringify(result.extract()));
}

test("a host is added as a learner, catches up and becomes a voter", async () => {
    const cluster = await startCluster();
    await write(cluster, 1);
    const added = cluster.start("d");
    const leader = await cluster.leader();
    const result = await cluster.settle(leader.raft.changeMembers({ kind: "add", host: host("d") }, 5000));
    assert.deepEqual(result.unsafeCoerce().voters, ["a", "b", "c", "d"]);
    await cluster.clock.advance(500);
    assert.deepEqual(added.machine.items, [1]);
    assert.equal(added.raft.status().role, "follower");
    const again = await cluster.settle(leader.raft.changeMembers({ kind: "add", host: host("d") }, 5000));
    assert.deepEqual(again.unsafeCoerce().voters, ["a", "b", "c", "d"], "a change sent again changes nothing");
    await cluster.stopAll();
});

test("a host that can't be reached is not made a voter", async () => {
    const cluster = await startCluster();
    const leader = await cluster.leader();
    const result = await cluster.settle(leader.raft.changeMembers({ kind: "add", host: host("x") }, 2000));
    assert.equal(result.isLeft(), true);
    assert.deepEqual(leader.raft.status().members, { voters: ["a", "b", "c"], learners: ["x"] });
    await write(cluster, 1);
    await cluster.stopAll();
});

test("a removed leader steps down, and the others elect a new one", async () => {
    const cluster = await startCluster();
    const first = await cluster.leader();
    const result = await cluster.settle(first.raft.changeMembers({ kind: "remove", host: first.id }, 5000));
    assert.ok(result.isRight());
    await cluster.clock.advance(200);
    const second = await cluster.leader();
    assert.notEqual(second.id, first.id);
    await write(cluster, 1);
    const terms = second.raft.status().term;
    await cluster.clock.advance(10_000);
    assert.equal((await cluster.leader()).raft.status().term, terms, "the removed host does not disturb the group");
    await cluster.stopAll();
});

test("a change after which no quorum can be reached is refused", async () => {
    const cluster = await startCluster();
    const leader = await cluster.leader();
    const [up, down] = cluster.followersOf(leader);
    cluster.crash(down!.id);
    await cluster.clock.advance(1500);
    for (const proposer of [leader, up!]) {
        cluster.network.delivered.clear();
        const result = await cluster.settle(proposer.raft.changeMembers({ kind: "remove", host: up!.id }, 3000));
        assert.equal(result.swap().unsafeCoerce().kind, "not-accepted");
        const messages = cluster.network.delivered.get("replication.change-members-test") ?? 0;
        assert.ok(messages <= 1, `a refusal is forwarded once, not ${messages} times`);
    }
    await write(cluster, 1);
    await cluster.stopAll();
});

test("a host with an emptied disk does not vote under its old identity", async () => {
    const cluster = await startCluster();
    await write(cluster, 1);
    const leader = await cluster.leader();
    const [lagging, emptied] = cluster.followersOf(leader);
    // The lagging host misses an entry that the leader and the emptied host have acknowledged.
    cluster.network.isolate(lagging!.id);
    await write(cluster, 2);
    cluster.crash(leader.id);
    cluster.crash(emptied!.id);
    cluster.network.heal();
    cluster.start(emptied!.id, new FakeDisk());
    await cluster.clock.advance(20_000);
    assert.ok(
        cluster.up().every(one => one.raft.status().role !== "leader"),
        "no majority with the acknowledged entry is up",
    );
    cluster.start(leader.id, leader.disk.crash());
    const next = await cluster.leader();
    assert.equal(next.id, leader.id);
    await write(cluster, 3);
    await cluster.clock.advance(5000);
    assert.deepEqual(cluster.host(emptied!.id).machine.items, [1, 2, 3]);
    assert.deepEqual(next.raft.status().members.voters.length, 3, "the emptied host votes again once it has caught up");
    await cluster.stopAll();
});

test("losing a second host right after a replacement loses no entries", async () => {
    for (let seed = 1; seed <= 5; seed++) {
        const cluster = await startCluster(seed);
        await write(cluster, 1);
        const leader = await cluster.leader();
        const [second, third] = cluster.followersOf(leader);
        cluster.crash(third!.id);
        await write(cluster, 2);
        cluster.start("d");
        const change = { kind: "replace", host: third!.id, by: host("d") } as const;
        const replaced = await cluster.settle(leader.raft.changeMembers(change, 10_000));
        assert.deepEqual(replaced.unsafeCoerce().voters.includes(host("d")), true);
        cluster.crash(leader.id);
        await cluster.clock.advance(100);
        const next = await cluster.leader();
        assert.ok(next.id === second!.id || next.id === host("d"));
        await write(cluster, 3);
        assert.deepEqual(next.machine.items, [1, 2, 3]);
        await cluster.stopAll();
    }
});

test("an emptied host that has not caught up yet does not count towards the quorum", async () => {
    const cluster = await startCluster();
    await write(cluster, 1);
    const leader = await cluster.leader();
    const [second, third] = cluster.followersOf(leader);
    cluster.crash(third!.id);
    cluster.start(third!.id, new FakeDisk());
    cluster.network.cut(third!.id, leader.id);
    cluster.crash(second!.id);
    await cluster.clock.advance(3000);
    const result = await cluster.settle(leader.raft.propose(2, 1000));
    assert.equal(result.isLeft(), true, "one voter of three is no quorum");
    cluster.start(second!.id, second!.disk.crash());
    cluster.network.heal();
    await write(cluster, 3);
    await cluster.stopAll();
});

test("a planned stop transfers leadership without an election timeout", async () => {
    const cluster = await startCluster();
    await write(cluster, 1);
    const first = await cluster.leader();
    const startMs = cluster.clock.nowMs();
    await cluster.settle(first.raft.drain(5000));
    const second = await cluster.leader();
    assert.notEqual(second.id, first.id);
    assert.ok(cluster.clock.nowMs() - startMs < 500, "no election timeout passes");
    await write(cluster, 2);
    await cluster.stopAll();
});
