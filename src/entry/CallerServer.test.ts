/** The callers' HTTP API: status, headers and body for each outcome, streams, disconnected callers and drains. */
import assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import { test } from "node:test";
import { MemoryLog, MemoryMetrics } from "../../testing/MemoryLog.js";
import { FixedConfig, testView } from "../../testing/TestSettings.js";
import { parseRequestId } from "../common/Ids.js";
import { DispatchLedger, failureFor, type Outcome, outcomeUnknown } from "../common/Outcome.js";
import { SystemClock } from "../common/SystemClock.js";
import type { OutputListener, PipelineAnswer, PipelineRequest, PipelineRunner } from "../pipeline/Types.js";
import type { Jobs } from "../records/Types.js";
import { digestOf } from "./AnswerStream.js";
import { CallerApi } from "./CallerApi.js";
import { CallerServer } from "./CallerServer.js";
import { JobApi } from "./JobApi.js";

type Run = (req: PipelineRequest, signal: AbortSignal, listener?: OutputListener) => Promise<Outcome<PipelineAnswer>>;

const answered = (output: string): Outcome<PipelineAnswer> => ({ kind: "answered", answer: { output, stages: [] } });
const sentLedger = (idempotent: boolean) => {
    const ledger = new DispatchLedger();
    ledger.markSent(idempotent);
    return ledger;
};

let nextPort = 23_400;

interface Site {
    readonly address: string;
    readonly server: CallerServer;
    stop(): Promise<void>;
}

async function startSite(run: Run, configured: boolean = true): Promise<Site> {
    const clock = new SystemClock();
    const log = new MemoryLog();
    const runner: PipelineRunner = { run, runJob: async () => assert.fail("unexpected job"), inFlight: 0 };
    let count = 0;
    const api = new CallerApi({
        config: new FixedConfig(configured ? testView() : undefined),
        runner,
        jobs: new JobApi({ get: async () => assert.fail("unexpected access to jobs") } as unknown as Jobs, clock),
        clock,
        log,
        metrics: new MemoryMetrics(),
        nextRequestId: () => parseRequestId(`r${count += 1}`).unsafeCoerce(),
    });
    const address = `127.0.0.1:${nextPort += 1}`;
    const server = new CallerServer({
        address,
        api,
        readiness: { readiness: () => ({ ready: true }) },
        balancerLagMs: () => 0,
        clock,
        log,
        metrics: new MemoryMetrics(),
        onFatal: err => assert.fail(err),
    });
    const abort = new AbortController();
    const ended = server.run(abort.signal);
    await new Promise(done => setImmediate(done));
    return {
        address,
        server,
        stop: async () => {
            abort.abort();
            await ended;
        },
    };
}

interface Reply {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly text: string;
}

function send(address: string, path: string, headers: http.OutgoingHttpHeaders, body: string | Buffer): Promise<Reply> {
    return new Promise((resolve, reject) => {
        const req = http.request(`http://${address}${path}`, { method: "POST", headers, agent: false }, res => {
            const chunks: Buffer[] = [];
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("end", () => {
                resolve({ status: res.statusCode ?? 0, headers: res.headers, text: Buffer.concat(chunks).toString() });
            });
        });
        req.on("error", reject);
        req.end(body);
    });
}

