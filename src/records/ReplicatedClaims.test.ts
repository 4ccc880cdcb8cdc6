/**
 * Checks claims on several hosts: one sender for each key, the outcome that resends get, and attempts whose replies
 * are lost.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LogFault } from "../../testing/FakeGroup.js";
import {
    claimKey,
    leaseMs,
    type RecordsHost,
    RecordsHosts,
    requestId,
    testLimits,
} from "../../testing/RecordsHosts.js";
import type { Claim, ClaimResult, RecordsError } from "./Types.js";

const key = claimKey("hold-1");
const timeoutMs = 1000;
const answered = { kind: "answered", answer: "held" } as const;

function claimThrough(host: RecordsHost, request: string, body: string = "body"): Promise<ClaimResult | RecordsError> {
    return host.claims.claim(key, body, requestId(request), timeoutMs).then(one => one.extract());
}

function expectClaimed(result: ClaimResult | RecordsError): Claim {
    assert.equal(result.kind, "claimed");
    return result.claim;
}

for (const replica of [false, true]) {
    test(`a resend through another host gets the recorded answer, replica ${replica}`, async () => {
        const cluster = new RecordsHosts();
        const [a, b] = [cluster.start("a", replica), cluster.start("b", replica)];
        const claim = expectClaimed(await cluster.settle(claimThrough(a, "r1")));
        assert.equal((await cluster.settle(claimThrough(b, "r2"))).kind, "running");
        const waiting = b.claims.wait(key, 5000, new AbortController().signal);
        assert.ok((await cluster.settle(claim.finish(answered, timeoutMs))).isRight());
        assert.deepEqual(await cluster.settle(waiting), answered);
        assert.deepEqual(await cluster.settle(claimThrough(b, "r3")), { kind: "recorded", outcome: answered });
        assert.equal((await cluster.settle(claimThrough(b, "r4", "other body"))).kind, "key-reused");
        cluster.group.checkReplicas();
        cluster.stop();
    });

    test(`the outcome is unknown when the host with the claim crashes, replica ${replica}`, async () => {
        const cluster = new RecordsHosts();
        const [a, b] = [cluster.start("a", replica), cluster.start("b", replica)];
        expectClaimed(await cluster.settle(claimThrough(a, "r1")));
        a.kill();
        const outcome = await cluster.settle(b.claims.wait(key, 10_000, new AbortController().signal));
        assert.equal(outcome?.kind, "unknown");
        const resent = await cluster.settle(claimThrough(b, "r2"));
        assert.equal(resent.kind === "recorded" && resent.outcome.kind, "unknown");
        cluster.stop();
    });
}

test("a slow live host keeps its claim", async () => {
    const cluster = new RecordsHosts();
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    const claim = expectClaimed(await cluster.settle(claimThrough(a, "r1")));
    const waiting = b.claims.wait(key, leaseMs * 10, new AbortController().signal);
    await cluster.clock.advance(leaseMs * 6);
    await cluster.settle(claim.finish(answered, timeoutMs));
    assert.deepEqual(await cluster.settle(waiting), answered);
    cluster.stop();
});

test("the outcomes of a restarted host's earlier claims are unknown from its first command on", async () => {
    const cluster = new RecordsHosts();
    const a = cluster.start("a");
    expectClaimed(await cluster.settle(claimThrough(a, "r1")));
    a.kill();
    const resent = await cluster.settle(claimThrough(cluster.start("a"), "r2"));
    assert.equal(resent.kind === "recorded" && resent.outcome.kind, "unknown");
    cluster.stop();
});

test("a released key can be claimed again, and its former holder can't record an outcome", async () => {
    const cluster = new RecordsHosts();
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    const claim = expectClaimed(await cluster.settle(claimThrough(a, "r1")));
    assert.ok((await cluster.settle(claim.release(timeoutMs))).isRight());
    expectClaimed(await cluster.settle(claimThrough(b, "r2")));
    assert.ok((await cluster.settle(claim.finish(answered, timeoutMs))).isLeft());
    cluster.stop();
});

const lostAttempts: { name: string; faults: LogFault[]; error: RecordsError["kind"]; }[] = [
    { name: "the answer is lost", faults: ["lost-answer", "lost-answer"], error: "unknown" },
    { name: "the command is committed late", faults: ["late-commit", "late-commit"], error: "unknown" },
    { name: "the command is lost", faults: ["lost-command", "lost-command"], error: "unknown" },
    { name: "the first answer is lost, then refused", faults: ["lost-answer", ...refusals(30)], error: "unknown" },
    { name: "every attempt is refused", faults: refusals(30), error: "not-recorded" },
];

function refusals(count: number): LogFault[] {
    return Array.from({ length: count }, () => "not-accepted" as const);
}

for (const { name, faults, error } of lostAttempts) {
    test(`an unused attempt does not block a resend: ${name}`, async () => {
        const cluster = new RecordsHosts();
        const [a, b] = [cluster.start("a"), cluster.start("b")];
        await cluster.clock.advance(10);
        cluster.group.script.push(...faults);
        assert.equal((await cluster.settle(claimThrough(a, "r1"))).kind, error);
        cluster.group.script.length = 0;
        await cluster.clock.advance(5000);
        expectClaimed(await cluster.settle(claimThrough(b, "r2")));
        assert.equal(a.client.backgroundCount, 0);
        cluster.group.checkReplicas();
        cluster.stop();
    });
}

test("a claim succeeds when it is resent after a lost reply", async () => {
    const cluster = new RecordsHosts();
    const a = cluster.start("a");
    await cluster.clock.advance(10);
    cluster.group.script.push("lost-answer");
    expectClaimed(await cluster.settle(claimThrough(a, "r1")));
    cluster.stop();
});

test("an outcome that can't be committed in time is committed later", async () => {
    const cluster = new RecordsHosts();
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    const claim = expectClaimed(await cluster.settle(claimThrough(a, "r1")));
    cluster.group.hasQuorum = false;
    assert.equal((await cluster.settle(claim.finish(answered, timeoutMs))).isLeft(), true);
    assert.equal((await cluster.settle(claimThrough(b, "r2"))).kind === "claimed", false);
    assert.equal((await cluster.settle(claim.release(timeoutMs))).isLeft(), true);
    cluster.group.heal();
    assert.ok((await cluster.settle(claim.finish(answered, timeoutMs))).isRight());
    assert.equal(a.client.backgroundCount, 0);
    assert.deepEqual(await cluster.settle(claimThrough(b, "r3")), { kind: "recorded", outcome: answered });
    cluster.stop();
});

test("an outcome is committed in the background after its sender timed out", async () => {
    const cluster = new RecordsHosts();
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    const claim = expectClaimed(await cluster.settle(claimThrough(a, "r1")));
    cluster.group.hasQuorum = false;
    assert.ok((await cluster.settle(claim.finish(answered, timeoutMs))).isLeft());
    cluster.group.heal();
    await cluster.clock.advance(5000);
    assert.deepEqual(await cluster.settle(claimThrough(b, "r2")), { kind: "recorded", outcome: answered });
    cluster.stop();
});

test("the claims of a workspace are bounded, and removed after the retention time", async () => {
    const cluster = new RecordsHosts();
    const a = cluster.start("a");
    for (let i = 0; i < testLimits.claimsPerWorkspace; i++) {
        const one = a.claims.claim(claimKey(`k${i}`), "body", requestId(`r${i}`), timeoutMs);
        await cluster.settle(expectClaimed((await cluster.settle(one)).extract()).finish(answered, timeoutMs));
    }
    const full = await cluster.settle(claimThrough(a, "r1"));
    assert.equal(full.kind, "full");
    expectClaimed(
        (await cluster.settle(a.claims.claim(claimKey("k1", "other"), "body", requestId("r"), timeoutMs))).extract(),
    );
    await cluster.clock.advance(testLimits.claimRetentionMs + 1);
    expectClaimed(await cluster.settle(claimThrough(a, "r2")));
    cluster.group.checkReplicas();
    cluster.stop();
});
