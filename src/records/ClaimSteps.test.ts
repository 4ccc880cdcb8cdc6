/**
 * Checks that a call is sent at most once for a claimed key, when the sender crashes before any step of a claim and
 * under random faults.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ClaimRun, claimStep } from "../../testing/ClaimRun.js";
import type { LogFault } from "../../testing/FakeGroup.js";
import { claimKey, leaseMs, type RecordsHost, RecordsHosts, requestId } from "../../testing/RecordsHosts.js";
import type { ClaimKey, RecordedOutcome } from "./Types.js";

const timeoutMs = 1000;
const answered: RecordedOutcome = { kind: "answered", answer: "held" };

/** Claims a key, sends the call and records the outcome, as a request does; can be stopped before any step. */
class Sender {
    public readonly sent: string[] = [];
    public readonly results: string[] = [];

    public constructor(private readonly cluster: RecordsHosts) {}

    public async run(host: RecordsHost, key: ClaimKey, request: string, before: (step: string) => void): Promise<void> {
        before("claim");
        const result = (await host.claims.claim(key, "body", requestId(request), timeoutMs)).extract();
        before("claimed");
        if (result.kind !== "claimed") {
            this.results.push(describe(result));
            return;
        }
        before("send");
        this.sent.push(request);
        await this.cluster.clock.sleep(20);
        before("finish");
        const finished = await result.claim.finish(answered, timeoutMs);
        before("answer");
        this.results.push(finished.isRight() ? "answered" : "unknown");
    }
}

function describe(result: { readonly kind: string; readonly outcome?: RecordedOutcome; }): string {
    return result.outcome?.kind ?? result.kind;
}

/**
 * The step before which the host crashes, the log fault that precedes the crash, the outcome that resends get, and the
 * number of calls that are sent in total.
 */
const steps: { step: string; fault: LogFault; resent: string; sent: number; }[] = [
    { step: "claim", fault: "none", resent: "answered", sent: 1 },
    { step: "claimed", fault: "none", resent: "unknown", sent: 0 },
    { step: "claimed", fault: "lost-command", resent: "answered", sent: 1 },
    { step: "claimed", fault: "late-commit", resent: "answered", sent: 1 },
    { step: "claimed", fault: "not-accepted", resent: "answered", sent: 1 },
    { step: "claimed", fault: "doubled", resent: "unknown", sent: 0 },
    { step: "send", fault: "none", resent: "unknown", sent: 0 },
    { step: "finish", fault: "none", resent: "unknown", sent: 1 },
    { step: "answer", fault: "none", resent: "answered", sent: 1 },
    { step: "answer", fault: "lost-answer", resent: "answered", sent: 1 },
    { step: "answer", fault: "doubled", resent: "answered", sent: 1 },
];

for (const { step, fault, resent, sent } of steps) {
    test(`host crashes before "${step}", log fault ${fault}: two resends get ${resent}`, async () => {
        const cluster = new RecordsHosts({ seed: 7 });
        const [a, b, c] = [cluster.start("a"), cluster.start("b"), cluster.start("c", true)];
        await cluster.clock.advance(10);
        const sender = new Sender(cluster);
        const crashed = new Promise<void>(resolve => {
            void sender.run(a, claimKey("k"), "r1", at => {
                if (at === (step === "answer" ? "finish" : "claim") && at !== step) {
                    cluster.group.script.push(...Array.from({ length: 30 }, () => fault));
                }
                if (at === step) {
                    a.kill();
                    resolve();
                    throw new Error("the process ended");
                }
            }).catch(() => undefined);
        });
        await cluster.settle(crashed);
        cluster.group.script.length = 0;
        await cluster.clock.advance(step === "claimed" && fault === "late-commit" ? 0 : 5000);
        const again = [b, c].map(async (host, turn) => {
            await sender.run(host, claimKey("k"), `again${turn}`, () => undefined);
            return host.claims.wait(claimKey("k"), leaseMs * 10, new AbortController().signal);
        });
        const outcomes = await cluster.settle(Promise.all(again));
        assert.deepEqual(outcomes.map(one => one?.kind), [resent, resent]);
        assert.equal(sender.sent.length, sent);
        cluster.group.checkReplicas();
        cluster.stop();
    });
}

test("random claims, crashes, partitions and lost replies: every key has one sender and ends", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.nat({ max: 1 << 30 }),
            fc.array(claimStep, { minLength: 5, maxLength: 40 }),
            async (seed, all) => new ClaimRun(seed).run(all),
        ),
        { seed: 20261203, numRuns: 60, endOnFailure: false },
    );
});
