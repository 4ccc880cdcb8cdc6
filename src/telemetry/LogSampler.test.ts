/** Checks which log lines are left out while the line buffer fills up, and that these are reported. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { EventId } from "./Events.js";
import { LogSampler, SampledEventLog } from "./LogSampler.js";
import type { EventFields, EventLog } from "./Types.js";

class SampledLog {
    public readonly clock = new FakeClock();
    public readonly written: { readonly id: EventId; readonly fields: EventFields; }[] = [];
    public readonly pressure = {
        share: 0,
        dropped: 0,
        fill: () => this.pressure.share,
        droppedLines: () => this.pressure.dropped,
    };
    public readonly log: EventLog;

    public constructor() {
        const inner: EventLog = {
            event: (id, fields = {}) => this.written.push({ id, fields }),
            with: () => inner,
        };
        this.log = new SampledEventLog(inner, new LogSampler(this.pressure, this.clock));
    }

    /** Requests for which the event was written. */
    public requests(id: EventId): readonly unknown[] {
        return this.written.filter(one => one.id === id).map(one => one.fields["request"]);
    }
}

const requestIds = Array.from({ length: 640 }, (_, at) => `request-${at}`);

const fillCases = [
    { fill: 0, from: 640, to: 640 },
    { fill: 0.07, from: 120, to: 200 },
    { fill: 0.13, from: 25, to: 60 },
    { fill: 0.5, from: 2, to: 25 },
    { fill: 1, from: 2, to: 25 },
];

for (const { fill, from, to } of fillCases) {
    test(`with a buffer that is ${fill * 100} % full, ${from} to ${to} of 640 requests keep all their lines`, () => {
        const sampled = new SampledLog();
        sampled.pressure.share = fill;
        for (const request of requestIds) {
            sampled.log.event(EventId.GatewayRequestTaken, { request });
            sampled.log.event(EventId.EndpointAttemptEnded, { request, end: "replied", status: 200 });
            sampled.log.event(EventId.GatewayRequestEnded, { request, outcome: "answered" });
        }
        const kept = sampled.requests(EventId.GatewayRequestTaken);
        assert.ok(kept.length >= from && kept.length <= to, `${kept.length} kept`);
        assert.deepEqual(sampled.requests(EventId.EndpointAttemptEnded), kept);
        assert.deepEqual(sampled.requests(EventId.GatewayRequestEnded), kept);
    });
}

test("requests kept by a host under more pressure are also kept by a host under less", () => {
    const [less, more] = [new SampledLog(), new SampledLog()];
    less.pressure.share = 0.07;
    more.pressure.share = 0.13;
    for (const request of requestIds) {
        less.log.event(EventId.PiecesSubmitted, { request });
        more.log.event(EventId.BatchEnded, { requests: [request], outcome: "made" });
    }
    const kept = less.requests(EventId.PiecesSubmitted);
    const keptByMore = more.written.filter(one => one.id === EventId.BatchEnded).flatMap(one => one.fields["requests"]);
    assert.ok(keptByMore.length > 0);
    assert.ok(keptByMore.every(request => kept.includes(request)));
});

const alwaysKept: readonly { readonly id: EventId; readonly fields: EventFields; }[] = [
    { id: EventId.GatewayRequestEnded, fields: { outcome: "overloaded" } },
    { id: EventId.EndpointAttemptEnded, fields: { end: "replied", status: 500 } },
    { id: EventId.EndpointAttemptEnded, fields: { end: "broken" } },
    { id: EventId.PiecesEnded, fields: { outcome: { kind: "failed" } } },
    { id: EventId.BatchEnded, fields: { outcome: "no reply in 1000 ms" } },
    { id: EventId.RequestRefused, fields: {} },
    { id: EventId.FleetViewChanged, fields: {} },
];

for (const { id, fields } of alwaysKept) {
    test(`${EventId[id]} ${JSON.stringify(fields)} is never left out`, () => {
        const sampled = new SampledLog();
        sampled.pressure.share = 1;
        requestIds.forEach(request => sampled.log.event(id, { ...fields, request }));
        assert.equal(sampled.requests(id).length, requestIds.length);
    });
}

test("lines left out and dropped are reported at most every 5 s, and a level holds for a minimum time", async () => {
    const sampled = new SampledLog();
    sampled.pressure.share = 0.3;
    requestIds.forEach(request => sampled.log.event(EventId.PiecesSubmitted, { request }));
    sampled.pressure.share = 0;
    sampled.pressure.dropped = 7;
    const before = sampled.requests(EventId.PiecesSubmitted).length;
    requestIds.forEach(request => sampled.log.event(EventId.PiecesSubmitted, { request }));
    assert.ok(sampled.requests(EventId.PiecesSubmitted).length < before + 100, "the level still holds");
    await sampled.clock.advance(6000);
    requestIds.forEach(request => sampled.log.event(EventId.PiecesSubmitted, { request }));
    assert.ok(sampled.requests(EventId.PiecesSubmitted).length >= 640, "all lines are written again");
    const reports = sampled.written.filter(one => one.id === EventId.LogLinesLeftOut).map(one => one.fields);
    assert.equal(reports.length, 2);
    assert.equal(reports.reduce((sum, one) => sum + Number(one["dropped"]), 0), 7);
});
