/** Tests which recorded histories of a fleet count as violations; guards against checks that miss a violation. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { answerOf, type CallerEnd, eventOf, FleetHistory, streamEvents } from "./FleetHistory.js";

const events = (from: number, to: number, version: string = "v1") =>
    Array.from({ length: to - from + 1 }, (_, at) => eventOf("r1", from + at, version)).join("");
const whole = events(1, streamEvents);

function end(fields: Partial<CallerEnd>): CallerEnd {
    return {
        request: "r1",
        kind: "once",
        host: "h1",
        sentMs: 100,
        endedMs: 200,
        status: 200,
        body: answerOf("r1"),
        isWhole: true,
        wasSent: true,
        isFresh: true,
        ...fields,
    };
}

const run = { request: "r1", endpoint: "e1", atMs: 150 };
const stop = { host: "h1", fromMs: 150, toMs: 400 };

/** A host answers a request at 0 s and sends more, one each `gapMs`, to an endpoint that takes one a second. */
function sendToLimited(history: FleetHistory, count: number, gapMs: number, fromMs: number = 4000): void {
    history.limits.push({ endpoint: "e1", perSecond: 1, fromMs: 0, toMs: 60_000 });
    const times = [0, ...Array.from({ length: count }, (_, at) => fromMs + at * gapMs)];
    times.forEach((atMs, at) => {
        const request = `limited-${at}`;
        history.arrivals.push({ request, endpoint: "e1", atMs });
        history.ends.push(end({ request, kind: "idempotent", body: answerOf(request), endedMs: atMs + 10 }));
    });
}

/** A host answers a request with a reply of a leaving endpoint, and sends it more after it has known that for long. */
function sendUnwanted(history: FleetHistory, count: number): void {
    history.unwanted.push({ endpoint: "e1", fromMs: 0, toMs: 5000 });
    [0, ...Array.from({ length: count }, (_, at) => 1000 + at)].forEach((atMs, at) => {
        const request = `unwanted-${at}`;
        history.arrivals.push({ request, endpoint: "e1", atMs });
        history.ends.push(end({ request, kind: "idempotent", body: answerOf(request), endedMs: atMs + 10 }));
    });
}

/** A stream breaks off after two events, and its caller gets the rest from a version. */
function resume(history: FleetHistory, version: string): void {
    const resumed = { request: "r1", lastEvent: 2 };
    const body = events(3, streamEvents, version);
    history.ends.push(end({ kind: "resumable", body: events(1, 2), isWhole: false }));
    history.ends.push(end({ request: "r2", kind: "resumable", resumed, body }));
}

interface Case {
    readonly name: string;
    readonly change: (history: FleetHistory) => void;
    readonly isBroken: boolean;
}

