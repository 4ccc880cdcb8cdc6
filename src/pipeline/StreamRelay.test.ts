/** The output forwarded to the caller when several calls produce it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { StreamRelay } from "./StreamRelay.js";

type Step = readonly [source: number, offset: number, text: string] | "release" | { readonly finish: string; };

describe("StreamRelay", () => {
    const cases: { name: string; steps: Step[]; given: string; finished?: boolean; diverged?: boolean; }[] = [
        { name: "chunks in order", steps: [[0, 0, "ab"], [0, 2, "cd"]], given: "abcd" },
        { name: "the new part of an overlapping chunk", steps: [[0, 0, "abc"], [0, 1, "bcde"]], given: "abcde" },
        { name: "a duplicate chunk once", steps: [[0, 0, "abc"], [0, 0, "abc"]], given: "abc" },
        { name: "nothing after a gap", steps: [[0, 0, "ab"], [0, 5, "fg"]], given: "ab" },
        { name: "no other source's output", steps: [[0, 0, "ab"], [1, 0, "abc"]], given: "ab" },
        {
            name: "another source after the first has ended",
            steps: [[0, 0, "ab"], "release", [1, 0, "abc"]],
            given: "abc",
        },
        {
            name: "no output that differs from what was forwarded",
            steps: [[0, 0, "ab"], "release", [1, 0, "xbc"]],
            given: "ab",
            diverged: true,
        },
        // The cases up to the next comment guard against text of two runs in one answer.
        {
            name: "no output of another source that has differed before it takes over",
            steps: [[0, 0, "ab"], [1, 0, "xy"], "release", [1, 2, "zz"]],
            given: "ab",
            diverged: true,
        },
        {
            name: "the output of another source that has sent the same before it takes over",
            steps: [[0, 0, "ab"], [1, 0, "ab"], "release", [1, 2, "cd"]],
            given: "abcd",
        },
        {
            name: "nothing from another source of which nothing can be compared",
            steps: [[0, 0, "ab"], "release", [1, 2, "out of memory"]],
            given: "ab",
        },
        {
            name: "nothing from another source whose beginning is missing",
            steps: [[0, 0, "abcd"], "release", [1, 0, "ab"], [1, 4, "ef"]],
            given: "abcd",
        },
        {
            name: "no error of another source in the place of its output",
            steps: [[0, 0, "ab"], "release", [1, 0, "out of memory"]],
            given: "ab",
            diverged: true,
        },
        // The others guard against an answer that ends early and counts as complete.
        {
            name: "nothing, and no end, when the complete output is empty",
            steps: [[0, 0, "ab"], "release", { finish: "" }],
            given: "ab",
            finished: false,
        },
        {
            name: "nothing, and no end, when the complete output is shorter",
            steps: [[0, 0, "ab"], "release", { finish: "a" }],
            given: "ab",
            finished: false,
        },
        { name: "an end without more output", steps: [[0, 0, "ab"], { finish: "ab" }], given: "ab", finished: true },
        { name: "the rest at the end", steps: [[0, 0, "ab"], { finish: "abcd" }], given: "abcd", finished: true },
        {
            name: "nothing when the complete output differs",
            steps: [[0, 0, "ab"], { finish: "axcd" }],
            given: "ab",
            finished: false,
        },
    ];
    for (const { name, steps, given, finished, diverged } of cases) {
        it(`forwards ${name}`, () => {
            let text = "";
            const relay = new StreamRelay({
                onOutput: (offset, part) => {
                    assert.equal(offset, text.length);
                    text += part;
                },
            });
            const sources = [relay.open(), relay.open()];
            let result: boolean | undefined;
            for (const step of steps) {
                if (step === "release") {
                    sources[0]!.release();
                }
                else if ("finish" in step) {
                    result = relay.finish(step.finish);
                }
                else {
                    sources[step[0]]!.onOutput(step[1], step[2]);
                }
            }
            assert.equal(text, given);
            assert.equal(result, finished);
            assert.equal(relay.diverged, diverged ?? false);
        });
    }
});
