import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { Backoff } from "./Backoff.js";

test("pauses double with each failure in a row, up to the bound, and start anew after a success", () => {
    const clock = new FakeClock();
    const pause = new Backoff(clock, 100, 500);
    const pauses = [1, 2, 3, 4, 5].map(() => {
        pause.recordFailure();
        return pause.endMs - clock.nowMs();
    });
    assert.deepEqual(pauses, [100, 200, 400, 500, 500]);
    assert.equal(pause.isElapsed, false);
    pause.recordSuccess();
    assert.equal(pause.isElapsed, true);
    pause.recordFailure();
    assert.equal(pause.endMs - clock.nowMs(), 100);
});

test("a pause for another reason never shortens one after a failure", () => {
    const clock = new FakeClock();
    const pause = new Backoff(clock, 100, 500);
    pause.recordFailure();
    pause.waitAtLeast(20);
    assert.equal(pause.endMs - clock.nowMs(), 100);
    pause.waitAtLeast(300);
    assert.equal(pause.endMs - clock.nowMs(), 300);
    assert.equal(pause.consecutiveFailures, 1);
});
