/** Checks how the chooser spreads requests over endpoints, on this host's own figures and on the fleet's load. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import {
    centreId,
    defaultBounds,
    entryHosts,
    FixedFleet,
    listed,
    service,
    silentLog,
    testNotices,
} from "../../testing/FleetFixtures.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { EndpointChooser } from "./EndpointChooser.js";
import { EndpointTracker } from "./EndpointTracker.js";
import { ColdStartQuota } from "./FleetQuotas.js";
import type { AttemptOutcome, ReplyHead } from "./Types.js";

const reply = {
    status: 200,
    isSigned: true,
    isNotRun: false,
    isEventStream: false,
    isFramed: true,
    hasBody: true,
} as ReplyHead;
const replied: AttemptOutcome = { kind: "replied", reply, body: undefined };

/** Sends requests one after another; returns how many each endpoint has got. */
async function sendSequence(
    count: number,
    replyMs: Readonly<Record<string, number>>,
    remote: readonly string[] = [],
    firstMs: Readonly<Record<string, number>> = replyMs,
    pauseMs = 0,
) {
    const clock = new FakeClock();
    const fleet = new FixedFleet();
    const tracker = new EndpointTracker(fleet, testNotices(clock), clock, silentLog, () => undefined);
    const endpoints = Object.keys(replyMs).map(id =>
        listed(id, { slots: 6, dataCentre: centreId(remote.includes(id) ? "b" : "a") })
    );
    fleet.set({ hosts: entryHosts(1), endpoints });
    const cold = new ColdStartQuota(entryHosts(1)[0]!.host, defaultBounds, fleet, clock);
    const chooser = new EndpointChooser(centreId("a"), cold, new SeededRandom(1));
    const counts = new Map<string, number>();
    for (let at = 0; at < count; at++) {
        const choice = chooser.choose(service("s"), tracker.usable(service("s").id), new Set(), undefined);
        const { record } = choice!;
        const attempt = tracker.startAttempt(record, undefined);
        await clock.advance(counts.has(record.id) ? replyMs[record.id]! : firstMs[record.id]!);
        attempt.recordActivity();
        attempt.recordOutcome(replied);
        counts.set(record.id, (counts.get(record.id) ?? 0) + 1);
        await clock.advance(pauseMs);
    }
    return counts;
}

// Guards against an endpoint that gets nothing while load is low since its replies take 1 ms longer.
test("an endpoint that is 1 ms slower gets its share of requests without a prompt while load is low", async () => {
    const counts = await sendSequence(200, { e0: 5, e1: 4 });
    assert.ok((counts.get("e0") ?? 0) >= 60, `${counts.get("e0")} of 200`);
});

// Guards against an endpoint that is never tried again, since its only reply fell into a slow time of the machine.
test("an endpoint whose only reply was slow is used again within 15 s", async () => {
    const counts = await sendSequence(100, { e0: 5, e1: 5 }, [], { e0: 60, e1: 5 }, 150);
    assert.ok((counts.get("e0") ?? 0) >= 2, `${counts.get("e0")} of 100`);
});

// Guards against chance that also decides between clearly different endpoints.
test("an endpoint that is 2.5 times slower gets few requests without a prompt", async () => {
    const counts = await sendSequence(200, { e0: 50, e1: 20, e2: 20 });
    assert.ok((counts.get("e0") ?? 0) <= 20, `${counts.get("e0")} of 200`);
});

// Guards against traffic between data centres that chance causes.
test("an endpoint of another data centre gets nothing while an equal one of the own data centre is free", async () => {
    const counts = await sendSequence(200, { e0: 20, e1: 20, e2: 20 }, ["e0"]);
    assert.equal(counts.get("e0") ?? 0, 0);
});
