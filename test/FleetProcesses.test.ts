/**
 * Runs the fleet's programs as processes for a few seconds: with faults drawn from a fixed seed, and with an entry host
 * whose standard output is never read, so that a log write that blocks on the full pipe would delay requests.
 */
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
    test(`guarantees hold and some requests succeed while hosts and endpoints fail: seed ${seed}`, async () => {
        const folder = mkdtempSync(join(tmpdir(), "fireflykeel-fleet-"));
        const result = await new FleetSoak(seed, { controls: 3, entries: 3, endpoints: 3 }, folder).run(seconds);
        assert.deepEqual(result.broken, [], `logs in ${folder}`);
        assert.ok((result.counts["status 200"] ?? 0) > 0, "no request was served");
        rmSync(folder, { recursive: true, force: true });
    });
}

const unreadDurationMs = 10_000;
const callerCount = 8;
/** What the kernel and the reading end hold of an output that nobody reads; a blocking write would wait beyond it. */
const heldUnreadBytes = 2 * 64 * 1024;
const maxP999Ms = 300;
const callHeaders = { "Host": "h.example", "Fireflykeel-Deadline-Ms": "4000" };

test("with an entry host's stdout unread for 10 s, all requests succeed, 99.9 % of them within 300 ms", async () => {
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
    const loggedBytes = await site.processes.readOutput(entry);
    await site.stop();
    latenciesMs.sort((a, b) => a - b);
    const p999Ms = latenciesMs[Math.floor(latenciesMs.length * 0.999)] ?? Infinity;
    assert.deepEqual([...statuses], [200], `logs in ${folder}`);
    assert.ok(loggedBytes > 2 * heldUnreadBytes, `${loggedBytes} bytes were logged, too few to fill the pipe early`);
    assert.ok(p999Ms < maxP999Ms, `the 99.9th percentile of the latencies is ${p999Ms} ms`);
    rmSync(folder, { recursive: true, force: true });
});
