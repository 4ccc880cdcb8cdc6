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
const from = (...makers: string[]): PieceSource => ({
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
        pieces: [["1", from("a"), gone], ["2", from("a"), gone]],
        lost: ["a"],
    },
    {
        name: "only pieces of a single request fail to fetch them",
        pieces: [["1", from("a"), gone], ["1", from("a"), gone]],
        lost: [],
    },
    {
        name: "another request in the same call fetches them",
        pieces: [["1", from("a"), gone], ["2", from("a"), gone], ["3", from("a"), made]],
        lost: [],
    },
    {
        name: "results of two endpoints are missing, and another request fetches those of one",
        pieces: [["1", from("a", "b"), gone], ["2", from("a", "b"), gone], ["3", from("b"), made]],
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
    const missed = ["1", "2"].map(request => ({ request, source: from("a"), outcome: gone }));
    sources.recordCall(missed, centreId("x"));
    assert.equal(sources.isUnreachable(from("b", "a"), centreId("x")), true);
    assert.equal(sources.isUnreachable(from("a"), centreId("y")), false);
    assert.equal(sources.isUnreachable(from("b"), centreId("x")), false);
    await clock.advance(600);
    assert.equal(sources.isUnreachable(from("a"), centreId("x")), false);
});
