/** Checks what a host believes of data centres that it, or other hosts beside it, can't reach. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { centreId, FixedFleet, listed, serviceId, silentLog, testNotices } from "../../testing/FleetFixtures.js";
import { EndpointTracker } from "./EndpointTracker.js";
import type { AttemptOutcome } from "./Types.js";

const timedOut: AttemptOutcome = { kind: "unsent", message: "no connection", isSilent: true };

async function startTracker() {
    const clock = new FakeClock();
    await clock.advance(10_000);
    const fleet = new FixedFleet();
    const tracker = new EndpointTracker(fleet, testNotices(clock), clock, silentLog, () => undefined);
    const endpoints = ["b1", "b2", "c1"].map(id => listed(id, { dataCentre: centreId(id.charAt(0)) }));
    fleet.set({ endpoints });
    const suspects = () => tracker.usable(serviceId("s")).filter(one => one.isSuspect).map(one => one.id);
    const end = async (id: string, outcome: AttemptOutcome, takenMs: number) => {
        const record = tracker.usable(serviceId("s")).find(one => one.id === id)!;
        const attempt = tracker.startAttempt(record, undefined);
        await clock.advance(takenMs);
        if (outcome.kind !== "unsent") {
            attempt.recordActivity();
        }
        attempt.recordOutcome(outcome);
    };
    return { clock, fleet, suspects, end };
}

const replied: AttemptOutcome = {
    kind: "replied",
    reply: {
        status: 200,
        requestId: undefined,
        isSigned: true,
        isNotRun: false,
        isEventStream: false,
        isFramed: true,
        hasBody: true,
        forwarded: [],
    },
    body: undefined,
};

test("a data centre that other hosts can't reach is avoided without a time-out of one's own", async () => {
    const { fleet, suspects } = await startTracker();
    assert.deepEqual(suspects(), []);
    fleet.set({ cutOff: new Set([centreId("b")]) });
    assert.deepEqual(suspects(), ["b1", "b2"]);
    fleet.set({ cutOff: new Set() });
    assert.deepEqual(suspects(), []);
});

test("a host that has just reached the data centre contradicts the others and goes on using it", async () => {
    const { fleet, suspects, end } = await startTracker();
    await end("b1", replied, 20);
    fleet.set({ cutOff: new Set([centreId("b")]) });
    assert.deepEqual(suspects(), []);
    assert.deepEqual(fleet.reachReports.map(one => [one.dataCentre, one.isReached]), [["b", true]]);
});

test("a time-out is reported while the data centre is quiet, not while others of its endpoints reply", async () => {
    const { fleet, end } = await startTracker();
    await end("b1", timedOut, 200);
    assert.deepEqual(fleet.reachReports, [{ endpoint: "b1", dataCentre: "b", isReached: false }]);
    await end("c1", replied, 20);
    await end("c1", timedOut, 200);
    assert.equal(fleet.reachReports.length, 1);
});

test("a reply from a data centre that is told to be cut off is reported", async () => {
    const { fleet, suspects, end } = await startTracker();
    fleet.set({ cutOff: new Set([centreId("b")]) });
    await end("b2", replied, 20);
    assert.deepEqual(fleet.reachReports.map(one => one.isReached), [true]);
    assert.deepEqual(suspects(), []);
});

// Guards against a cut-off host that avoids all endpoints for seconds, since the hosts that it asked were slow.
test("failures that no other host could judge make an endpoint suspect for a short time, however many there are", async () => {
    const { clock, suspects, end } = await startTracker();
    for (const isConfirmed of [false, true]) {
        for (let failures = 0; failures < 6; failures++) {
            await end("b1", { kind: "unsent", message: "refused", isSilent: false, isConfirmed }, 10);
            assert.deepEqual(suspects(), ["b1"]);
        }
        await clock.advance(300);
        assert.deepEqual(suspects(), isConfirmed ? ["b1"] : []);
    }
});
