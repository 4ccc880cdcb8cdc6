/** Crowds of callers whose request bodies do not end, beside ordinary traffic, twice in a row, and at a planned stop. */
import assert from "node:assert/strict";
import * as http from "node:http";
import { test } from "node:test";
import { checkCrowd, chunked, onSite, sendCrowd, shortOfEnd } from "../../proof/BodyCrowd.js";
import type { CrowdSite } from "../../proof/CrowdSite.js";

/** Descriptors that may be open beyond those before the crowd, such as kept connections to endpoints. */
const spareDescriptors = 20;
const pollMs = 50;
/** How long what a crowd held may take to be released. */
const releaseMs = 10_000;
/** Grace period of a planned stop, and how long the process may take to end beyond it. */
const graceMs = 8000;
const stopSlackMs = 2000;
const metricsPort = 9464;
const net = 85;
/** A test that takes longer has hung. */
const options = { timeout: 60_000 };

/** Reads a series without labels of a host's metrics. */
function readGauge(host: string, name: string): Promise<number> {
    return new Promise((resolve, reject) => {
        http.get({ host, port: metricsPort, path: "/metrics", agent: false }, res => {
            let text = "";
            res.on("data", (part: Buffer) => text += part.toString());
            res.on("end", () => resolve(Number(new RegExp(`^${name} (\\S+)$`, "m").exec(text)?.[1] ?? Number.NaN)));
        }).on("error", reject);
    });
}

/** Sends ordinary requests one after the other until the work has ended; prints how many of them were served. */
async function besideOrdinary(site: CrowdSite, work: Promise<void>): Promise<void> {
    const codes = new Map<number, number>();
    let isOver = false;
    const ended = work.finally(() => isOver = true);
    while (!isOver) {
        const code = await site.request("/idempotent/a", "x".repeat(2000));
        codes.set(code, (codes.get(code) ?? 0) + 1);
        await site.clock.sleep(pollMs);
    }
    await ended;
    console.log(`  ordinary requests beside the crowd, by status: ${JSON.stringify(Object.fromEntries(codes))}`);
}

// Guards against an entry host that keeps its ordinary callers out for good once a crowd has come.
test(
    "a crowd of bodies beside ordinary traffic: the host lives within its memory and serves afterwards",
    options,
    onSite(net, async site => {
        await checkCrowd(site, besideOrdinary(site, sendCrowd(site, chunked(16 * 1024, shortOfEnd))));
        assert.equal(await site.requestUntilServed(), 200);
    }),
);

// Guards against bytes, descriptors and timers that are left over from a crowd, so that the next one ends the process.
test(
    "a crowd of bodies that comes twice leaves nothing over",
    options,
    onSite(net, async site => {
        assert.equal(await site.requestUntilServed(), 200);
        const before = site.site.processes.usage(site.entry)?.descriptors ?? Infinity;
        for (let time = 0; time < 2; time++) {
            await checkCrowd(site, sendCrowd(site, chunked(64 * 1024, shortOfEnd)));
            await site.leave();
            assert.equal(await site.requestUntilServed(), 200);
        }
        const untilMs = site.clock.nowMs() + releaseMs;
        const descriptors = () => site.site.processes.usage(site.entry)?.descriptors ?? Infinity;
        while (descriptors() > before + spareDescriptors && site.clock.nowMs() < untilMs) {
            await site.clock.sleep(pollMs);
        }
        assert.ok(descriptors() <= before + spareDescriptors, `${descriptors()} descriptors, ${before} before`);
        assert.equal(await readGauge(site.entry, "fireflykeel_caller_held_bytes"), 0);
    }),
);

// Guards against a planned stop that waits for bodies that do not end, until the process is killed.
test(
    "a crowd of bodies does not keep a stopping host from ending within its grace",
    options,
    onSite(net, async site => {
        const { processes } = site.site;
        const plan = chunked(64 * 1024, shortOfEnd);
        await checkCrowd(site, sendCrowd(site, plan));
        processes.signal(site.entry, "SIGTERM");
        const untilMs = site.clock.nowMs() + graceMs + stopSlackMs;
        while (processes.isRunning(site.entry) && site.clock.nowMs() < untilMs) {
            await site.clock.sleep(pollMs);
        }
        assert.ok(!processes.isRunning(site.entry), "the process has not ended by itself within its grace");
        site.site.startHost(site.entry, false);
        assert.equal(await site.requestUntilServed(), 200);
    }),
);
