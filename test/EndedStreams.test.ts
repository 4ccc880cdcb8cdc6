/** Checks, with processes, what callers of streams get when a host or an endpoint ends in the middle of them. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { eventOf, FleetHistory, streamEvents } from "../proof/FleetHistory.js";
import { FleetSite } from "../proof/FleetSite.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";

/** Half of them, on average, have neither a length nor chunks at their endpoint. */
const streamCount = 16;
interface ReceivedStream {
    readonly body: string;
    /** True when nothing told the caller that the stream had not ended. */
    readonly looksComplete: boolean;
}

/** Reads a stream; `onBegun` is called once some of it has come, or nothing will. */
function readStream(
    address: { readonly host: string; readonly port: number; },
    id: string,
    onBegun: () => void,
): Promise<ReceivedStream> {
    return new Promise(resolve => {
        const headers = { "Host": "h.example", "Fireflykeel-Request-Id": id, "Fireflykeel-Deadline-Ms": "4000" };
        let body = "";
        let looksComplete = false;
        const options = { ...address, path: "/resumable/x", method: "POST", agent: false, headers } as const;
        const req = http.request(options, res => {
            res.on("data", (chunk: Buffer) => {
                body += chunk.toString();
                onBegun();
            });
            res.on("end", () => looksComplete = res.complete && res.statusCode === 200);
            res.on("error", () => looksComplete = false);
        });
        req.on("error", () => looksComplete = false);
        req.on("close", () => {
            onBegun();
            setImmediate(() => resolve({ body, looksComplete }));
        });
        req.end();
    });
}

const isWhole = (body: string, id: string) =>
    ["v1", "v2"].some(version =>
        body === Array.from({ length: streamEvents }, (_, at) => eventOf(id, at + 1, version)).join("")
    );

const cases: readonly {
    readonly name: string;
    /** Called before the streams begin. */
    readonly prepare?: (site: FleetSite) => void;
    /** Called once all streams have begun. */
    readonly end: (site: FleetSite, entry: string) => void;
    /** True when every stream must still reach its caller as a whole. */
    readonly goesOn: boolean;
}[] = [
    {
        name: "their entry host is killed",
        end: (site, entry) => site.processes.signal(entry, "SIGKILL"),
        goesOn: false,
    },
    {
        name: "their entry host is stopped",
        end: (site, entry) => site.processes.signal(entry, "SIGTERM"),
        goesOn: true,
    },
    {
        name: "an endpoint crashes",
        end: site => void site.crash(site.endpoints[0] ?? ""),
        goesOn: false,
    },
    {
        name: "their endpoints reset them",
        prepare: site => Object.assign(site.faults, { cutStream: 0.7 }),
        end: () => undefined,
        goesOn: false,
    },
];

for (const [at, { name, prepare, end, goesOn }] of cases.entries()) {
    // Guards against streams that end early and look complete (reports of betuonto-web-grown and bramwell-fleet, review case 4).
    test(`no stream that looks complete lacks an event when ${name}`, async () => {
        const folder = mkdtempSync(join(tmpdir(), "fireflykeel-ended-"));
        const clock = new SystemClock();
        const size = { controls: 3, entries: 2, endpoints: 2 };
        const site = new FleetSite(size, folder, new FleetHistory(), clock, new SeededRandom(at + 1), 61 + 4 * at);
        const [entry = ""] = site.entries;
        await site.start();
        while (!(await Promise.all(site.entries.map(one => site.isReady(one)))).every(isReady => isReady)) {
            await site.putConfig(site.controls[0] ?? "");
            await clock.sleep(200);
        }
        prepare?.(site);
        const ids = Array.from({ length: streamCount }, (_, one) => `s${one}`);
        const reading: Promise<ReceivedStream & { readonly id: string; }>[] = [];
        const begun = ids.map(id =>
            new Promise<void>(resolve => {
                const stream = readStream(site.callerAddress(entry), id, resolve);
                reading.push(stream.then(received => ({ id, ...received })));
            })
        );
        await Promise.all(begun);
        end(site, entry);
        const streams = await Promise.all(reading);
        await site.stop();
        const wrong = streams.filter(({ id, body, looksComplete }) => looksComplete && !isWhole(body, id));
        assert.deepEqual(wrong, [], `logs in ${folder}`);
        assert.ok(!goesOn || streams.every(({ looksComplete }) => looksComplete), `logs in ${folder}`);
        rmSync(folder, { recursive: true, force: true });
    });
}
