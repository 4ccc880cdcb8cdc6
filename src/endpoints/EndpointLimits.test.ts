/** Checks which limit on its request rate counts after what an endpoint has stated, and what is logged of it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { noMetrics, silentLog } from "../../testing/FleetFixtures.js";
import type { EndpointId } from "../common/Types.js";
import { EventId } from "../telemetry/Events.js";
import { EndpointLimits } from "./EndpointLimits.js";

const endpoint = "e.1" as EndpointId;
const changed = EventId.EndpointLimitChanged;
const unreadable = EventId.EndpointLimitUnreadable;

const cases: readonly {
    readonly name: string;
    /** What the replies state, in order. */
    readonly stated: readonly (number | undefined)[];
    readonly limit: number | undefined;
    readonly events: readonly EventId[];
}[] = [
    { name: "no limit", stated: [undefined, undefined], limit: undefined, events: [] },
    { name: "the same limit twice", stated: [1.5, 1.5], limit: 1.5, events: [changed] },
    { name: "a lower limit", stated: [9, 1.5], limit: 1.5, events: [changed, changed] },
    { name: "a higher limit", stated: [1.5, 9], limit: 9, events: [changed, changed] },
    { name: "the end of a limit", stated: [1.5, undefined], limit: undefined, events: [changed, changed] },
    { name: "zero", stated: [0], limit: 0.25, events: [changed] },
    { name: "an unreadable limit", stated: [Number.NaN], limit: 0.25, events: [unreadable, changed] },
    { name: "a negative limit", stated: [-3], limit: 0.25, events: [unreadable, changed] },
    { name: "an unreadable limit after another one", stated: [3, Number.NaN], limit: 3, events: [changed, unreadable] },
];
for (const { name, stated, limit, events } of cases) {
    test(`the limit of an endpoint that states ${name}: ${limit ?? "none"}`, () => {
        const logged: EventId[] = [];
        const log = { ...silentLog, event: (event: EventId) => void logged.push(event) };
        const limits = new EndpointLimits(new FakeClock(), log, noMetrics);
        stated.forEach(one => limits.recordReply(endpoint, one));
        assert.equal(limits.perSecond(endpoint), limit);
        assert.deepEqual(logged, events);
        assert.equal(limits.perSecond("e.2" as EndpointId), undefined, "another start of it is not limited");
    });
}

const told: readonly {
    readonly name: string;
    /** Limit in a reply 1 s ago; "none" when no reply has come. */
    readonly read: number | "none";
    readonly told: number | undefined;
    readonly ageMs: number;
    readonly limit: number | undefined;
}[] = [
    { name: "a limit that this host has not met", read: "none", told: 2, ageMs: 5000, limit: 2 },
    { name: "the end of a limit that it has not met", read: "none", told: undefined, ageMs: 0, limit: undefined },
    { name: "a later limit", read: 4, told: 2, ageMs: 500, limit: 2 },
    { name: "an earlier limit", read: 4, told: 2, ageMs: 1500, limit: 4 },
    { name: "the later end of a limit", read: 4, told: undefined, ageMs: 500, limit: undefined },
    { name: "the earlier end of a limit", read: 4, told: undefined, ageMs: 1500, limit: 4 },
];
for (const { name, read, told: perSecond, ageMs, limit } of told) {
    test(`other hosts tell of ${name}: ${limit ?? "no limit"}`, async () => {
        const clock = new FakeClock();
        const limits = new EndpointLimits(clock, silentLog, noMetrics);
        if (read !== "none") {
            limits.recordReply(endpoint, read);
        }
        await clock.advance(1000);
        limits.adopt(endpoint, { perSecond, statedMs: clock.nowMs() - ageMs });
        assert.equal(limits.perSecond(endpoint), limit);
    });
}
