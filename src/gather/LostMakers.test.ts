import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import type { EndpointId } from "../common/Types.js";
import { LostMakers } from "./LostMakers.js";
import type { PieceOutcome, PieceSource } from "./Types.js";

const made: PieceOutcome = { kind: "made", handle: "h" };
const gone: PieceOutcome = { kind: "fault", fault: "gone" };
const from = (...makers: string[]): PieceSource => ({
    kind: "results",
    handles: makers.map(maker => `${maker}/1`),
    makers: makers as EndpointId[],
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
        const makers = new LostMakers(new FakeClock());
        const ended = pieces.map(([request, source, outcome]) => ({ request, source, outcome }));
        assert.deepEqual(makers.note(ended), lost);
    });
}

test("an endpoint counts as lost for a while only, since it may have been cut off", async () => {
    const clock = new FakeClock();
    const makers = new LostMakers(clock);
    makers.note([{ request: "1", source: from("a"), outcome: gone }, {
        request: "2",
        source: from("a"),
        outcome: gone,
    }]);
    assert.equal(makers.hasGone(from("b", "a")), true);
    assert.equal(makers.hasGone(from("b")), false);
    await clock.advance(600);
    assert.equal(makers.hasGone(from("a")), false);
});
