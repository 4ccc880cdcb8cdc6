/** Checks a replicated group without faults other than crashes: bootstrap, proposals, reads, learners and take-over. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeDisk } from "../../testing/FakeDisk.js";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { ListMachine, RaftCluster, testTiming } from "../../testing/RaftCluster.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { HostId } from "../common/Types.js";
import { RaftLog } from "./RaftLog.js";

function startThreeHosts(seed: number = 1) {
    return new RaftCluster({ seed, voters: ["a", "b", "c"], makeMachine: () => new ListMachine() });
}

test("a group is bootstrapped, and every replica applies the same commands", async () => {
    const cluster = startThreeHosts();
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
    const cluster = startThreeHosts();
    const follower = cluster.followersOf(await cluster.leader())[0]!;
    const result = await cluster.settle(follower.raft.propose("x", 1000));
    assert.equal(result.extract(), 1);
    const read = await cluster.settle(follower.raft.readBarrier(1000));
    assert.ok(read.isRight());
    assert.deepEqual(follower.machine.items, ["x"]);
    await cluster.stopAll();
});

test("a new leader takes over when the old one crashes, and keeps the committed entries", async () => {
    const cluster = startThreeHosts();
    const first = await cluster.leader();
    await cluster.settle(first.raft.propose("kept", 1000));
    cluster.crash(first.id);
    const second = await cluster.leader();
    assert.notEqual(second.id, first.id);
    assert.equal((await cluster.settle(second.raft.propose("new", 1000))).extract(), 2);
    assert.deepEqual(second.machine.items, ["kept", "new"]);
    await cluster.stopAll();
});

test("a learner applies entries and does not count towards the quorum", async () => {
    const cluster = new RaftCluster({
        voters: ["a", "b", "c"],
        learners: ["d"],
        makeMachine: () => new ListMachine(),
    });
    const leader = await cluster.leader();
    await cluster.settle(leader.raft.propose("x", 1000));
    await cluster.clock.advance(500);
    const learner = cluster.host("d");
    assert.deepEqual(learner.machine.items, ["x"]);
    assert.equal(learner.raft.status().role, "learner");
    cluster.followersOf(leader).forEach(host => host === learner || cluster.crash(host.id));
    const refused = await cluster.settle(leader.raft.propose("y", 1000));
    assert.equal(refused.isLeft(), true, "a learner does not count");
    await cluster.stopAll();
});

test("two groups on the same hosts are independent", async () => {
    const clock = new FakeClock();
    const network = new FakeNetwork(clock);
    const names = ["a", "b", "c"] as HostId[];
    const stop = new AbortController();
    const logs = names.map(self => {
        const peers = network.addHost(self);
        const disk = new FakeDisk();
        return ["one", "two"].map((group, at) => {
            const log = new RaftLog({
                group,
                self,
                initialMembers: { voters: names, learners: [] },
                transport: peers,
                registry: peers,
                disk,
                dir: group,
                clock,
                random: new SeededRandom(at),
                log: new MemoryLog(),
                stateMachine: new ListMachine(),
                timing: testTiming,
            });
            void log.run(stop.signal);
            return log;
        });
    });
    await clock.advance(3000);
    const answers = logs.map(([one]) => one!.propose("for one", 1000));
    await clock.advance(1000);
    assert.deepEqual((await Promise.all(answers)).map(answer => answer.extract()).sort(), [1, 2, 3]);
    const two = logs[0]![1]!.propose("for two", 1000);
    await clock.advance(1000);
    assert.equal((await two).extract(), 1);
    stop.abort();
    await clock.advance(10);
});
