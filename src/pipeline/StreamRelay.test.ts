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
