/**
 * Checks what a host remembers of endpoints that leave or ask for a pause: by start rather than address, and with ends
 * of pauses that differ between hosts.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { FixedFleet, listed, serviceId, silentLog, testNotices } from "../../testing/FleetFixtures.js";
import { SeededRandom } from "../common/SeededRandom.js";
import type { EndpointId } from "../common/Types.js";
import { EndpointTracker } from "../gateway/EndpointTracker.js";
import { EventId } from "../telemetry/Events.js";

const id = (text: string) => text as EndpointId;

/** One host that follows a list of endpoints. */
function startHost() {
    const clock = new FakeClock();
    const notices = testNotices(clock);
    const fleet = new FixedFleet();
    const tracker = new EndpointTracker(fleet, notices, clock, silentLog, () => undefined);
    const usable = () => tracker.usable(serviceId("s")).map(one => one.id);
    return { clock, notices, fleet, usable };
}

test("an endpoint that says it is leaving is not used, although the list still calls it ready", () => {
    const { notices, fleet, usable } = startHost();
    fleet.set({ endpoints: [listed("e.1"), listed("f.1")] });
    notices.observe(id("e.1"), 200, { leaving: "1" });
    assert.deepEqual(usable(), ["f.1"]);
    fleet.set({ endpoints: [listed("e.1"), listed("f.1")] });
    assert.deepEqual(usable(), ["f.1"], "the same start is listed again");
});

test("another start under the same name and address is used at once", () => {
    const { notices, fleet, usable } = startHost();
    fleet.set({ endpoints: [listed("e.1", { instance: "e", address: "10.0.0.1:80" })] });
    notices.observe(id("e.1"), 503, { leaving: "1" });
    assert.deepEqual(usable(), []);
    fleet.set({ endpoints: [listed("e.2", { instance: "e", address: "10.0.0.1:80" })] });
    assert.deepEqual(usable(), ["e.2"]);
    fleet.set({ endpoints: [listed("other.1", { instance: "other", address: "10.0.0.1:80" })] });
    assert.deepEqual(usable(), ["other.1"], "an endpoint that has taken over the address");
});

const unusable = ["", "soon", "-1", "NaN", "Infinity", "1e9"];
for (const pause of unusable) {
    test(`a pause of "${pause}" ms is ignored with a log line`, () => {
        const clock = new FakeClock();
        const events: unknown[] = [];
        const log = { ...silentLog, event: (event: EventId) => void events.push(event) };
        const notices = testNotices(clock, new SeededRandom(1), log);
        notices.observe(id("e"), 503, { pause: pause === "" ? "x" : pause });
        assert.equal(notices.isPaused(id("e")), false);
        assert.deepEqual(events, [EventId.EndpointPauseIgnored]);
    });
}

test("a shorter pause does not end a longer one", async () => {
    const { clock, notices } = startHost();
    notices.observe(id("e"), 503, { pause: "1000" });
    notices.observe(id("e"), 503, { pause: "100" });
    await clock.advance(999);
    assert.equal(notices.isPaused(id("e")), true);
    await clock.advance(300);
    assert.equal(notices.isPaused(id("e")), false);
});

test("195 hosts return to a paused endpoint one after the other, and none before the end of the pause", () => {
    const clock = new FakeClock();
    const pauseMs = 2000;
    const hosts = 195;
    const ends = Array.from({ length: hosts }, (_, at) => {
        const notices = testNotices(clock, new SeededRandom(at + 1));
        notices.observe(id("e"), 503, { pause: String(pauseMs) });
        return notices.pauseEndMs(id("e")) - clock.nowMs();
    }).sort((a, b) => a - b);
    assert.ok(ends[0]! >= pauseMs);
    const mostWithin = (ms: number) =>
        Math.max(...ends.map(end => ends.filter(at => at >= end && at < end + ms).length));
    assert.ok(mostWithin(10) <= hosts / 10, `${mostWithin(10)} hosts within 10 ms`);
});

test("the number of remembered endpoints is bounded", () => {
    const { notices } = startHost();
    for (let at = 0; at < 5000; at++) {
        notices.observe(id(`e${at}`), 503, { leaving: "1", pause: "60000" });
    }
    assert.equal(notices.isLeaving(id("e0")) || notices.isPaused(id("e0")), false);
    assert.ok(notices.isLeaving(id("e4999")) && notices.isPaused(id("e4999")));
});
