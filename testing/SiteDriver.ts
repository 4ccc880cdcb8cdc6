/** Drives a site of separate processes in tests: waits for readiness, sends requests, and counts the calls that ran. */
import assert from "node:assert/strict";
import type { Cluster } from "../bench/Cluster.js";
import { callJson } from "../bench/HttpJson.js";
import type { Clock, HostId, PipelineId } from "../src/common/Types.js";
import { type CallerAnswer, callPipeline } from "../src/daemon/CallerClient.js";
import { expectedAnswer } from "../standin/ExpectedOutput.js";

/** Maximum time that a test waits for a condition, in milliseconds. */
const conditionTimeoutMs = 60_000;
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

    /** Waits until a condition holds; fails the test if it does not within {@link conditionTimeoutMs}. */
    public async until(description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
        const untilMs = this.clock.nowMs() + conditionTimeoutMs;
        while (!await condition()) {
            assert.ok(this.clock.nowMs() < untilMs, `condition not met in time: ${description}`);
            await this.clock.sleep(50);
        }
    }

    /** Waits until the host answers the load balancer's readiness check with this status. */
    public untilReadiness(host: string, status: 200 | 503): Promise<void> {
        return this.until(`${host} answers ${status} to the readiness check`, async () => {
            return (await callJson(this.callerAddress(host), "GET", "/v1/ready")).status === status;
        });
    }

    /** Sends one request; returns undefined if the connection broke. */
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

    /** Sends one request; fails the test if there is no complete reply. */
    public async call(host: string, pipeline: string, input: unknown, key?: string): Promise<CallerAnswer> {
        const answer = await this.tryCall(host, pipeline, input, key);
        assert.ok(answer !== undefined, `${host} sent no complete reply`);
        return answer;
    }

    /** Returns the output that is expected for a request's input. */
    public expected(pipeline: string, input: unknown): string {
        const { stages } = this.cluster.settings.pipelines[pipeline as PipelineId]!;
        return expectedAnswer(stages.map(stage => stage.name), input);
    }

    /** Returns the number of runs of each hold that has run, summed over all endpoints of the pool. */
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
     * Places holds through the hosts in turn, and repeats each through the next host until it is answered or its
     * outcome is reported as unknown. Returns how many ended in each of these ways.
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
            assert.ok(attempt < 50, `hold ${key} reached no definite outcome: ${outcome}`);
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
