/**
 * Crowds of callers whose request bodies do not end, in several forms, at an entry host with the limits of a deployment.
 * A crowd may be refused or disconnected; its connections stay open while the ordinary request is sent.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type BodyPlan,
    checkCrowd,
    chunked,
    onSite,
    sendCrowd,
    shortOfEnd,
    withLength,
} from "../../proof/BodyCrowd.js";

const net = 80;
/** A test that takes longer has hung. */
const timeoutMs = 35_000;

const crowdsOfBodies: readonly { readonly name: string; readonly plan: BodyPlan; }[] = [
    { name: "bodies in large chunks, short of their end", plan: chunked(64 * 1024, shortOfEnd) },
    { name: "bodies in chunks of 20 bytes, short of their end", plan: chunked(20, shortOfEnd) },
    {
        name: "bodies in chunks with long extensions, short of their end",
        plan: chunked(4096, shortOfEnd, `;${"e".repeat(12_000)}`),
    },
    { name: "bodies with a length, short of their end", plan: withLength },
    { name: "bodies without end", plan: chunked(64 * 1024, Infinity) },
    { name: "bodies in chunks of one byte, without end", plan: chunked(1, Infinity) },
];

for (const { name, plan } of crowdsOfBodies) {
    // Guards against bodies that are being read and count against no common bound, and against refused ones that are read on.
    test(
        `a crowd of ${name}: the host lives within its memory and serves an ordinary request`,
        { timeout: timeoutMs },
        onSite(net, async site => {
            await checkCrowd(site, sendCrowd(site, plan));
            assert.equal(await site.requestUntilServed(), 200);
        }),
    );
}
