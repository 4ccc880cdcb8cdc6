/** Checks what a host answers that is asked for tunnels, over loopback. */
import assert from "node:assert/strict";
import * as http from "node:http";
import * as net from "node:net";
import { after, test } from "node:test";
import { type Either, Left, Right } from "purify-ts";
import { FakeNetwork } from "../../testing/FakeNetwork.js";
import { noMetrics } from "../../testing/FleetFixtures.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { listenWithoutAccepting } from "../../testing/SilentListener.js";
import { listen } from "../common/HttpServers.js";
import { SystemClock } from "../common/SystemClock.js";
import type { Clock, HostId } from "../common/Types.js";
import { TunnelClient, type TunnelError } from "./TunnelClient.js";
import { TunnelServer } from "./TunnelServer.js";

const closers: (() => void)[] = [];
after(() => closers.forEach(close => close()));

const key = "a key of the fleet's hosts";
const clock = new SystemClock();

async function startEcho(): Promise<number> {
    const server = net.createServer(socket => socket.pipe(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    closers.push(() => void server.close());
    return (server.address() as net.AddressInfo).port;
}

const helper = "h" as HostId;

/** A client of tunnels through one helper. */
function clientOf(address: string, presented: string = key, on: Clock = clock, network = new FakeNetwork(clock)) {
    const transport = network.addHost("caller" as HostId);
    return new TunnelClient({ key: presented, addressOf: () => address, transport, clock: on });
}

/** Starts a host that serves tunnels with the given outcome of its own connection. */
async function startHelper(dial: (target: string) => Promise<Either<TunnelError, net.Socket>>) {
    const log = new MemoryLog();
    const dialed: string[] = [];
    const stopping = new AbortController();
    const network = new FakeNetwork(clock);
    const common = { key, clock, log, metrics: noMetrics, stopping: stopping.signal };
    const startServer = (life: string) => new TunnelServer({ ...common, registry: network.addHost(helper), life });
    const tunnels = startServer("life-1");
    tunnels.serve({
        dial: target => {
            dialed.push(target);
            return dial(target);
        },
    });
    const server = http.createServer((_, res) => void res.writeHead(404).end());
    const serverSockets: net.Socket[] = [];
    server.on("connection", (socket: net.Socket) => serverSockets.push(socket));
    tunnels.attach(server);
    await listen(server, "127.0.0.1:0");
    closers.push(() => {
        tunnels.dispose();
        server.close();
    });
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const open = (target: string, presented: string = key) =>
        clientOf(address, presented).open(helper, target, 1000, new AbortController().signal);
    return {
        address,
        dialed,
        log,
        open,
        client: clientOf(address, key, clock, network),
        /** The process is killed: the system ends its connections in order, and it answers no calls. */
        kill: () => {
            network.kill(helper);
            serverSockets.forEach(one => one.destroySoon());
        },
        /** Another process takes the place of the one that was killed. */
        restart: () => void startServer("life-2"),
    };
}

const kindOf = (opened: Either<TunnelError, net.Socket>) =>
    opened.caseOf({ Left: ({ kind }) => kind as string, Right: () => "open" });

test("a tunnel carries bytes both ways, to a target with any name", async () => {
    const port = await startEcho();
    const { dialed, open } = await startHelper(async () => {
        const socket = net.connect(port, "127.0.0.1");
        await new Promise(resolve => socket.once("connect", resolve));
        return Right(socket);
    });
    const socket = (await open("e 1/%")).unsafeCoerce();
    closers.push(() => void socket.destroy());
    const answer = new Promise(resolve => socket.once("data", (chunk: Buffer) => resolve(chunk.toString())));
    socket.write("hello");
    assert.equal(await answer, "hello");
    assert.deepEqual(dialed, ["e 1/%"]);
});

const errors: readonly TunnelError["kind"][] = ["refused", "timeout", "unavailable"];
for (const kind of errors) {
    test(`the reason why a host has no connection itself is passed on: ${kind}`, async () => {
        const { open } = await startHelper(async () => Left({ kind, message: kind }));
        assert.equal(kindOf(await open("e1")), kind);
    });
}

test("without the fleet's key nothing is dialed", async () => {
    const { dialed, open } = await startHelper(async () => Left({ kind: "refused", message: "" }));
    assert.equal(kindOf(await open("e1", "another key")), "unavailable");
    assert.deepEqual(dialed, []);
});

test("a target that can't be read is refused, and the host goes on", async () => {
    const { address, dialed, open } = await startHelper(async () => Left({ kind: "refused", message: "" }));
    const port = Number(address.split(":")[1]);
    const status = await new Promise(resolve => {
        const req = http.request({
            port,
            host: "127.0.0.1",
            method: "CONNECT",
            path: "%E0%A4%A",
            headers: {
                "fireflykeel-key": key,
            },
        });
        req.on("connect", (res, socket) => {
            socket.destroy();
            resolve(res.statusCode);
        });
        req.end();
    });
    assert.deepEqual([status, dialed], [502, []]);
    assert.equal(kindOf(await open("e1")), "refused");
});

// Guards against a host that ends since its connection to an endpoint has thrown.
test("a host whose own connection throws ends the tunnel with a log line, and goes on", async () => {
    const { log, open } = await startHelper(async target => {
        if (target === "odd") {
            throw new Error("no such port");
        }
        return Left({ kind: "refused", message: "" });
    });
    assert.deepEqual([kindOf(await open("odd")), kindOf(await open("e1"))], ["unavailable", "refused"]);
    assert.deepEqual(log.events.map(one => one.fields["task"]), ["tunnel"]);
});

// Guards against requests that wait for a host which can't be reached, as behind a partition.
test("a host that can't be reached is given up early", async () => {
    const silent = await listenWithoutAccepting("127.0.0.1:0");
    closers.push(() => void silent.stop());
    const client = clientOf(silent.address);
    const startMs = performance.now();
    const opened = await client.open("h" as HostId, "e1", 1000, new AbortController().signal);
    assert.equal(kindOf(opened), "unavailable");
    assert.ok(performance.now() - startMs < 400, `after ${performance.now() - startMs} ms`);
});

// Guards against an exception for the address of a host, which ends the process.
test("a host whose address is none is not available", async () => {
    const client = clientOf("10.0.0.1:99999");
    assert.equal(kindOf(await client.open("h" as HostId, "e1", 1000, new AbortController().signal)), "unavailable");
});

// Guards against helper hosts that count as out of reach, since this process was stalled while they replied.
test("a connection to a host that was made during a stall of this process is used", async () => {
    const { address } = await startHelper(async () => Left({ kind: "refused", message: "" }));
    const callbacks: (() => void)[] = [];
    const stalled = {
        nowMs: () => 0,
        wallMs: () => 0,
        sleep: async () => undefined,
        setTimer: (_: number, callback: () => void) => {
            const at = callbacks.push(callback) - 1;
            return { dispose: () => callbacks[at] = () => undefined };
        },
    };
    const client = clientOf(address, key, stalled);
    const opened = client.open("h" as HostId, "e1", 1000, new AbortController().signal);
    // Both timers are due before any event of the connection was handled.
    callbacks.slice().forEach(callback => callback());
    assert.equal(kindOf(await opened), "refused");
});

const ends: readonly {
    readonly name: string;
    readonly end: (helper: { readonly kill: () => void; readonly restart: () => void; }, target: net.Socket) => void;
    readonly isConfirmed: boolean;
}[] = [
    { name: "its target", end: (_, target) => void target.end(), isConfirmed: true },
    { name: "the end of the helper's process", end: ({ kill }) => kill(), isConfirmed: false },
    {
        name: "the end of the helper's process, which is started again at once",
        end: ({ kill, restart }) => {
            kill();
            restart();
        },
        isConfirmed: false,
    },
];

for (const { name, end, isConfirmed } of ends) {
    // Guards against a helper whose process ends and whose connections then end like those of an endpoint that has replied.
    test(`a tunnel that is ended by ${name} is ${isConfirmed ? "" : "not "}confirmed to have ended in order`, async () => {
        const targets: net.Socket[] = [];
        const server = net.createServer(socket => targets.push(socket));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        closers.push(() => void server.close());
        const { port } = server.address() as net.AddressInfo;
        const started = await startHelper(async () => {
            const socket = net.connect(port, "127.0.0.1");
            await new Promise(resolve => socket.once("connect", resolve));
            return Right(socket);
        });
        const opened = await started.client.open(helper, "e1", 1000, new AbortController().signal);
        const socket = opened.unsafeCoerce();
        const ended = new Promise(resolve => socket.once("end", resolve));
        socket.resume();
        while (targets.length === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        end(started, targets[0]!);
        await ended;
        assert.equal(await started.client.confirmsEnd(helper, socket, { timeoutMs: 500 }), isConfirmed);
    });
}
