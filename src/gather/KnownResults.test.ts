/** Checks which replies are taken for those of a call. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { KnownResults, type ReplyOwner } from "./KnownResults.js";
import type { PieceOutcome } from "./Types.js";

const made = (handle: string): PieceOutcome => ({ kind: "made", handle });
const late: PieceOutcome = { kind: "fault", fault: "late" };
const callsOf = (request: string) =>
    [0, 1].map(piece => ({ request, stage: 0, piece, source: { kind: "key" as const, key: "k" }, remainingMs: 1 }));

const cases: readonly {
    readonly name: string;
    readonly request: string;
    readonly outcomes: readonly PieceOutcome[];
    readonly owner: ReplyOwner;
}[] = [
    { name: "new results", request: "second", outcomes: [made("c"), made("d")], owner: "own" },
    { name: "a new result beside a fault", request: "second", outcomes: [late, made("d")], owner: "own" },
    { name: "faults alone", request: "second", outcomes: [late, late], owner: "unknown" },
    { name: "the same results of the same pieces", request: "first", outcomes: [made("a"), late], owner: "unknown" },
    { name: "a result of another request", request: "second", outcomes: [made("c"), made("b")], owner: "foreign" },
    { name: "a result of another piece", request: "first", outcomes: [made("b"), late], owner: "foreign" },
    { name: "one result for two pieces", request: "second", outcomes: [made("c"), made("c")], owner: "foreign" },
];

for (const { name, request, outcomes, owner } of cases) {
    // Guards against results of one piece that are given to another, and against sound replies that are rejected.
    test(`a reply with ${name} is ${owner}`, () => {
        const results = new KnownResults();
        results.attribute({}, callsOf("first"), [made("a"), made("b")]);
        assert.equal(results.attribute({}, callsOf(request), outcomes), owner);
    });
}

// Guards against an earlier reply that counts as a new one once many others have come on the same or on other connections.
test("results of an open connection are remembered until it is used up", () => {
    const results = new KnownResults();
    const connection = {};
    const other = {};
    const fill = (to: object, from: number, count: number) => {
        for (let at = 0; at < count; at += 2) {
            results.attribute(to, callsOf(`r${from + at}`), [made(`${from + at}`), made(`${from + at + 1}`)]);
        }
    };
    results.attribute(connection, callsOf("first"), [made("a"), made("b")]);
    fill(other, 0, 6000);
    assert.equal(results.attribute(connection, callsOf("second"), [made("a"), made("b")]), "foreign");
    assert.deepEqual([connection, other].map(one => results.isUsedUp(one)), [false, true]);
    fill(connection, 6000, 4094);
    assert.equal(results.attribute(connection, callsOf("second"), [made("a"), made("b")]), "foreign");
    assert.equal(results.isUsedUp(connection), true);
});
