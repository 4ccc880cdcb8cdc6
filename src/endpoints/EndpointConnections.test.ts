/** Checks connections to an endpoint that does not complete them, over loopback. */
import assert from "node:assert/strict";
import { after, test } from "node:test";
import { listenWithoutAccepting } from "../../testing/SilentListener.js";
import { SystemClock } from "../common/SystemClock.js";
import type { EndpointId } from "../common/Types.js";
import { EndpointConnections } from "./EndpointConnections.js";

const endpoint = "e" as EndpointId;
const closers: (() => void)[] = [];
after(() => closers.forEach(close => close()));

// Guards against a request that outlasts its deadline or its caller while it waits for its turn to connect.
test("a request that waits for its turn to connect ends as soon as it is aborted", async () => {
    const listener = await listenWithoutAccepting("127.0.0.1:0");
    closers.push(() => void listener.stop());
    const connections = new EndpointConnections(
        { addressOf: () => listener.address, connectMs: () => 500 },
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
