import assert from "node:assert/strict";
import { test } from "node:test";
import { centreId, submission } from "../../testing/FleetFixtures.js";
import { PieceQueue, type QueuedSubmission, type TakeLimits } from "./PieceQueue.js";
import type { Submission } from "./Types.js";

const nowMs = 10_000;

function waiting(fields: Partial<Submission>): QueuedSubmission {
    const one = submission(fields);
    return {
        submission: one,
        startByMs: nowMs + one.startInMs,
        deadlineMs: nowMs + one.remainingMs,
        pieces: [...one.pieces],
        isStarted: false,
        unreachableFrom: new Set(),
        dataCentre: one.dataCentre,
    };
}

const anywhere: TakeLimits = {
    pieces: 3,
    availableBytes: 100,
    dataCentre: centreId("a"),
    served: new Set([centreId("a"), centreId("b")]),
};

interface OrderCase {
    readonly name: string;
    readonly added: readonly Partial<Submission>[];
    readonly limits?: Partial<TakeLimits>;
    /** Requests of the pieces taken, in order. */
    readonly taken: readonly string[];
}

const orderCases: readonly OrderCase[] = [
    {
        name: "the earliest latest start goes first",
        added: [{ request: "later", startInMs: 900 }, { request: "sooner", startInMs: 300 }],
        taken: ["sooner", "later"],
    },
    {
        name: "what is late goes after what can be on time",
        added: [{ request: "late", startInMs: -50 }, { request: "on-time", startInMs: 2000 }],
        taken: ["on-time", "late"],
    },
    {
        name: "what is just not late counts as late, since later steps vary",
        added: [{ request: "barely", startInMs: 30 }, { request: "on-time", startInMs: 400 }],
        taken: ["on-time", "barely"],
    },
    {
        name: "a more urgent one goes before one that must start a little sooner",
        added: [
            { request: "sooner", startInMs: 300, priority: 1 },
            { request: "urgent", startInMs: 800, priority: 0 },
        ],
        taken: ["urgent", "sooner"],
    },
    {
        name: "a less urgent one is not put off for ever",
        added: [
            { request: "far", startInMs: 2000, priority: 0 },
            { request: "near", startInMs: 300, priority: 1 },
        ],
        taken: ["near", "far"],
    },
    {
        name: "late ones go by priority, then by deadline",
        added: [
            { request: "low", startInMs: -1, priority: 2, remainingMs: 100 },
            { request: "high-2", startInMs: -1, priority: 0, remainingMs: 900 },
            { request: "high-1", startInMs: -1, priority: 0, remainingMs: 500 },
        ],
        taken: ["high-1", "high-2", "low"],
    },
    {
        name: "a call takes no more than its pieces",
        added: [{ request: "r1", pieces: [0, 1], startInMs: 300 }, { request: "r2", pieces: [0, 1], startInMs: 400 }],
        taken: ["r1", "r1", "r2"],
    },
    {
        name: "a submission whose results find no room is not begun beside others",
        added: [
            { request: "r1", resultBytes: 60, startInMs: 300 },
            { request: "r2", resultBytes: 60, startInMs: 400 },
            { request: "r3", resultBytes: 10, startInMs: 500 },
        ],
        taken: ["r1", "r3"],
    },
    {
        name: "one bound elsewhere is left while it has time",
        added: [{ request: "bound", dataCentre: centreId("b") }, { request: "free", startInMs: 900 }],
        taken: ["free"],
    },
    {
        name: "one bound elsewhere is taken rather than late",
        added: [{ request: "bound", dataCentre: centreId("b"), startInMs: 100 }],
        taken: ["bound"],
    },
    {
        name: "one bound elsewhere that is late already is taken after what is bound here",
        added: [
            { request: "bound", dataCentre: centreId("b"), startInMs: -100, remainingMs: 100 },
            { request: "here", dataCentre: centreId("a"), startInMs: -50 },
        ],
        taken: ["here", "bound"],
    },
    {
        name: "one bound to a data centre without endpoints is taken anywhere",
        added: [{ request: "bound", dataCentre: centreId("c") }],
        taken: ["bound"],
    },
];

for (const { name, added, limits, taken } of orderCases) {
    test(name, () => {
        const queue = new PieceQueue();
        added.forEach(fields => queue.add(waiting(fields)));
        const got = queue.take({ ...anywhere, ...limits }, nowMs);
        assert.deepEqual(got.map(one => one.waiting.submission.request), taken);
    });
}

test("a begun submission goes first, even once it is late, and stays in its data centre", () => {
    const queue = new PieceQueue();
    queue.add(waiting({ request: "begun", pieces: [0, 1, 2, 3], startInMs: 100 }));
    queue.take({ ...anywhere, pieces: 2 }, nowMs);
    queue.add(waiting({ request: "new", startInMs: 700 }));
    const laterMs = nowMs + 500;
    const elsewhere = queue.take({ ...anywhere, pieces: 1, dataCentre: centreId("b") }, laterMs);
    assert.deepEqual(elsewhere.map(one => one.waiting.submission.request), ["new"]);
    const here = queue.take(anywhere, laterMs);
    assert.deepEqual(here.map(one => one.piece), [2, 3]);
});

test("a piece that was put back is taken again, and once only", () => {
    const queue = new PieceQueue();
    queue.add(waiting({ request: "r1" }));
    const [first] = queue.take(anywhere, nowMs);
    queue.requeue(first!.waiting, first!.piece);
    queue.requeue(first!.waiting, first!.piece);
    assert.equal(queue.size, 1);
    assert.equal(queue.take(anywhere, nowMs).length, 1);
});
