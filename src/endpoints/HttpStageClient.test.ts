/** Tests which replies of an endpoint are accepted, how failures are reported, and when a slot is released. */
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, test } from "node:test";
import { FixedConfig, testSettings, testView } from "../../testing/TestSettings.js";
import { DispatchLedger } from "../common/Outcome.js";
import { SystemClock } from "../common/SystemClock.js";
import type { EndpointId, ModelId, PipelineId, RequestId, StageId, WorkspaceId } from "../common/Types.js";
import { HttpStageClient } from "./HttpStageClient.js";
import type { CallEnd, CallEvidence, Slot, StageCall, StageCallError } from "./Types.js";

const endpoint = "north-writer" as EndpointId;
const clock = new SystemClock();
const output = "A quiet dog, fond of tea.";

type Handler = (req: IncomingMessage, res: ServerResponse, body: string) => void;

const opened: { server: Server; client: HttpStageClient; sockets: Set<Socket>; }[] = [];

afterEach(() => {
    for (const { server, client, sockets } of opened.splice(0)) {
        client.dispose();
        server.close();
        sockets.forEach(socket => socket.destroy());
    }
});

class TestSlot implements Slot {
    public readonly endpoint = endpoint;
    public readonly expiresAtMs = Number.POSITIVE_INFINITY;
    public begun = false;
    public ends: CallEnd[] = [];
    public evidence: CallEvidence | undefined;
    public readonly released: Promise<CallEnd>;
    private settle: (end: CallEnd) => void = () => undefined;

    public constructor(private readonly live: boolean = true) {
        this.released = new Promise(resolve => this.settle = resolve);
    }

    public begin(): boolean {
        this.begun = this.live;
        return this.live;
    }

    public release(end: CallEnd, evidence?: CallEvidence): void {
        this.ends.push(end);
        this.evidence = evidence;
        this.settle(end);
    }
}

