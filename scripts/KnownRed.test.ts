import assert from "node:assert/strict";
import { test } from "node:test";
import { judgeRun, type KnownRedEntry, parseKnownRed, type RunVerdict, type TestVerdict } from "./KnownRed.js";

const entry: KnownRedEntry = { test: "a > b", command: "npm test", seen: "wrong", issue: "4" };

const cases: { name: string; verdicts: TestVerdict[]; known: KnownRedEntry[]; expected: RunVerdict; }[] = [
    {
        name: "a green run",
        verdicts: [{ name: "a", passed: true }],
        known: [],
        expected: { failures: [], passedOver: [], stale: [] },
    },
    {
        name: "an unlisted failure",
        verdicts: [{ name: "a", passed: false }],
        known: [],
        expected: { failures: ["a"], passedOver: [], stale: [] },
    },
    {
        name: "a listed failure",
        verdicts: [{ name: "a > b", passed: false }],
        known: [entry],
        expected: { failures: [], passedOver: [entry], stale: [] },
    },
    {
        name: "a listed test that passes",
        verdicts: [{ name: "a > b", passed: true }],
        known: [entry],
        expected: { failures: [], passedOver: [], stale: ["a > b: passes now"] },
    },
    {
        name: "a listed test that is gone",
        verdicts: [],
        known: [entry],
        expected: { failures: [], passedOver: [], stale: ["a > b: no such test"] },
    },
];

for (const row of cases) {
    test(`judgeRun: ${row.name}`, () => assert.deepEqual(judgeRun(row.verdicts, row.known), row.expected));
}

test("parseKnownRed reads entries and skips comments", () => {
    assert.deepEqual(parseKnownRed("# note\n\na > b | npm test | wrong | 4\n"), [entry]);
    assert.throws(() => parseKnownRed("a > b | npm test"));
});
