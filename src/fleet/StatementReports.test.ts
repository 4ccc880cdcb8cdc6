/** Checks which of several reports on an endpoint counts, in whatever order control hosts receive them. */
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import type { EndpointId } from "../common/Types.js";
import { StatementReports } from "./StatementReports.js";

const seed = 20261204;
const endpoint = "e" as EndpointId;
const limit = { endpoint, matter: "limit" } as const;

async function startReports(): Promise<{ readonly clock: FakeClock; readonly reports: StatementReports; }> {
    const clock = new FakeClock();
    await clock.advance(100_000);
    return { clock, reports: new StatementReports(clock) };
}

test("the statement that was made last counts, in whatever order the reports arrive", async () => {
    const statements = fc.uniqueArray(fc.record({ perSecond: fc.integer({ min: 1, max: 9 }), ageMs: fc.nat(60_000) }), {
        selector: one => one.ageMs,
        minLength: 1,
    });
    await fc.assert(
        fc.asyncProperty(statements, async made => {
            const { reports } = await startReports();
            made.forEach(one => reports.record({ ...limit, ...one }));
            const [latest] = [...made].sort((a, b) => a.ageMs - b.ageMs);
            assert.deepEqual(reports.all(), [{ ...limit, ...latest }]);
        }),
        { seed },
    );
});

test("the tag changes with a limit, and not when the same limit is stated again", async () => {
    const { clock, reports } = await startReports();
    assert.equal(reports.tag, "");
    assert.equal(reports.record({ ...limit, perSecond: 2, ageMs: 0 }), true);
    const { tag } = reports;
    await clock.advance(10);
    assert.equal(reports.record({ ...limit, perSecond: 2, ageMs: 0 }), false);
    assert.equal(reports.tag, tag);
    await clock.advance(10);
    assert.equal(reports.record({ ...limit, ageMs: 0 }), true, "the limit has ended");
    assert.notEqual(reports.tag, tag);
});

test("an old limit does not come back after its end, and reports are forgotten after ten minutes", async () => {
    const { clock, reports } = await startReports();
    reports.record({ ...limit, ageMs: 0 });
    assert.equal(reports.record({ ...limit, perSecond: 2, ageMs: 100 }), false);
    await clock.advance(600_000);
    reports.record({ ...limit, endpoint: "f" as EndpointId, perSecond: 1, ageMs: 0 });
    assert.deepEqual(reports.all().map(one => one.endpoint), ["f"]);
});

test("the number of remembered endpoints is bounded", async () => {
    const { reports } = await startReports();
    for (let at = 0; at < 5000; at++) {
        reports.record({ ...limit, endpoint: `e${at}` as EndpointId, perSecond: 1, ageMs: 0 });
    }
    assert.ok(reports.all().length <= 4096);
});

test("an endpoint's limit and its leaving are two matters", async () => {
    const { clock, reports } = await startReports();
    reports.record({ ...limit, perSecond: 2, ageMs: 0 });
    await clock.advance(10);
    assert.equal(reports.record({ endpoint, matter: "leaving", ageMs: 0 }), true);
    assert.deepEqual(reports.all().map(one => [one.matter, one.perSecond]), [["limit", 2], ["leaving", undefined]]);
});
