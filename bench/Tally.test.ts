/**
 * Checks what the reports of load experiments are computed from: the tallies of requests and costs, the detection of
 * broken guarantees, the classification of replies, the planned arrivals and the line fit.
 */
import assert from "node:assert/strict";
import { resolve } from "node:path";
import { test } from "node:test";
import { loadSettings } from "../src/config/Loader.js";
import { newCounters } from "../standin/Defaults.js";
import { expectedAnswer, inputDigest } from "../standin/ExpectedOutput.js";
import type { StandInCounters } from "../standin/Types.js";
import { type CallRecord, classifyReply, type HttpReply, type LostReply, type RequestEnd } from "./Caller.js";
import { fitLine } from "./LinearFit.js";
import { findViolations, tallyAttainment, tallyCosts, tallyPhases, tallySeconds, type Violations } from "./Tally.js";
import { type Arrival, planArrivals, type RequestInput } from "./Workload.js";

const base = resolve(import.meta.dirname, "../../examples/bramwell/base.yaml");
const settings = loadSettings(base, []).unsafeCoerce();
const input: RequestInput = { document: "d", question: "q" };

function record(
    end: RequestEnd,
    atMs: number = 0,
    pipeline: string = "hold",
    attained: boolean = end === "answered",
): CallRecord {
    const arrival: Arrival = { atMs, pipeline, workspace: "families", input, key: "k", stream: false };
    return { arrival, host: "h", end, status: 200, reason: end === "answered" ? "" : "why", latencyMs: 100, attained };
}

test("tallyAttainment counts late answers as answered but not attained, and lost requests by reason", () => {
    const tally = tallyAttainment([record("answered"), record("answered", 0, "hold", false), record("lost")]);
    assert.equal(tally.attained, 1 / 3);
    assert.deepEqual([tally.ends.answered, tally.ends.lost], [2, 1]);
    assert.deepEqual(tally.reasons, { "lost: why": 1 });
    assert.equal(tally.p50Ms, 100);
});

test("tallyPhases and tallySeconds group requests by arrival time", () => {
    const records = [record("answered", 0), record("failed", 1500), record("answered", 1999)];
    const phases = tallyPhases(records, [{ name: "a", fromMs: 0, toMs: 1500 }, {
        name: "b",
        fromMs: 1500,
        toMs: 2000,
    }]);
    assert.deepEqual([phases["a"]?.requests, phases["b"]?.requests, phases["b"]?.attained], [1, 2, 0.5]);
    assert.deepEqual(tallySeconds(records, 2000).map(second => second.attained), [1, 0.5]);
});

function counters(
    runs: Record<string, number>,
    change: Partial<StandInCounters> = {},
): Record<string, StandInCounters> {
    const runsByInput = Object.fromEntries(
        Object.entries(runs).map(([stage, count]) => [inputDigest(stage, input), count]),
    );
    return { e1: { ...newCounters(), runsByInput, ...change } };
}

const violationRows: { name: string; end: RequestEnd; runs: Record<string, number>; expected: Partial<Violations>; }[] =
    [
        { name: "a correct answer", end: "answered", runs: { check: 2, place: 1 }, expected: {} },
        { name: "a repeated run", end: "answered", runs: { check: 1, place: 2 }, expected: { doubledRuns: 1 } },
        { name: "an answer without a run", end: "answered", runs: { check: 1 }, expected: { answeredWithoutRun: 1 } },
        { name: "a false refusal", end: "not-run", runs: { check: 1 }, expected: { untrueRefusals: 1 } },
        { name: "a true refusal", end: "not-run", runs: {}, expected: {} },
        { name: "a wrong answer", end: "wrong", runs: { check: 1, place: 1 }, expected: { wrongAnswers: 1 } },
    ];

for (const row of violationRows) {
    test(`findViolations recognizes ${row.name}`, () => {
        const noViolations = {
            wrongAnswers: 0,
            doubledRuns: 0,
            answeredWithoutRun: 0,
            untrueRefusals: 0,
            fallsWhileCold: 0,
            crashes: 0,
        };
        const found = findViolations(settings, [record(row.end)], counters(row.runs));
        assert.deepEqual(found, { ...noViolations, ...row.expected });
    });
}

