/** Checks that an unfinished write at the end of a file is cut off, and that damage elsewhere is detected. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeFrame, parseFrames } from "./Frame.js";

const seed = 20;
const payloads = fc.array(fc.uint8Array({ maxLength: 40 }), { minLength: 1, maxLength: 6 });

/** Number of frames that lie entirely within the first `length` bytes. */
function completeFrames(frames: readonly Uint8Array[], length: number): number {
    let end = 0;
    return frames.filter(frame => (end += frame.length) <= length).length;
}

test("a file cut at any byte, with or without zeros after the cut, keeps the frames before it", () => {
    fc.assert(
        fc.property(payloads, fc.nat(), fc.nat({ max: 30 }), (list, at, zeros) => {
            const frames = list.map(encodeFrame);
            const file = Buffer.concat(frames);
            const cut = at % (file.length + 1);
            const torn = Buffer.concat([file.subarray(0, cut), Buffer.alloc(cut === file.length ? 0 : zeros)]);
            const parsed = parseFrames(torn).unsafeCoerce();
            const whole = completeFrames(frames, cut);
            assert.deepEqual(parsed.payloads.map(one => [...one]), list.slice(0, whole).map(one => [...one]));
        }),
        { seed, numRuns: 400 },
    );
});

test("a flipped bit is never read as a payload", () => {
    fc.assert(
        fc.property(payloads, fc.nat(), (list, at) => {
            const file = Buffer.concat(list.map(encodeFrame));
            const bit = at % (file.length * 8);
            file[bit >> 3]! ^= 1 << (bit & 7);
            assert.ok(parseFrames(file).isLeft());
        }),
        { seed, numRuns: 400 },
    );
});
