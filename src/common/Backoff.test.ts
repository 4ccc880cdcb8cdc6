/** Delays after consecutive failures, and minimum delays. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { Backoff } from "./Backoff.js";

test("the delay doubles with each consecutive failure up to the maximum, and resets after a success", () => {
    const clock = new FakeClock();
    const backoff = new Backoff(clock, 100, 500);
    const delays = [1, 2, 3, 4, 5].map(() => {
        backoff.recordFailure();
        return backoff.endMs - clock.nowMs();
    });
    assert.deepEqual(delays, [100, 200, 400, 500, 500]);
    assert.equal(backoff.isElapsed, false);
    backoff.recordSuccess();
    assert.equal(backoff.isElapsed, true);
    backoff.recordFailure();
    assert.equal(backoff.endMs - clock.nowMs(), 100);
});

test("a minimum delay never shortens the delay after a failure", () => {
    const clock = new FakeClock();
    const backoff = new Backoff(clock, 100, 500);
    backoff.recordFailure();
    backoff.waitAtLeast(20);
    assert.equal(backoff.endMs - clock.nowMs(), 100);
    backoff.waitAtLeast(300);
    assert.equal(backoff.endMs - clock.nowMs(), 300);
    assert.equal(backoff.consecutiveFailures, 1);
});
