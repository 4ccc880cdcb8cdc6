/** A cluster of three hosts whose state machine keeps a list, for tests of elections and faults. */
import assert from "node:assert/strict";
import { ListMachine, RaftCluster } from "./RaftCluster.js";

export type Cluster = RaftCluster<ListMachine>;

export async function startThreeHosts(seed: number = 1): Promise<Cluster> {
    const cluster = new RaftCluster({
        seed,
        voters: ["a", "b", "c"],
        makeMachine: () => new ListMachine(),
        compaction: { compactEntries: 50, keepEntries: 10 },
    });
    const leader = await cluster.leader();
    await cluster.settle(leader.raft.propose("first", 1000));
    return cluster;
}

export async function write(cluster: Cluster, item: string): Promise<void> {
    const leader = await cluster.leader();
    const result = await cluster.settle(leader.raft.propose(item, 2000));
    assert.ok(result.isRight(), JSON.stringify(result.extract()));
}

/** Checks that all running replicas have applied the same items; returns these. */
export async function assertAgreement(cluster: Cluster): Promise<readonly unknown[]> {
    await cluster.clock.advance(3000);
    const [first, ...others] = cluster.up().map(host => host.machine.items);
    others.forEach(items => assert.deepEqual(items, first));
    return first ?? [];
}
