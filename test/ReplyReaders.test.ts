/** Checks that every reader of replies refuses one whose head is not valid HTTP, and one whose end was cut off by a reset. */
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import * as http from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { PlatformCommandLine } from "../platform/CommandLine.js";
import { PlatformEndpointList } from "../platform/EndpointList.js";
import { PlatformGatewayCodec } from "../platform/RequestHeaders.js";
import { OperatorClient } from "../src/cli/OperatorClient.js";
import { SystemClock } from "../src/common/SystemClock.js";
import type { EndpointId, HostId, ModelId, PipelineId, RequestId, StageId, WorkspaceId } from "../src/common/Types.js";
import { callPipeline } from "../src/daemon/CallerClient.js";
import { EndpointConnections } from "../src/endpoints/EndpointConnections.js";
import { requestText } from "../src/endpoints/RequestText.js";
import { StageExchange } from "../src/endpoints/StageExchange.js";
import { ReplyEnds } from "../src/gateway/ReplyEnds.js";
import { httpFetch } from "../src/peer/HttpFetch.js";
import { TunnelClient } from "../src/peer/TunnelClient.js";
import { FakeNetwork } from "../testing/FakeNetwork.js";
import { FixedFleet, listed, noMetrics, silentLog } from "../testing/FleetFixtures.js";

const clock = new SystemClock();
const timeoutMs = 1000;
const neverAborted = () => new AbortController().signal;

let serve: (socket: Socket) => void = () => undefined;
const sockets = new Set<Socket>();
const server = createServer(socket => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("data", () => serve(socket));
});
const addressOf = () => `127.0.0.1:${(server.address() as AddressInfo).port}`;

const endpoint = "e" as EndpointId;
const connections = new EndpointConnections({ addressOf, connectMs: () => timeoutMs }, clock);

before(() => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve)));
after(() => {
    connections.dispose();
    sockets.forEach(one => one.destroy());
    server.close();
});

const output = "text";
const stageCall = {
    request: "r" as RequestId,
    workspace: "w" as WorkspaceId,
    pipeline: "p" as PipelineId,
    stage: "s" as StageId,
    attempt: 1,
    idempotent: true,
    priority: 1 as const,
    model: "m" as ModelId,
    body: { input: "x", previous: {} },
    resumeFrom: undefined,
    deadlineMs: Number.MAX_SAFE_INTEGER,
};
const stageReply = {
    request: "r",
    stage: "s",
    attempt: 1,
    incarnation: "e.1",
    output,
    length: output.length,
    digest: createHash("sha256").update(output).digest("hex"),
    usage: { promptTokens: 1, cachedTokens: 0, outputTokens: 1, busyMs: 1 },
};

async function readStageReply(): Promise<boolean> {
    const connected = await connections.connect(endpoint, {
        method: "POST",
        path: "/",
        fresh: true,
        signal: neverAborted(),
    });
    const exchange = new StageExchange({
        call: stageCall,
        req: connected.unsafeCoerce().req,
        reused: false,
        body: "",
        bounds: { firstByteMs: timeoutMs, gapMs: timeoutMs, deadlineMs: clock.nowMs() + timeoutMs },
        clock,
        signal: neverAborted(),
        onOutput: undefined,
    });
    return "whole" in (await exchange.run()).result;
}

function checkStatus(): Promise<boolean> {
    const ends = new ReplyEnds({
        fleet: new FixedFleet(),
        connections,
        codec: new PlatformGatewayCodec(),
        clock,
        log: silentLog,
        metrics: noMetrics,
    });
    return ends.isWhole({
        request: "r",
        endpoint: listed("e", { address: addressOf() }),
        through: undefined,
        confirmsEnd: undefined,
        signal: neverAborted(),
    });
}

