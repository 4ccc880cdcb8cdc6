/** Tests that the TCP relay forwards, delays, silences and drops connections. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { TcpRelay } from "./TcpRelay.js";

let echo: Server;
let relay: TcpRelay;
let address: string;
const clients: Socket[] = [];

beforeEach(async () => {
    echo = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.pipe(socket);
    });
    echo.listen(0, "127.0.0.1");
    await once(echo, "listening");
    const bound = echo.address();
    relay = new TcpRelay(`127.0.0.1:${typeof bound === "object" && bound !== null ? bound.port : 0}`);
    address = await relay.start("127.0.0.1:0");
});

afterEach(async () => {
    clients.splice(0).forEach(client => client.destroy());
    await relay.stop();
    echo.close();
});

async function open(): Promise<Socket> {
    const [host, port] = address.split(":");
    const client = connect(Number(port), host);
    client.on("error", () => client.destroy());
    clients.push(client);
    await once(client, "connect");
    return client;
}

async function roundTrip(client: Socket): Promise<string> {
    client.write("ping");
    const [data] = await once(client, "data") as [Buffer];
    return data.toString();
}

test("relays data in both directions, also with a delay", async () => {
    const client = await open();
    assert.equal(await roundTrip(client), "ping");
    relay.setDelay(20);
    const startMs = performance.now();
    assert.equal(await roundTrip(client), "ping");
    assert.ok(performance.now() - startMs >= 38);
});

test("a silenced connection stays open without data, while new ones work", async () => {
    const silent = await open();
    await roundTrip(silent);
    relay.silenceOpen();
    let received = 0;
    silent.on("data", () => received += 1);
    silent.write("ping");
    for (let trip = 0; trip < 5; trip += 1) {
        const client = await open();
        assert.equal(await roundTrip(client), "ping");
    }
    assert.equal(received, 0);
    assert.equal(silent.destroyed, false);
});

test("a cut drops open and new connections until it is switched off", async () => {
    const client = await open();
    await roundTrip(client);
    relay.setCut(true);
    await once(client, "close");
    const refused = await open();
    await once(refused, "close");
    relay.setCut(false);
    assert.equal(await roundTrip(await open()), "ping");
});
