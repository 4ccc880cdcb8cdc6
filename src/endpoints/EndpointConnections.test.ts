/** Checks connections to an endpoint that does not complete them, over loopback. */
import assert from "node:assert/strict";
import * as net from "node:net";
import { after, test } from "node:test";
import { Worker } from "node:worker_threads";
import { SystemClock } from "../common/SystemClock.js";
import type { EndpointId } from "../common/Types.js";
import { EndpointConnections } from "./EndpointConnections.js";

const endpoint = "e" as EndpointId;
const closers: (() => void)[] = [];
after(() => closers.forEach(close => close()));

/** Listens with a full queue, so that the kernel answers no further connection; returns the port. */
async function listenWithoutAccepting(): Promise<number> {
    const worker = new Worker(
        `const { parentPort } = require("node:worker_threads");
        const server = require("node:net").createServer();
        server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
            parentPort.postMessage(server.address().port);
            Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
        });`,
        { eval: true },
    );
    closers.push(() => void worker.terminate());
    const port = await new Promise<number>(resolve => worker.once("message", resolve));
    for (let at = 0; at < 8; at++) {
        const socket = net.connect(port, "127.0.0.1");
        socket.on("error", () => undefined);
        closers.push(() => socket.destroy());
    }
    await new Promise(resolve => setTimeout(resolve, 50));
    return port;
}

// Guards against a request that outlasts its deadline or its caller while it waits for its turn to connect.
test("a request that waits for its turn to connect ends as soon as it is aborted", async () => {
    const port = await listenWithoutAccepting();
    const connections = new EndpointConnections(
        { addressOf: () => `127.0.0.1:${port}`, connectMs: () => 500 },
        new SystemClock(),
    );
    closers.push(() => connections.dispose());
    const connect = (signal: AbortSignal) =>
        connections.connect(endpoint, { method: "GET", path: "/", fresh: false, signal });
    const others = Array.from({ length: 4 }, () => connect(new AbortController().signal));
    const abort = new AbortController();
    const startMs = performance.now();
    const waiting = connect(abort.signal);
    setTimeout(() => abort.abort(), 50);
    const outcome = await waiting;
    const takenMs = performance.now() - startMs;
    assert.equal(outcome.caseOf({ Left: error => error.kind, Right: () => "connected" }), "aborted");
    assert.ok(takenMs < 250, `after ${takenMs} ms`);
    // The turn that it gave up is not lost to others.
    await Promise.all(others);
    const next = Array.from({ length: 4 }, () => connect(new AbortController().signal));
    const ends = await Promise.all(next);
    assert.ok(ends.every(end => end.isLeft()));
});
