import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LogFault } from "../../testing/FakeLog.js";
import { claimKey, leaseMs, type RecordsHost, RecordsHosts, requestId } from "../../testing/RecordsHosts.js";
import type { Claim, ClaimKey, ClaimResult, RecordedOutcome } from "./Types.js";

const timeoutMs = 1000;
const answered: RecordedOutcome = { kind: "answered", answer: "held" };

/** A host that claims, sends and records, as a request does; it can be stopped before any step. */
class Sender {
    public readonly sent: string[] = [];
    public readonly told: string[] = [];

    public constructor(private readonly site: RecordsHosts) {}

    public async run(host: RecordsHost, key: ClaimKey, request: string, before: (step: string) => void): Promise<void> {
        before("claim");
        const result = (await host.claims.claim(key, "body", requestId(request), timeoutMs)).extract();
        before("claimed");
        if (result.kind !== "claimed") {
            this.told.push(describe(result));
            return;
        }
        before("send");
        this.sent.push(request);
        await this.site.clock.sleep(20);
        before("finish");
        const finished = await result.claim.finish(answered, timeoutMs);
        before("answer");
        this.told.push(finished.isRight() ? "answered" : "unknown");
    }
}

function describe(result: { readonly kind: string; readonly outcome?: RecordedOutcome; }): string {
    return result.outcome?.kind ?? result.kind;
}

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
    test(`host dies before "${step}" after ${fault}: two resends hear ${resent}`, async () => {
        const site = new RecordsHosts({ seed: 7 });
        const [a, b, c] = [site.start("a"), site.start("b"), site.start("c", true)];
        await site.clock.advance(10);
        const sender = new Sender(site);
        const dead = new Promise<void>(resolve => {
            void sender.run(a, claimKey("k"), "r1", at => {
                if (at === (step === "answer" ? "finish" : "claim") && at !== step) {
                    site.group.script.push(...Array.from({ length: 30 }, () => fault));
                }
                if (at === step) {
                    a.kill();
                    resolve();
                    throw new Error("the process ended");
                }
            }).catch(() => undefined);
        });
        await site.until(dead);
        site.group.script.length = 0;
        await site.clock.advance(step === "claimed" && fault === "late-commit" ? 0 : 5000);
        const again = [b, c].map(async (host, turn) => {
            await sender.run(host, claimKey("k"), `again${turn}`, () => undefined);
            return host.claims.wait(claimKey("k"), leaseMs * 10, new AbortController().signal);
        });
        const outcomes = await site.until(Promise.all(again));
        assert.deepEqual(outcomes.map(one => one?.kind), [resent, resent]);
        assert.equal(sender.sent.length, sent);
        site.group.checkReplicas();
        site.stop();
    });
}

/** What callers and the endpoint saw of one key. */
interface KeyHistory {
    readonly sent: string[];
    outcome: string | undefined;
    held: Map<string, Claim>;
}

type Step =
    | { readonly kind: "claim" | "finish" | "send" | "release"; readonly host: number; readonly key: number; }
    | { readonly kind: "restart" | "cut"; readonly host: number; }
    | { readonly kind: "heal" | "no-quorum"; }
    | { readonly kind: "advance"; readonly ms: number; };

const host = fc.nat({ max: 2 });
const key = fc.nat({ max: 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("claim" as const), host, key }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("send" as const), host, key }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("finish" as const), host, key }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("release" as const), host, key }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("restart" as const, "cut" as const), host }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("heal" as const, "no-quorum" as const) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("advance" as const), ms: fc.nat({ max: 3000 }) }) },
);

/** Runs a sequence of steps over three hosts and checks what was seen of each key. */
class ClaimRun {
    private readonly site: RecordsHosts;
    private readonly hosts: RecordsHost[];
    private readonly histories: KeyHistory[] = [0, 1].map(() => ({
        sent: [],
        outcome: undefined,
        held: new Map(),
    }));
    private requests = 0;
    private restarts = 0;

    public constructor(seed: number) {
        this.site = new RecordsHosts({ seed, lateMs: 4000 });
        Object.assign(this.site.group.chances, {
            "lost-answer": 0.08,
            "late-commit": 0.06,
            "lost-command": 0.04,
            "not-accepted": 0.06,
            doubled: 0.1,
        });
        this.hosts = ["a", "b", "c"].map((name, at) => this.site.start(name, at === 0));
    }

    public async run(all: readonly Step[]): Promise<void> {
        for (const one of all) {
            await this.step(one);
            await this.site.clock.advance(1);
        }
        await this.checkEnd();
        this.site.stop();
    }

