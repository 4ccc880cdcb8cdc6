/** End-to-end tests over separate processes: daemons in three data centres, stand-ins, a kill and a planned stop. */
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
import { SiteDriver } from "../testing/SiteDriver.js";

const clock = new SystemClock();
const siteFile = new URL("../../examples/demo/base.yaml", import.meta.url).pathname;

let folder = "";
let cluster: Cluster;
let site: SiteDriver;

before(async () => {
    folder = mkdtempSync(join(tmpdir(), "fireflykeel-site-"));
    cluster = new Cluster({ folder, baseFile: siteFile, overlays: {}, engineSpeed: {}, seed: 1, clock });
    cluster.startStandIns();
    cluster.startDaemons();
    site = new SiteDriver(cluster, clock);
    await Promise.all(site.hosts.map(host => site.untilReadiness(host, 200)));
});

after(async () => {
    await cluster.stop();
    rmSync(folder, { recursive: true, force: true });
});

test("a profile and a hold are answered, a resent hold runs once, and its key is refused for other input", async () => {
    const profile = { note: "a quiet dog" };
    const answer = await site.call("east-1", "profile", profile);
    assert.equal(answer.outcome, "answered", answer.message);
    assert.equal(answer.output, site.expected("profile", profile));

    const hold = { cat: "c1", family: "f1" };
    const first = await site.call("east-2", "hold", hold, "k1");
    const again = await site.call("west-1", "hold", hold, "k1");
    assert.equal(first.output, site.expected("hold", hold), first.message);
    assert.equal(again.output, first.output);
    assert.deepEqual(await site.holdRunCounts(), [1]);
    assert.equal((await site.call("west-2", "hold", { cat: "c2" }, "k1")).status, 422);
});

async function operate(
    args: readonly string[],
    host?: string,
): Promise<{ exit: number; reply: Record<string, unknown>; }> {
    const lines: string[] = [];
    const print = (text: string) => lines.push(text);
    const hostArgs = host === undefined ? ["--config", siteFile] : ["--address", site.peerAddress(host)];
    const target = ["--key-file", join(folder, "operator.key"), ...hostArgs];
    const exit = await runProgram(["node", "fireflykeel", ...args, ...target], { out: print, err: print });
    const json = lines.find(line => line.startsWith("{") || line.startsWith("["));
    return { exit, reply: JSON.parse(json ?? "{}") as Record<string, unknown> };
}

test("of two concurrent changes to one version, one is accepted, also when resent, and one conflicts", async () => {
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

test("a host whose data centre is out is not ready but serves requests, and becomes ready again", async () => {
    assert.equal((await operate(["dc", "out", "west"])).exit, ExitCode.Ok);
    await site.untilReadiness("west-2", 503);
    const input = { note: "asked through a host that is out" };
    assert.equal((await site.call("west-2", "profile", input)).output, site.expected("profile", input));
    assert.equal((await operate(["dc", "in", "west"])).exit, ExitCode.Ok);
    await site.untilReadiness("west-2", 200);
});

const replyFaults: { name: string; control: Record<string, number>; }[] = [
    { name: "short", control: { short: 1 } },
    { name: "swapped", control: { swapReplies: 1 } },
    { name: "doubled", control: { duplicate: 1 } },
    { name: "late", control: { lateMs: 150 } },
];

for (const { name, control } of replyFaults) {
    test(`while stage replies are ${name}, callers get their own complete answer or a refusal`, async () => {
        const endpoints = Object.values(cluster.settings.endpoints).map(endpoint => endpoint.address);
        await Promise.all(endpoints.map(address => callJson(address, "POST", "/v1/control", control)));
        const inputs = Array.from({ length: 12 }, (_, index) => ({ note: `${name} ${index}` }));
        const answers = await Promise.all(inputs.map((input, index) =>
            index % 3 === 0
                ? site.call("east-2", "hold", input, `${name}-${index}`)
                : site.call("west-2", "profile", input)
        ));
        for (const [index, answer] of answers.entries()) {
            const pipeline = index % 3 === 0 ? "hold" : "profile";
            if (answer.outcome === "answered") {
                assert.equal(answer.output, site.expected(pipeline, inputs[index]));
            }
            else {
                assert.equal(answer.output, undefined, "a refusal carries no output");
            }
        }
        const off = { short: 0, swapReplies: 0, duplicate: 0, lateMs: 0 };
        await Promise.all(endpoints.map(address => callJson(address, "POST", "/v1/control", off)));
        const input = { note: `after ${name}` };
        await site.until("complete replies are served again", async () => {
            return (await site.call("west-2", "profile", input)).output === site.expected("profile", input);
        });
        assert.ok((await site.holdRunCounts()).every(count => count === 1), "a hold ran more than once");
    });
}

test("after a daemon is killed, the next request is served and a resent hold does not run again", async () => {
    cluster.processes.signal("east-1", "SIGKILL");
    const profile = { note: "another dog" };
    const answer = await site.call("east-2", "profile", profile);
    assert.equal(answer.outcome, "answered", answer.message);
    assert.equal(answer.output, site.expected("profile", profile));
    const hold = { cat: "c1", family: "f1" };
    assert.equal((await site.call("middle-1", "hold", hold, "k1")).output, site.expected("hold", hold));
    assert.ok((await site.holdRunCounts()).every(count => count === 1), "a hold ran more than once");
});

test("a killed daemon starts again, and a planned stop interrupts no request", async () => {
    cluster.startDaemon("east-1");
    await site.untilReadiness("east-1", 200);
    const inputs = Array.from({ length: 6 }, (_, index) => ({ note: `dog ${index}` }));
    const replies = inputs.map(input => site.call("middle-2", "profile", input));
    await clock.sleep(50);
    cluster.processes.signal("middle-2", "SIGTERM");
    for (const [index, reply] of replies.entries()) {
        const answer = await reply;
        assert.equal(answer.outcome, "answered", answer.message);
        assert.equal(answer.output, site.expected("profile", inputs[index]));
    }
    await site.until("middle-2 has stopped", () => !cluster.processes.isRunning("middle-2"));
});
