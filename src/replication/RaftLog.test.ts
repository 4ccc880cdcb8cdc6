import assert from "node:assert/strict";
import { test } from "node:test";
import { ListMachine, RaftCluster } from "../../testing/RaftCluster.js";

function threeHosts(seed: number = 1) {
    return new RaftCluster({ seed, voters: ["a", "b", "c"], makeMachine: () => new ListMachine() });
}

test("a group is founded, commits, and every replica applies the same", async () => {
    const cluster = threeHosts();
    const leader = await cluster.leader();
    const results = await cluster.settle(Promise.all([1, 2, 3].map(item => leader.raft.propose(item, 1000))));
    assert.deepEqual(results.map(result => result.extract()), [1, 2, 3]);
    await cluster.clock.advance(500);
    for (const host of cluster.up()) {
        assert.deepEqual(host.machine.items, [1, 2, 3]);
    }
    await cluster.stopAll();
});

test("a follower forwards proposals and reads", async () => {
    const cluster = threeHosts();
    const follower = cluster.followersOf(await cluster.leader())[0]!;
    const result = await cluster.settle(follower.raft.propose("x", 1000));
    assert.equal(result.extract(), 1);
    const read = await cluster.settle(follower.raft.readBarrier(1000));
    assert.ok(read.isRight());
    assert.deepEqual(follower.machine.items, ["x"]);
    await cluster.stopAll();
});

test("a new leader takes over when the old one dies, and keeps what was committed", async () => {
    const cluster = threeHosts();
    const first = await cluster.leader();
    await cluster.settle(first.raft.propose("kept", 1000));
    cluster.crash(first.id);
    const second = await cluster.leader();
    assert.notEqual(second.id, first.id);
    assert.equal((await cluster.settle(second.raft.propose("new", 1000))).extract(), 2);
    assert.deepEqual(second.machine.items, ["kept", "new"]);
    await cluster.stopAll();
});
