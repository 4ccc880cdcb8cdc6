/** Checks that changes of a list lead to the same list as the whole of it, from any version that a holder may have. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { applyPart, ListVersions } from "./ListVersions.js";

interface Item {
    readonly id: string;
    readonly value: number;
}

const idOf = ({ id }: Item) => id;
const newVersions = () => new ListVersions<Item>(idOf, one => String(one.value));
const sorted = (items: readonly Item[] | undefined) =>
    [...items ?? []].sort((a, b) => (a.id < b.id ? -1 : 1)).map(({ id, value }) => [id, value]);

const list = fc.dictionary(fc.constantFrom("a", "b", "c", "d", "e"), fc.nat(2))
    .map(values => Object.entries(values).map(([id, value]) => ({ id, value })));

test("a holder of any version arrives at the newest list", () => {
    fc.assert(
        fc.property(fc.array(list, { minLength: 1, maxLength: 50 }), fc.nat(), (lists, pick) => {
            const versions = newVersions();
            lists.forEach((items, at) => versions.add(`v${at}`, items));
            const heldAt = pick % lists.length;
            const part = versions.since(`v${heldAt}`);
            const known = applyPart(lists[heldAt]!, `v${heldAt}`, part, idOf);
            assert.deepEqual(sorted(known), sorted(lists.at(-1)));
        }),
        { seed: 1, numRuns: 500 },
    );
});

test("a part holds what has changed, not the whole list", () => {
    const versions = newVersions();
    const items = Array.from({ length: 195 }, (_, at) => ({ id: `h${at}`, value: 0 }));
    versions.add("v1", items);
    versions.add("v2", [...items.slice(2), { id: "h1", value: 1 }, { id: "new", value: 0 }]);
    const { base, items: changed, gone } = versions.since("v1");
    assert.deepEqual([base, sorted(changed), gone], ["v1", [["h1", 1], ["new", 0]], ["h0"]]);
});

test("a holder of no version, or of one that is not kept, is sent the whole list", () => {
    const versions = newVersions();
    for (let at = 0; at <= 40; at++) {
        versions.add(`v${at}`, [{ id: "a", value: at }, { id: "b", value: 0 }]);
    }
    for (const held of ["", "v0", "of another host"]) {
        const part = versions.since(held);
        assert.deepEqual([part.base, part.items.length], [undefined, 2], held);
    }
});

test("a part for another version than the held one is not applied", () => {
    const part = { tag: "v3", base: "v2", items: [{ id: "a", value: 1 }], gone: [] };
    assert.equal(applyPart([], "v1", part, idOf), undefined);
});

test("a list that returns to an earlier content has that version's tag", () => {
    const versions = newVersions();
    versions.add("v1", [{ id: "a", value: 0 }]);
    versions.add("v2", []);
    versions.add("v1", [{ id: "a", value: 0 }]);
    const part = versions.since("v2");
    assert.deepEqual([part.tag, sorted(applyPart([], "v2", part, idOf))], ["v1", [["a", 0]]]);
});
