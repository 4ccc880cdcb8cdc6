/** Checks after which failures to fetch results an endpoint counts as unreachable, from where, and for how long. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { centreId } from "../../testing/FleetFixtures.js";
import type { EndpointId } from "../common/Types.js";
import type { PieceOutcome, PieceSource } from "./Types.js";
import { UnreachableSources } from "./UnreachableSources.js";

const made: PieceOutcome = { kind: "made", handle: "h" };
const gone: PieceOutcome = { kind: "fault", fault: "gone" };
const resultsOf = (...makers: string[]): PieceSource => ({
    kind: "results",
    handles: makers.map(maker => `${maker}/1`),
    makers: makers.map(maker => ({ endpoint: maker as EndpointId, dataCentre: centreId("x") })),
});
const key: PieceSource = { kind: "key", key: "k" };

const cases: readonly {
    readonly name: string;
    readonly pieces: readonly (readonly [request: string, source: PieceSource, outcome: PieceOutcome])[];
    readonly lost: readonly string[];
}[] = [
    {
        name: "two requests fail to fetch an endpoint's results",
        pieces: [["1", resultsOf("a"), gone], ["2", resultsOf("a"), gone]],
        lost: ["a"],
    },
    {
        name: "only pieces of a single request fail to fetch them",
        pieces: [["1", resultsOf("a"), gone], ["1", resultsOf("a"), gone]],
        lost: [],
    },
    {
        name: "another request in the same call fetches them",
        pieces: [["1", resultsOf("a"), gone], ["2", resultsOf("a"), gone], ["3", resultsOf("a"), made]],
        lost: [],
    },
    {
        name: "results of two endpoints are missing, and another request fetches those of one",
        pieces: [["1", resultsOf("a", "b"), gone], ["2", resultsOf("a", "b"), gone], ["3", resultsOf("b"), made]],
        lost: ["a"],
    },
    { name: "pieces with a key as their source", pieces: [["1", key, gone], ["2", key, gone]], lost: [] },
];

for (const { name, pieces, lost } of cases) {
    test(`detection of unreachable endpoints: ${name}`, () => {
        const sources = new UnreachableSources(new FakeClock());
        const ended = pieces.map(([request, source, outcome]) => ({ request, source, outcome }));
        assert.deepEqual(sources.recordCall(ended, centreId("a")), lost);
    });
}

test("an endpoint is unreachable from one data centre only, and for a limited time, since a network cut may end", async () => {
    const clock = new FakeClock();
    const sources = new UnreachableSources(clock);
    const failedPieces = ["1", "2"].map(request => ({ request, source: resultsOf("a"), outcome: gone }));
    sources.recordCall(failedPieces, centreId("x"));
    assert.equal(sources.isUnreachable(resultsOf("b", "a"), centreId("x")), true);
    assert.equal(sources.isUnreachable(resultsOf("a"), centreId("y")), false);
    assert.equal(sources.isUnreachable(resultsOf("b"), centreId("x")), false);
    await clock.advance(600);
    assert.equal(sources.isUnreachable(resultsOf("a"), centreId("x")), false);
});