test("tallyCosts divides costs by the number of answered requests", () => {
    const spent = { calls: 6, busyMs: 60, promptTokens: 100, cachedTokens: 25, outputTokens: 30 };
    const [row] = tallyCosts(
        [record("answered"), record("answered"), record("failed")],
        counters({}, { byStage: { "hold/check": spent } }),
    );
    assert.deepEqual(
        [row?.callsPerAnswer, row?.busyMsPerAnswer, row?.cachedShare, row?.outputTokensPerAnswer],
        [3, 30, 0.25, 15],
    );
});

const answer = expectedAnswer(["check", "place"], input);
const plainReply = (text: string, status: number = 200): HttpReply => ({ status, text, stream: false });

function streamOf(...events: readonly [name: string, data: object][]): HttpReply {
    const text = events.map(([name, data]) => `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`).join("");
    return { status: 200, text, stream: true };
}

const first = { offset: 0, text: answer.slice(0, 99) };
const rest = { offset: 99, text: answer.slice(99) };
const end = { length: answer.length };

const replies: { name: string; reply: HttpReply | LostReply; end: RequestEnd; }[] = [
    { name: "the complete answer", reply: plainReply(JSON.stringify({ output: answer })), end: "answered" },
    { name: "part of an answer", reply: plainReply(JSON.stringify({ output: answer.slice(9) })), end: "wrong" },
    { name: "a body that is not JSON", reply: plainReply("x"), end: "wrong" },
    { name: "a refusal", reply: plainReply(JSON.stringify({ outcome: "not-run" }), 503), end: "not-run" },
    { name: "a refusal without outcome", reply: plainReply("", 500), end: "failed" },
    { name: "no reply", reply: { lost: "ECONNRESET" }, end: "lost" },
    { name: "a complete stream", reply: streamOf(["output", first], ["output", rest], ["end", end]), end: "answered" },
    { name: "a stream without an end event", reply: streamOf(["output", first], ["output", rest]), end: "lost" },
    { name: "a stream with a gap", reply: streamOf(["output", rest], ["end", end]), end: "wrong" },
    {
        name: "a repeated output event",
        reply: streamOf(["output", first], ["output", first], ["end", end]),
        end: "wrong",
    },
    { name: "a truncated stream", reply: streamOf(["output", first], ["end", end]), end: "wrong" },
    {
        name: "a failure in a stream",
        reply: streamOf(["output", first], ["failure", { outcome: "failed" }]),
        end: "failed",
    },
];

for (const row of replies) {
    test(`classifyReply classifies ${row.name} as ${row.end}`, () =>
        assert.equal(classifyReply(row.reply, answer).end, row.end));
}

test("planArrivals gives the same arrivals for the same seed, at the requested rate", () => {
    const options = { rates: { hold: 10, quick: 20 }, durationMs: 60_000, seed: 3 };
    const arrivals = planArrivals(settings, options);
    assert.deepEqual(arrivals, planArrivals(settings, options));
    assert.notDeepEqual(arrivals, planArrivals(settings, { ...options, seed: 4 }));
    assert.ok(Math.abs(arrivals.length - 1800) < 150, String(arrivals.length));
    assert.ok(arrivals.every(one => (one.key !== undefined) === (one.pipeline === "hold")));
    assert.equal(new Set(arrivals.map(one => one.input.question)).size, arrivals.length);
});

test("fitLine finds slope, intercept and fit", () => {
    assert.deepEqual(fitLine([{ x: 0, y: 1 }, { x: 1, y: 3 }, { x: 2, y: 5 }]), { slope: 2, intercept: 1, fit: 1 });
    assert.ok(fitLine([{ x: 0, y: 0 }, { x: 1, y: 5 }, { x: 2, y: 0 }]).fit < 0.1);
});
