/** Checks the order in which calls take queued pieces, the limits of a call, and the binding to data centres. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { centreId, submission } from "../../testing/FleetFixtures.js";
import { PieceQueue, type QueuedSubmission, type TakeLimits } from "./PieceQueue.js";
import type { Submission } from "./Types.js";

const nowMs = 10_000;

function queued(fields: Partial<Submission>): QueuedSubmission {
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

const defaultLimits: TakeLimits = {
    pieces: 3,
    availableBytes: 100,
    dataCentre: centreId("a"),
    served: new Set([centreId("a"), centreId("b")]),
};

interface OrderCase {
    readonly name: string;
    readonly added: readonly Partial<Submission>[];
    readonly limits?: Partial<TakeLimits>;
    /** Requests of the taken pieces, in order. */
    readonly taken: readonly string[];
}

const orderCases: readonly OrderCase[] = [
    {
        name: "the submission with the earliest latest start goes first",
        added: [{ request: "later", startInMs: 900 }, { request: "sooner", startInMs: 300 }],
        taken: ["sooner", "later"],
    },
    {
        name: "a late submission goes after one that can be on time",
        added: [{ request: "late", startInMs: -50 }, { request: "on-time", startInMs: 2000 }],
        taken: ["on-time", "late"],
    },
    {
        name: "a submission within the margin before its latest start goes after one with more time",
        added: [{ request: "barely", startInMs: 30 }, { request: "on-time", startInMs: 400 }],
        taken: ["on-time", "barely"],
    },
    {
        name: "a submission of higher priority goes before one that must start slightly earlier",
        added: [
            { request: "sooner", startInMs: 300, priority: 1 },
            { request: "urgent", startInMs: 800, priority: 0 },
        ],
        taken: ["urgent", "sooner"],
    },
    {
        name: "a submission of lower priority goes first when it must start much earlier",
        added: [
            { request: "far", startInMs: 2000, priority: 0 },
            { request: "near", startInMs: 300, priority: 1 },
        ],
        taken: ["near", "far"],
    },
    {
        name: "late submissions are ordered by priority, then by deadline",
        added: [
            { request: "low", startInMs: -1, priority: 2, remainingMs: 100 },
            { request: "high-2", startInMs: -1, priority: 0, remainingMs: 900 },
            { request: "high-1", startInMs: -1, priority: 0, remainingMs: 500 },
        ],
        taken: ["high-1", "high-2", "low"],
    },
    {
        name: "a call takes no more pieces than its limit",
        added: [{ request: "r1", pieces: [0, 1], startInMs: 300 }, { request: "r2", pieces: [0, 1], startInMs: 400 }],
        taken: ["r1", "r1", "r2"],
    },
    {
        name: "a submission whose results do not fit is skipped",
        added: [
            { request: "r1", resultBytes: 60, startInMs: 300 },
            { request: "r2", resultBytes: 60, startInMs: 400 },
            { request: "r3", resultBytes: 10, startInMs: 500 },
        ],
        taken: ["r1", "r3"],
    },
    {
        name: "a submission bound elsewhere is not taken while it has time",
        added: [{ request: "bound", dataCentre: centreId("b") }, { request: "free", startInMs: 900 }],
        taken: ["free"],
    },
    {
        name: "a submission bound elsewhere is taken before it becomes late",
        added: [{ request: "bound", dataCentre: centreId("b"), startInMs: 100 }],
        taken: ["bound"],
    },
    {
        name: "a late submission bound elsewhere is taken after those bound here",
        added: [
            { request: "bound", dataCentre: centreId("b"), startInMs: -100, remainingMs: 100 },
            { request: "here", dataCentre: centreId("a"), startInMs: -50 },
        ],
        taken: ["here", "bound"],
    },
    {
        name: "a submission bound to a data centre without endpoints is taken anywhere",
        added: [{ request: "bound", dataCentre: centreId("c") }],
        taken: ["bound"],
    },
];

for (const { name, added, limits, taken } of orderCases) {
    test(name, () => {
        const queue = new PieceQueue();
        added.forEach(fields => queue.add(queued(fields)));
        const takenPieces = queue.take({ ...defaultLimits, ...limits }, nowMs);
        assert.deepEqual(takenPieces.map(one => one.waiting.submission.request), taken);
    });
}

test("the rest of a started, late submission goes after an unbound one in another data centre, and is taken in its own", () => {
    const queue = new PieceQueue();
    queue.add(queued({ request: "begun", pieces: [0, 1, 2, 3], startInMs: 100 }));
    queue.take({ ...defaultLimits, pieces: 2 }, nowMs);
    queue.add(queued({ request: "new", startInMs: 700 }));
    const laterMs = nowMs + 500;
    const elsewhere = queue.take({ ...defaultLimits, pieces: 1, dataCentre: centreId("b") }, laterMs);
    assert.deepEqual(elsewhere.map(one => one.waiting.submission.request), ["new"]);
    const here = queue.take(defaultLimits, laterMs);
    assert.deepEqual(here.map(one => one.piece), [2, 3]);
});

test("a piece that is requeued twice is taken again only once", () => {
    const queue = new PieceQueue();
    queue.add(queued({ request: "r1" }));
    const [first] = queue.take(defaultLimits, nowMs);
    queue.requeue(first!.waiting, first!.piece);
    queue.requeue(first!.waiting, first!.piece);
    assert.equal(queue.size, 1);
    assert.equal(queue.take(defaultLimits, nowMs).length, 1);
});
