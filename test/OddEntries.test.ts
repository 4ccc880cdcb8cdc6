/** Runs the fleet's programs as processes while the list of endpoints holds entries of another writer. */
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { FleetHistory } from "../proof/FleetHistory.js";
import { FleetSite, sendRequest } from "../proof/FleetSite.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";

/** Other addresses than those of tests that may run at the same time. */
const firstNet = 31;
const requestsPerEntry = 40;
const pauseMs = 25;

const good = { Id: "odd", Service: "s", Address: "127.0.0.1:1", Zone: "a", State: "ready", Slots: 1 };
const withField = (field: string, text: string) =>
    JSON.stringify({ ...good, Id: `odd-${field}`, [field]: "@" }).replace("\"@\"", text);
const deep = "[".repeat(200_000) + "]".repeat(200_000);

const lists: readonly { readonly name: string; readonly odd: readonly string[]; }[] = [
    {
        name: "addresses that are none",
        odd: [withField("Address", "\"127.0.0.1:99999\""), withField("Address", "\"999.1.1.1:80\"")],
    },
    {
        name: "numbers that are too large",
        odd: [withField("Slots", "1e308"), withField("ColdLeftMs", "1e308"), withField("born", "1e999")],
    },
    { name: "deep nesting", odd: [withField("Version", deep), withField("Models", deep), deep] },
    { name: "bytes that can't be read", odd: ["{\"Id\":\"odd\u0001", "{\"Id\":\uFFFD\uFFFD}"] },
];

// Guards against processes that end by themselves, requests without an answer, and a list that is not followed.
test("with odd entries in the list, all processes run, all requests are served, and the list is followed", async () => {
    const folder = mkdtempSync(join(tmpdir(), "fireflykeel-odd-"));
    const clock = new SystemClock();
    const size = { controls: 3, entries: 2, endpoints: 3 };
    const history = new FleetHistory();
    const site = new FleetSite(size, folder, history, clock, new SeededRandom(1), firstNet);
    try {
        await site.start();
        for (const entry of site.entries) {
            while (!await site.isReady(entry)) {
                await site.putConfig(site.controls[0] ?? "");
                await clock.sleep(200);
            }
        }
        for (const { name, odd } of lists) {
            site.oddEntries.splice(0, Infinity, ...odd);
            // A new start of an endpoint is in the list only beside the odd entries.
            site.leave(site.endpoints[0] ?? "");
            site.restartEndpoint(site.endpoints[0] ?? "");
            await clock.sleep(2500);
            const sent = Array.from({ length: requestsPerEntry }, async (_, at) => {
                await clock.sleep(at * pauseMs);
                return Promise.all(site.entries.map(async entry => {
                    const headers = {
                        "Host": "h.example",
                        "Fireflykeel-Deadline-Ms": "4000",
                        "Fireflykeel-Request-Id": `${name.replaceAll(/\W/g, "")}-${entry}-${at}`,
                    };
                    const path = at % 2 === 0 ? "/idempotent/a" : "/once/a";
                    return (await sendRequest({ ...site.callerAddress(entry), path, method: "POST", headers }, ""))
                        .code;
                }));
            });
            const statuses = (await Promise.all(sent)).flat();
            assert.deepEqual(statuses.filter(status => status !== 200), [], `${name}, logs in ${folder}`);
            const ended = site.processes.names.filter(one => !site.processes.isRunning(one));
            assert.deepEqual(ended, [], `${name}, logs in ${folder}`);
        }
    }
    finally {
        await site.stop();
    }
    const lines = site.controls.map(host => readFileSync(join(folder, `${host}.out`), "utf8")).join("").split("\n");
    const named = lines.filter(line => line.includes("EndpointEntryUnreadable"));
    for (const id of ["odd-Address", "odd-Slots", "odd-ColdLeftMs", "odd-born", "odd-Version"]) {
        assert.ok(named.some(line => line.includes(`"${id}"`)), `no line names ${id}, logs in ${folder}`);
    }
    // Once at each control host that has read the list, not with each of its reads.
    const odd = lists.flatMap(one => one.odd).length;
    assert.ok(named.length <= size.controls * odd, `${named.length} lines on ${odd} entries, logs in ${folder}`);
    assert.ok(!lines.some(line => line.includes("EndpointListLost")), `logs in ${folder}`);
    rmSync(folder, { recursive: true, force: true });
});
