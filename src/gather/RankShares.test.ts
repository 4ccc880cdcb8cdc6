/** Checks how much of its margin a priority keeps, by what has been started in time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RankShares } from "./RankShares.js";

interface StartCase {
    readonly name: string;
    /** Submissions started in time and late, by priority. */
    readonly started: readonly (readonly [inTime: number, late: number])[];
    /** Time since then. */
    readonly laterMs?: number;
    /** Expected for each priority; true when it keeps the whole, false when it keeps nothing. */
    readonly keepsMargin: readonly boolean[];
}

const cases: readonly StartCase[] = [
    { name: "nothing started", started: [[0, 0], [0, 0]], keepsMargin: [true, true] },
    { name: "all in time", started: [[90, 0], [90, 0]], keepsMargin: [true, true] },
    {
        name: "the least urgent starves",
        started: [[90, 10], [90, 10], [30, 70]],

        keepsMargin: [true, true, false],
    },
    {
        name: "the most urgent starves",
        started: [[30, 70], [90, 10], [90, 10]],

        keepsMargin: [false, true, true],
    },
    {
        name: "the least urgent has starved long ago",
        started: [[90, 10], [30, 70]],
        laterMs: 60_000,

        keepsMargin: [true, true],
    },
];

for (const { name, started, laterMs = 0, keepsMargin } of cases) {
    test(`shares of priorities: ${name}`, () => {
        const shares = new RankShares();
        started.forEach(([inTime, late], priority) => {
            for (let at = 0; at < inTime + late; at++) {
                shares.recordStart(priority, at >= inTime, 1000);
            }
        });
        const nowMs = 1000 + laterMs;
        const keeps = (part: number) => part > 0.99 ? true : part === 0 ? false : undefined;
        assert.deepEqual(started.map((_, priority) => keeps(shares.marginPart(priority, nowMs))), keepsMargin);
    });
}
