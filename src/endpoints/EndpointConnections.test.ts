/** Checks connections to an endpoint that does not complete them, or has no valid address, over loopback. */
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { after, test } from "node:test";
import { listenWithoutAccepting } from "../../testing/SilentListener.js";
import { SystemClock } from "../common/SystemClock.js";
import type { EndpointId } from "../common/Types.js";
import { type ConnectError, EndpointConnections } from "./EndpointConnections.js";

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

const invalid: readonly { readonly name: string; readonly address: string; readonly headers?: readonly string[]; }[] = [
    { name: "a port out of range", address: "127.0.0.1:99999" },
    { name: "numbers that are no IP address", address: "999.1.1.1:80" },
    { name: "no address", address: "" },
    { name: "a header that can't be written", address: "127.0.0.1:1", headers: ["a", "b\nc"] },
];
for (const { name, address, headers = [] } of invalid) {
    // Guards against an exception, after which a request is lost without an answer, or the process ends.
    test(`a connection with ${name} fails with a value, and leaves the turns to connect to others`, async () => {
        const connections = new EndpointConnections(
            { addressOf: () => address, connectMs: () => 500 },
            new SystemClock(),
        );
        closers.push(() => connections.dispose());
        const { signal } = new AbortController();
        for (let at = 0; at < 5; at++) {
            const failed = await connections.connect(endpoint, {
                method: "GET",
                path: "/",
                fresh: false,
                signal,
                headers,
            });
            assert.equal(failed.caseOf({ Left: error => error.kind, Right: () => "connected" }), "invalid");
        }
    });
}

const immediate: readonly (readonly [string, ConnectError["kind"]])[] = [
    ["EMFILE", "local"],
    ["ENFILE", "local"],
    ["ENOBUFS", "local"],
    ["EADDRNOTAVAIL", "local"],
    ["ENETUNREACH", "timeout"],
    ["ECONNREFUSED", "refused"],
];
for (const [code, kind] of immediate) {
    for (const fresh of [false, true]) {
        // Guards against a process that ends, or takes an endpoint for crashed, since it can open no connection itself.
        test(`${code} that connect raises at once fails with a value, ${fresh ? "fresh" : "pooled"}`, async t => {
            t.mock.method(Socket.prototype, "connect", function(this: Socket & { connecting: boolean; }) {
                this.connecting = true;
                process.nextTick(() => {
                    this.connecting = false;
                    this.destroy(Object.assign(new Error(`connect ${code}`), { code }));
                });
                return this;
            });
            const connections = new EndpointConnections(
                { addressOf: () => "127.0.0.1:1", connectMs: () => 500 },
                new SystemClock(),
            );
            closers.push(() => connections.dispose());
            const { signal } = new AbortController();
            const failed = await connections.connect(endpoint, { method: "GET", path: "/", fresh, signal });
            const error = failed.swap().orDefault({ kind: "invalid", message: "connected" });
            assert.equal(error.kind, kind);
            assert.equal(error.isConfirmed, kind === "local" ? false : undefined);
            const probed = await connections.probe(endpoint, signal);
            assert.equal(probed, kind === "refused" ? "refused" : "unknown");
            // An error of a request without a listener would end the process.
            await new Promise(resolve => setImmediate(resolve));
        });
    }
}
