/** Checks which connections are closed when there are too many, without network. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { ConnectionLimit, type ConnectionState } from "./ConnectionLimit.js";

const maxDescriptors = 8;
const whileNewMs = 999;
const pastNewMs = 1000;
/** Connections to endpoints are closed by then. */
const endpointsClosedMs = 9000;

interface Row {
    readonly name: string;
    /** Connections in the order in which they came; each is named by its state and number. */
    readonly before: readonly ConnectionState[];
    /** How long they have been in their states. */
    readonly ageMs: number;
    readonly closed: readonly string[];
}

const rows: readonly Row[] = [
    { name: "none while there is room", before: Array(8).fill("idle"), ageMs: pastNewMs, closed: [] },
    {
        name: "the silent one before idle ones",
        before: ["idle", "idle", "silent", ...Array(6).fill("reading")],
        ageMs: pastNewMs,
        closed: ["silent2"],
    },
    {
        name: "the longest idle one before a new silent one",
        before: ["silent", "idle", "idle", ...Array(6).fill("reading")],
        ageMs: whileNewMs,
        closed: ["idle1"],
    },
    {
        name: "the first of too many silent ones, though they are new",
        before: ["idle", ...Array(8).fill("silent")],
        ageMs: whileNewMs,
        closed: ["silent1"],
    },
    {
        name: "the one that has been incomplete for longest",
        before: Array(9).fill("reading"),
        ageMs: whileNewMs,
        closed: ["reading0"],
    },
    {
        name: "an idle one before an incomplete one",
        before: ["reading", "idle", ...Array(7).fill("reading")],
        ageMs: whileNewMs,
        closed: ["idle1"],
    },
    {
        name: "never one that runs, which counts twice",
        before: ["running", "running", "running", "running", "reading"],
        ageMs: whileNewMs,
        closed: ["reading4"],
    },
    {
        name: "no more than needed for one that runs",
        before: ["running", ...Array(7).fill("idle")],
        ageMs: whileNewMs,
        closed: ["idle1"],
    },
    { name: "none where all run", before: Array(9).fill("running"), ageMs: whileNewMs, closed: [] },
];
for (const { name, before, ageMs, closed } of rows) {
    // Guards against ordinary callers that lose their connections to a crowd, and requests that are lost at endpoints.
    test(`closed for room: ${name}`, async () => {
        const clock = new FakeClock();
        const limit = new ConnectionLimit<string>(clock, maxDescriptors);
        before.forEach((state, at) => limit.place(`${state}${at}`, state));
        await clock.advance(ageMs);
        assert.deepEqual(limit.takeExcess().map(one => one.connection), closed);
        assert.equal(limit.size, before.length - closed.length);
    });
}

// Guards against descriptors that run out since connections to endpoints outlast the requests for which they were made.
test("requests that have ended count for as long as connections to endpoints may be kept", async () => {
    const clock = new FakeClock();
    const limit = new ConnectionLimit<number>(clock, maxDescriptors);
    [0, 1, 2, 3].forEach(one => limit.place(one, "running"));
    [0, 1, 2, 3].forEach(one => limit.remove(one));
    const fill = () => {
        for (let one = 10; one < 30; one++) {
            limit.place(one, "idle");
            limit.takeExcess();
        }
        return limit.size;
    };
    assert.equal(fill(), 4);
    await clock.advance(endpointsClosedMs);
    assert.equal(fill(), 8);
});

// Guards against a kept connection that is closed as if it had been idle since its first request.
test("the time in a state begins anew with each request", () => {
    const clock = new FakeClock();
    const limit = new ConnectionLimit<number>(clock, maxDescriptors);
    for (let one = 0; one < maxDescriptors; one++) {
        limit.place(one, "idle");
    }
    limit.place(0, "reading");
    limit.place(0, "idle");
    limit.place(maxDescriptors, "reading");
    assert.deepEqual(limit.takeExcess(), [{ connection: 1, state: "idle" }]);
});

// Guards against entries of closed connections that keep others out.
test("closed connections leave their room to others", () => {
    const limit = new ConnectionLimit<number>(new FakeClock(), maxDescriptors);
    for (let one = 0; one < 1000; one++) {
        limit.place(one, "reading");
        limit.remove(one);
    }
    assert.equal(limit.size, 0);
    assert.deepEqual(limit.takeExcess(), []);
});