const w1 = { "fireflykeel-workspace": "w1" };
const refusals: {
    name: string;
    path?: string;
    headers?: http.OutgoingHttpHeaders;
    body?: string | Buffer;
    status: number;
}[] = [
    { name: "no workspace", headers: {}, status: 400 },
    { name: "an unknown workspace", headers: { "fireflykeel-workspace": "w9" }, status: 404 },
    { name: "an unknown pipeline", path: "/v1/pipelines/nothing", status: 404 },
    { name: "an unknown path", path: "/v2", status: 404 },
    { name: "a body that is not JSON", body: "{", status: 400 },
    { name: "a body that is not UTF-8", body: Buffer.from([0x22, 0xFF, 0x22]), status: 400 },
    { name: "an over-long body", body: JSON.stringify("x".repeat(1_100_000)), status: 413 },
    { name: "a deadline that is not a number", headers: { ...w1, "fireflykeel-deadline-ms": "soon" }, status: 400 },
    { name: "a deadline of zero", headers: { ...w1, "fireflykeel-deadline-ms": "0" }, status: 400 },
    { name: "an empty idempotency key", headers: { ...w1, "idempotency-key": "" }, status: 400 },
    { name: "a non-idempotent pipeline without a key", path: "/v1/pipelines/hold", status: 400 },
    { name: "a job without a pipeline", path: "/v1/jobs", body: "{}", status: 400 },
];

test("requests rejected before the run report not-run", async t => {
    const site = await startSite(async () => assert.fail("must not run"));
    for (const row of refusals) {
        await t.test(row.name, async () => {
            const body = row.body ?? "{}";
            const reply = await send(site.address, row.path ?? "/v1/pipelines/profile", row.headers ?? w1, body);
            assert.equal(reply.status, row.status, reply.text);
            assert.equal(reply.headers["fireflykeel-outcome"], "not-run");
            assert.equal((JSON.parse(reply.text) as { repeat: string; }).repeat, "safe");
        });
    }
    await site.stop();
});

const outcomes: { name: string; outcome: Outcome<PipelineAnswer>; status: number; header: string; retry?: string; }[] =
    [
        { name: "an answer", outcome: answered("whole"), status: 200, header: "answered" },
        {
            name: "a shed request",
            outcome: failureFor(new DispatchLedger(), "overloaded", "busy", 1500),
            status: 429,
            header: "not-run",
            retry: "2",
        },
        {
            name: "a failed stage",
            outcome: failureFor(sentLedger(true), "stage-failed", "no"),
            status: 502,
            header: "failed",
        },
        {
            name: "a missed deadline after a non-idempotent call",
            outcome: failureFor(sentLedger(false), "deadline-exceeded", "late"),
            status: 504,
            header: "failed",
        },
        { name: "a lost result", outcome: outcomeUnknown("lost"), status: 504, header: "unknown" },
    ];

test("each outcome has its status and headers, in a plain reply and before a stream starts", async t => {
    for (const row of outcomes) {
        await t.test(row.name, async () => {
            const site = await startSite(async () => row.outcome);
            const reply = await send(site.address, "/v1/pipelines/profile", w1, "{}");
            assert.equal(reply.status, row.status);
            assert.equal(reply.headers["fireflykeel-outcome"], row.header);
            assert.equal(reply.headers["retry-after"], row.retry);
            if (row.outcome.kind !== "answered") {
                const accept = { ...w1, accept: "text/event-stream" };
                assert.equal((await send(site.address, "/v1/pipelines/profile", accept, "{}")).status, row.status);
            }
            await site.stop();
        });
    }
});

const streams: { name: string; pieces: [number, string][]; output: string; events: [string, string][]; }[] = [
    {
        name: "pieces in order",
        pieces: [[0, "ab"], [2, "cd"]],
        output: "abcd",
        events: [["output", "ab"], ["output", "cd"], ["end", digestOf("abcd")]],
    },
    {
        name: "repeated pieces and pieces after a gap are dropped",
        pieces: [[0, "ab"], [0, "abc"], [1, "bc"], [5, "zz"]],
        output: "abcd",
        events: [["output", "ab"], ["output", "c"], ["output", "d"], ["end", digestOf("abcd")]],
    },
    {
        name: "an answer that does not continue the pieces ends with a failure event",
        pieces: [[0, "ab"]],
        output: "xyz",
        events: [["output", "ab"], ["failure", "stage-failed"]],
    },
];

