/** Checks when a data centre counts as cut off, and how many requests of a fleet then meet time-outs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { DataCentreId, EndpointId, HostId } from "../common/Types.js";
import { CutReports } from "./CutReports.js";

const a = "a" as DataCentreId;

function reportOf(host: string, to: string, endpoint: string, isReached: boolean = false, ageMs: number = 0) {
    return {
        host: host as HostId,
        from: a,
        to: to as DataCentreId,
        endpoint: endpoint as EndpointId,
        isReached,
        ageMs,
    };
}

const cases: readonly {
    readonly name: string;
    readonly reports: readonly ReturnType<typeof reportOf>[];
    readonly cutOff: readonly string[];
}[] = [
    { name: "no report", reports: [], cutOff: [] },
    { name: "one host", reports: [reportOf("h1", "b", "e1"), reportOf("h1", "b", "e2")], cutOff: [] },
    {
        name: "several hosts, one endpoint",
        reports: [reportOf("h1", "b", "e1"), reportOf("h2", "b", "e1")],
        cutOff: [],
    },
    {
        name: "several hosts and endpoints",
        reports: [reportOf("h1", "b", "e1"), reportOf("h2", "b", "e2")],
        cutOff: ["b"],
    },
    {
        name: "reached by another host later",
        reports: [
            reportOf("h1", "b", "e1", false, 200),
            reportOf("h2", "b", "e2", false, 100),
            reportOf("h3", "b", "e3", true),
        ],
        cutOff: [],
    },
    {
        name: "reached earlier",
        reports: [
            reportOf("h3", "b", "e3", true, 300),
            reportOf("h1", "b", "e1", false, 200),
            reportOf("h2", "b", "e2"),
        ],
        cutOff: ["b"],
    },
    { name: "old reports", reports: [reportOf("h1", "b", "e1", false, 2600), reportOf("h2", "b", "e2")], cutOff: [] },
    {
        name: "two data centres",
        reports: ["b", "c"].flatMap(to => [reportOf("h1", to, `${to}1`), reportOf("h2", to, `${to}2`)]),
        cutOff: ["b", "c"],
    },
];
for (const { name, reports, cutOff } of cases) {
    test(`cut off after reports of ${name}: ${cutOff.join(", ") || "none"}`, async () => {
        const clock = new FakeClock();
        await clock.advance(5000);
        const collected = new CutReports(clock);
        reports.forEach(one => collected.record(one));
        assert.deepEqual(collected.cutOffFrom(a), cutOff);
        assert.deepEqual(collected.cutOffFrom("z" as DataCentreId), []);
        await clock.advance(2500);
        assert.deepEqual([collected.cutOffFrom(a), collected.recent()], [[], []], "reports expire");
    });
}

test("reports that control hosts pass on arrive at the same belief, in any order", async () => {
    const clock = new FakeClock();
    await clock.advance(5000);
    const first = new CutReports(clock);
    first.record(reportOf("h1", "b", "e1"));
    await clock.advance(100);
    first.record(reportOf("h2", "b", "e2"));
    const second = new CutReports(clock);
    [...first.recent()].reverse().forEach(one => assert.equal(second.record(one), true));
    assert.deepEqual(second.cutOffFrom(a), ["b"]);
    assert.equal(first.recent().some(one => second.record(one)), false, "known reports are not new");
});

/** Counts the requests of 39 hosts that meet a time-out while a fifth of the endpoints is cut off for 5.5 s. */
async function timeoutsInCut(isShared: boolean): Promise<number> {
    const hosts = 39;
    const stepMs = 20;
    const requestsPerStep = hosts * 1.2 * stepMs / 1000;
    const timeoutMs = 200;
    /** From a report to all hosts of the data centre: a message, two exchanges of control hosts, the held poll. */
    const tellMs = 500;
    const clock = new FakeClock();
    const random = new SeededRandom(1);
    const reports = new CutReports(clock);
    let timeouts = 0;
    let told = false;
    await clock.advance(5000);
    for (let atMs = 0; atMs < 5500; atMs += stepMs) {
        const isCutOff = reports.cutOffFrom(a).length > 0;
        if (isCutOff !== told) {
            clock.setTimer(tellMs, () => told = isCutOff);
        }
        if (random.next() < requestsPerStep && random.next() < 0.2 && !(isShared && told)) {
            timeouts += 1;
            const report = reportOf(`h${random.below(hosts)}`, "b", `e${random.below(10)}`);
            clock.setTimer(timeoutMs, () => void reports.record(report));
        }
        await clock.advance(stepMs);
    }
    return timeouts;
}

test("a data centre cut: a fleet that shares its time-outs meets less than half of those it meets alone", async () => {
    const alone = await timeoutsInCut(false);
    const shared = await timeoutsInCut(true);
    assert.ok(shared < alone / 2, `${shared} time-outs, ${alone} alone`);
});