    private async step(one: Step): Promise<void> {
        switch (one.kind) {
            case "claim":
                void this.claim(one.host, one.key);
                return;
            case "send":
                this.send(one.host, one.key);
                return;
            case "finish":
                void this.finish(one.host, one.key);
                return;
            case "release":
                void this.release(one.host, one.key);
                return;
            case "restart":
                this.restart(one.host);
                return;
            case "cut":
                this.site.group.cut(this.hosts[one.host]!.id);
                return;
            case "heal":
                this.site.group.heal();
                return;
            case "no-quorum":
                this.site.group.hasQuorum = false;
                return;
            case "advance":
                await this.site.clock.advance(one.ms);
                return;
        }
    }

    private async claim(at: number, keyAt: number): Promise<void> {
        const chosen = this.hosts[at]!;
        const history = this.histories[keyAt]!;
        const request = `r${++this.requests}`;
        const result = await chosen.claims.claim(claimKey(`k${keyAt}`), "body", requestId(request), timeoutMs);
        if (this.hosts[at] === chosen) {
            this.sawResult(history, chosen, result.extract());
        }
    }

    private sawResult(history: KeyHistory, by: RecordsHost, result: ClaimResult | { readonly kind: string; }): void {
        if (result.kind === "recorded") {
            this.sawOutcome(history, (result as Extract<ClaimResult, { kind: "recorded"; }>).outcome.kind);
        }
        if (result.kind === "claimed") {
            assert.deepEqual(history.sent, [], "a key was claimed again after its call was sent");
            history.held.set(by.id, (result as Extract<ClaimResult, { kind: "claimed"; }>).claim);
        }
    }

    private sawOutcome(history: KeyHistory, outcome: string): void {
        assert.ok(history.outcome !== "answered" || outcome === "answered", "an answer was taken back");
        assert.ok(outcome !== "answered" || history.sent.length === 1, "an answer without a call");
        history.outcome = outcome;
    }

    private send(at: number, keyAt: number): void {
        const history = this.histories[keyAt]!;
        const claim = history.held.get(this.hosts[at]!.id);
        if (claim !== undefined && !history.sent.includes(claim.request)) {
            history.sent.push(claim.request);
        }
        assert.ok(history.sent.length <= 1, `one key was sent by ${history.sent.join(" and ")}`);
    }

    private async finish(at: number, keyAt: number): Promise<void> {
        const history = this.histories[keyAt]!;
        const claim = history.held.get(this.hosts[at]!.id);
        if (claim !== undefined && history.sent.includes(claim.request)) {
            history.held.delete(this.hosts[at]!.id);
            await claim.finish(answered, timeoutMs);
        }
    }

    private async release(at: number, keyAt: number): Promise<void> {
        const history = this.histories[keyAt]!;
        const claim = history.held.get(this.hosts[at]!.id);
        if (claim !== undefined && !history.sent.includes(claim.request)) {
            history.held.delete(this.hosts[at]!.id);
            await claim.release(timeoutMs);
        }
    }

    private restart(at: number): void {
        const old = this.hosts[at]!;
        this.restarts += 1;
        old.kill();
        for (const history of this.histories) {
            history.held.delete(old.id);
        }
        this.hosts[at] = this.site.start(old.id, at === 0);
    }

    /** Once the faults are over, every key has an end: nothing runs for ever. */
    private async checkEnd(): Promise<void> {
        this.site.group.heal();
        for (const fault of Object.keys(this.site.group.chances) as LogFault[]) {
            this.site.group.chances[fault] = 0;
        }
        await this.site.clock.advance(10_000);
        for (const keyAt of this.histories.keys()) {
            for (const at of [0, 1, 2]) {
                await this.site.until(this.finish(at, keyAt));
                await this.site.until(this.release(at, keyAt));
            }
        }
        await this.site.clock.advance(10_000);
        for (const [keyAt, history] of this.histories.entries()) {
            const name = claimKey(`k${keyAt}`);
            const signal = new AbortController().signal;
            const outcome = await this.site.until(this.hosts[1]!.claims.wait(name, 20_000, signal), 30_000);
            const again = this.hosts[1]!.claims.claim(name, "body", requestId("last"), timeoutMs);
            const result = (await this.site.until(again)).extract();
            assert.notEqual(result.kind, "running", "a claim runs for ever");
            assert.ok(history.sent.length === 0 || result.kind === "recorded", "a sent key was free");
            assert.ok(history.sent.length === 1 || this.restarts > 0 || result.kind === "claimed", "a key is blocked");
            if (outcome !== undefined) {
                this.sawOutcome(history, outcome.kind);
            }
        }
        this.site.group.checkReplicas();
    }
}

test("random claims, deaths, cuts and lost answers: one sender for each key, and every key ends", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.nat({ max: 1 << 30 }),
            fc.array(step, { minLength: 5, maxLength: 40 }),
            async (seed, all) => new ClaimRun(seed).run(all),
        ),
        { seed: 20261203, numRuns: 60, endOnFailure: false },
    );
});