for (const row of streams) {
    test(`stream: ${row.name}`, async () => {
        const site = await startSite(async (_req, _signal, listener) => {
            row.pieces.forEach(([offset, text]) => listener?.onOutput(offset, text));
            return answered(row.output);
        });
        const accept = { ...w1, accept: "text/event-stream" };
        const reply = await send(site.address, "/v1/pipelines/profile", accept, "{}");
        const events = [...reply.text.matchAll(/event: (\w+)\ndata: (.*)\n/g)].map(match => {
            const data = JSON.parse(match[2]!) as Record<string, string>;
            return [match[1]!, data["text"] ?? data["digest"] ?? data["reason"]!];
        });
        assert.deepEqual(events, row.events);
        await site.stop();
    });
}

test("a host without configuration rejects requests as not-run", async () => {
    const site = await startSite(async () => assert.fail("must not run"), false);
    const reply = await send(site.address, "/v1/pipelines/profile", w1, "{}");
    assert.equal(reply.status, 503);
    assert.equal(reply.headers["fireflykeel-outcome"], "not-run");
    await site.stop();
});

test("a request is aborted when its caller disconnects", async () => {
    let aborted: () => void = () => undefined;
    const seen = new Promise<void>(resolve => aborted = resolve);
    const site = await startSite((_req, signal) =>
        new Promise(resolve =>
            signal.addEventListener("abort", () => {
                aborted();
                resolve(failureFor(sentLedger(true), "cancelled", "gone"));
            })
        )
    );
    const req = http.request(`http://${site.address}/v1/pipelines/profile`, { method: "POST", headers: w1 });
    req.on("error", () => undefined);
    req.end("{}");
    while (site.server.active === 0) {
        await new Promise(done => setImmediate(done));
    }
    await new Promise(done => setImmediate(done));
    req.destroy();
    await seen;
    await site.stop();
});

// Guards against memory that grows with the number of bodies, and against a crowd that keeps ordinary callers out.
test("of many large bodies that stop short of their end some are refused, and an ordinary request is served", async t => {
    const site = await startSite(async () => answered("whole"));
    const port = Number(site.address.split(":")[1]);
    const head =
        "POST /v1/pipelines/profile HTTP/1.1\r\nHost: a\r\nFireflykeel-Workspace: w1\r\nContent-Length: 900000\r\n\r\n";
    let refused = 0;
    const crowd = Array.from({ length: 100 }, () => {
        const socket = net.connect(port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.once("data", (reply: Buffer) => refused += reply.toString().startsWith("HTTP/1.1 429") ? 1 : 0);
        socket.write(head + "x".repeat(500_000));
        return socket;
    });
    t.after(() => crowd.forEach(socket => socket.destroy()));
    assert.equal((await send(site.address, "/v1/pipelines/profile", w1, "{}")).status, 200);
    while (refused < 36) {
        await new Promise(done => setImmediate(done));
    }
    assert.equal((await send(site.address, "/v1/pipelines/profile", w1, "{}")).status, 200);
    crowd.forEach(socket => socket.destroy());
    await site.stop();
});

test("a drain waits for the request in progress", async () => {
    let release: () => void = () => undefined;
    const gate = new Promise<void>(resolve => release = resolve);
    const site = await startSite(async () => {
        await gate;
        return answered("whole");
    });
    const reply = send(site.address, "/v1/pipelines/profile", w1, "{}");
    while (site.server.active === 0) {
        await new Promise(done => setImmediate(done));
    }
    const drained = site.server.drain(10_000);
    release();
    assert.deepEqual(await drained, { unfinished: 0, what: "requests" });
    assert.equal((await reply).status, 200);
    await site.stop();
});

test("a drain that exceeds its grace time reports the unfinished requests", async () => {
    const site = await startSite(() => new Promise(() => undefined));
    const reply = send(site.address, "/v1/pipelines/profile", w1, "{}").catch(() => undefined);
    while (site.server.active === 0) {
        await new Promise(done => setImmediate(done));
    }
    assert.deepEqual(await site.server.drain(30), { unfinished: 1, what: "requests" });
    await site.stop();
    await reply;
});
