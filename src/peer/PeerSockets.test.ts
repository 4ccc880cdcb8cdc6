/** Tests calls over WebSockets between a real server and transport: outcomes, broken sockets, peers of an older version. */
import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { WebSocket } from "ws";
import * as z from "zod";
import { MemoryLog, MemoryMetrics } from "../../testing/MemoryLog.js";
import { testLimits } from "../../testing/TestLimits.js";
import { parseHostId } from "../common/Ids.js";
import { SystemClock } from "../common/SystemClock.js";
import { HybridLogicalClock } from "../telemetry/HybridLogicalClock.js";
import { TrpcPeerServer } from "./TrpcPeerServer.js";
import { TrpcPeerTransport } from "./TrpcPeerTransport.js";
import { defineFrequentPeerMethod } from "./Types.js";

const alpha = parseHostId("alpha").unsafeCoerce();
const beta = parseHostId("beta").unsafeCoerce();
const key = "secret";
const input = z.object({ name: z.string() });
const greet = defineFrequentPeerMethod<{ name: string; }, { text: string; }>("test.greet", input);
const missing = defineFrequentPeerMethod<{ name: string; }, { text: string; }>("test.missing", input);
const quiet = defineFrequentPeerMethod<{ name: string; }, undefined>("test.quiet", input);
const stuck = defineFrequentPeerMethod<{ name: string; }, undefined>("test.stuck", input);
const clock = new SystemClock();

/** A peer that serves calls, and a transport to it. */
class Pair {
    public readonly log = new MemoryLog();
    public connections = 0;
    public requests = 0;
    private readonly registry: TrpcPeerServer;
    private readonly server: http.Server;
    private readonly sockets: { dispose(): void; } | undefined;
    private readonly transport: TrpcPeerTransport;
    private address = "";

    /** @param hasSockets False for a peer of a version without WebSockets. */
    public constructor(hasSockets: boolean = true, transportKey: string = key) {
        const hybridClock = new HybridLogicalClock(clock, beta);
        const onFatal = (err: Error) => assert.fail(err);
        this.registry = new TrpcPeerServer({
            key,
            clock: hybridClock,
            log: this.log,
            metrics: new MemoryMetrics(),
            onFatal,
        });
        this.registry.handle(greet, async (req, from) => ({ text: `${req.name} from ${from}` }));
        this.registry.handle(quiet, async () => undefined);
        this.registry.handle(stuck, () => new Promise(() => undefined));
        const serve = this.registry.listener(testLimits());
        this.server = http.createServer((req, res) => {
            this.requests += 1;
            serve(req, res);
        });
        this.server.on("connection", () => this.connections += 1);
        if (hasSockets) {
            const sockets = this.registry.sockets(testLimits());
            sockets.attach(this.server);
            this.sockets = sockets;
        }
        this.transport = new TrpcPeerTransport({
            self: alpha,
            key: transportKey,
            addressOf: () => this.address,
            clock,
            hybridClock: new HybridLogicalClock(clock, alpha),
            log: this.log,
        });
    }

    public get url(): string {
        return `ws://${this.address}/peer-socket`;
    }

    public async start(): Promise<this> {
        await new Promise<void>(done => this.server.listen(0, "127.0.0.1", done));
        this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
        return this;
    }

    /** Calls the peer; returns its reply as text, or the kind of the error. */
    public async call(method: typeof greet | typeof quiet, req: unknown = { name: "a" }, timeoutMs: number = 5000) {
        const ended = await this.transport.call<{ name: string; }, { text: string; } | undefined>(
            beta,
            method,
            req as { name: string; },
            { timeoutMs },
        );
        return ended.caseOf<string>({ Left: err => err.kind, Right: res => res?.text ?? "nothing" });
    }

    /** Closes all connections of the peer, as the end of its process does. */
    public closeConnections(): void {
        this.sockets?.dispose();
        this.server.closeAllConnections();
    }

    public async stop(): Promise<void> {
        this.transport.dispose();
        this.closeConnections();
        await new Promise(done => this.server.close(done));
    }
}

const cases = [
    { name: "a call", method: greet, req: { name: "a" }, expected: "a from alpha" },
    { name: "a reply without a value", method: quiet, req: { name: "a" }, expected: "nothing" },
    { name: "a wrong key", method: greet, req: { name: "a" }, key: "wrong", expected: "rejected" },
    { name: "an unknown method", method: missing, req: { name: "a" }, expected: "rejected" },
    { name: "bad input", method: greet, req: { name: 1 }, expected: "rejected" },
    {
        name: "a peer without WebSockets",
        method: greet,
        req: { name: "a" },
        hasSockets: false,
        expected: "a from alpha",
    },
];

for (const row of cases) {
    test(`call over a WebSocket: ${row.name}`, async () => {
        const pair = await new Pair(row.hasSockets, row.key).start();
        assert.equal(await pair.call(row.method, row.req), row.expected);
        await pair.stop();
    });
}

// Guards against an HTTP request for each small call, whose cost keeps gatherers from answering in time.
test("a hundred frequent calls share one connection and need no HTTP request", async () => {
    const pair = await new Pair().start();
    const replies = await Promise.all(Array.from({ length: 100 }, (_, at) => pair.call(greet, { name: `${at}` })));
    assert.deepEqual(replies, Array.from({ length: 100 }, (_, at) => `${at} from alpha`));
    assert.deepEqual([pair.connections, pair.requests], [1, 0]);
    await pair.stop();
});

test("a peer without WebSockets is asked for one once, not at each call", async () => {
    const pair = await new Pair(false).start();
    for (let at = 0; at < 3; at += 1) {
        assert.equal(await pair.call(greet), "a from alpha");
    }
    assert.equal(pair.requests, 4);
    await pair.stop();
});

test("a call whose socket closes is reported as possibly delivered, and the next one uses a new socket", async () => {
    const pair = await new Pair().start();
    assert.equal(await pair.call(greet), "a from alpha");
    const open = pair.call(stuck);
    assert.equal(await pair.call(greet), "a from alpha");
    pair.closeConnections();
    assert.equal(await open, "no-reply");
    assert.equal(await pair.call(greet), "a from alpha");
    await pair.stop();
});

test("a call without a reply is reported as possibly delivered, and later ones use another socket", async () => {
    const pair = await new Pair().start();
    const slow = pair.call(stuck, { name: "a" }, 300);
    assert.equal(await pair.call(stuck, { name: "a" }, 50), "no-reply");
    assert.equal(await pair.call(greet), "a from alpha");
    assert.equal(pair.connections, 2);
    assert.equal(await slow, "no-reply");
    await pair.stop();
});

test("a refused connection is reported as not delivered", async () => {
    const pair = await new Pair().start();
    await pair.stop();
    assert.equal(await pair.call(greet), "unreachable");
});

for (const text of ["{", "{\"id\":1}", "[]", ""]) {
    test(`a frame that is no call closes its socket, and others are served: ${JSON.stringify(text)}`, async () => {
        const pair = await new Pair().start();
        const socket = new WebSocket(pair.url, { headers: { "fireflykeel-key": key, "fireflykeel-host": "alpha" } });
        await new Promise(done => socket.once("open", done));
        const closed = new Promise(done => socket.once("close", done));
        socket.send(text);
        await closed;
        assert.equal(await pair.call(greet), "a from alpha");
        await pair.stop();
    });
}
