/** The whole path over separate processes: daemons in three data centres, stand-ins, a kill and a planned stop. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { Cluster } from "../bench/Cluster.js";
import { callJson } from "../bench/HttpJson.js";
import { runProgram } from "../src/cli/Program.js";
import { ExitCode } from "../src/cli/Types.js";
import { SystemClock } from "../src/common/SystemClock.js";
import type { HostId, PipelineId } from "../src/common/Types.js";
import { type CallerAnswer, callPipeline } from "../src/daemon/CallerClient.js";
import { expectedAnswer } from "../standin/ExpectedOutput.js";

const clock = new SystemClock();
const siteFile = new URL("../../examples/demo/base.yaml", import.meta.url).pathname;
/** Bounds how long the test waits for a condition before it gives up, in milliseconds. */
const giveUpMs = 60_000;
const callTimeoutMs = 30_000;

let folder = "";
let cluster: Cluster;

before(async () => {
    folder = mkdtempSync(join(tmpdir(), "fireflykeel-site-"));
    cluster = new Cluster({ folder, baseFile: siteFile, overlays: {}, engineSpeed: {}, seed: 1, clock });
    cluster.startStandIns();
    cluster.startDaemons();
    await Promise.all(Object.keys(cluster.settings.hosts).map(host => untilReady(host)));
});

after(async () => {
    await cluster.stop();
    rmSync(folder, { recursive: true, force: true });
});

function callerAddress(host: string): string {
    return cluster.settings.hosts[host as HostId]!.callerAddress;
}

function peerAddress(host: string): string {
    return cluster.settings.hosts[host as HostId]!.peerAddress;
}

async function untilReady(host: string): Promise<void> {
    const untilMs = clock.nowMs() + giveUpMs;
    while ((await callJson(callerAddress(host), "GET", "/v1/ready")).status !== 200) {
        assert.ok(clock.nowMs() < untilMs, `${host} did not become ready`);
        await clock.sleep(100);
    }
}

async function call(host: string, pipeline: string, input: unknown, key?: string): Promise<CallerAnswer> {
    const reply = await callPipeline({
        address: callerAddress(host),
        pipeline,
        workspace: "shelters",
        input,
        timeoutMs: callTimeoutMs,
        ...(key === undefined ? {} : { idempotencyKey: key }),
    });
    return reply.unsafeCoerce();
}

function expected(pipeline: string, input: unknown): string {
    const { stages } = cluster.settings.pipelines[pipeline as PipelineId]!;
    return expectedAnswer(stages.map(stage => stage.name), input);
}

/** How often each hold really ran, over all endpoints of the pool. */
async function holdsRun(): Promise<number[]> {
    const pool = Object.values(cluster.settings.endpoints).filter(endpoint => endpoint.pool === "holds");
    const counters = await Promise.all(pool.map(endpoint => callJson(endpoint.address, "GET", "/v1/control")));
    const totals = new Map<string, number>();
    for (const { body } of counters) {
        for (const [input, runs] of Object.entries((body as { runsByInput: Record<string, number>; }).runsByInput)) {
            totals.set(input, (totals.get(input) ?? 0) + runs);
        }
    }
    return [...totals.values()];
}

test("a profile and a hold are served whole, and a resent hold is not run again", async () => {
    const profile = { note: "a quiet dog" };
    const answer = await call("east-1", "profile", profile);
    assert.equal(answer.outcome, "answered", answer.message);
    assert.equal(answer.output, expected("profile", profile));

    const hold = { cat: "c1", family: "f1" };
    const first = await call("east-2", "hold", hold, "k1");
    const again = await call("west-1", "hold", hold, "k1");
    assert.equal(first.output, expected("hold", hold), first.message);
    assert.equal(again.output, first.output);
    assert.deepEqual(await holdsRun(), [1]);
    assert.equal((await call("west-2", "hold", { cat: "c2" }, "k1")).status, 422);
});

