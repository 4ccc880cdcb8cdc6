/** Which connections of a server are closed for others, and what clients read that send more than they may. */
import assert from "node:assert/strict";
import type * as http from "node:http";
import * as net from "node:net";
import { test, type TestContext } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { FakeClock } from "../../testing/FakeClock.js";
import { type CloseReason, endConnection, ServerConnections } from "./ServerConnections.js";

const maxConnections = 3;

class Site {
    public readonly clock = new FakeClock();
    public readonly closed: CloseReason[] = [];
    /** Requests that wait for {@link answer}. */
    public readonly waiting: http.ServerResponse[] = [];
    private accepted = 0;
    private readonly connections = new ServerConnections({
        maxConnections,
        clock: this.clock,
        onClose: reason => this.closed.push(reason),
    });
    private readonly server = this.connections.createServer((req, res) => {
        req.on("error", () => undefined);
        if (req.url === "/wait") {
            this.waiting.push(res);
            return;
        }
        res.writeHead(req.url === "/ok" ? 200 : 404, { "content-length": 0 }).end();
    });

    public constructor(t: TestContext) {
        this.server.on("connection", () => this.accepted += 1);
        this.server.on("upgrade", (_, connection) => {
            connection.on("error", () => undefined);
            endConnection(connection, "HTTP/1.1 401 Unauthorized\r\n\r\n", this.clock);
        });
        t.after(() => {
            this.server.closeAllConnections();
            this.server.close();
        });
    }

    public async start(): Promise<this> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return this;
    }

    /** Lets the system fail to accept a connection. */
    public failAccept(code: string): void {
        this.server.emit("error", Object.assign(new Error(`accept ${code}`), { code }));
    }

    public async connect(): Promise<Client> {
        const before = this.accepted;
        const client = new Client((this.server.address() as net.AddressInfo).port);
        await until(() => this.accepted > before);
        return client;
    }
}

class Client {
    public text = "";
    /** True once the server has closed its end. */
    public isClosed = false;
    /** True once the connection no longer exists on either side. */
    public isGone = false;
    private readonly socket: net.Socket;

    public constructor(port: number) {
        this.socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        this.socket.on("data", (part: Buffer) => this.text += part.toString());
        this.socket.on("error", () => undefined);
        this.socket.on("end", () => this.isClosed = true);
        this.socket.on("close", () => this.isClosed = this.isGone = true);
    }

    public write(text: string): void {
        this.socket.write(text);
    }

    /** Sends a request and waits for its answer. */
    public async get(path: string): Promise<void> {
        const { length } = this.text;
        this.write(request(path));
        await until(() => this.text.length > length);
    }
}

async function until(isTrue: () => boolean): Promise<void> {
    while (!isTrue()) {
        await nextTurn();
    }
}

function request(path: string): string {
    return `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
}

// Guards against silent connections that keep clients with requests out.
test("for a new connection, one without a request is closed, and those with requests stay", async t => {
    const site = await new Site(t).start();
    const running = await site.connect();
    running.write(request("/wait"));
    await until(() => site.waiting.length === 1);
    const silent = await site.connect();
    const idle = await site.connect();
    await idle.get("/ok");
    const next = await site.connect();
    await until(() => silent.isClosed);
    await next.get("/ok");
    const last = await site.connect();
    await until(() => idle.isClosed);
    await last.get("/ok");
    site.waiting[0]?.end("answer");
    await until(() => running.text.includes("answer"));
    assert.deepEqual(site.closed, ["room", "room"]);
});

for (const code of ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"]) {
    // Guards against a process that ends by an error of `accept`, which has no other listener once the server listens.
    test(`a server that can't accept a connection for ${code} serves the next one`, async t => {
        const site = await new Site(t).start();
        site.failAccept(code);
        const next = await site.connect();
        await next.get("/ok");
        assert.deepEqual(site.closed, ["accept"]);
    });
}

// Guards against clients whose requests are all refused, or never complete, and keep others out.
test("connections of refused requests and of bodies that do not end make room for others", async t => {
    const site = await new Site(t).start();
    const idle = await site.connect();
    await idle.get("/ok");
    const refused = await site.connect();
    await refused.get("/none");
    const receiving = await site.connect();
    receiving.write("POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nx");
    await until(() => site.waiting.length === 1);
    const next = await site.connect();
    await until(() => refused.isClosed);
    await next.get("/ok");
    await site.clock.advance(2500);
    const last = await site.connect();
    await until(() => receiving.isClosed);
    await last.get("/ok");
    assert.ok(!idle.isClosed);
});

// Guards against the memory of requests that all run at once though their answers go out one after the other.
test("pipelined requests are handled one at a time, and too many of them end their connection", async t => {
    const site = await new Site(t).start();
    const client = await site.connect();
    client.write(request("/wait").repeat(3));
    for (let at = 0; at < 3; at++) {
        await until(() => site.waiting.length === at + 1);
        await nextTurn();
        assert.equal(site.waiting.length, at + 1);
        site.waiting[at]?.end();
    }
    const many = await site.connect();
    many.write(request("/wait").repeat(40));
    await until(() => many.isClosed);
    assert.equal(site.waiting.length, 4);
    assert.deepEqual(site.closed, ["pipelining"]);
});

// Guards against answers that are lost to a reset, and against refused bodies that are read without end.
test("a refused client that goes on sending reads its answer, and is closed after a time", async t => {
    const site = await new Site(t).start();
    const client = await site.connect();
    client.write(`POST /none HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n${"x".repeat(100_000)}`);
    await until(() => client.text.startsWith("HTTP/1.1 404"));
    client.write("x".repeat(100_000));
    await nextTurn();
    assert.ok(!client.isClosed);
    await site.clock.advance(2500);
    await until(() => client.isClosed);
    assert.deepEqual(site.closed, ["refused-body"]);
});

// Guards against connections that stay for good after a refused upgrade.
test("a client whose upgrade is refused is closed after a time, though it does not close its end", async t => {
    const site = await new Site(t).start();
    const client = await site.connect();
    client.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n");
    await until(() => client.text.startsWith("HTTP/1.1 401"));
    await until(() => client.isClosed);
    assert.ok(!client.isGone);
    await site.clock.advance(2500);
    await until(() => {
        // The client learns of it only as it writes.
        client.write("x");
        return client.isGone;
    });
});
