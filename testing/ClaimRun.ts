/**
 * Random sequences of claims, sends, ends and faults over three hosts, for property tests of claims. The checks use
 * only what callers and the endpoint observe.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import type { Claim, ClaimResult, RecordedOutcome } from "../src/records/Types.js";
import type { LogFault } from "./FakeGroup.js";
import { claimKey, type RecordsHost, RecordsHosts, requestId } from "./RecordsHosts.js";

const timeoutMs = 1000;
const answered: RecordedOutcome = { kind: "answered", answer: "held" };

/** What callers and the endpoint have observed of one key. */
interface KeyHistory {
    /** Requests whose call was sent; more than one is a fault. */
    readonly sent: string[];
    outcome: string | undefined;
    /** Claims that are held, by host. */
    held: Map<string, Claim>;
}

export type ClaimStep =
    | { readonly kind: "claim" | "finish" | "send" | "release"; readonly host: number; readonly key: number; }
    | { readonly kind: "restart" | "cut"; readonly host: number; }
    | { readonly kind: "heal" | "no-quorum"; }
    | { readonly kind: "advance"; readonly ms: number; };

const host = fc.nat({ max: 2 });
const key = fc.nat({ max: 1 });
export const claimStep: fc.Arbitrary<ClaimStep> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("claim" as const), host, key }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("send" as const), host, key }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("finish" as const), host, key }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("release" as const), host, key }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("restart" as const, "cut" as const), host }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("heal" as const, "no-quorum" as const) }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("advance" as const), ms: fc.nat({ max: 3000 }) }) },
);

/** Runs a sequence of steps over three hosts and checks what was observed of each key. */
export class ClaimRun {
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

    public async run(steps: readonly ClaimStep[]): Promise<void> {
        for (const one of steps) {
            await this.step(one);
            await this.site.clock.advance(1);
        }
        await this.checkEnd();
        this.site.stop();
    }

    private async step(one: ClaimStep): Promise<void> {
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

    private async claim(hostIndex: number, keyIndex: number): Promise<void> {
        const chosen = this.hosts[hostIndex]!;
        const history = this.histories[keyIndex]!;
        const request = `r${++this.requests}`;
        const result = await chosen.claims.claim(claimKey(`k${keyIndex}`), "body", requestId(request), timeoutMs);
        if (this.hosts[hostIndex] === chosen) {
            this.recordResult(history, chosen, result.extract());
        }
    }

    private recordResult(history: KeyHistory, by: RecordsHost, result: ClaimResult | { readonly kind: string; }): void {
        if (result.kind === "recorded") {
            this.recordOutcome(history, (result as Extract<ClaimResult, { kind: "recorded"; }>).outcome.kind);
        }
        if (result.kind === "claimed") {
            assert.deepEqual(history.sent, [], "a key was claimed again after its call was sent");
            history.held.set(by.id, (result as Extract<ClaimResult, { kind: "claimed"; }>).claim);
        }
    }

    private recordOutcome(history: KeyHistory, outcome: string): void {
        assert.ok(history.outcome !== "answered" || outcome === "answered", "a recorded answer was replaced");
        assert.ok(outcome !== "answered" || history.sent.length === 1, "an answer without exactly one sent call");
        history.outcome = outcome;
    }

    private send(hostIndex: number, keyIndex: number): void {
        const history = this.histories[keyIndex]!;
        const claim = history.held.get(this.hosts[hostIndex]!.id);
        if (claim !== undefined && !history.sent.includes(claim.request)) {
            history.sent.push(claim.request);
        }
        assert.ok(history.sent.length <= 1, `one key was sent by ${history.sent.join(" and ")}`);
    }

    private async finish(hostIndex: number, keyIndex: number): Promise<void> {
        const history = this.histories[keyIndex]!;
        const claim = history.held.get(this.hosts[hostIndex]!.id);
        if (claim !== undefined && history.sent.includes(claim.request)) {
            history.held.delete(this.hosts[hostIndex]!.id);
            await claim.finish(answered, timeoutMs);
        }
    }

    private async release(hostIndex: number, keyIndex: number): Promise<void> {
        const history = this.histories[keyIndex]!;
        const claim = history.held.get(this.hosts[hostIndex]!.id);
        if (claim !== undefined && !history.sent.includes(claim.request)) {
            history.held.delete(this.hosts[hostIndex]!.id);
            await claim.release(timeoutMs);
        }
    }

    private restart(hostIndex: number): void {
        const old = this.hosts[hostIndex]!;
        this.restarts += 1;
        old.kill();
        for (const history of this.histories) {
            history.held.delete(old.id);
        }
        this.hosts[hostIndex] = this.site.start(old.id, hostIndex === 0);
    }

    /**
     * Checks, after the faults have ended, that no claim is left running, that each key whose call was sent has a
     * recorded outcome, and that the other keys can be claimed unless a host was restarted.
     */
    private async checkEnd(): Promise<void> {
        this.site.group.heal();
        for (const fault of Object.keys(this.site.group.chances) as LogFault[]) {
            this.site.group.chances[fault] = 0;
        }
        await this.site.clock.advance(10_000);
        for (const keyAt of this.histories.keys()) {
            for (const at of [0, 1, 2]) {
                await this.site.settle(this.finish(at, keyAt));
                await this.site.settle(this.release(at, keyAt));
            }
        }
        await this.site.clock.advance(10_000);
        for (const [keyAt, history] of this.histories.entries()) {
            const name = claimKey(`k${keyAt}`);
            const signal = new AbortController().signal;
            const outcome = await this.site.settle(this.hosts[1]!.claims.wait(name, 20_000, signal), 30_000);
            const again = this.hosts[1]!.claims.claim(name, "body", requestId("last"), timeoutMs);
            const result = (await this.site.settle(again)).extract();
            assert.notEqual(result.kind, "running", "a claim runs for ever");
            assert.ok(history.sent.length === 0 || result.kind === "recorded", "a key was free after its call");
            assert.ok(
                history.sent.length === 1 || this.restarts > 0 || result.kind === "claimed",
                "an unsent key is blocked",
            );
            if (outcome !== undefined) {
                this.recordOutcome(history, outcome.kind);
            }
        }
        this.site.group.checkReplicas();
    }
}