async function operate(
    args: readonly string[],
    host?: string,
): Promise<{ exit: number; reply: Record<string, unknown>; }> {
    const lines: string[] = [];
    const print = (text: string) => lines.push(text);
    const asked = host === undefined ? ["--config", siteFile] : ["--address", peerAddress(host)];
    const target = ["--key-file", join(folder, "operator.key"), ...asked];
    const exit = await runProgram(["node", "fireflykeel", ...args, ...target], { out: print, err: print });
    const json = lines.find(line => line.startsWith("{") || line.startsWith("["));
    return { exit, reply: JSON.parse(json ?? "{}") as Record<string, unknown> };
}

test("of two operators who build on the same version at two hosts, one is told of the other's change", async () => {
    const shown = await operate(["config", "show"]);
    assert.equal(shown.exit, ExitCode.Ok);
    const { documents } = shown.reply["config"] as { documents: { base: { version: number; text: string; }; }; };
    const baseVersion = String(documents.base.version);
    const apply = (name: string, deadline: string, host: string) => {
        const file = join(folder, `${name}.yaml`);
        writeFileSync(file, documents.base.text.replace("deadlineMs: 8000", `deadlineMs: ${deadline}`));
        const args = ["config", "apply", file, "--document", "base", "--base-version", baseVersion, "--id", name];
        return operate([...args, "--wait"], host);
    };
    const [first, second] = await Promise.all([
        apply("change-a", "8100", "east-2"),
        apply("change-b", "8200", "west-1"),
    ]);
    const outcomes = [first, second].map(one => one.reply["outcome"]).sort();
    assert.deepEqual(outcomes, ["accepted", "conflict"]);
    const winner = first.reply["outcome"] === "accepted" ? "change-a" : "change-b";
    const again = await apply(winner, winner === "change-a" ? "8100" : "8200", "middle-2");
    assert.equal(again.reply["outcome"], "accepted", "a resent change gets its first answer");
    assert.equal((await operate(["config", "apply", siteFile, "--document", "base", "--base-version", "0"])).exit, 1);
});

test("a data centre is taken out and brought back, and its hosts tell the balancer", async () => {
    assert.equal((await operate(["dc", "out", "west"])).exit, ExitCode.Ok);
    const untilMs = clock.nowMs() + giveUpMs;
    while ((await callJson(callerAddress("west-2"), "GET", "/v1/ready")).status !== 503) {
        assert.ok(clock.nowMs() < untilMs, "west-2 still says that it is ready");
        await clock.sleep(50);
    }
    const input = { note: "asked through a host that is out" };
    assert.equal((await call("west-2", "profile", input)).output, expected("profile", input));
    assert.equal((await operate(["dc", "in", "west"])).exit, ExitCode.Ok);
    await untilReady("west-2");
});

test("after a daemon is killed the next request is served, and its holds are still known", async () => {
    cluster.processes.signal("east-1", "SIGKILL");
    const profile = { note: "another dog" };
    const answer = await call("east-2", "profile", profile);
    assert.equal(answer.outcome, "answered", answer.message);
    assert.equal(answer.output, expected("profile", profile));
    const hold = { cat: "c1", family: "f1" };
    assert.equal((await call("middle-1", "hold", hold, "k1")).output, expected("hold", hold));
    assert.deepEqual(await holdsRun(), [1]);
});

test("a killed daemon comes back, and a planned stop cuts no request", async () => {
    cluster.startDaemon("east-1");
    await untilReady("east-1");
    const inputs = Array.from({ length: 6 }, (_, index) => ({ note: `dog ${index}` }));
    const replies = inputs.map(input => call("middle-2", "profile", input));
    await clock.sleep(50);
    cluster.processes.signal("middle-2", "SIGTERM");
    for (const [index, reply] of replies.entries()) {
        const answer = await reply;
        assert.equal(answer.outcome, "answered", answer.message);
        assert.equal(answer.output, expected("profile", inputs[index]));
    }
    const untilMs = clock.nowMs() + giveUpMs;
    while (cluster.processes.isRunning("middle-2")) {
        assert.ok(clock.nowMs() < untilMs, "middle-2 did not stop");
        await clock.sleep(50);
    }
});
