/** Short randomised runs of the simulated site with mixed faults, and a test that a seed determines a run. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Soak } from "./SoakRun.js";

/** Simulated seconds of each run. */
const seconds = 60;

for (const seed of [1, 2, 3, 4]) {
    test(`mixed faults, seed ${seed}`, async () => {
        const result = await new Soak(seed).run(seconds);
        assert.deepEqual(result.broken, [], `npm run soak -- --seed ${seed} --seconds ${seconds}`);
    });
}

test("the same seed gives the same run, and another seed a different one", async () => {
    const runs = [await new Soak(5).run(10), await new Soak(5).run(10)];
    assert.equal(runs[0]?.digest, runs[1]?.digest);
    assert.notEqual(runs[0]?.digest, (await new Soak(6).run(10)).digest);
});
