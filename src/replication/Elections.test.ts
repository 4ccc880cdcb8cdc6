/**
 * Checks elections: terms that a voter has reached alone, and the release of voters from the wait after their start once
 * no leader can have a lease.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { assertAgreement, type Cluster, startThreeHosts, write } from "../../testing/ListCluster.js";
import { ListMachine, RaftCluster, testTiming } from "../../testing/RaftCluster.js";
import type { HostId } from "../common/Types.js";
import { GroupStorage } from "./GroupStorage.js";
import { GroupMethods } from "./Messages.js";

/** Stops a host and starts it again as one that has stood in term `term`, without the votes that it asked for. */
async function restartAfterLostElection(cluster: Cluster, name: string, term: number): Promise<void> {
    const disk = cluster.crash(name);
    await new GroupStorage(disk, "data").saveVote({ term, votedFor: name as HostId });
    cluster.start(name, disk);
}

for (const voters of [["a", "b", "c"], ["a", "b", "c", "d", "e"]]) {
    test(`${voters.length} voters, a minority lost: a voter with a higher term and a shorter log does not keep the others from electing`, async () => {
        const cluster = new RaftCluster({ voters, makeMachine: () => new ListMachine() });
        const leader = await cluster.leader();
        await cluster.settle(leader.raft.propose("first", 1000));
        const [short, ...others] = cluster.followersOf(leader);
        cluster.network.isolate(short!.id);
        await write(cluster, "second");
        const lost = others.slice(0, (voters.length - 1) / 2);
        [leader, ...lost].forEach(host => cluster.crash(host.id));
        const kept = cluster.start(leader.id, leader.disk.crash());
        cluster.network.heal();
        cluster.network.isolate(short!.id);
        await restartAfterLostElection(cluster, short!.id, 9);
        cluster.network.heal();
        const next = await cluster.leader();
        assert.notEqual(next.id, short!.id, "its log is shorter");
        await write(cluster, "third");
        assert.deepEqual(kept.machine.items, ["first", "second", "third"]);
        await cluster.stopAll();
    });
}

test("a voter that returns with a higher term after a cut leaves the group able to elect", async () => {
    const cluster = await startThreeHosts();
    const leader = await cluster.leader();
    const [disturbing] = cluster.followersOf(leader);
    await restartAfterLostElection(cluster, disturbing!.id, 7);
    await write(cluster, "second");
    cluster.crash((await cluster.leader()).id);
    await write(cluster, "third");
    await cluster.stopAll();
});

test("a group whose processes were all restarted elects before an election time has passed", async () => {
    const cluster = await startThreeHosts();
    const disks = ["a", "b", "c"].map(name => [name, cluster.crash(name)] as const);
    disks.forEach(([name, disk]) => cluster.start(name, disk));
    await cluster.leader(testTiming.electionMs * 0.6);
    await write(cluster, "second");
    assert.deepEqual(await assertAgreement(cluster), ["first", "second"]);
    await cluster.stopAll();
});

test("the restarted majority of a leader that can't be reached waits until its lease has ended", async () => {
    const cluster = await startThreeHosts();
    const old = await cluster.leader();
    const others = cluster.followersOf(old);
    cluster.network.isolate(old.id);
    others.forEach(host => cluster.restart(host.id));
    for (let waitedMs = 0; waitedMs < testTiming.electionMs - testTiming.clockDriftMs; waitedMs += 50) {
        const leaders = cluster.up().filter(host => host.raft.status().role === "leader").map(host => host.id);
        assert.deepEqual(leaders, [old.id], `after ${waitedMs} ms`);
        await cluster.clock.advance(50);
    }
    assert.notEqual((await cluster.leader()).id, old.id);
    await cluster.stopAll();
});

const releases: readonly {
    readonly name: string;
    readonly surveyed?: readonly string[];
    readonly life?: string;
    readonly isGranted: boolean;
}[] = [
    { name: "one that names its life and all voters", isGranted: true },
    { name: "one that names another life of the voter", life: "other", isGranted: false },
    { name: "one that leaves out a voter", surveyed: ["b", "c"], isGranted: false },
];
for (const { name, surveyed = ["a", "b", "c"], life, isGranted } of releases) {
    test(`a voter that has just started ${isGranted ? "accepts" : "rejects"} a release: ${name}`, async () => {
        const cluster = await startThreeHosts();
        ["a", "c"].forEach(host => cluster.crash(host));
        cluster.restart("b");
        await cluster.clock.advance(50);
        const probe = cluster.network.addHost("probe" as HostId);
        const ask = async (fields: object) => {
            const req = {
                candidate: "c" as HostId,
                replica: "",
                term: 9,
                lastIndex: 99,
                lastTerm: 8,
                preVote: true,
                handover: false,
                ...fields,
            };
            const reply = await cluster.settle(
                probe.call("b" as HostId, new GroupMethods("test").vote, req, { timeoutMs: 500 }),
            );
            return reply.unsafeCoerce();
        };
        const { replica } = await ask({});
        const survey = await ask({ replica });
        assert.deepEqual([survey.granted, survey.isGrantedOnRelease], [false, true]);
        const release = { life: life ?? survey.life, surveyed: surveyed as HostId[] };
        const vote = await ask({ replica, preVote: false, release });
        assert.equal(vote.granted, isGranted);
        await cluster.stopAll();
    });
}

for (
    const { heardMsAgo, isReleased } of [{ heardMsAgo: undefined, isReleased: true }, {
        heardMsAgo: 5,
        isReleased: false,
    }]
) {
    test(`voters that have heard from a leader ${heardMsAgo ?? "never"} ms ago ${isReleased ? "are" : "are not"} released`, async () => {
        const cluster = await startThreeHosts();
        const methods = new GroupMethods("test");
        const replicaOf = new Map((await cluster.settle(cluster.host("a").raft.statuses())).entries());
        assert.equal(replicaOf.size, 3);
        const disk = cluster.crash("a");
        for (const name of ["b", "c"]) {
            cluster.crash(name);
            // A leader that was elected while it replied may have been heard by the others before they replied.
            cluster.network.addHost(name as HostId).handle(methods.vote, async ({ term, replica, release }) => ({
                granted: release !== undefined,
                term: term - 1,
                replica,
                isLeading: false,
                life: name,
                isGrantedOnRelease: true,
                heardMsAgo,
            }));
        }
        cluster.start("a", disk);
        await cluster.clock.advance(testTiming.electionMs * 0.6);
        assert.equal(cluster.host("a").raft.status().role === "leader", isReleased);
        await cluster.stopAll();
    });
}
