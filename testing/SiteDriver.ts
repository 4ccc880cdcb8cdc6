/** Drives a site of separate processes in tests: waits for readiness, sends requests, and counts what really ran. */
import assert from "node:assert/strict";
import type { Cluster } from "../bench/Cluster.js";
import { callJson } from "../bench/HttpJson.js";
import type { Clock, HostId, PipelineId } from "../src/common/Types.js";
import { type CallerAnswer, callPipeline } from "../src/daemon/CallerClient.js";
import { expectedAnswer } from "../standin/ExpectedOutput.js";

/** Bounds how long a test waits for a condition before it gives up, in milliseconds. */
const giveUpMs = 60_000;
const callTimeoutMs = 30_000;

export class SiteDriver {
    public constructor(private readonly cluster: Cluster, private readonly clock: Clock) {}

    public get hosts(): readonly string[] {
        return Object.keys(this.cluster.settings.hosts);
    }

    public callerAddress(host: string): string {
        return this.cluster.settings.hosts[host as HostId]!.callerAddress;
    }

    public peerAddress(host: string): string {
        return this.cluster.settings.hosts[host as HostId]!.peerAddress;
    }

    /** Waits for a condition; fails the test when it does not come. */
    public async until(what: string, isTrue: () => boolean | Promise<boolean>): Promise<void> {
        const untilMs = this.clock.nowMs() + giveUpMs;
        while (!await isTrue()) {
            assert.ok(this.clock.nowMs() < untilMs, `did not happen: ${what}`);
            await this.clock.sleep(50);
        }
    }

    /** Waits until the host's answer to the balancer has this status. */
    public untilReadiness(host: string, status: 200 | 503): Promise<void> {
        return this.until(`${host} answers ${status} to the balancer`, async () => {
            return (await callJson(this.callerAddress(host), "GET", "/v1/ready")).status === status;
        });
    }

    /** Sends one request; undefined when the connection broke. */
    public async tryCall(
        host: string,
        pipeline: string,
        input: unknown,
        key?: string,
    ): Promise<CallerAnswer | undefined> {
        const reply = await callPipeline({
            address: this.callerAddress(host),
            pipeline,
            workspace: "shelters",
            input,
            timeoutMs: callTimeoutMs,
            ...(key === undefined ? {} : { idempotencyKey: key }),
        });
        return reply.toMaybe().extract();
    }

    /** Sends one request whose reply must be whole. */
    public async call(host: string, pipeline: string, input: unknown, key?: string): Promise<CallerAnswer> {
        const answer = await this.tryCall(host, pipeline, input, key);
        assert.ok(answer !== undefined, `${host} did not reply`);
        return answer;
    }

    /** The answer that a request's own input makes. */
    public expected(pipeline: string, input: unknown): string {
        const { stages } = this.cluster.settings.pipelines[pipeline as PipelineId]!;
        return expectedAnswer(stages.map(stage => stage.name), input);
    }

    /** How often each hold that has run at all really ran, over all endpoints of the pool. */
    public async holdRunCounts(): Promise<number[]> {
        const pool = Object.values(this.cluster.settings.endpoints).filter(endpoint => endpoint.pool === "holds");
        const replies = await Promise.all(pool.map(endpoint => callJson(endpoint.address, "GET", "/v1/control")));
        const totals = new Map<string, number>();
        for (const { body } of replies) {
            const { runsByInput } = body as { runsByInput: Record<string, number>; };
            for (const [input, runs] of Object.entries(runsByInput)) {
                totals.set(input, (totals.get(input) ?? 0) + runs);
            }
        }
        return [...totals.values()];
    }

    /**
     * Places holds through one host after the other, each again through the next host until it has a definite end.
     * Gives how many were answered and how many callers heard that the outcome is unknown.
     */
    public async placeHolds(prefix: string, count: number): Promise<{ answered: number; unknown: number; }> {
        let answered = 0;
        let unknown = 0;
        for (let index = 0; index < count; index += 1) {
            const input = { cat: `${prefix}-${index}` };
            const outcome = await this.placeHold(input, `${prefix}-${index}`, index);
            answered += outcome === "answered" ? 1 : 0;
            unknown += outcome === "unknown" ? 1 : 0;
        }
        return { answered, unknown };
    }

    private async placeHold(input: unknown, key: string, turn: number): Promise<string> {
        let outcome = "";
        for (let attempt = 0; outcome !== "answered" && outcome !== "unknown"; attempt += 1) {
            assert.ok(attempt < 50, `hold ${key} found no end: ${outcome}`);
            const host = this.hosts[(turn + attempt) % this.hosts.length]!;
            const answer = await this.tryCall(host, "hold", input, key);
            outcome = answer?.outcome ?? "no reply";
            if (outcome === "answered") {
                assert.equal(answer?.output, this.expected("hold", input));
            }
            else {
                await this.clock.sleep(Math.min(answer?.retryAfterMs ?? 200, 500));
            }
        }
        return outcome;
    }
}
