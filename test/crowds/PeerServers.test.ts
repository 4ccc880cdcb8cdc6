/** Crowds that keep to no limits at the servers for peers, with and without the key of the fleet. */
import { test } from "node:test";
import { checkCrowd, type CrowdRow, titleOf } from "../../proof/CrowdTests.js";
import { chunksOf, frameOf, headOf } from "../../proof/ServerCrowds.js";

const kiB = 1024;
const miB = 1024 * kiB;
/** The key that hosts of a fleet present to each other. */
const key = "Fireflykeel-Key: fireflykeel-fleet";
const upgrade = [
    "Connection: Upgrade",
    "Upgrade: websocket",
    "Sec-WebSocket-Version: 13",
    "Sec-WebSocket-Key: ZmlyZWZseWtlZWwtcGVlcg==",
];
const fifteenMiB = { part: "x".repeat(64 * kiB), count: 240 };
const beyondDescriptors = 500;

const rows = [
    {
        name: "calls without a key whose bodies do not end",
        connections: 40,
        flood: {
            head: headOf("POST /peer/x", "Transfer-Encoding: chunked"),
            part: chunksOf(64 * kiB, 1),
            count: Infinity,
        },
    },
    {
        name: "calls whose bodies stop short of their end",
        connections: 40,
        flood: { head: headOf("POST /peer/x", key, `Content-Length: ${16 * miB}`), ...fifteenMiB },
    },
    {
        name: "messages over WebSockets that stop short of their end",
        connections: 40,
        flood: { head: headOf("GET /peer-socket", key, ...upgrade) + frameOf(1, true, 16 * miB), ...fifteenMiB },
    },
    {
        name: "messages over WebSockets in small parts without end",
        connections: 40,
        flood: {
            head: headOf("GET /peer-socket", key, ...upgrade) + frameOf(1, false, 0),
            part: (frameOf(0, false, 16) + "x".repeat(16)).repeat(100),
            count: 2000,
        },
    },
    {
        name: "more refused upgrades than there are descriptors",
        connections: beyondDescriptors,
        flood: { head: headOf("GET /peer-socket", ...upgrade), isUnread: true },
    },
    {
        name: "more refused tunnels than there are descriptors",
        connections: beyondDescriptors,
        flood: { head: headOf("CONNECT 127.0.0.1:1"), isUnread: true },
    },
    { name: "more silent connections than there are descriptors", connections: beyondDescriptors, flood: { head: "" } },
];

for (const role of ["entry", "control"] as const) {
    for (const row of rows.map((one): CrowdRow => ({ role, server: "peer", ...one }))) {
        // Guards against a process that ends, or takes the memory or all descriptors of its machine.
        test(titleOf(row), () => checkCrowd(row));
    }
}
