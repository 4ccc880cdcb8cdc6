/** Crowds of callers whose request bodies do not end, and what holds for an entry host while they last. */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import type { TestContext } from "node:test";
import { CrowdSite } from "./CrowdSite.js";

const mib = 1024 * 1024;
/** As on the deployments. */
const callerLimits = { MaxBodyBytes: 4 * mib, MaxHeaderBytes: 16 * 1024 };
/** Memory of an entry host on the smallest machines of the platform. */
const maxResidentBytes = 250e6;
/** The crowd, with its connections once more for endpoints, peers, files and the callers beside it. */
const maxDescriptors = 300;
const crowdSize = 100;
/** A crowd stays until it has sent everything or was disconnected, at most this long, and then some time more. */
const maxSendMs = 8000;
const stayMs = 2000;

/** What one connection of a crowd sends after its head. */
export interface BodyPlan {
    readonly framing: string;
    /** Bytes that are written at once, made of whole chunks. */
    readonly block: Buffer;
    /** Number of bytes of the body in a block. */
    readonly blockBytes: number;
    /** The connection stops once it has sent this much of a body, and stays open. */
    readonly stopBytes: number;
}

export function chunked(chunkBytes: number, stopBytes: number, extension = ""): BodyPlan {
    const chunk = Buffer.from(`${chunkBytes.toString(16)}${extension}\r\n${"x".repeat(chunkBytes)}\r\n`);
    const count = Math.max(1, Math.floor(32 * 1024 / chunk.length));
    const block = Buffer.concat(Array.from({ length: count }, () => chunk));
    return { framing: "Transfer-Encoding: chunked", block, blockBytes: count * chunkBytes, stopBytes };
}

/** Short of the limit by one block at least. */
export const shortOfEnd = callerLimits.MaxBodyBytes - 64 * 1024;

export const withLength: BodyPlan = {
    framing: `Content-Length: ${callerLimits.MaxBodyBytes}`,
    block: Buffer.alloc(64 * 1024, "x"),
    blockBytes: 64 * 1024,
    stopBytes: shortOfEnd,
};

/** Sends one body; resolves once all of it has been written or the connection is closed. */
function sendBody(socket: Socket, id: string, plan: BodyPlan): Promise<void> {
    return new Promise(resolve => {
        let sent = 0;
        const send = () => {
            while (!socket.destroyed && sent + plan.blockBytes <= plan.stopBytes) {
                sent += plan.blockBytes;
                if (!socket.write(plan.block)) {
                    return;
                }
            }
            resolve();
        };
        socket.on("close", () => resolve());
        socket.on("drain", send);
        socket.write(
            `POST /idempotent/a HTTP/1.1\r\nHost: h.example\r\nFireflykeel-Request-Id: ${id}\r\n`
                + `Fireflykeel-Deadline-Ms: 60000\r\n${plan.framing}\r\n\r\n`,
        );
        send();
    });
}

let crowds = 0;

/** Lets a crowd send its bodies and stay; it is still there at the end. */
export async function sendCrowd(site: CrowdSite, plan: BodyPlan): Promise<void> {
    crowds += 1;
    const address = site.site.callerAddress(site.entry);
    const bodies = Array.from(
        { length: crowdSize },
        (_, at) => sendBody(site.connect(address), `crowd-${crowds}-${at}`, plan),
    );
    await Promise.race([Promise.all(bodies), site.clock.sleep(maxSendMs)]);
    await site.clock.sleep(stayMs);
}

/** Waits for the work; checks that the process lives, and its memory and descriptors meanwhile. */
export async function checkCrowd(site: CrowdSite, work: Promise<void>): Promise<void> {
    const peak = await site.watch(site.entry, work);
    const megabytes = (peak.residentBytes / 1e6).toFixed(0);
    console.log(`  peak ${megabytes} MB, ${peak.descriptors} descriptors, ${site.openConnections} connections left`);
    assert.ok(site.site.processes.isRunning(site.entry), "the process has ended");
    assert.ok(peak.residentBytes < maxResidentBytes, `${peak.residentBytes} bytes of resident memory`);
    assert.ok(peak.descriptors < maxDescriptors, `${peak.descriptors} descriptors`);
}

/** The body of a test that runs on a site of its own, and keeps the logs if it fails. */
export function onSite(net: number, run: (site: CrowdSite) => Promise<void>): (t: TestContext) => Promise<void> {
    return async t => {
        const site = new CrowdSite({ net, callerLimits });
        let hasPassed = false;
        t.after(async () => {
            await site.stop();
            if (hasPassed) {
                site.removeLogs();
            }
        });
        await site.start();
        await run(site);
        hasPassed = true;
    };
}
