/** Short runs of the fleet's programs as processes: with faults from a fixed seed, and with unread standard output. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { FleetHistory } from "../proof/FleetHistory.js";
import { FleetSite, sendRequest } from "../proof/FleetSite.js";
import { FleetSoak } from "../proof/FleetSoak.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";

const seeds: readonly number[] = [1];
const seconds = 8;

for (const seed of seeds) {
    test(`promises hold while hosts are killed, paused, wiped and restarted: seed ${seed}`, async () => {
        const folder = mkdtempSync(join(tmpdir(), "fireflykeel-fleet-"));
        const result = await new FleetSoak(seed, { controls: 3, entries: 3, endpoints: 3 }, folder).run(seconds);
        assert.deepEqual(result.broken, [], `logs in ${folder}`);
        assert.ok((result.counts["status 200"] ?? 0) > 0, "no request was served");
        rmSync(folder, { recursive: true, force: true });
    });
}

const unreadDurationMs = 10_000;
/** A request logs about 1,400 bytes and a pipe holds 64 KiB, so that the pipe is full within a second. */
const callerCount = 8;
const maxP999Ms = 300;
const callHeaders = { "Host": "h.example", "Fireflykeel-Deadline-Ms": "4000" };

test("an entry host whose standard output is not read for 10 s delays and fails no request", async () => {
    const folder = mkdtempSync(join(tmpdir(), "fireflykeel-unread-"));
    const clock = new SystemClock();
    const size = { controls: 3, entries: 1, endpoints: 2 };
    const site = new FleetSite(size, folder, new FleetHistory(), clock, new SeededRandom(1));
    const [entry = ""] = site.entries;
    site.processes.unreadOutputs.add(entry);
    await site.start();
    while (!await site.isReady(entry)) {
        await site.putConfig(site.controls[0] ?? "");
        await clock.sleep(200);
    }
    const untilMs = clock.nowMs() + unreadDurationMs;
    const latenciesMs: number[] = [];
    const statuses = new Set<number>();
    const call = async (caller: number) => {
        const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        for (let at = 0; clock.nowMs() < untilMs; at++) {
            const startMs = clock.nowMs();
            const headers = { ...callHeaders, "Fireflykeel-Request-Id": `u${caller}-${at}` };
            const options = { ...site.callerAddress(entry), path: "/idempotent/a", method: "POST", headers, agent };
            statuses.add((await sendRequest(options, "")).code);
            latenciesMs.push(clock.nowMs() - startMs);
        }
        agent.destroy();
    };
    await Promise.all(Array.from({ length: callerCount }, (_, at) => call(at)));
    await site.stop();
    latenciesMs.sort((a, b) => a - b);
    const p999Ms = latenciesMs[Math.floor(latenciesMs.length * 0.999)] ?? Infinity;
    assert.deepEqual([...statuses], [200], `logs in ${folder}`);
    assert.ok(latenciesMs.length > 2000, `${latenciesMs.length} requests`);
    assert.ok(p999Ms < maxP999Ms, `one in a thousand takes ${p999Ms} ms or more`);
    rmSync(folder, { recursive: true, force: true });
});
