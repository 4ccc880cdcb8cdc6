/** Checks that a group which lost the disks of its majority can continue from one surviving replica. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeDisk } from "../../testing/FakeDisk.js";
import { ListMachine, RaftCluster } from "../../testing/RaftCluster.js";
import type { HostId } from "../common/Types.js";
import { recoverAsSoleVoter } from "./Recovery.js";

test("a group that lost its majority continues from one survivor and can add members again", async () => {
    const cluster = new RaftCluster({ voters: ["a", "b", "c"], makeMachine: () => new ListMachine() });
    const leader = await cluster.leader();
    await cluster.settle(leader.raft.propose("kept", 1000));
    await cluster.clock.advance(1000);
    const [survivor, ...lost] = cluster.up().map(host => host.id);
    lost.forEach(name => cluster.crash(name));
    const disk = cluster.crash(survivor!);
    for (let time = 0; time < 2; time++) {
        const recovered = await recoverAsSoleVoter(disk, "data", survivor!);
        assert.ok(recovered.isRight());
    }
    const back = cluster.start(survivor!, disk);
    assert.equal((await cluster.leader()).id, survivor);
    assert.deepEqual(back.machine.items, ["kept"]);
    for (const name of lost) {
        cluster.start(name, new FakeDisk());
        const change = { kind: "add", host: name } as const;
        assert.ok((await cluster.settle(back.raft.changeMembers(change, 10_000))).isRight());
    }
    assert.equal(back.raft.status().members.voters.length, 3);
    cluster.crash(survivor!);
    const next = await cluster.leader();
    assert.deepEqual(next.machine.items, ["kept"]);
    await cluster.stopAll();
});

test("an empty directory is not recovered", async () => {
    const disk = new FakeDisk();
    const recovered = await recoverAsSoleVoter(disk, "data", "a" as HostId);
    assert.equal(recovered.swap().unsafeCoerce().kind, "empty");
    assert.deepEqual(disk.paths(), []);
});
