/** Checks the bounds on the reports and on the results of changes that a control host keeps. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { putDocument } from "../../testing/ConfigCluster.js";
import { FakeClock } from "../../testing/FakeClock.js";
import type { ChangeId, HostId } from "../common/Types.js";
import { ChangeResultWindow, maxStoredResults } from "./ChangeResultWindow.js";
import { ConfigDistribution } from "./ConfigDistribution.js";

test("reports of hosts are bounded in number and age", async () => {
    const clock = new FakeClock();
    const source = { committed: () => undefined, isCurrent: () => true, confirm: async () => true };
    const distribution = new ConfigDistribution(source, clock);
    for (let host = 0; host < 5000; host++) {
        distribution.report(`host-${host}` as HostId, 1);
    }
    assert.equal(distribution.listReports().length, 4096);
    await clock.advance(700_000);
    distribution.report("late" as HostId, 2);
    assert.deepEqual(distribution.listReports().map(report => report.host), ["late"]);
});

test("stored results of changes are bounded in number and size, evicted oldest first, and restored in order", () => {
    const window = new ChangeResultWindow();
    const accepted = { kind: "accepted", version: 1, documentVersion: 1 } as const;
    for (let change = 0; change <= maxStoredResults; change++) {
        window.add(putDocument(`c${change}`, "base", change, "text"), accepted);
    }
    assert.equal(window.list().length, maxStoredResults);
    assert.equal(window.find("c0"), undefined);
    assert.deepEqual(window.find("c1")?.result, accepted);
    const winner = { id: "w" as ChangeId, text: "x".repeat(1_000_000) };
    for (let change = 0; change < 10; change++) {
        window.add(putDocument(`large${change}`, "base", 1, "text"), { kind: "conflict", documentVersion: 2, winner });
    }
    assert.ok(window.list().length <= 4);
    const copy = new ChangeResultWindow();
    copy.restore(window.list());
    assert.deepEqual(copy.list(), window.list());
});
