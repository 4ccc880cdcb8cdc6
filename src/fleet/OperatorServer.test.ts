/** Checks which operator calls a control host executes. */
import assert from "node:assert/strict";
import * as net from "node:net";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { MemoryLog, MemoryMetrics } from "../../testing/MemoryLog.js";
import { SystemClock } from "../common/SystemClock.js";
import type { DataCentreId } from "../common/Types.js";
import type { OperatorCall } from "./OperatorCallHandler.js";
import { OperatorServer } from "./OperatorServer.js";

async function freeAddress(): Promise<string> {
    const server = net.createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return `127.0.0.1:${port}`;
}

const endings: readonly {
    readonly name: string;
    readonly end: (socket: net.Socket) => unknown;
    readonly executed: number;
}[] = [
    { name: "waits for the answer", end: () => undefined, executed: 1 },
    { name: "has closed the connection", end: socket => socket.end(), executed: 0 },
    { name: "has reset the connection", end: socket => socket.resetAndDestroy(), executed: 0 },
];

// A host that was suspended with an unread order executed it after the operator had given the opposite order elsewhere.
for (const { name, end, executed } of endings) {
    test(`an order whose operator ${name} when it is read is executed ${executed} times`, async t => {
        const calls: OperatorCall[] = [];
        const log = new MemoryLog();
        const stop = new AbortController();
        t.after(() => stop.abort());
        const address = await freeAddress();
        void new OperatorServer({
            address,
            operator: {
                handle: async call => {
                    calls.push(call);
                    return { kind: "done", version: 1 };
                },
            },
            decode: () => ({ kind: "set-data-centre", dataCentre: "a" as DataCentreId, isOut: false }),
            formatRollout: record => record,
            clock: new SystemClock(),
            log,
            metrics: new MemoryMetrics(),
            onFatal: err => assert.fail(err),
        }).run(stop.signal);
        await nextTurn();
        const socket = net.connect(Number(address.split(":")[1]), "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write("POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", () => end(socket));
        while (calls.length === 0 && log.events.length === 0) {
            await nextTurn();
        }
        assert.equal(calls.length, executed);
    });
}
