/** Checks which parts of prompts are condemned, by the crashes and answers that hosts report. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { PartCrashes } from "./PartCrashes.js";
import { PartJudge } from "./PartJudge.js";
import type { PartKey } from "./Types.js";

const keys = (...names: string[]) => names as PartKey[];

type Step =
    | { readonly crash: string; readonly of: readonly string[]; }
    | { readonly answer: readonly string[]; }
    | { readonly afterMs: number; };

interface Case {
    readonly name: string;
    readonly steps: readonly Step[];
    readonly condemned: readonly string[];
}

/** Crashes of several endpoints with a prompt, one every 300 ms. */
const crashes = (count: number, of: readonly string[], name = "e"): Step[] =>
    Array.from({ length: count }, (_, at) => [{ crash: `${name}${at}`, of }, { afterMs: 300 }]).flat();

const cases: readonly Case[] = [
    { name: "three crashes condemn the part", steps: crashes(3, ["a"]), condemned: ["a"] },
    { name: "two crashes do not", steps: crashes(2, ["a"]), condemned: [] },
    {
        name: "several reports of one crash count once",
        steps: [1, 2, 3, 4].map(() => ({ crash: "e0", of: ["a"] })),
        condemned: [],
    },
    {
        name: "a part on which an answer was completed is cleared, the other is condemned",
        steps: [...crashes(2, ["first", "bad"]), { answer: ["first"] }, ...crashes(1, ["first", "bad"], "f")],
        condemned: ["bad"],
    },
    {
        name: "of two parts that always come together the more specific one is condemned",
        steps: crashes(4, ["first", "bad"]),
        condemned: ["bad"],
    },
    {
        name: "a first part that crashes endpoints whatever follows is condemned",
        steps: [0, 1, 2, 3].flatMap(at => [{ crash: `e${at}`, of: ["bad", `x${at}`] }, { afterMs: 300 }]),
        condemned: ["bad"],
    },
    {
        name: "requests that ran beside the bad one are not blamed for the crashes that it explains",
        steps: [...crashes(3, ["bad"]), ...crashes(3, ["victim"])],
        condemned: ["bad"],
    },
    {
        name: "a part that crashes other endpoints than the condemned one is condemned too",
        steps: [...crashes(3, ["bad"]), { afterMs: 2000 }, ...crashes(3, ["worse"], "f")],
        condemned: ["bad", "worse"],
    },
    {
        name: "many endpoints that crash at once condemn no part on which answers go on",
        steps: [
            ...Array.from({ length: 20 }, (_, at) => ({ crash: `e${at}`, of: ["hot"] })),
            { afterMs: 900 },
            { answer: ["hot"] },
        ],
        condemned: [],
    },
    {
        name: "crashes that are minutes apart condemn the part if no answer was completed between them",
        steps: [0, 1, 2].flatMap(at => [{ crash: `e${at}`, of: ["a"] }, { afterMs: 120_000 }]),
        condemned: ["a"],
    },
];

for (const { name, steps, condemned } of cases) {
    test(name, async () => {
        const clock = new FakeClock();
        const parts = new PartCrashes();
        const judge = new PartJudge(parts, clock);
        const judgeFor = async (ms: number) => {
            for (let passedMs = 0; passedMs < ms; passedMs += 300) {
                const verdict = judge.verdict();
                if (verdict?.kind === "condemn-part") {
                    parts.condemn(verdict.key);
                }
                await clock.advance(300);
            }
        };
        for (const step of steps) {
            if ("crash" in step) {
                parts.recordCrash(step.crash, keys(...step.of));
            }
            else if ("answer" in step) {
                parts.clear(keys(...step.answer));
            }
            else {
                await judgeFor(step.afterMs);
            }
        }
        await judgeFor(3000);
        assert.deepEqual(parts.condemned.map(one => one.key), condemned);
    });
}

test("a condemned part is released after ten minutes, and condemned again by new crashes", async () => {
    const clock = new FakeClock();
    const parts = new PartCrashes();
    const judge = new PartJudge(parts, clock);
    const [key] = keys("a");
    ["e0", "e1", "e2"].forEach(endpoint => parts.recordCrash(endpoint, [key!]));
    parts.condemn(key!);
    assert.equal(judge.verdict(), undefined);
    await clock.advance(599_000);
    assert.equal(judge.verdict(), undefined);
    await clock.advance(2000);
    assert.deepEqual(judge.verdict(), { kind: "release-part", key });
    parts.release(key!);
    ["f0", "f1", "f2"].forEach(endpoint => parts.recordCrash(endpoint, [key!]));
    judge.verdict();
    await clock.advance(1600);
    assert.deepEqual(judge.verdict(), { kind: "condemn-part", key });
});

// Guards against made-up parts that drive the ones out that have crashed endpoints.
test("the number of suspected parts is bounded, and the most suspected stay", () => {
    const parts = new PartCrashes();
    ["e0", "e1"].forEach(endpoint => parts.recordCrash(endpoint, keys("bad")));
    for (let at = 0; at < 3000; at++) {
        parts.recordCrash("e0", keys(`made-up-${at}`));
    }
    assert.ok(parts.suspected.length <= 512);
    assert.ok(parts.suspected.some(one => one.key === "bad" as PartKey));
});

test("a snapshot holds what is suspected and condemned", () => {
    const parts = new PartCrashes();
    ["e0", "e1", "e2"].forEach(endpoint => parts.recordCrash(endpoint, keys("first", "bad")));
    parts.condemn(keys("bad")[0]!);
    parts.recordCrash("e9", keys("other"));
    const copy = new PartCrashes();
    const { suspected, condemned } = JSON.parse(JSON.stringify(parts.snapshot())) as ReturnType<
        PartCrashes["snapshot"]
    >;
    copy.restore(suspected, condemned);
    assert.deepEqual(copy.snapshot(), parts.snapshot());
});
