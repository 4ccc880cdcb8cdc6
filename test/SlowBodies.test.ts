/** Checks, with processes, what a caller that reads slowly gets of a large body when its entry host is killed. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { FleetHistory } from "../proof/FleetHistory.js";
import { FleetSite, unframedBodyOf, unframedPath } from "../proof/FleetSite.js";
import { SeededRandom } from "../src/common/SeededRandom.js";
import { SystemClock } from "../src/common/SystemClock.js";

const id = "r1";
/** Both the first bytes of the body and the kill have reached the caller's side by then. */
const settleMs = 1000;

interface RawReply {
    readonly head: string;
    readonly body: string;
    /** True when the connection ended in order, and not by a reset. */
    readonly isEnded: boolean;
}

/** Sends a request, and reads nothing of its reply before `beforeRead` has resolved. */
async function readLate(
    { host, port }: { readonly host: string; readonly port: number; },
    beforeRead: () => Promise<void>,
): Promise<RawReply> {
    const socket = connect({ host, port });
    const parts: Buffer[] = [];
    const closed = new Promise<boolean>(resolve => {
        let isReset = false;
        socket.on("error", () => isReset = true);
        socket.on("close", () => resolve(!isReset));
    });
    socket.write(
        `POST /once${unframedPath} HTTP/1.1\r\nHost: h.example\r\nFireflykeel-Request-Id: ${id}\r\n`
            + "Fireflykeel-Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n",
    );
    await beforeRead();
    socket.on("data", (part: Buffer) => parts.push(part));
    const isEnded = await closed;
    const text = Buffer.concat(parts).toString();
    const headBytes = text.indexOf("\r\n\r\n");
    return { head: text.slice(0, headBytes), body: text.slice(headBytes + 4), isEnded };
}

const framed = /^(content-length|transfer-encoding):/im;

// Guards against a body without a length that is cut by a kill and looks whole, as its caller reads it slowly.
test("a large body that ends with its connection does not look whole when its entry host is killed", async () => {
    const folder = mkdtempSync(join(tmpdir(), "fireflykeel-slow-"));
    const clock = new SystemClock();
    const size = { controls: 3, entries: 1, endpoints: 2 };
    const site = new FleetSite(size, folder, new FleetHistory(), clock, new SeededRandom(1), 141);
    const [entry = ""] = site.entries;
    await site.start();
    while (!await site.isReady(entry)) {
        await site.putConfig(site.controls[0] ?? "");
        await clock.sleep(200);
    }
    const { head, body, isEnded } = await readLate(site.callerAddress(entry), async () => {
        await clock.sleep(settleMs);
        site.processes.signal(entry, "SIGKILL");
        await clock.sleep(settleMs);
    });
    await site.stop();
    const looksWhole = isEnded && head.startsWith("HTTP/1.1 200") && !framed.test(head);
    assert.ok(!looksWhole || body === unframedBodyOf(id), `${body.length} bytes look whole; logs in ${folder}`);
    rmSync(folder, { recursive: true, force: true });
});
