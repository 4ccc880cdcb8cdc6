/** Checks that reports of crashes lead to the same crash marks on every host, with and without a replica. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import { type RecordsHost, RecordsHosts } from "../../testing/RecordsHosts.js";
import type { HostId } from "../common/Types.js";
import { PeerMarkAnnouncer } from "./PeerMarkAnnouncer.js";

/**
 * Report about a request: an endpoint crashed while it ran there together with others (`shared`) or `alone`, it ended
 * without a crash (`innocent`), or an operator cleared its mark (`pardon`).
 */
type Report = "shared" | "alone" | "innocent" | "pardon";

const histories: { reports: Report[]; state: "clear" | "suspect" | "quarantined"; }[] = [
    { reports: ["shared"], state: "suspect" },
    { reports: ["alone"], state: "suspect" },
    { reports: ["shared", "shared"], state: "suspect" },
    { reports: ["shared", "alone"], state: "quarantined" },
    { reports: ["alone", "alone"], state: "quarantined" },
    { reports: ["alone", "shared"], state: "quarantined" },
    { reports: ["shared", "innocent"], state: "clear" },
    { reports: ["shared", "innocent", "alone"], state: "suspect" },
    { reports: ["shared", "alone", "innocent"], state: "quarantined" },
    { reports: ["shared", "alone", "pardon"], state: "clear" },
];

async function report(cluster: RecordsHosts, host: RecordsHost, what: Report, fingerprint: string): Promise<void> {
    const { quarantine } = host;
    const sent = what === "innocent"
        ? quarantine.reportNoCrash(fingerprint)
        : what === "pardon"
        ? quarantine.clear(fingerprint, 1000)
        : quarantine.reportCrash(fingerprint, what === "alone");
    assert.ok((await cluster.settle(sent)).isRight());
}

function stateOn(host: RecordsHost, fingerprint: string): string {
    const { quarantine } = host;
    return quarantine.isQuarantined(fingerprint)
        ? "quarantined"
        : quarantine.isSuspect(fingerprint)
        ? "suspect"
        : "clear";
}

for (const { reports, state } of histories) {
    test(`${reports.join(", ")} leaves the request ${state} on every host`, async () => {
        const cluster = new RecordsHosts();
        const hosts = [cluster.start("a"), cluster.start("b", true), cluster.start("c")];
        for (const [turn, what] of reports.entries()) {
            await report(cluster, hosts[turn % 2]!, what, "f");
            await cluster.clock.advance(2500);
        }
        assert.deepEqual(hosts.map(host => stateOn(host, "f")), [state, state, state]);
        assert.deepEqual(hosts.map(host => stateOn(host, "g")), ["clear", "clear", "clear"]);
        cluster.group.checkReplicas();
        cluster.stop();
    });
}

test("a crash is counted once when its report is repeated", async () => {
    const cluster = new RecordsHosts();
    const a = cluster.start("a");
    await cluster.clock.advance(100);
    cluster.group.script.push("doubled", "lost-answer", "doubled");
    await report(cluster, a, "alone", "f");
    await cluster.clock.advance(5000);
    assert.equal(stateOn(a, "f"), "suspect");
    assert.deepEqual(a.quarantine.list().map(mark => mark.crashes), [1]);
    cluster.stop();
});

test("a crash is known on its own host at once, and reported once the group can be reached again", async () => {
    const cluster = new RecordsHosts();
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    cluster.group.hasQuorum = false;
    const reported = a.quarantine.reportCrash("f", false);
    assert.equal(stateOn(a, "f"), "suspect");
    assert.ok((await cluster.settle(reported)).isLeft());
    cluster.group.heal();
    await cluster.clock.advance(6000);
    assert.equal(stateOn(b, "f"), "suspect");
    cluster.stop();
});

test("a mark is known on the other hosts before the report resolves", async () => {
    const network = new FakeNetwork(new FakeClock());
    const ids = ["a", "b"] as HostId[];
    const cluster = new RecordsHosts({}, id => {
        const peers = network.addHost(id);
        return new PeerMarkAnnouncer(peers, peers, () => ids.filter(other => other !== id));
    });
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    await report(cluster, a, "shared", "f");
    assert.equal(stateOn(b, "f"), "suspect");
    await report(cluster, b, "alone", "f");
    assert.equal(stateOn(a, "f"), "quarantined");
    await report(cluster, a, "pardon", "f");
    await cluster.clock.advance(2500);
    assert.equal(stateOn(b, "f"), "clear");
    cluster.stop();
});

test("reporting an end without a crash does not wait for the group", async () => {
    const cluster = new RecordsHosts();
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    await report(cluster, a, "shared", "f");
    cluster.group.hasQuorum = false;
    const startedMs = cluster.clock.nowMs();
    await report(cluster, a, "innocent", "f");
    assert.ok(cluster.clock.nowMs() - startedMs <= 5);
    assert.equal(stateOn(a, "f"), "clear");
    cluster.group.heal();
    await cluster.clock.advance(6000);
    assert.equal(stateOn(b, "f"), "clear");
    cluster.stop();
});
