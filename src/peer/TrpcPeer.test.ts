/** Tests peer calls between a real server and transport: errors, rejected keys, refused and silent connections. */
import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import * as z from "zod";
import { MemoryLog, MemoryMetrics } from "../../testing/MemoryLog.js";
import { testLimits } from "../../testing/TestLimits.js";
import { parseHostId } from "../common/Ids.js";
import { SystemClock } from "../common/SystemClock.js";
import { HybridLogicalClock } from "../telemetry/HybridLogicalClock.js";
import { TrpcPeerServer } from "./TrpcPeerServer.js";
import { TrpcPeerTransport } from "./TrpcPeerTransport.js";
import { definePeerMethod } from "./Types.js";

const alpha = parseHostId("alpha").unsafeCoerce();
const beta = parseHostId("beta").unsafeCoerce();
const greet = definePeerMethod<{ name: string; }, { text: string; }>("test.greet", z.object({ name: z.string() }));
const missing = definePeerMethod<{ name: string; }, { text: string; }>("test.missing", z.object({ name: z.string() }));
const clock = new SystemClock();

async function listen(handler: http.RequestListener): Promise<{ server: http.Server; address: string; }> {
    const server = http.createServer(handler);
    await new Promise<void>(done => server.listen(0, "127.0.0.1", done));
    return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

function transportTo(address: string, key: string, log: MemoryLog = new MemoryLog()): TrpcPeerTransport {
    return new TrpcPeerTransport({
        self: alpha,
        key,
        addressOf: host => host === beta ? address : undefined,
        clock,
        hybridClock: new HybridLogicalClock(clock, alpha),
        log,
    });
}

function peerServer(): TrpcPeerServer {
    const server = new TrpcPeerServer({
        key: "secret",
        clock: new HybridLogicalClock(clock, beta),
        log: new MemoryLog(),
        metrics: new MemoryMetrics(),
        onFatal: err => assert.fail(err),
    });
    server.handle(greet, async (req, from) => ({ text: `${req.name} from ${from}` }));
    return server;
}

const cases: { name: string; key: string; method: typeof greet; input: unknown; expected: string; }[] = [
    { name: "a call", key: "secret", method: greet, input: { name: "a" }, expected: "a from alpha" },
    { name: "a wrong key", key: "wrong", method: greet, input: { name: "a" }, expected: "rejected" },
    { name: "an unknown method", key: "secret", method: missing, input: { name: "a" }, expected: "rejected" },
    { name: "bad input", key: "secret", method: greet, input: { name: 1 }, expected: "rejected" },
];

for (const row of cases) {
    test(`peer call: ${row.name}`, async () => {
        const { server, address } = await listen(peerServer().listener(testLimits()));
        const transport = transportTo(address, row.key);
        const result = await transport.call(beta, row.method, row.input as { name: string; }, { timeoutMs: 5000 });
        transport.dispose();
        server.close();
        const seen = result.caseOf<string>({ Left: err => err.kind, Right: res => res.text });
        assert.equal(seen, row.expected);
    });
}

test("a body that is not JSON and one that is too large get an error, and the next call is served", async () => {
    const { server, address } = await listen(peerServer().listener(testLimits()));
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    const send = (body: string) =>
        new Promise<number>(resolve => {
            const headers = { "fireflykeel-key": "secret", "fireflykeel-host": "alpha" };
            const req = http.request(`http://${address}/peer/test.greet`, { method: "POST", agent, headers }, res => {
                res.resume();
                res.on("end", () => resolve(res.statusCode ?? 0));
            });
            req.on("error", () => resolve(0));
            req.end(body);
        });
    assert.equal(await send("{"), 400);
    assert.equal(await send("x".repeat(17 * 1024 * 1024)), 413);
    assert.equal(await send("{\"name\":\"a\"}"), 200);
    agent.destroy();
    server.close();
});

test("calls to a refused connection and to an unknown host are reported as undelivered", async () => {
    const { server, address } = await listen(() => undefined);
    await new Promise(done => server.close(done));
    const transport = transportTo(address, "secret");
    for (const host of [beta, parseHostId("gamma").unsafeCoerce()]) {
        const result = await transport.call(host, greet, { name: "a" }, { timeoutMs: 5000 });
        assert.equal(result.swap().unsafeCoerce().kind, "unreachable");
    }
    transport.dispose();
});

test("a call to a silent peer is reported as possibly delivered, and the next call uses a new connection", async () => {
    let connections = 0;
    const { server, address } = await listen(() => undefined);
    server.on("connection", () => connections += 1);
    const log = new MemoryLog();
    const transport = transportTo(address, "secret", log);
    for (let round = 0; round < 2; round += 1) {
        const result = await transport.call(beta, greet, { name: "a" }, { timeoutMs: 50 });
        assert.equal(result.swap().unsafeCoerce().kind, "no-reply");
    }
    assert.equal(connections, 2);
    assert.equal(log.events.length, 2);
    transport.dispose();
    server.closeAllConnections();
    server.close();
});
