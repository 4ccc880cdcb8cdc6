/** How often an event is logged that clients cause. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { EventId } from "./Events.js";
import { RepeatedEvent } from "./RepeatedEvent.js";

// Guards against a log whose buffer is filled by what clients send, so that other lines are dropped.
test("of many events within a second one is logged, and the next one says how many were left out", async () => {
    const clock = new FakeClock();
    const log = new MemoryLog();
    const event = new RepeatedEvent(EventId.PeerRejected, log, clock);
    for (let at = 0; at < 1000; at++) {
        event.record({ peer: "a" });
    }
    await clock.advance(1000);
    event.record({ peer: "b" });
    await clock.advance(1000);
    event.record({ peer: "c" });
    assert.deepEqual(log.events.map(({ fields }) => fields), [{ peer: "a" }, { peer: "b", leftOut: 999 }, {
        peer: "c",
    }]);
});
