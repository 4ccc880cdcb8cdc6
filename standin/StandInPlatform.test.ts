/** Tests the lag of the stand-in platform's host list, and the shared bandwidth of its weight store. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { type ClientRequest, get, type IncomingMessage, request } from "node:http";
import { afterEach, beforeEach, test } from "node:test";
import { FakeClock } from "../testing/FakeClock.js";
import { splitAddress } from "./StandInHttpServer.js";
import { StandInPlatform } from "./StandInPlatform.js";

const address = "127.0.0.1:24590";
let clock: FakeClock;
let platform: StandInPlatform;

beforeEach(async () => {
    clock = new FakeClock();
    platform = new StandInPlatform({
        ids: ["h1", "e1"],
        lagMs: 1000,
        weightBytes: { m: 5000 },
        weightBytesPerSecond: 1000,
        clock,
    });
    await platform.start(address);
});

afterEach(() => platform.stop());

async function bodyOf(req: ClientRequest): Promise<unknown> {
    const [res] = await once(req, "response") as [IncomingMessage];
    let text = "";
    for await (const part of res) {
        text += String(part);
    }
    return JSON.parse(text);
}

async function listed(): Promise<string[]> {
    const body = await bodyOf(get({ ...splitAddress(address), path: "/v1/hosts", agent: false }));
    return (body as { entries: { id: string; state: string; }[]; }).entries.map(({ id, state }) => `${id} ${state}`);
}

test("the list shows changes once its lag has passed", async () => {
    const req = request({ ...splitAddress(address), path: "/v1/control", method: "POST", agent: false });
    req.end(JSON.stringify({ states: { e1: "leaving", h2: "live" } }));
    await bodyOf(req);
    assert.deepEqual(await listed(), ["h1 live", "e1 live"]);
    await clock.advance(999);
    platform.setStates({ h1: "gone" });
    assert.deepEqual(await listed(), ["h1 live", "e1 live"]);
    await clock.advance(1);
    assert.deepEqual(await listed(), ["h1 live", "e1 leaving", "h2 live"]);
    await clock.advance(999);
    assert.deepEqual(await listed(), ["e1 leaving", "h2 live"]);
});

test("readers of weights share the store's bandwidth", async () => {
    const ends: number[] = [];
    const startMs = clock.nowMs();
    const loads = [1, 2].map(async () => {
        await bodyOf(get({ ...splitAddress(address), path: "/v1/weights/m?version=v1", agent: false }));
        ends.push(clock.nowMs() - startMs);
    });
    const loading = Promise.all(loads);
    while (ends.length < 2) {
        await clock.advance(100);
        await new Promise(resolve => setImmediate(resolve));
    }
    await loading;
    assert.ok(ends[0]! >= 5000 && ends[1]! >= 10_000, ends.join());
});
