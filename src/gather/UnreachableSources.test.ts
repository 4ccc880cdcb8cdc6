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
    { name: "two requests miss its results", pieces: [["1", from("a"), gone], ["2", from("a"), gone]], lost: ["a"] },
    { name: "pieces of one request miss them", pieces: [["1", from("a"), gone], ["1", from("a"), gone]], lost: [] },
    {
        name: "another request finds them",
        pieces: [["1", from("a"), gone], ["2", from("a"), gone], ["3", from("a"), made]],
        lost: [],
    },
    {
        name: "results of two endpoints, one of them found elsewhere",
        pieces: [["1", from("a", "b"), gone], ["2", from("a", "b"), gone], ["3", from("b"), made]],
        lost: ["a"],
    },
    { name: "pieces without results", pieces: [["1", key, gone], ["2", key, gone]], lost: [] },
];

for (const { name, pieces, lost } of cases) {
    test(`endpoints believed lost: ${name}`, () => {
        const makers = new UnreachableSources(new FakeClock());
        const ended = pieces.map(([request, source, outcome]) => ({ request, source, outcome }));
        assert.deepEqual(makers.recordCall(ended, centreId("a")), lost);
    });
}

test("an endpoint counts as lost to one data centre and for a while only, since it may have been cut off", async () => {
    const clock = new FakeClock();
    const makers = new UnreachableSources(clock);
    const missed = ["1", "2"].map(request => ({ request, source: from("a"), outcome: gone }));
    makers.recordCall(missed, centreId("x"));
    assert.equal(makers.isUnreachable(from("b", "a"), centreId("x")), true);
    assert.equal(makers.isUnreachable(from("a"), centreId("y")), false);
    assert.equal(makers.isUnreachable(from("b"), centreId("x")), false);
    await clock.advance(600);
    assert.equal(makers.isUnreachable(from("a"), centreId("x")), false);
});