async function openTunnel(): Promise<boolean> {
    const transport = new FakeNetwork(clock).addHost("caller" as HostId);
    const tunnels = new TunnelClient({ key: "key", addressOf, transport, clock });
    const opened = await tunnels.open("h" as HostId, "e", timeoutMs, neverAborted());
    opened.ifRight(socket => socket.destroy());
    return opened.isRight();
}

interface Reader {
    readonly name: string;
    /** Body of a reply that the reader accepts. */
    readonly body: string;
    /** True when the reader takes the reply for a complete one. */
    readonly accepts: () => Promise<boolean>;
    /** False when the head alone decides. */
    readonly readsBody: boolean;
}

const readers: readonly Reader[] = [
    {
        name: "texts of endpoints (reports, orders, stage calls)",
        body: "{}",
        accepts: async () => {
            const options = {
                method: "GET",
                path: "/",
                fresh: true,
                timeoutMs,
                clock,
                signal: neverAborted(),
            } as const;
            return (await requestText(connections, endpoint, options)).isRight();
        },
        readsBody: true,
    },
    { name: "calls of pipeline stages", body: JSON.stringify(stageReply), accepts: readStageReply, readsBody: true },
    { name: "status checks", body: "", accepts: checkStatus, readsBody: false },
    {
        name: "the endpoint list",
        body: "{\"Instances\":[],\"Next\":null}",
        accepts: async () => (await new PlatformEndpointList(addressOf(), clock).read(neverAborted())).isRight(),
        readsBody: true,
    },
    { name: "tunnels", body: "", accepts: openTunnel, readsBody: false },
    {
        name: "calls of peers",
        body: "{}",
        accepts: () =>
            httpFetch(new http.Agent(), `http://${addressOf()}/`, {}, () => undefined).then(
                ({ ok }) => ok,
                () => false,
            ),
        readsBody: true,
    },
    {
        name: "the operators' client",
        body: "{}",
        accepts: async () => {
            const client = new OperatorClient({ addresses: [addressOf()], keyFile: undefined, timeoutMs });
            return (await client.get("/")).isRight();
        },
        readsBody: true,
    },
    {
        name: "the command line",
        body: "{}",
        accepts: async () => (await new PlatformCommandLine(clock).readInForce(addressOf(), timeoutMs)).isRight(),
        readsBody: true,
    },
    {
        name: "the callers' client",
        body: "{}",
        accepts: async () => {
            const call = { address: addressOf(), workspace: "w", pipeline: "p", input: {}, timeoutMs };
            return (await callPipeline(call)).isRight();
        },
        readsBody: true,
    },
];

const oddHeads = [
    { name: "status 000", head: "HTTP/1.1 000 OK\r\n" },
    { name: "status 600", head: "HTTP/1.1 600 OK\r\n" },
    { name: "a control byte in the reason", head: "HTTP/1.1 200 O\x01K\r\n" },
    { name: "another protocol", head: "RTSP/1.0 200 OK\r\n" },
    { name: "a line that begins with CR", head: "HTTP/1.1 200 OK\r\n\rX: v\r\n" },
    { name: "a blank in a name", head: "HTTP/1.1 200 OK\r\nX Field: v\r\n" },
];

for (const { name, body, accepts, readsBody } of readers) {
    // Guards against readers that refuse sound replies.
    test(`${name}: a sound reply is accepted`, async () => {
        serve = socket => socket.end(`HTTP/1.1 200 OK\r\n\r\n${body}`);
        assert.equal(await accepts(), true);
    });

    for (const { name: odd, head } of oddHeads) {
        // Guards against statuses and fields that are believed though they are not valid HTTP.
        test(`${name}: a reply is refused that has ${odd}`, async () => {
            serve = socket => socket.end(`${head}\r\n${body}`);
            assert.equal(await accepts(), false);
        });
    }

    if (readsBody) {
        // Guards against a reset that counts as the end of a reply.
        test(`${name}: a reply without a length that is reset is refused`, async () => {
            serve = socket => socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`, () => socket.resetAndDestroy());
            assert.equal(await accepts(), false);
        });
    }
}