const cases: readonly Case[] = [
    { name: "a request that ran once and was answered", change: one => one.ends.push(end({})), isBroken: false },
    {
        name: "a non-idempotent request that ran twice",
        change: one => (one.runs.push(run), one.ends.push(end({}))),
        isBroken: true,
    },
    {
        name: "an idempotent request that ran twice",
        change: one => (one.runs.push(run), one.ends.push(end({ kind: "idempotent" }))),
        isBroken: false,
    },
    {
        name: "a refusal of a request that ran",
        change: one => one.ends.push(end({ status: 503, body: "" })),
        isBroken: true,
    },
    {
        name: "an ambiguous status for a request that ran",
        change: one => one.ends.push(end({ status: 502, body: "" })),
        isBroken: false,
    },
    {
        name: "the answer of another request",
        change: one => one.ends.push(end({ body: answerOf("r2") })),
        isBroken: true,
    },
    {
        name: "a complete stream",
        change: one => one.ends.push(end({ kind: "resumable", body: whole })),
        isBroken: false,
    },
    {
        name: "a stream that is cut after an event",
        change: one => one.ends.push(end({ kind: "resumable", body: events(1, 1), isWhole: false })),
        isBroken: false,
    },
    {
        name: "a short stream that looks complete",
        change: one => one.ends.push(end({ kind: "resumable", body: events(1, 1) })),
        isBroken: true,
    },
    {
        name: "a stream with a duplicate event",
        change: one => one.ends.push(end({ kind: "resumable", body: events(1, 1) + events(1, 1), isWhole: false })),
        isBroken: true,
    },
    {
        name: "a stream with events of two versions",
        change: one => one.ends.push(end({ kind: "resumable", body: events(1, 2) + events(3, streamEvents, "v2") })),
        isBroken: true,
    },
    {
        name: "a stream that a caller takes up again at the version that began it",
        change: one => resume(one, "v1"),
        isBroken: false,
    },
    {
        name: "a stream that a caller takes up again at another version",
        change: one => resume(one, "v2"),
        isBroken: true,
    },
    {
        name: "an older configuration read after an acknowledgement",
        change: one => (one.acks.push({ version: 5, atMs: 100 }), one.reads.push({ version: 4, sentMs: 101 })),
        isBroken: true,
    },
    {
        name: "an older configuration read before the acknowledgement",
        change: one => (one.acks.push({ version: 5, atMs: 100 }), one.reads.push({ version: 4, sentMs: 99 })),
        isBroken: false,
    },
    {
        name: "a request cut off by a planned stop",
        change: one => (one.stops.push(stop), one.ends.push(end({ status: 0, isWhole: false }))),
        isBroken: true,
    },
    {
        name: "a request cut off by a planned stop during another fault",
        change: one => (one.stops.push(stop), one.faults.push(stop), one.ends.push(end({ status: 0, isWhole: false }))),
        isBroken: false,
    },
    {
        name: "a request cut off on a connection opened after the load balancer's lag",
        change:
            one => (one.stops.push({ ...stop, fromMs: 0 }),
                one.ends.push(end({ status: 0, isWhole: false, sentMs: 2100, endedMs: 2200 })),
                one.stops.push({ host: "h1", fromMs: 50, toMs: 2300 })),
        isBroken: false,
    },
    {
        name: "a request cut off by a stopping host on a reused connection",
        change:
            one => (one.stops.push({ host: "h1", fromMs: 50, toMs: 2300 }),
                one.ends.push(end({ status: 0, isWhole: false, isFresh: false, sentMs: 2100, endedMs: 2200 }))),
        isBroken: true,
    },
    {
        name: "a request cut off beside a change of the configuration",
        change: one => (one.acks.push({ version: 2, atMs: 50 }), one.ends.push(end({ status: 0, isWhole: false }))),
        isBroken: true,
    },
    {
        name: "a request cut off beside a change of the configuration and a fault",
        change:
            one => (one.acks.push({ version: 2, atMs: 50 }),
                one.faults.push(stop),
                one.ends.push(end({ status: 0, isWhole: false }))),
        isBroken: false,
    },
    {
        name: "as many requests as the limit of an endpoint allows",
        change: one => sendToLimited(one, 11, 300),
        isBroken: false,
    },
    {
        name: "more requests in a window than the limit of an endpoint allows",
        change: one => sendToLimited(one, 12, 300),
        isBroken: true,
    },
    {
        name: "too many requests just after an endpoint has stated its limit",
        change: one => sendToLimited(one, 12, 100, 1000),
        isBroken: false,
    },
    {
        name: "too many requests to a limited endpoint from a host with a fault",
        change: one => (one.faults.push({ host: "h1", fromMs: 4000, toMs: 5000 }), sendToLimited(one, 12, 300)),
        isBroken: false,
    },
    {
        name: "two requests to an endpoint from a host that knows that it is leaving",
        change: one => sendUnwanted(one, 2),
        isBroken: false,
    },
    {
        name: "three requests to an endpoint from a host that knows that it is leaving",
        change: one => sendUnwanted(one, 3),
        isBroken: true,
    },
    {
        name: "three requests to a leaving endpoint from a host that has been started anew",
        change: one => (one.faults.push({ host: "h1", fromMs: 500, toMs: 900 }), sendUnwanted(one, 3)),
        isBroken: false,
    },
    {
        name: "a request that was never sent to a stopping host",
        change: one => (one.stops.push(stop), one.ends.push(end({ status: 0, isWhole: false, wasSent: false }))),
        isBroken: false,
    },
];

for (const { name, change, isBroken } of cases) {
    test(`${name}: ${isBroken ? "is a violation" : "is allowed"}`, () => {
        const history = new FleetHistory();
        history.runs.push(run);
        change(history);
        assert.equal(history.broken().length > 0, isBroken, history.broken().join("; "));
    });
}
