import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { EventId } from "./Events.js";
import { LogSampler, SampledEventLog } from "./LogSampler.js";
import type { EventFields, EventLog } from "./Types.js";

class Site {
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

    /** Requests of which an event was written. */
    public requests(id: EventId): readonly unknown[] {
        return this.written.filter(one => one.id === id).map(one => one.fields["request"]);
    }
}

const ids = Array.from({ length: 640 }, (_, at) => `request-${at}`);

const shares = [
    { fill: 0, from: 640, to: 640 },
    { fill: 0.07, from: 120, to: 200 },
    { fill: 0.13, from: 25, to: 60 },
    { fill: 0.5, from: 2, to: 25 },
    { fill: 1, from: 2, to: 25 },
];

for (const { fill, from, to } of shares) {
    test(`a buffer that is ${fill * 100} % full: between ${from} and ${to} of 640 requests are kept, whole`, () => {
        const site = new Site();
        site.pressure.share = fill;
        for (const request of ids) {
            site.log.event(EventId.GatewayRequestTaken, { request });
            site.log.event(EventId.EndpointAttemptEnded, { request, end: "replied", status: 200 });
            site.log.event(EventId.GatewayRequestEnded, { request, outcome: "answered" });
        }
        const kept = site.requests(EventId.GatewayRequestTaken);
        assert.ok(kept.length >= from && kept.length <= to, `${kept.length} kept`);
        assert.deepEqual(site.requests(EventId.EndpointAttemptEnded), kept);
        assert.deepEqual(site.requests(EventId.GatewayRequestEnded), kept);
    });
}

test("a host under more pressure keeps requests that a host under less keeps too", () => {
    const [less, more] = [new Site(), new Site()];
    less.pressure.share = 0.07;
    more.pressure.share = 0.13;
    for (const request of ids) {
        less.log.event(EventId.PiecesSubmitted, { request });
        more.log.event(EventId.BatchEnded, { requests: [request], outcome: "made" });
    }
    const kept = less.requests(EventId.PiecesSubmitted);
    const deeper = more.written.filter(one => one.id === EventId.BatchEnded).flatMap(one => one.fields["requests"]);
    assert.ok(deeper.length > 0);
    assert.ok(deeper.every(request => kept.includes(request)));
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
        const site = new Site();
        site.pressure.share = 1;
        ids.forEach(request => site.log.event(id, { ...fields, request }));
        assert.equal(site.requests(id).length, ids.length);
    });
}

test("what was left out and dropped is told, no more often than every 5 s, and the level holds for a while", async () => {
    const site = new Site();
    site.pressure.share = 0.3;
    ids.forEach(request => site.log.event(EventId.PiecesSubmitted, { request }));
    site.pressure.share = 0;
    site.pressure.dropped = 7;
    const before = site.requests(EventId.PiecesSubmitted).length;
    ids.forEach(request => site.log.event(EventId.PiecesSubmitted, { request }));
    assert.ok(site.requests(EventId.PiecesSubmitted).length < before + 100, "the level holds");
    await site.clock.advance(6000);
    ids.forEach(request => site.log.event(EventId.PiecesSubmitted, { request }));
    assert.ok(site.requests(EventId.PiecesSubmitted).length >= 640, "all are written again");
    const told = site.written.filter(one => one.id === EventId.LogLinesLeftOut).map(one => one.fields);
    assert.equal(told.length, 2);
    assert.equal(told.reduce((sum, one) => sum + Number(one["dropped"]), 0), 7);
});
