/** Checks when a stream may still go to another endpoint. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { route } from "../../testing/FleetFixtures.js";
import { CallerPatience } from "./CallerPatience.js";
import { gapTimeoutMs } from "./SilenceLimits.js";

/** How late a timer fires on a busy host. */
const lateMs = 50;

const cases: readonly { readonly objectiveMs: number; readonly gapMs?: number; readonly replyMs: number; }[] = [
    { objectiveMs: 100, replyMs: 100 },
    { objectiveMs: 500, replyMs: 500 },
    { objectiveMs: 500, gapMs: 250, replyMs: 3000 },
    { objectiveMs: 600, gapMs: 300, replyMs: 3000 },
    { objectiveMs: 2200, gapMs: 300, replyMs: 1000 },
];
for (const { objectiveMs, gapMs, replyMs } of cases) {
    // Guards against streams that stay at an endpoint that is down, since its silence is noticed too late to leave it.
    test(`a silence is noticed in time for another endpoint: objective ${objectiveMs} ms, gap ${gapMs} ms, reply ${replyMs} ms`, async () => {
        const clock = new FakeClock();
        const stream = route({ kind: "resumable", objectiveMs, gapMs });
        const arrivedMs = clock.nowMs();
        const patience = new CallerPatience({
            route: stream,
            arrivedMs,
            deadlineMs: arrivedMs + 15_000,
            replyMs,
            clock,
            isAtEndpoint: () => true,
            isBlocked: () => false,
            onRunOut: () => undefined,
        });
        patience.recordEvent();
        await clock.advance((gapTimeoutMs(stream) ?? 0) + lateMs);
        assert.equal(patience.leavesTimeForAttempt, true);
    });
}