/** Starts an endpoint that answers stage calls by `handler` and records cancels. */
async function startEndpoint(handler: Handler, kind: "engine" | "service" = "service") {
    const seen = { stages: 0, cancels: [] as unknown[], sockets: new Set<Socket>() };
    const server = createServer((req, res) => {
        const chunks: Buffer[] = [];
        req.on("data", (chunk: Buffer) => chunks.push(chunk));
        req.on("end", () => {
            const body = Buffer.concat(chunks).toString("utf8");
            if (req.url === "/v1/cancel") {
                seen.cancels.push(JSON.parse(body));
                res.end("{}");
                return;
            }
            seen.stages += 1;
            handler(req, res, body);
        });
    });
    server.on("connection", socket => seen.sockets.add(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const base = testSettings({ timing: { firstByteMs: 300, gapMs: 150, connectMs: 300 } });
    const settings = {
        ...base,
        endpoints: { [endpoint]: { ...base.endpoints[endpoint]!, kind, address: `127.0.0.1:${port}` } },
    };
    const client = new HttpStageClient({ config: new FixedConfig(testView(settings)), clock });
    opened.push({ server, client, sockets: seen.sockets });
    return { client, server, seen };
}

function testCall(overrides: Partial<StageCall> = {}): StageCall {
    return {
        request: "r1" as RequestId,
        workspace: "w1" as WorkspaceId,
        pipeline: "profile" as PipelineId,
        stage: "write" as StageId,
        attempt: 1,
        idempotent: true,
        priority: 1,
        model: "m1" as ModelId,
        body: { input: "notes", previous: {} },
        resumeFrom: undefined,
        deadlineMs: clock.nowMs() + 2000,
        ...overrides,
    };
}

const usage = { promptTokens: 1, cachedTokens: 0, outputTokens: 5, busyMs: 3 };
const echo = { request: "r1", stage: "write", attempt: 1, incarnation: "e.1" };

function digestOf(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

function wholeReply(overrides: Record<string, unknown> = {}): string {
    return JSON.stringify({ ...echo, output, length: output.length, digest: digestOf(output), usage, ...overrides });
}

function event(name: string, data: Record<string, unknown>): string {
    return `event: ${name}\ndata: ${JSON.stringify({ ...echo, ...data })}\n\n`;
}

const endEvent = event("end", { length: output.length, digest: digestOf(output), usage });

function stream(res: ServerResponse, ...events: string[]): void {
    res.writeHead(200, { "content-type": "text/event-stream" });
    events.forEach(text => res.write(text));
}

async function callOnce(
    client: HttpStageClient,
    call: StageCall = testCall(),
    slot: TestSlot = new TestSlot(),
    signal: AbortSignal = new AbortController().signal,
) {
    const ledger = new DispatchLedger();
    const pieces: string[] = [];
    const result = await client.call(call, slot, ledger, signal, (_offset, text) => pieces.push(text));
    return { result, slot, ledger, pieces, error: result.swap().toMaybe().extract() };
}

test("a complete reply is returned, and the slot is released with evidence", async () => {
    const { client } = await startEndpoint((_req, res) => res.end(wholeReply()));
    const { result, slot, ledger } = await callOnce(client);
    assert.equal(result.map(reply => reply.output).extract(), output);
    assert.deepEqual(slot.ends, ["succeeded"]);
    assert.equal(slot.evidence?.endpointIncarnation, "e.1");
    assert.equal(ledger.sentCalls, 1);
});

test("a stream is passed on in order and accepted with its end event", async () => {
    const { client } = await startEndpoint((_req, res) => {
        stream(res, event("output", { offset: 0, text: output.slice(0, 5) }));
        // Duplicate events are ignored.
        res.write(event("output", { offset: 0, text: output.slice(0, 5) }));
        res.end(event("output", { offset: 5, text: output.slice(5) }) + endEvent);
    }, "engine");
    const { result, pieces } = await callOnce(client);
    assert.equal(result.map(reply => reply.output).extract(), output);
    assert.deepEqual(pieces, [output.slice(0, 5), output.slice(5)]);
});

test("a resumed stream is appended to the output received before, and its digest covers both", async () => {
    let resume: unknown;
    const { client } = await startEndpoint((_req, res, body) => {
        resume = (JSON.parse(body) as { resume: unknown; }).resume;
        stream(res, event("output", { offset: 5, text: output.slice(5), attempt: 2 }));
        res.end(event("end", { attempt: 2, length: output.length, digest: digestOf(output), usage }));
    }, "engine");
    const received = output.slice(0, 5);
    const call = testCall({ attempt: 2, resumeFrom: { attempt: 1, offset: 5, received } });
    const { result } = await callOnce(client, call);
    assert.deepEqual(resume, { attempt: 1, offset: 5 });
    assert.equal(result.map(reply => reply.output).extract(), output);
});

const faults: readonly {
    readonly name: string;
    readonly handler: Handler;
    readonly kind: StageCallError["kind"];
    readonly end: CallEnd;
    readonly engine?: boolean;
}[] = [
    {
        name: "another request",
        handler: (_, res) => res.end(wholeReply({ request: "r2" })),
        kind: "bad-reply",
        end: "failed",
    },
    {
        name: "another attempt",
        handler: (_, res) => res.end(wholeReply({ attempt: 2 })),
        kind: "bad-reply",
        end: "failed",
    },
    {
        name: "a short output",
        handler: (_, res) => res.end(wholeReply({ output: "A quiet" })),
        kind: "bad-reply",
        end: "failed",
    },
    {
        name: "a wrong digest",
        handler: (_, res) => res.end(wholeReply({ digest: "0" })),
        kind: "bad-reply",
        end: "failed",
    },
    { name: "a reply that is not JSON", handler: (_, res) => res.end("oops"), kind: "bad-reply", end: "failed" },
    {
        name: "a gap in a stream",
        handler: (_, res) => {
            stream(res, event("output", { offset: 0, text: "A" }), event("output", { offset: 5, text: "t" }));
            res.end(endEvent);
        },
        kind: "bad-reply",
        end: "failed",
        engine: true,
    },
    {
        name: "a stream without its end event",
        handler: (_, res) => {
            stream(res, event("output", { offset: 0, text: output }));
            res.end();
        },
        kind: "lost",
        end: "cancelled",
        engine: true,
    },
    {
        name: "a refusal as cold",
        handler: (_, res) => res.writeHead(503).end(JSON.stringify({ state: "cold", message: "cold" })),
        kind: "refused",
        end: "cold",
    },
    {
        name: "a failed stage",
        handler: (_, res) => res.writeHead(422).end(JSON.stringify({ state: "other", message: "no" })),
        kind: "stage-error",
        end: "failed",
    },
    { name: "a reset during the call", handler: req => req.socket.resetAndDestroy(), kind: "lost", end: "crashed" },
    { name: "silence before the first byte", handler: () => undefined, kind: "lost", end: "lost" },
    {
        name: "silence within a stream",
        handler: (_, res) => stream(res, event("output", { offset: 0, text: "A quiet" })),
        kind: "lost",
        end: "lost",
        engine: true,
    },
];

for (const { name, handler, kind, end, engine } of faults) {
    test(`${name} is reported as ${kind}`, async () => {
        const { client } = await startEndpoint(handler, engine === true ? "engine" : "service");
        const { error, slot } = await callOnce(client);
        assert.equal((error as StageCallError).kind, kind);
        assert.equal(await slot.released, end);
    });
}

test("the checked prefix of a broken stream is returned", async () => {
    const { client } = await startEndpoint((_req, res) => {
        stream(res, event("output", { offset: 0, text: "A quiet" }));
        setImmediate(() => res.socket?.resetAndDestroy());
    }, "engine");
    const { error } = await callOnce(client);
    assert.equal(error?.kind === "lost" ? error.received : undefined, "A quiet");
});

test("a call whose connection was refused is reported as never sent", async () => {
    const { client, server, seen } = await startEndpoint((_req, res) => res.end());
    await new Promise(resolve => server.close(resolve));
    const { error, slot, ledger } = await callOnce(client);
    assert.equal(error?.kind, "never-sent");
    assert.equal(ledger.sentCalls, 0);
    assert.deepEqual(slot.ends, ["refused"]);
    assert.equal(seen.stages, 0);
});

test("no call is written without a live slot", async () => {
    const { client, seen } = await startEndpoint((_req, res) => res.end(wholeReply()));
    const { error, slot, ledger } = await callOnce(client, testCall(), new TestSlot(false));
    assert.equal(error?.kind, "never-sent");
    assert.deepEqual([ledger.sentCalls, slot.ends, seen.stages], [0, ["never-sent"], 0]);
});

test("a call is not written once the ledger of its request is sealed", async () => {
    const { client, seen } = await startEndpoint((_req, res) => res.end(wholeReply()));
    const ledger = new DispatchLedger();
    ledger.seal();
    const slot = new TestSlot();
    const result = await client.call(testCall(), slot, ledger, new AbortController().signal);
    assert.equal(result.swap().toMaybe().extract()?.kind, "cancelled");
    assert.equal(seen.stages, 0);
});

test("aborting cancels the call on the endpoint, and the slot is kept until the cancel is confirmed", async () => {
    const abort = new AbortController();
    const { client, seen } = await startEndpoint(() => abort.abort());
    const { error, slot } = await callOnce(client, testCall(), new TestSlot(), abort.signal);
    assert.equal(error?.kind, "cancelled");
    assert.deepEqual(slot.ends, [], "the call may still run");
    assert.equal(await slot.released, "cancelled");
    assert.deepEqual(seen.cancels, [{ request: "r1", stage: "write", attempt: 1 }]);
});

test("calls share a keep-alive connection, but a non-idempotent call gets its own", async () => {
    const { client, seen } = await startEndpoint((_req, res) => res.end(wholeReply()));
    await callOnce(client);
    await callOnce(client);
    assert.equal(seen.sockets.size, 1);
    await callOnce(client, testCall({ idempotent: false }));
    assert.equal(seen.sockets.size, 2);
});

test("idle connections are not reused after one connection fell silent", async () => {
    let silent = false;
    const { client, seen } = await startEndpoint((_req, res) => {
        if (!silent) {
            setTimeout(() => res.end(wholeReply()), 20);
        }
    });
    await Promise.all([callOnce(client), callOnce(client)]);
    assert.equal(seen.sockets.size, 2);
    silent = true;
    const lost = await callOnce(client);
    assert.equal(lost.error?.kind, "lost");
    silent = false;
    await lost.slot.released;
    const before = seen.sockets.size;
    const { result } = await callOnce(client);
    assert.ok(result.isRight());
    assert.equal(seen.sockets.size, before + 1);
});

const firstReplies: readonly { readonly name: string; readonly status: number; readonly text: string; }[] = [
    { name: "a refusal", status: 503, text: JSON.stringify({ state: "overloaded", message: "of r1" }) },
    { name: "a failure", status: 422, text: JSON.stringify({ state: "other", message: "of r1" }) },
    { name: "an output", status: 200, text: wholeReply() },
];

for (const { name, status, text } of firstReplies) {
    // Guards against a refusal or failure of one call that is taken for another's, and against replies one call late.
    test(`${name} that is written once more ends no other call, and the call after it gets its own reply`, async () => {
        let calls = 0;
        const used = new WeakSet<Socket>();
        const { client } = await startEndpoint((req, res, body) => {
            calls += 1;
            if (calls === 2 && used.has(req.socket)) {
                req.socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
            }
            used.add(req.socket);
            const { request } = JSON.parse(body) as { request: string; };
            const isFirst = calls === 1;
            res.statusCode = isFirst ? status : 200;
            setTimeout(() => res.end(isFirst ? text : wholeReply({ request })), 20);
        });
        const call = (request: string) => callOnce(client, testCall({ request: request as RequestId }));
        await call("r1");
        const { error } = await call("r2");
        assert.ok(error === undefined || error.kind === "bad-reply", error?.message);
        assert.ok((await call("r3")).result.isRight());
    });
}
