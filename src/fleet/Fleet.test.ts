/**
 * Checks control and entry hosts on a simulated network with simulated disks: bootstrap and membership of the control
 * group, durability of the configuration, and how entry hosts follow the fleet's state.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeDisk } from "../../testing/FakeDisk.js";
import { FleetCluster } from "../../testing/FleetCluster.js";
import { listed, noMetrics, silentLog, testNotices } from "../../testing/FleetFixtures.js";
import type { DataCentreId, EndpointId, HostId } from "../common/Types.js";
import { EndpointLimits, type LimitMatter } from "../endpoints/EndpointLimits.js";
import type { FleetClient } from "./FleetClient.js";
import { shareStatements } from "./StatementSharing.js";
import type { ListedEndpoint } from "./Types.js";

const names = ["c1", "c2", "c3"];

async function startFleet(otherControls: readonly string[] = []): Promise<FleetCluster> {
    const fleet = new FleetCluster(names);
    [...names, ...otherControls].forEach(name => fleet.startControl(name, true));
    await fleet.clock.advance(3000);
    assert.ok(fleet.leader() !== undefined, "a leader is elected after the first start");
    return fleet;
}

test("the seeds bootstrap the group only once all have started, and another host joins it as a learner", async () => {
    const fleet = new FleetCluster(names);
    for (const name of ["c4", "c3", "c1"]) {
        fleet.startControl(name, true);
        await fleet.clock.advance(700);
    }
    assert.equal(fleet.leader(), undefined, "no group is bootstrapped before all seeds have started");
    fleet.startControl("c2", true);
    await fleet.clock.advance(4000);
    const { voters, learners } = fleet.leader()!.log.status().members;
    assert.deepEqual([[...voters].sort(), learners], [names, ["c4"]]);
    await fleet.stopAll();
});

// Guards against an entry host that takes over a bad entry which a control host of an older build has passed on.
test("an entry host leaves out a bad entry of a control host, also one that was good before", async () => {
    const fleet = await startFleet();
    const bad = [listed("odd", { address: "10.0.0.1:99999" }), listed("odder", { slots: 1e308 })];
    fleet.listed = [listed("i-1"), ...bad, listed("i-2")];
    const entry = fleet.startEntry("e1");
    await fleet.clock.advance(4000);
    const idsAt = (host: { readonly endpoints: readonly ListedEndpoint[]; }) => host.endpoints.map(one => one.id);
    assert.deepEqual(idsAt(entry.view()), ["i-1", "i-2"]);
    fleet.listed = [listed("i-1"), listed("i-2", { coldLeftMs: -1 }), listed("i-3")];
    await fleet.clock.advance(4000);
    assert.deepEqual(idsAt(entry.view()), ["i-1", "i-3"]);
    const follower = [...fleet.controls.values()].find(one => one !== fleet.leader());
    assert.deepEqual(idsAt(follower!.reader.current()), ["i-1", "i-3"]);
    await fleet.stopAll();
});

test("hosts with empty disks do not bootstrap a group when it is not the first start", async () => {
    const fleet = new FleetCluster(names);
    names.forEach(name => fleet.startControl(name, false));
    await fleet.clock.advance(5000);
    assert.equal(fleet.leader(), undefined);
    await fleet.stopAll();
});

for (const isFirstStart of [false, true]) {
    const when = isFirstStart ? "within the first start of the fleet" : "later";
    test(`an acknowledged configuration survives a power failure of all hosts and the loss of any one disk, ${when}`, async () => {
        for (const wiped of names) {
            const fleet = await startFleet();
            assert.equal(await fleet.put("c1", 7), true);
            const disks = names.map(name => [name, fleet.crash(name)] as const);
            disks.forEach(([name, disk]) =>
                fleet.startControl(name, isFirstStart, name === wiped ? new FakeDisk() : disk)
            );
            await fleet.clock.advance(6000);
            for (const name of names) {
                assert.equal(await fleet.get(name), "7", `read at ${name} after ${wiped} was wiped`);
            }
            assert.equal(fleet.leader()!.log.status().members.voters.length, 3);
            await fleet.stopAll();
        }
    });
}

test("a permanently lost voter is replaced by an empty host at another address", async () => {
    const fleet = await startFleet();
    await fleet.put("c1", 3);
    const gone = names.find(name => name !== fleet.leader()!.id)!;
    fleet.crash(gone);
    fleet.startControl("c9", false);
    await fleet.clock.advance(8000);
    const { voters } = fleet.leader()!.log.status().members;
    assert.ok(voters.includes("c9" as HostId) && !voters.includes(gone as HostId), voters.join());
    assert.equal(await fleet.get("c9"), "3");
    await fleet.stopAll();
});

// A replacement that ended between its two changes left a dead voter in the group: the next lost disk ended its majority.
test("a silent voter is removed without a successor while there are more voters than needed", async () => {
    const fleet = await startFleet(["c4"]);
    const { log, id: leader } = fleet.leader()!;
    const added = log.changeMembers({ kind: "add", host: "c4" as HostId }, 2000);
    await fleet.clock.advance(1000);
    assert.equal((await added).unsafeCoerce().voters.length, 4);
    const [gone, emptied] = names.filter(name => name !== leader);
    fleet.crash(gone!);
    await fleet.clock.advance(4000);
    assert.equal(await fleet.put("c4", 5), true);
    const disks = [leader, "c4"].map(name => [name, fleet.crash(name)] as const);
    fleet.crash(emptied!);
    disks.forEach(([name, disk]) => fleet.startControl(name, false, disk));
    fleet.startControl(emptied!, false);
    await fleet.clock.advance(6000);
    assert.equal(await fleet.get("c4"), "5");
    await fleet.stopAll();
});

// The leader waited 3 s for a learner that had been lost with the voter, as with their data centre.
test("a voter is replaced by a learner that replies, where another learner was lost with it", async () => {
    const fleet = await startFleet(["c4", "c5"]);
    const { log, id } = fleet.leader()!;
    const [lost, kept] = log.status().members.learners;
    const gone = names.find(name => name !== id)!;
    [gone, lost!].forEach(name => fleet.crash(name));
    await fleet.clock.advance(2000);
    const { voters } = log.status().members;
    assert.deepEqual([voters.includes(kept!), voters.includes(gone as HostId)], [true, false], voters.join());
    await fleet.stopAll();
});

test("a voter that was replaced while it was isolated returns as a member of the group", async () => {
    const fleet = await startFleet(["c4"]);
    const cut = names.find(name => name !== fleet.leader()!.id)!;
    fleet.network.isolate(cut as HostId);
    await fleet.clock.advance(8000);
    assert.ok(!fleet.leader()!.log.status().members.voters.includes(cut as HostId));
    fleet.network.heal();
    await fleet.clock.advance(8000);
    const { voters, learners } = fleet.leader()!.log.status().members;
    assert.ok([...voters, ...learners].includes(cut as HostId));
    assert.equal(await fleet.put(cut, 12), true, "it accepts changes again");
    await fleet.stopAll();
});

test("an isolated control host neither acknowledges changes nor answers reads", async () => {
    const fleet = await startFleet();
    await fleet.put("c1", 1);
    const cut = fleet.leader()!.id;
    fleet.network.isolate(cut);
    await fleet.clock.advance(2000);
    const other = names.find(name => name !== cut)!;
    assert.equal(await fleet.put(other, 2), true);
    assert.equal(await fleet.get(cut), undefined);
    assert.equal(await fleet.put(cut, 3), false);
    assert.equal(await fleet.get(other), "2");
    await fleet.stopAll();
});

test("equal and lower versions are acknowledged without effect", async () => {
    const fleet = await startFleet();
    for (const version of [5, 5, 4]) {
        assert.equal(await fleet.put("c2", version), true);
    }
    assert.equal(await fleet.get("c3"), "5");
    await fleet.stopAll();
});

test("entry hosts follow changes within the time limit, and the age of their view grows while they are cut off", async () => {
    const fleet = await startFleet();
    fleet.listed = [listed("e1")];
    await fleet.put("c1", 1);
    const entry = fleet.startEntry("h1");
    fleet.startEntry("h2");
    await fleet.clock.advance(2000);
    assert.equal(entry.view().deployment?.version, 1);
    assert.equal(entry.view().endpoints.length, 1);
    assert.equal(entry.view().hosts.filter(one => one.isLive).length, 2);
    const changed = fleet.controls.get("c2")!.operator.handle({ kind: "put-config", text: "2" });
    await fleet.clock.advance(1000);
    assert.equal((await changed).kind, "done");
    assert.equal(entry.view().deployment?.version, 2);
    assert.ok(entry.ageMs() < 1200, `age ${entry.ageMs()}`);
    names.forEach(name => fleet.network.cut("h1" as HostId, name as HostId));
    await fleet.clock.advance(4000);
    assert.ok(entry.ageMs() > 3500, `age ${entry.ageMs()} while cut off`);
    fleet.network.heal();
    await fleet.clock.advance(2000);
    assert.ok(entry.ageMs() < 1200, `age ${entry.ageMs()} after reconnecting`);
    await fleet.stopAll();
});

test("an entry host leaves a control host that has lost contact with the group", async () => {
    const fleet = await startFleet();
    await fleet.put("c1", 1);
    const entry = fleet.startEntry("h1");
    await fleet.clock.advance(2000);
    for (const cut of names) {
        names.filter(name => name !== cut).forEach(name => fleet.network.cut(cut as HostId, name as HostId));
        await fleet.clock.advance(6000);
        assert.ok(entry.ageMs() < 2000, `age ${entry.ageMs()} with ${cut} cut off from the others`);
        fleet.network.heal();
        await fleet.clock.advance(3000);
    }
    await fleet.stopAll();
});

test("one control host reads the endpoint list for all, and another one takes over when it is isolated", async () => {
    const fleet = await startFleet();
    const readsBefore = fleet.listReads;
    await fleet.clock.advance(5000);
    const reads = fleet.listReads - readsBefore;
    assert.ok(reads >= 4 && reads <= 6, `${reads} reads in 5 s`);
    const leader = fleet.leader()!.id;
    fleet.network.isolate(leader);
    await fleet.clock.advance(3000);
    fleet.listed = [listed("e2")];
    await fleet.clock.advance(2500);
    const others = names.filter(name => name !== leader).map(name => fleet.controls.get(name)!);
    others.forEach(one => assert.equal(one.reader.current().endpoints.length, 1, one.id));
    await fleet.stopAll();
});

test("a request that was running during three crashes is quarantined on every host", async () => {
    const fleet = await startFleet();
    await fleet.put("c1", 1);
    const entries = ["h1", "h2"].map(name => fleet.startEntry(name));
    await fleet.clock.advance(1000);
    for (let crash = 1; crash <= 3; crash++) {
        assert.equal(entries[1]!.view().quarantined.has("mark"), false, `after ${crash - 1} crashes`);
        entries[crash % 2]!.reportCrash({ fingerprint: "mark", endpoint: "e" as EndpointId, parts: [] });
        await fleet.clock.advance(2000);
    }
    entries.forEach(entry => assert.equal(entry.view().quarantined.has("mark"), true));
    await fleet.stopAll();
});

// A report that a control host had answered while the group had no leader was dropped after 2 s.
test("a crash that is reported while the group has no leader is marked once it has one", async () => {
    const fleet = await startFleet();
    await fleet.put("c1", 1);
    const leader = fleet.leader()!.id;
    const [kept, other] = names.filter(name => name !== leader);
    const disks = [leader, other!].map(name => [name, fleet.crash(name)] as const);
    const entry = fleet.startEntry("h1");
    const report = () => entry.reportCrash({ fingerprint: "mark", endpoint: "e" as EndpointId, parts: [] });
    report();
    await fleet.clock.advance(6000);
    disks.forEach(([name, disk]) => fleet.startControl(name, false, disk));
    await fleet.clock.advance(4000);
    for (let crash = 2; crash <= 3; crash++) {
        report();
        await fleet.clock.advance(2000);
    }
    assert.deepEqual(fleet.controls.get(kept!)!.state.quarantined, ["mark"]);
    await fleet.stopAll();
});

test("crashes that are far apart do not quarantine a request", async () => {
    const fleet = await startFleet();
    await fleet.put("c1", 1);
    const entry = fleet.startEntry("h1");
    for (let crash = 1; crash <= 4; crash++) {
        await fleet.clock.advance(40_000);
        entry.reportCrash({ fingerprint: "mark", endpoint: "e" as EndpointId, parts: [] });
        await fleet.clock.advance(1000);
    }
    assert.equal(entry.view().quarantined.size, 0);
    await fleet.stopAll();
});

test("a data centre that two hosts can't reach is told to all hosts beside them, until one of them reaches it", async () => {
    const fleet = await startFleet();
    await fleet.put("c1", 1);
    const near = ["h1", "h2", "h3"].map(name => fleet.startEntry(name));
    const far = fleet.startEntry("h4", "b");
    await fleet.clock.advance(2000);
    const endpoint = (name: string) => listed(name, { dataCentre: "z" as DataCentreId });
    const told = (entry: FleetClient) => [...entry.view().cutOff];
    near[0]!.reportReach(endpoint("e1"), false);
    await fleet.clock.advance(1000);
    assert.deepEqual(near.map(told), [[], [], []], "one host is not enough");
    near[1]!.reportReach(endpoint("e2"), false);
    await fleet.clock.advance(1000);
    assert.deepEqual(near.map(told), [["z"], ["z"], ["z"]]);
    assert.deepEqual(told(far), []);
    near[2]!.reportReach(endpoint("e3"), true);
    await fleet.clock.advance(1000);
    assert.deepEqual(near.map(told), [[], [], []]);
    await fleet.stopAll();
});

test("the limit of an endpoint that one host has read is told to all hosts, and so is its end", async () => {
    const fleet = await startFleet();
    await fleet.put("c1", 1);
    const entries = ["h1", "h2", "h3"].map(name => fleet.startEntry(name));
    await fleet.clock.advance(2000);
    const endpoint = "e1" as EndpointId;
    const told = () => entries.map(entry => entry.view().limits.get(endpoint)?.perSecond);
    entries[0]!.reportStatement({ endpoint, matter: "limit", perSecond: 1.5 });
    await fleet.clock.advance(1000);
    assert.deepEqual(told(), [1.5, 1.5, 1.5]);
    entries[1]!.reportStatement({ endpoint, matter: "limit", perSecond: 4 });
    await fleet.clock.advance(1000);
    assert.deepEqual(told(), [4, 4, 4], "the latest statement counts, whichever host has read it");
    entries[2]!.reportStatement({ endpoint, matter: "limit" });
    await fleet.clock.advance(1000);
    assert.deepEqual(told(), [undefined, undefined, undefined]);
    await fleet.stopAll();
});

const matters: readonly LimitMatter[] = ["limit", "brittle"];
for (const matter of matters) {
    test(`what control hosts have lost stays known to the hosts, and is told again after the next reply: ${matter}`, async () => {
        const fleet = await startFleet();
        await fleet.put("c1", 1);
        const client = fleet.startEntry("h1");
        const stated = new EndpointLimits(fleet.clock, silentLog, noMetrics, matter);
        shareStatements([stated], testNotices(fleet.clock), client);
        const other = fleet.startEntry("h2");
        const told = () => matter === "limit" ? other.view().limits : other.view().brittle;
        await fleet.clock.advance(2000);
        const endpoint = "e1" as EndpointId;
        stated.recordReply(endpoint, 2);
        await fleet.clock.advance(1000);
        assert.equal(told().get(endpoint)?.perSecond, 2);
        const disks = names.map(name => [name, fleet.crash(name)] as const);
        disks.forEach(([name, disk]) => fleet.startControl(name, false, disk));
        await fleet.clock.advance(6000);
        assert.equal(told().size, 0);
        assert.equal(stated.perSecond(endpoint), 2);
        stated.recordReply(endpoint, 2);
        await fleet.clock.advance(1000);
        assert.equal(told().get(endpoint)?.perSecond, 2);
        await fleet.stopAll();
    });
}

test("an endpoint that tells one host that it is leaving gets nothing more from the others, though the list calls it ready", async () => {
    const fleet = await startFleet();
    fleet.listed = [listed("e1"), listed("e2")];
    await fleet.put("c1", 1);
    const hosts = ["h1", "h2", "h3"].map(name => {
        const client = fleet.startEntry(name);
        const limits = new EndpointLimits(fleet.clock, silentLog, noMetrics);
        const notices = testNotices(fleet.clock, undefined, silentLog, limits);
        shareStatements([limits], notices, client);
        return notices;
    });
    await fleet.clock.advance(2000);
    hosts[0]!.observe("e1" as EndpointId, 200, { leaving: "1" });
    await fleet.clock.advance(1000);
    assert.deepEqual(hosts.map(one => one.isLeaving("e1" as EndpointId)), [true, true, true]);
    assert.deepEqual(hosts.map(one => one.isLeaving("e2" as EndpointId)), [false, false, false]);
    await fleet.stopAll();
});
