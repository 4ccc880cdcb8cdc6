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
        const site = new RecordsHosts();
        const [a, b] = [site.start("a", replica), site.start("b", replica)];
        const claim = expectClaimed(await site.settle(claimThrough(a, "r1")));
        assert.equal((await site.settle(claimThrough(b, "r2"))).kind, "running");
        const waiting = b.claims.wait(key, 5000, new AbortController().signal);
        assert.ok((await site.settle(claim.finish(answered, timeoutMs))).isRight());
        assert.deepEqual(await site.settle(waiting), answered);
        assert.deepEqual(await site.settle(claimThrough(b, "r3")), { kind: "recorded", outcome: answered });
        assert.equal((await site.settle(claimThrough(b, "r4", "other body"))).kind, "key-reused");
        site.group.checkReplicas();
        site.stop();
    });

    test(`the outcome is unknown when the host with the claim crashes, replica ${replica}`, async () => {
        const site = new RecordsHosts();
        const [a, b] = [site.start("a", replica), site.start("b", replica)];
        expectClaimed(await site.settle(claimThrough(a, "r1")));
        a.kill();
        const outcome = await site.settle(b.claims.wait(key, 10_000, new AbortController().signal));
        assert.equal(outcome?.kind, "unknown");
        const resent = await site.settle(claimThrough(b, "r2"));
        assert.equal(resent.kind === "recorded" && resent.outcome.kind, "unknown");
        site.stop();
    });
}

test("a slow live host keeps its claim", async () => {
    const site = new RecordsHosts();
    const [a, b] = [site.start("a"), site.start("b")];
    const claim = expectClaimed(await site.settle(claimThrough(a, "r1")));
    const waiting = b.claims.wait(key, leaseMs * 10, new AbortController().signal);
    await site.clock.advance(leaseMs * 6);
    await site.settle(claim.finish(answered, timeoutMs));
    assert.deepEqual(await site.settle(waiting), answered);
    site.stop();
});

test("the outcomes of a restarted host's earlier claims are unknown from its first command on", async () => {
    const site = new RecordsHosts();
    const a = site.start("a");
    expectClaimed(await site.settle(claimThrough(a, "r1")));
    a.kill();
    const resent = await site.settle(claimThrough(site.start("a"), "r2"));
    assert.equal(resent.kind === "recorded" && resent.outcome.kind, "unknown");
    site.stop();
});

test("a released key can be claimed again, and its former holder can't record an outcome", async () => {
    const site = new RecordsHosts();
    const [a, b] = [site.start("a"), site.start("b")];
    const claim = expectClaimed(await site.settle(claimThrough(a, "r1")));
    assert.ok((await site.settle(claim.release(timeoutMs))).isRight());
    expectClaimed(await site.settle(claimThrough(b, "r2")));
    assert.ok((await site.settle(claim.finish(answered, timeoutMs))).isLeft());
    site.stop();
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
        const site = new RecordsHosts();
        const [a, b] = [site.start("a"), site.start("b")];
        await site.clock.advance(10);
        site.group.script.push(...faults);
        assert.equal((await site.settle(claimThrough(a, "r1"))).kind, error);
        site.group.script.length = 0;
        await site.clock.advance(5000);
        expectClaimed(await site.settle(claimThrough(b, "r2")));
        assert.equal(a.client.backgroundCount, 0);
        site.group.checkReplicas();
        site.stop();
    });
}

test("a claim succeeds when it is resent after a lost reply", async () => {
    const site = new RecordsHosts();
    const a = site.start("a");
    await site.clock.advance(10);
    site.group.script.push("lost-answer");
    expectClaimed(await site.settle(claimThrough(a, "r1")));
    site.stop();
});

test("an outcome that can't be committed in time is committed later", async () => {
    const site = new RecordsHosts();
    const [a, b] = [site.start("a"), site.start("b")];
    const claim = expectClaimed(await site.settle(claimThrough(a, "r1")));
    site.group.hasQuorum = false;
    assert.equal((await site.settle(claim.finish(answered, timeoutMs))).isLeft(), true);
    assert.equal((await site.settle(claimThrough(b, "r2"))).kind === "claimed", false);
    assert.equal((await site.settle(claim.release(timeoutMs))).isLeft(), true);
    site.group.heal();
    assert.ok((await site.settle(claim.finish(answered, timeoutMs))).isRight());
    assert.equal(a.client.backgroundCount, 0);
    assert.deepEqual(await site.settle(claimThrough(b, "r3")), { kind: "recorded", outcome: answered });
    site.stop();
});

test("an outcome is committed in the background after its sender timed out", async () => {
    const site = new RecordsHosts();
    const [a, b] = [site.start("a"), site.start("b")];
    const claim = expectClaimed(await site.settle(claimThrough(a, "r1")));
    site.group.hasQuorum = false;
    assert.ok((await site.settle(claim.finish(answered, timeoutMs))).isLeft());
    site.group.heal();
    await site.clock.advance(5000);
    assert.deepEqual(await site.settle(claimThrough(b, "r2")), { kind: "recorded", outcome: answered });
    site.stop();
});

test("the claims of a workspace are bounded, and removed after the retention time", async () => {
    const site = new RecordsHosts();
    const a = site.start("a");
    for (let i = 0; i < testLimits.claimsPerWorkspace; i++) {
        const one = a.claims.claim(claimKey(`k${i}`), "body", requestId(`r${i}`), timeoutMs);
        await site.settle(expectClaimed((await site.settle(one)).extract()).finish(answered, timeoutMs));
    }
    const full = await site.settle(claimThrough(a, "r1"));
    assert.equal(full.kind, "full");
    expectClaimed(
        (await site.settle(a.claims.claim(claimKey("k1", "other"), "body", requestId("r"), timeoutMs))).extract(),
    );
    await site.clock.advance(testLimits.claimRetentionMs + 1);
    expectClaimed(await site.settle(claimThrough(a, "r2")));
    site.group.checkReplicas();
    site.stop();
});
