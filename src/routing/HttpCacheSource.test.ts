import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server } from "node:net";
import { after, test } from "node:test";
import { SystemClock } from "../common/SystemClock.js";
import type { EndpointId } from "../common/Types.js";
import { EndpointConnections } from "../endpoints/EndpointConnections.js";
import { HttpLoadSource } from "../endpoints/HttpLoadSource.js";
import { HttpCacheSource } from "./HttpCacheSource.js";

const endpoint = "e1" as EndpointId;
const clock = new SystemClock();
const { signal } = new AbortController();
const closers: (() => void)[] = [];
after(() => closers.forEach(close => close()));

/** Starts an endpoint that writes its last reply on a connection again when the next request has come. */
async function startStuttering(bodyOf: (reply: number) => unknown): Promise<EndpointConnections> {
    let replies = 0;
    const server: Server = createServer(socket => {
        let earlier = "";
        socket.on("error", () => undefined);
        socket.on("data", () => {
            replies += 1;
            const body = JSON.stringify(bodyOf(replies));
            const reply = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
            socket.write(earlier === "" ? reply : earlier + reply);
            earlier = reply;
        });
        closers.push(() => socket.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const connections = new EndpointConnections({ addressOf: () => address, connectMs: () => 1000 }, clock);
    closers.push(() => server.close(), () => connections.dispose());
    return connections;
}

// Guards against the blocks of one request in the cache of another's: the reply names none of them.
test("an endpoint that writes the blocks of an earlier export again does not have them taken for the next one's", async () => {
    const source = new HttpCacheSource(await startStuttering(reply => ({ blocks: [`block ${reply}`] })), clock);
    assert.deepEqual(await source.export(endpoint, ["a"], signal), ["block 1"]);
    assert.deepEqual(await source.export(endpoint, ["b"], signal), ["block 2"]);
});

const reportOf = (reply: number) => ({ incarnation: "i", state: "warm", uptimeMs: 1, running: 0, waiting: reply });

// Guards against a choice by the load of an earlier moment.
test("an endpoint that writes an earlier report of its load again does not have it taken for a new one", async () => {
    const source = new HttpLoadSource(await startStuttering(reportOf), clock);
    assert.equal((await source.fetch(endpoint, signal))?.waiting, 1);
    assert.equal((await source.fetch(endpoint, signal))?.waiting, 2);
});
