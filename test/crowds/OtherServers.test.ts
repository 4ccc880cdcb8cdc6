/** Crowds that keep to no limits at the servers for operators, readiness checks and metrics. */
import { test } from "node:test";
import { checkCrowd, checkLargeConfigs, type CrowdRow, titleOf } from "../../proof/CrowdTests.js";
import { chunksOf, headOf } from "../../proof/ServerCrowds.js";

const kiB = 1024;
const miB = 1024 * kiB;
const put = "POST /api/Config.Put";
const chunked = "Transfer-Encoding: chunked";
const largeChunk = chunksOf(64 * kiB, 1);
/** Number of large chunks of a body just below the largest configuration that is accepted. */
const manyChunks = 190;
const beyondDescriptors = 500;

const operatorRows = [
    {
        name: "chunked configurations that stop short of their end",
        connections: 40,
        flood: { head: headOf(put, chunked), part: largeChunk, count: manyChunks },
    },
    {
        name: "configurations in small chunks that stop short of their end",
        connections: 40,
        flood: { head: headOf(put, chunked), part: chunksOf(100, 100), count: 1000 },
    },
    {
        name: "configurations of a declared length that stop short of their end",
        connections: 40,
        flood: { head: headOf(put, `Content-Length: ${12 * miB}`), part: "x".repeat(64 * kiB), count: manyChunks },
    },
    {
        name: "bodies without end",
        connections: 40,
        flood: { head: headOf(put, chunked), part: largeChunk, count: Infinity },
    },
    {
        name: "pipelined reads whose answers are not taken",
        connections: 20,
        configBytes: miB,
        flood: { head: "", part: headOf("GET /api/Config.Get").repeat(100), count: 20, isUnread: true },
    },
    {
        name: "pipelined orders with large heads",
        connections: 20,
        flood: {
            head: "",
            part: headOf("POST /api/Evacuate.End/none", `X: ${"x".repeat(8 * kiB)}`, "Content-Length: 0"),
            count: 500,
        },
    },
    { name: "more silent connections than there are descriptors", connections: beyondDescriptors, flood: { head: "" } },
].map((row): CrowdRow => ({ role: "control", server: "operator", ...row }));

const otherRows: readonly CrowdRow[] = [
    {
        name: "more silent connections than there are descriptors",
        role: "entry",
        server: "ready",
        connections: beyondDescriptors,
        flood: { head: "" },
    },
    {
        name: "more heads that do not end than there are descriptors",
        role: "entry",
        server: "ready",
        connections: beyondDescriptors,
        flood: { head: "GET /api/ready HTTP/1.1\r\nHost: h.example\r\nX: ", part: "x".repeat(kiB), count: 12 },
    },
    {
        name: "more silent connections than there are descriptors",
        role: "entry",
        server: "metrics",
        connections: beyondDescriptors,
        flood: { head: "" },
    },
    {
        name: "pipelined reads whose answers are not taken",
        role: "entry",
        server: "metrics",
        connections: 40,
        flood: { head: "", part: headOf("GET /metrics").repeat(100), count: 20, isUnread: true },
    },
    {
        name: "more silent connections than there are descriptors",
        role: "control",
        server: "metrics",
        connections: beyondDescriptors,
        flood: { head: "" },
    },
];

for (const row of [...operatorRows, ...otherRows]) {
    // Guards against a process that ends, or takes the memory or all descriptors of its machine.
    test(titleOf(row), () => checkCrowd(row));
}

const largeConfigs = [
    { name: "three configurations of 11 MiB, one after the other,", rounds: 3, atOnce: 1, bytes: 11 * miB },
    { name: "eight configurations of 11 MiB at once", rounds: 1, atOnce: 8, bytes: 11 * miB },
];

for (const row of largeConfigs) {
    // Guards against a host that ends for large configurations, or refuses them for good.
    test(`control host, operator server: ${row.name} are acknowledged`, () => checkLargeConfigs(row));
}
