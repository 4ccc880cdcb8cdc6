/** Checks how bodies are collected from parts of any size. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { BodyCollector, maxTinyParts } from "./BodyCollector.js";

// Guards against bytes that are lost, doubled or exchanged where small parts are copied and large ones are kept.
test("a body is what its parts were, whatever their sizes", () => {
    const sizes = fc.array(fc.oneof(fc.nat(20), fc.integer({ min: 1000, max: 40_000 })), { maxLength: 40 });
    fc.assert(
        fc.property(sizes, all => {
            const parts = all.map((size, at) => Buffer.alloc(size, at + 1));
            const body = new BodyCollector(Infinity);
            parts.forEach(part => assert.equal(body.add(part), undefined));
            assert.ok(body.toBuffer().equals(Buffer.concat(parts)));
        }),
        { seed: 53 },
    );
});

// Guards against a body whose parts are lost where they are moved into one buffer, and against a second copy of it.
test("a body of a declared size is what its parts were, and takes its size once it is large", () => {
    const sizes = fc.array(fc.oneof(fc.nat(20), fc.integer({ min: 1000, max: 40_000 })), { maxLength: 40 });
    fc.assert(
        fc.property(sizes, fc.nat(1), (all, missing) => {
            const parts = all.map((size, at) => Buffer.alloc(size, at + 1));
            const whole = Buffer.concat(parts);
            const body = new BodyCollector(Infinity, whole.length + missing);
            parts.forEach(part => assert.equal(body.add(part), undefined));
            const copied = body.copyBytes;
            assert.ok(body.toBuffer().equals(whole));
            if (whole.length > 64 * 1024) {
                assert.deepEqual([copied, body.heldBytes], [0, whole.length + missing]);
            }
        }),
        { seed: 59 },
    );
});

const limits: readonly {
    readonly name: string;
    readonly parts: readonly Buffer[];
    readonly fault: string | undefined;
    readonly bytes: number;
}[] = [
    { name: "as many bytes as allowed", parts: [Buffer.alloc(60), Buffer.alloc(40)], fault: undefined, bytes: 100 },
    { name: "one byte more", parts: [Buffer.alloc(60), Buffer.alloc(41)], fault: "too-large", bytes: 60 },
    { name: "too large a part", parts: [Buffer.alloc(101)], fault: "too-large", bytes: 0 },
];

for (const { name, parts, fault, bytes } of limits) {
    // Guards against a limit that counts wrongly, or takes what goes beyond it.
    test(`a body with a limit of 100 bytes that gets ${name}`, () => {
        const body = new BodyCollector(100);
        assert.deepEqual([parts.map(part => body.add(part)).at(-1), body.bytes], [fault, bytes]);
    });
}

// Guards against the memory of a buffer for each byte of a body, and the time that each takes.
test("a body in parts of one byte takes little more memory than its size, and has a maximum number of them", () => {
    const body = new BodyCollector(Infinity);
    const part = Buffer.from([1]);
    const { arrayBuffers } = process.memoryUsage();
    for (let at = 0; at < maxTinyParts; at++) {
        assert.equal(body.add(part), undefined);
    }
    assert.equal(body.add(part), "too-many-parts");
    assert.ok(process.memoryUsage().arrayBuffers - arrayBuffers < 4 * maxTinyParts);
    assert.equal(body.toBuffer().length, maxTinyParts);
});

// Guards against sound replies that come in small parts, as text that is sent line by line.
test("a body in parts of 16 bytes has no maximum number of them", () => {
    const body = new BodyCollector(Infinity);
    for (let at = 0; at < 2 * maxTinyParts; at++) {
        assert.equal(body.add(Buffer.alloc(16)), undefined);
    }
});
