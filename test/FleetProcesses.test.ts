/** A short run of the fleet's programs as processes, with faults of a fixed seed. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { FleetSoak } from "../proof/FleetSoak.js";

const seeds: readonly number[] = [1];
const seconds = 8;

for (const seed of seeds) {
    test(`promises hold while hosts are killed, paused, wiped and restarted: seed ${seed}`, async () => {
        const folder = mkdtempSync(join(tmpdir(), "fireflykeel-fleet-"));
        const result = await new FleetSoak(seed, { controls: 3, entries: 3, endpoints: 3 }, folder).run(seconds);
        assert.deepEqual(result.broken, [], `logs in ${folder}`);
        assert.ok((result.counts["status 200"] ?? 0) > 0, "requests are served");
        rmSync(folder, { recursive: true, force: true });
    });
}
