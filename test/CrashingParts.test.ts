/**
 * Runs the fleet's programs as processes before endpoints that crash on a part of a prompt, which callers send in ever
 * new requests to all hosts, beside sound requests that share everything else with them.
 */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { FleetHistory } from "../proof/FleetHistory.js";
import { FleetSite, sendRequest } from "../proof/FleetSite.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";

/** From this time after the fifth crash on, hosts know of it. */
const contactMs = 3000;
const crashesUntilKnown = 5;
const maxRequestsAfter = 3;
const runMs = 14_000;
/** Other addresses than those of tests that may run at the same time. */
const firstNet = 21;
const crashingPauseMs = 300;
const soundPauseMs = 25;
/** Sound requests must begin at least half as often as without crashes. */
const minSoundShare = 0.5;

// Guards against requests that share a part of their prompts and crash endpoints one after the other.
test("requests with a part that crashes endpoints are kept back after the fifth crash, and sound ones are served", async () => {
    const folder = mkdtempSync(join(tmpdir(), "fireflykeel-parts-"));
    const clock = new SystemClock();
    const history = new FleetHistory();
    const size = { controls: 3, entries: 3, endpoints: 6 };
    const site = new FleetSite(size, folder, history, clock, new SeededRandom(1), firstNet);
    await site.start();
    for (const entry of site.entries) {
        while (!await site.isReady(entry)) {
            await site.putConfig(site.controls[0] ?? "");
            await clock.sleep(200);
        }
    }
    site.crashingParts.add("bad");
    const untilMs = clock.nowMs() + runMs;
    const ends: { readonly atMs: number; readonly status: number; }[] = [];
    const send = async (name: string, at: number, part: string) => {
        const startMs = clock.nowMs();
        const { code } = await sendRequest({
            ...site.callerAddress(site.entries[at % site.entries.length] ?? ""),
            path: "/resumable/a",
            method: "POST",
            headers: {
                "Host": "h.example",
                "Fireflykeel-Deadline-Ms": "4000",
                "Fireflykeel-Request-Id": `${name}-${at}`,
                "Fireflykeel-Token-Counts": "160,10",
                "Fireflykeel-Prompt-Prefix": `first:100,${part}:50,own${name}${at}:10`,
            },
        }, `${name} ${at}`);
        if (name === "sound") {
            ends.push({ atMs: startMs, status: code });
        }
    };
    const sendAll = async (name: string, pauseMs: number, partOf: (at: number) => string) => {
        const sent: Promise<void>[] = [];
        for (let at = 0; clock.nowMs() < untilMs; at++) {
            sent.push(send(name, at, partOf(at)));
            await clock.sleep(pauseMs);
        }
        await Promise.all(sent);
    };
    await Promise.all([
        sendAll("bad", crashingPauseMs, () => "bad"),
        sendAll("sound", soundPauseMs, at => `p${at % 20}`),
    ]);
    await site.stop();
    const fifthMs = history.crashesMs[crashesUntilKnown - 1] ?? Infinity;
    const late = history.runs.filter(({ request, atMs }) => request.startsWith("bad") && atMs > fifthMs + contactMs);
    const sound = ends.filter(({ atMs }) => atMs > fifthMs + 2 * contactMs);
    const served = sound.filter(({ status }) => status === 200).length;
    assert.ok(late.length <= maxRequestsAfter, `${late.length} requests reached endpoints later, logs in ${folder}`);
    assert.ok(served >= sound.length * minSoundShare, `${served} of ${sound.length} served, logs in ${folder}`);
    rmSync(folder, { recursive: true, force: true });
});
