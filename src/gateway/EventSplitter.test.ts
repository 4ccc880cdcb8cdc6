/** Checks that events are found whatever the chunks in which they come, and in little time. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { maxTinyParts } from "../common/BodyCollector.js";
import { EventSplitter } from "./EventSplitter.js";

const pieces = [
    "id: 1\n",
    "data: a\r\n",
    "\n",
    "\r\n",
    "\n\n",
    "\r\n\r\n",
    ": idle\n\n",
    "x",
    "\r",
    "id: 22\ndata: b\n\n",
];

function eventsOf(text: string, sizes: readonly number[]) {
    const splitter = new EventSplitter();
    const events: string[] = [];
    let from = 0;
    for (let at = 0; from < text.length; at++) {
        const to = from + (sizes.length === 0 ? text.length : sizes[at % sizes.length]!);
        events.push(
            ...splitter.push(Buffer.from(text.slice(from, to))).map(one => `${String(one.id)} ${one.bytes.toString()}`),
        );
        from = to;
    }
    return { events, rest: splitter.remainder.toString() };
}

// Guards against separators that are missed where they lie in two chunks, and bytes that are lost or doubled.
test("a stream has the same events in chunks of any sizes", () => {
    const texts = fc.array(fc.constantFrom(...pieces), { maxLength: 30 }).map(all => all.join(""));
    const sizes = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 5 });
    fc.assert(
        fc.property(texts, sizes, (text, parts) => {
            const split = eventsOf(text, parts);
            assert.deepEqual(split, eventsOf(text, []));
            assert.equal(split.events.map(one => one.slice(one.indexOf(" ") + 1)).join("") + split.rest, text);
        }),
        { seed: 53, numRuns: 500 },
    );
});

// Guards against the time and memory of an event whose bytes come one by one.
test("an event in chunks of one byte is found to have too many parts", () => {
    const splitter = new EventSplitter();
    let chunks = 0;
    while (!splitter.hasTooManyParts) {
        splitter.push(Buffer.from("x"));
        chunks += 1;
    }
    assert.equal(chunks, maxTinyParts + 1);
    splitter.push(Buffer.from("\n\n"));
    splitter.push(Buffer.from("x"));
    assert.equal(splitter.hasTooManyParts, false);
});
