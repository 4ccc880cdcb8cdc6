/** Checks which entries a bounded map keeps. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { BoundedMap } from "./BoundedMap.js";

test("a bounded map drops the entry that was set longest ago, and one that is set again is new", () => {
    const map = new BoundedMap<string, number>(3);
    ["a", "b", "c"].forEach((key, at) => map.set(key, at));
    map.set("a", 9).set("d", 3);
    assert.deepEqual([...map], [["c", 2], ["a", 9], ["d", 3]]);
    map.delete("c");
    map.set("e", 4);
    assert.deepEqual([...map.keys()], ["a", "d", "e"]);
});
