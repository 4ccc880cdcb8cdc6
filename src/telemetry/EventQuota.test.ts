/** Checks the bound on events that callers can cause at any rate. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { EventQuota } from "./EventQuota.js";
import { EventId } from "./Events.js";
import type { EventFields, EventLog } from "./Types.js";

// Guards against a log that grows, and takes processor time, at the rate of a crowd.
test("events beyond the quota of a second are counted in the next line", async () => {
    const lines: EventFields[] = [];
    const log: EventLog = { event: (_, fields = {}) => lines.push(fields), with: () => log };
    const clock = new FakeClock();
    const quota = new EventQuota(log, clock, 2);
    for (let at = 0; at < 5; at++) {
        quota.event(EventId.CallerBroken, { at });
    }
    quota.event(EventId.CallerConnectionClosed, { at: 5 });
    await clock.advance(1000);
    quota.event(EventId.CallerBroken, { at: 6 });
    quota.event(EventId.CallerBroken, { at: 7 });
    assert.deepEqual(lines, [{ at: 0 }, { at: 1 }, { at: 5 }, { at: 6, leftOut: 3 }, { at: 7 }]);
});

// Guards against a log whose buffer is filled by what clients send, so that other lines are dropped.
test("of many events within a second one is logged, and the next one says how many were left out", async () => {
    const clock = new FakeClock();
    const log = new MemoryLog();
    const quota = new EventQuota(log, clock, 1);
    for (let at = 0; at < 1000; at++) {
        quota.event(EventId.PeerRejected, { peer: "a" });
    }
    await clock.advance(1000);
    quota.event(EventId.PeerRejected, { peer: "b" });
    await clock.advance(1000);
    quota.event(EventId.PeerRejected, { peer: "c" });
    assert.deepEqual(log.events.map(({ fields }) => fields), [{ peer: "a" }, { peer: "b", leftOut: 999 }, {
        peer: "c",
    }]);
});
