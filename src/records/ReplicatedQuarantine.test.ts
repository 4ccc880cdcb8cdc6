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

async function report(site: RecordsHosts, host: RecordsHost, what: Report, fingerprint: string): Promise<void> {
    const { quarantine } = host;
    const sent = what === "innocent"
        ? quarantine.reportNoCrash(fingerprint)
        : what === "pardon"
        ? quarantine.clear(fingerprint, 1000)
        : quarantine.reportCrash(fingerprint, what === "alone");
    assert.ok((await site.settle(sent)).isRight());
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
        const site = new RecordsHosts();
        const hosts = [site.start("a"), site.start("b", true), site.start("c")];
        for (const [turn, what] of reports.entries()) {
            await report(site, hosts[turn % 2]!, what, "f");
            await site.clock.advance(2500);
        }
        assert.deepEqual(hosts.map(host => stateOn(host, "f")), [state, state, state]);
        assert.deepEqual(hosts.map(host => stateOn(host, "g")), ["clear", "clear", "clear"]);
        site.group.checkReplicas();
        site.stop();
    });
}

test("a crash is counted once when its report is repeated", async () => {
    const site = new RecordsHosts();
    const a = site.start("a");
    await site.clock.advance(100);
    site.group.script.push("doubled", "lost-answer", "doubled");
    await report(site, a, "alone", "f");
    await site.clock.advance(5000);
    assert.equal(stateOn(a, "f"), "suspect");
    assert.deepEqual(a.quarantine.list().map(mark => mark.crashes), [1]);
    site.stop();
});

test("a crash is known on its own host at once, and reported once the group can be reached again", async () => {
    const site = new RecordsHosts();
    const [a, b] = [site.start("a"), site.start("b")];
    site.group.hasQuorum = false;
    const reported = a.quarantine.reportCrash("f", false);
    assert.equal(stateOn(a, "f"), "suspect");
    assert.ok((await site.settle(reported)).isLeft());
    site.group.heal();
    await site.clock.advance(6000);
    assert.equal(stateOn(b, "f"), "suspect");
    site.stop();
});

test("a mark is known on the other hosts before the report resolves", async () => {
    const network = new FakeNetwork(new FakeClock());
    const ids = ["a", "b"] as HostId[];
    const site = new RecordsHosts({}, id => {
        const peers = network.addHost(id);
        return new PeerMarkAnnouncer(peers, peers, () => ids.filter(other => other !== id));
    });
    const [a, b] = [site.start("a"), site.start("b")];
    await report(site, a, "shared", "f");
    assert.equal(stateOn(b, "f"), "suspect");
    await report(site, b, "alone", "f");
    assert.equal(stateOn(a, "f"), "quarantined");
    await report(site, a, "pardon", "f");
    await site.clock.advance(2500);
    assert.equal(stateOn(b, "f"), "clear");
    site.stop();
});

test("reporting an end without a crash does not wait for the group", async () => {
    const site = new RecordsHosts();
    const [a, b] = [site.start("a"), site.start("b")];
    await report(site, a, "shared", "f");
    site.group.hasQuorum = false;
    const startedMs = site.clock.nowMs();
    await report(site, a, "innocent", "f");
    assert.ok(site.clock.nowMs() - startedMs <= 5);
    assert.equal(stateOn(a, "f"), "clear");
    site.group.heal();
    await site.clock.advance(6000);
    assert.equal(stateOn(b, "f"), "clear");
    site.stop();
});
