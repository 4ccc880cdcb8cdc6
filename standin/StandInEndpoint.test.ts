/** Tests the HTTP API of the stand-in endpoint: replies, injected faults, warm-up, crashes, counters and orders. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, request } from "node:http";
import { connect } from "node:net";
import { afterEach, test } from "node:test";
import { blockHashes } from "../src/endpoints/Prompt.js";
import { cacheEventsSchema, engineStateSchema, loadReportSchema, stageReplySchema } from "../src/endpoints/Wire.js";
import { expectedOutput, inputDigest } from "./ExpectedOutput.js";
import { digestOf } from "./Reply.js";
import { StandInEndpoint } from "./StandInEndpoint.js";
import { splitAddress } from "./StandInHttpServer.js";
import type { ControlMessage, StandInOptions } from "./Types.js";

const speed = { baseMs: 2, prefillMsPerToken: 0, chunkMs: 0, chunkChars: 100, coldFactor: 1 };
const agent = new Agent({ keepAlive: true });
let standIn: StandInEndpoint | undefined;
let nextPort = 24600;
let address = "";

async function start(options: Partial<StandInOptions> = {}): Promise<StandInEndpoint> {
    standIn = new StandInEndpoint({
        id: "e1",
        kind: "engine",
        models: [{ model: "m", version: "v1" }],
        coldLimit: 1,
        warmLimit: 4,
        reportsLoad: true,
        checksFencing: false,
        startsCold: false,
        speed,
        loadLagMs: 0,
        cacheLagMs: 0,
        cacheGapShare: 0,
        restartMs: 5,
        ...options,
    });
    nextPort += 1;
    address = `127.0.0.1:${nextPort}`;
    await standIn.start(address);
    return standIn;
}

afterEach(async () => {
    await standIn?.stop();
    standIn = undefined;
});

interface HttpReply {
    readonly status: number;
    readonly text: string;
}

function send(method: string, path: string, body?: unknown, headers: Record<string, string> = {}): Promise<HttpReply> {
    const [host, port] = address.split(":");
    return new Promise((resolve, reject) => {
        const req = request({ host, port, method, path, headers, agent }, res => {
            let text = "";
            res.setEncoding("utf8");
            res.on("data", (part: string) => text += part);
            res.on("end", () => resolve({ status: res.statusCode ?? 0, text }));
            res.on("error", reject);
        });
        req.on("error", reject);
        req.end(body === undefined ? undefined : JSON.stringify(body));
    });
}

function callOf(request: string, input: unknown = "text", extra: object = {}): Record<string, unknown> {
    return {
        request,
        stage: "write",
        attempt: 1,
        workspace: "w",
        pipeline: "p",
        priority: 1,
        model: "m",
        remainingMs: 1000,
        input,
        previous: {},
        ...extra,
    };
}

const control = (message: ControlMessage) => send("POST", "/v1/control", message);

test("a JSON reply identifies its call and contains the expected output", async () => {
    await start();
    const reply = stageReplySchema.parse(JSON.parse((await send("POST", "/v1/stage", callOf("r1"))).text));
    const output = expectedOutput("write", { input: "text", previous: {} });
    assert.deepEqual([reply.request, reply.stage, reply.attempt, reply.incarnation], ["r1", "write", 1, "e1.1"]);
    assert.equal(reply.output, output);
    assert.ok(output.length >= 300);
    assert.deepEqual([reply.length, reply.digest], [output.length, digestOf(output)]);
});

test("a stream contains the output in order from the requested offset, and an end event", async () => {
    await start();
    const output = expectedOutput("write", { input: "text", previous: {} });
    const accept = { accept: "text/event-stream" };
    for (const offset of [0, 150]) {
        const resume = offset === 0 ? {} : { resume: { attempt: 1, offset } };
        const { text } = await send("POST", "/v1/stage", callOf("r1", "text", resume), accept);
        const events = text.trim().split("\n\n").map(event => ({
            name: /^event: (.*)$/m.exec(event)?.[1],
            data: JSON.parse(/^data: (.*)$/m.exec(event)?.[1] ?? "") as {
                offset: number;
                text: string;
                length: number;
            },
        }));
        const outputs = events.filter(event => event.name === "output").map(event => event.data);
        assert.equal(outputs[0]?.offset, offset);
        assert.equal(output.slice(0, offset) + outputs.map(one => one.text).join(""), output);
        assert.equal(events.at(-1)?.name, "end");
        assert.equal(events.at(-1)?.data.length, output.length);
    }
});

const faultyReplies: {
    name: string;
    control: ControlMessage;
    differs: (reply: Record<string, unknown>) => boolean;
}[] = [
    {
        name: "short",
        control: { short: 1 },
        differs: reply => String(reply["output"]).length < Number(reply["length"]),
    },
    { name: "swapped", control: { swapReplies: 1 }, differs: reply => reply["request"] !== "r1" },
];

for (const row of faultyReplies) {
    test(`the next reply is ${row.name}, and the one after it is not`, async () => {
        await start();
        await control(row.control);
        const replies = [await send("POST", "/v1/stage", callOf("r1")), await send("POST", "/v1/stage", callOf("r1"))];
        const [first, second] = replies.map(reply => JSON.parse(reply.text) as Record<string, unknown>);
        assert.equal(row.differs(first!), true);
        assert.equal(row.differs(second!), false);
    });
}

test("a duplicated stream repeats each event", async () => {
    await start();
    await control({ duplicate: 1 });
    const { text } = await send("POST", "/v1/stage", callOf("r1"), { accept: "text/event-stream" });
    const events = text.trim().split("\n\n");
    assert.ok(events.length > 4);
    assert.ok(events.every((event, index) => index % 2 === 0 || event === events[index - 1]));
});

test("a duplicated JSON reply is sent twice on the same connection", async () => {
    await start();
    await control({ duplicate: 1 });
    const socket = connect(splitAddress(address));
    const body = JSON.stringify(callOf("r1"));
    socket.write(`POST /v1/stage HTTP/1.1\r\nhost: e\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
    let received = "";
    while (received.split("HTTP/1.1 200 OK").length < 3 || !received.endsWith("}}")) {
        const [data] = await once(socket, "data") as [Buffer];
        received += data.toString();
    }
    socket.destroy();
    assert.equal(received.split(`"request":"r1"`).length - 1, 2);
});

test("slowBy and lateMs delay the reply", async () => {
    await start({ speed: { ...speed, baseMs: 10 } });
    await control({ slowBy: 4, lateMs: 30 });
    const startMs = performance.now();
    const reply = stageReplySchema.parse(JSON.parse((await send("POST", "/v1/stage", callOf("r1"))).text));
    assert.ok(performance.now() - startMs >= 69);
    assert.ok(reply.usage.busyMs >= 39);
});

test("two swapped replies contain each other's content", async () => {
    await start();
    await control({ swapReplies: 2 });
    const replies = await Promise.all([
        send("POST", "/v1/stage", callOf("r1", "one")),
        send("POST", "/v1/stage", callOf("r2", "two")),
    ]);
    const parsed = replies.map(reply => JSON.parse(reply.text) as { request: string; output: string; });
    assert.deepEqual(parsed.map(reply => reply.request), ["r2", "r1"]);
    assert.equal(parsed[0]?.output, expectedOutput("write", { input: "two", previous: {} }));
});

test("a cold endpoint crashes on one call too many and restarts cold as a new incarnation", async () => {
    const endpoint = await start({ startsCold: true, speed: { ...speed, baseMs: 50 } });
    const ends = await Promise.allSettled([
        send("POST", "/v1/stage", callOf("r1")),
        send("POST", "/v1/stage", callOf("r2")),
    ]);
    assert.deepEqual(ends.map(end => end.status), ["rejected", "rejected"]);
    assert.deepEqual([endpoint.counters.crashes, endpoint.counters.fallsWhileCold], [1, 1]);
    assert.equal(endpoint.counters.maxConcurrentWhileCold, 2);
    const report = loadReportSchema.parse(JSON.parse(await retryUntilUp("/v1/load")));
    assert.deepEqual([report.incarnation, report.state], ["e1.2", "cold"]);
});

test("a cold endpoint is warming after its first completed call, and warm after its third", async () => {
    const endpoint = await start({ startsCold: true });
    for (const [index, state] of ["cold", "warming", "warming", "warm"].entries()) {
        assert.equal(loadReportSchema.parse(JSON.parse((await send("GET", "/v1/load")).text)).state, state);
        await Promise.all(
            Array.from(
                { length: Math.min(index + 1, 1) },
                (_, n) => send("POST", "/v1/stage", callOf(`${index}.${n}`)),
            ),
        );
    }
    assert.equal(endpoint.counters.crashes, 0);
});

test("a call that contains the crash text crashes the endpoint each time", async () => {
    const endpoint = await start();
    await control({ crashOnText: "poison" });
    for (const crashes of [1, 2]) {
        await assert.rejects(send("POST", "/v1/stage", callOf("r1", { note: "poison" })));
        await retryUntilUp("/v1/load");
        assert.equal(endpoint.counters.crashes, crashes);
    }
});

test("silenced connections stay open without a reply until they are dropped, while new ones work", async () => {
    const endpoint = await start({ speed: { ...speed, baseMs: 100 } });
    let ended = "";
    const pendingCall = send("POST", "/v1/stage", callOf("r1")).then(() => ended = "answered", () => ended = "dropped");
    while (endpoint.counters.received === 0) {
        await send("GET", "/v1/load", undefined, { connection: "close" });
    }
    await send("POST", "/v1/control", { silent: true }, { connection: "close" });
    while (endpoint.counters.completed === 0) {
        await send("GET", "/v1/load", undefined, { connection: "close" });
    }
    const fresh = await send("POST", "/v1/stage", callOf("r2"), { connection: "close" });
    assert.equal(fresh.status, 200);
    assert.equal(ended, "");
    await send("POST", "/v1/control", { silent: false }, { connection: "close" });
    assert.equal(await pendingCall, "dropped");
});

test("calls that ran are counted by request and by input", async () => {
    const endpoint = await start({ kind: "service", models: [] });
    const call = { ...callOf("r1", { pet: "cat" }), model: undefined };
    await send("POST", "/v1/stage", call);
    await send("POST", "/v1/stage", { ...call, request: "r2" });
    assert.deepEqual(endpoint.counters.runsByRequest, { r1: 1, r2: 1 });
    assert.deepEqual(endpoint.counters.runsByInput, { [inputDigest("write", { pet: "cat" })]: 2 });
});

test("calls received while leaving are run and counted", async () => {
    const endpoint = await start();
    await control({ leaving: true });
    assert.equal((await send("POST", "/v1/stage", callOf("r1"))).status, 200);
    assert.equal(endpoint.counters.receivedAfterLeaving, 1);
});

test("failures, refusals and invalid calls have different status codes", async () => {
    await start();
    assert.equal((await send("POST", "/v1/stage", callOf("r1", "text", { model: "other" }))).status, 503);
    await control({ failShare: 1 });
    assert.equal((await send("POST", "/v1/stage", callOf("r1"))).status, 422);
    assert.equal((await send("POST", "/v1/stage", { request: 1 })).status, 400);
});

test("a repeated prompt is reported as cached, and cache events report stored and evicted blocks", async () => {
    await start({ cacheBlocks: 3 });
    const input = "long text ".repeat(60);
    await send("POST", "/v1/stage", callOf("r1", input));
    const reply = stageReplySchema.parse(JSON.parse((await send("POST", "/v1/stage", callOf("r2", input))).text));
    assert.equal(reply.usage.cachedTokens, 2 * 64);
    const { events } = cacheEventsSchema.parse(JSON.parse((await send("GET", "/v1/cache-events?after=0")).text));
    assert.deepEqual(events.map(event => event.kind), ["stored"]);
    assert.deepEqual(events[0]?.blocks, blockHashes(input));
    await send("POST", "/v1/stage", callOf("r3", "other text ".repeat(60)));
    const later = cacheEventsSchema.parse(JSON.parse((await send("GET", "/v1/cache-events?after=1")).text));
    assert.deepEqual(later.events.map(event => event.kind), ["stored", "evicted"]);
});

for (const checksFencing of [true, false]) {
    test(`a stale order is ${checksFencing ? "refused with" : "executed without"} fencing checks`, async () => {
        const endpoint = await start({ checksFencing });
        const order = (fencing: number, orderId: string) =>
            send("POST", "/v1/order", { fencing, orderId, kind: "load-model", model: "n", version: "v2" });
        assert.equal((await order(5, "a")).status, 200);
        assert.equal((await order(4, "b")).status, checksFencing ? 409 : 200);
        assert.equal(endpoint.counters.staleOrdersObeyed, checksFencing ? 0 : 1);
        const state = engineStateSchema.parse(JSON.parse((await send("GET", "/v1/state")).text));
        assert.equal(state.fencing, checksFencing ? 5 : 0);
        assert.equal(state.models.find(one => one.model === "n")?.ready, true);
    });
}

test("a running call can be cancelled", async () => {
    const endpoint = await start({ speed: { ...speed, baseMs: 20_000 } });
    const call = send("POST", "/v1/stage", callOf("r1"));
    const ended = assert.rejects(call);
    while (endpoint.counters.received === 0) {
        await send("GET", "/v1/load");
    }
    const reply = await send("POST", "/v1/cancel", { request: "r1", stage: "write", attempt: 1 });
    assert.deepEqual(JSON.parse(reply.text), { cancelled: true });
    await ended;
});

/** Retries until the endpoint listens again. */
async function retryUntilUp(path: string): Promise<string> {
    for (;;) {
        const reply = await send("GET", path).catch(() => undefined);
        if (reply !== undefined) {
            return reply.text;
        }
        await new Promise(resolve => setImmediate(resolve));
    }
}
