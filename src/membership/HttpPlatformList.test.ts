/** Tests which replies of the platform are accepted as a list. */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { FixedConfig, testSettings, testView } from "../../testing/TestSettings.js";
import { SystemClock } from "../common/SystemClock.js";
import { HttpPlatformList } from "./HttpPlatformList.js";
import type { PlatformEntry } from "./Types.js";

const good = JSON.stringify({ entries: [{ id: "h1", state: "live" }, { id: "e1", state: "leaving" }] });

const cases: readonly {
    readonly name: string;
    readonly status: number;
    readonly text: string;
    readonly ids: string[];
}[] = [
    { name: "a complete list is accepted", status: 200, text: good, ids: ["h1", "e1"] },
    { name: "an error status is ignored", status: 500, text: good, ids: [] },
    { name: "a reply that is not JSON is ignored", status: 200, text: "{", ids: [] },
    { name: "a list with an unknown state is ignored", status: 200, text: good.replace("live", "odd"), ids: [] },
];

for (const { name, status, text, ids } of cases) {
    test(name, async () => {
        let reads = 0;
        const server = createServer((_req, res) => {
            reads += 1;
            res.writeHead(status).end(text);
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        const settings = testSettings({ platform: { hostListAddress: `127.0.0.1:${port}` } });
        const list = new HttpPlatformList(new FixedConfig(testView(settings)), new SystemClock());
        const stop = new AbortController();
        const changed = new Promise<readonly PlatformEntry[]>(resolve => list.onChange(resolve));
        const running = list.run(stop.signal);
        if (ids.length > 0) {
            await changed;
        }
        while (reads === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        assert.deepEqual((list.latest() ?? []).map(entry => entry.id as string), ids);
        stop.abort();
        await running;
        server.closeAllConnections();
        server.close();
    });
}
