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
    const made = new RaftCluster({ seed, voters: ["a", "b", "c"], makeMachine: () => new ListMachine() });
    await made.leader();
    return made;
}

async function write(hosts: RaftCluster<ListMachine>, item: number): Promise<void> {
    const leader = await hosts.leader();
    const result = await hosts.settle(leader.raft.propose(item, 2000));
    assert.ok(result.isRight(), JSON.stringify(result.extract()));
}

test("a host is added as a learner, catches up and becomes a voter", async () => {
    const hosts = await startCluster();
    await write(hosts, 1);
    const added = hosts.start("d");
    const leader = await hosts.leader();
    const result = await hosts.settle(leader.raft.changeMembers({ kind: "add", host: host("d") }, 5000));
    assert.deepEqual(result.unsafeCoerce().voters, ["a", "b", "c", "d"]);
    await hosts.clock.advance(500);
    assert.deepEqual(added.machine.items, [1]);
    assert.equal(added.raft.status().role, "follower");
    const again = await hosts.settle(leader.raft.changeMembers({ kind: "add", host: host("d") }, 5000));
    assert.deepEqual(again.unsafeCoerce().voters, ["a", "b", "c", "d"], "a change sent again changes nothing");
    await hosts.stopAll();
});

test("a host that can't be reached is not made a voter", async () => {
    const hosts = await startCluster();
    const leader = await hosts.leader();
    const result = await hosts.settle(leader.raft.changeMembers({ kind: "add", host: host("x") }, 2000));
    assert.equal(result.isLeft(), true);
    assert.deepEqual(leader.raft.status().members, { voters: ["a", "b", "c"], learners: ["x"] });
    await write(hosts, 1);
    await hosts.stopAll();
});

test("a removed leader steps down, and the others elect a new one", async () => {
    const hosts = await startCluster();
    const first = await hosts.leader();
    const result = await hosts.settle(first.raft.changeMembers({ kind: "remove", host: first.id }, 5000));
    assert.ok(result.isRight());
    await hosts.clock.advance(200);
    const second = await hosts.leader();
    assert.notEqual(second.id, first.id);
    await write(hosts, 1);
    const terms = second.raft.status().term;
    await hosts.clock.advance(10_000);
    assert.equal((await hosts.leader()).raft.status().term, terms, "the removed host does not disturb the group");
    await hosts.stopAll();
});

test("a change after which no quorum can be reached is refused", async () => {
    const hosts = await startCluster();
    const leader = await hosts.leader();
    const [up, down] = hosts.followersOf(leader);
    hosts.crash(down!.id);
    await hosts.clock.advance(1500);
    for (const asked of [leader, up!]) {
        hosts.network.delivered.clear();
        const result = await hosts.settle(asked.raft.changeMembers({ kind: "remove", host: up!.id }, 3000));
        assert.equal(result.swap().unsafeCoerce().kind, "not-accepted");
        const messages = hosts.network.delivered.get("replication.change-members-test") ?? 0;
        assert.ok(messages <= 1, `a refusal is forwarded once, not ${messages} times`);
    }
    await write(hosts, 1);
    await hosts.stopAll();
});

test("a host with an emptied disk does not vote under its old identity", async () => {
    const hosts = await startCluster();
    await write(hosts, 1);
    const leader = await hosts.leader();
    const [lagging, emptied] = hosts.followersOf(leader);
    // The lagging host misses an entry that the leader and the emptied host have acknowledged.
    hosts.network.isolate(lagging!.id);
    await write(hosts, 2);
    hosts.crash(leader.id);
    hosts.crash(emptied!.id);
    hosts.network.heal();
    hosts.start(emptied!.id, new FakeDisk());
    await hosts.clock.advance(20_000);
    assert.ok(
        hosts.up().every(one => one.raft.status().role !== "leader"),
        "no majority with the acknowledged entry is up",
    );
    hosts.start(leader.id, leader.disk.crash());
    const next = await hosts.leader();
    assert.equal(next.id, leader.id);
    await write(hosts, 3);
    await hosts.clock.advance(5000);
    assert.deepEqual(hosts.host(emptied!.id).machine.items, [1, 2, 3]);
    assert.deepEqual(next.raft.status().members.voters.length, 3, "the emptied host votes again once it has caught up");
    await hosts.stopAll();
});

test("losing a second host right after a replacement loses no entries", async () => {
    for (let seed = 1; seed <= 5; seed++) {
        const hosts = await startCluster(seed);
        await write(hosts, 1);
        const leader = await hosts.leader();
        const [second, third] = hosts.followersOf(leader);
        hosts.crash(third!.id);
        await write(hosts, 2);
        hosts.start("d");
        const change = { kind: "replace", host: third!.id, by: host("d") } as const;
        const replaced = await hosts.settle(leader.raft.changeMembers(change, 10_000));
        assert.deepEqual(replaced.unsafeCoerce().voters.includes(host("d")), true);
        hosts.crash(leader.id);
        await hosts.clock.advance(100);
        const next = await hosts.leader();
        assert.ok(next.id === second!.id || next.id === host("d"));
        await write(hosts, 3);
        assert.deepEqual(next.machine.items, [1, 2, 3]);
        await hosts.stopAll();
    }
});

test("an emptied host that has not caught up yet does not count towards the quorum", async () => {
    const hosts = await startCluster();
    await write(hosts, 1);
    const leader = await hosts.leader();
    const [second, third] = hosts.followersOf(leader);
    hosts.crash(third!.id);
    hosts.start(third!.id, new FakeDisk());
    hosts.network.cut(third!.id, leader.id);
    hosts.crash(second!.id);
    await hosts.clock.advance(3000);
    const result = await hosts.settle(leader.raft.propose(2, 1000));
    assert.equal(result.isLeft(), true, "one voter of three is no quorum");
    hosts.start(second!.id, second!.disk.crash());
    hosts.network.heal();
    await write(hosts, 3);
    await hosts.stopAll();
});

test("a planned stop transfers leadership without an election timeout", async () => {
    const hosts = await startCluster();
    await write(hosts, 1);
    const first = await hosts.leader();
    const startMs = hosts.clock.nowMs();
    await hosts.settle(first.raft.drain(5000));
    const second = await hosts.leader();
    assert.notEqual(second.id, first.id);
    assert.ok(hosts.clock.nowMs() - startMs < 500, "no election timeout passes");
    await write(hosts, 2);
    await hosts.stopAll();
});
