/** Checks the bound on events that callers can cause at any rate. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
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
