/**
 * `fireflykeel demo`: runs a small site in one process with stand-in endpoints that start cold, and sends requests to
 * its pipelines. Checks every answer, and prints tables of attainment by pipeline and of cost by stage.
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import PQueue from "p-queue";
import { expectedAnswer } from "../../standin/ExpectedOutput.js";
import { runStandIns } from "../../standin/main.js";
import { SeededRandom } from "../common/SeededRandom.js";
import { SystemClock } from "../common/SystemClock.js";
import type { PipelineId } from "../common/Types.js";
import { loadSettings } from "../config/Loader.js";
import type { Settings } from "../config/Schema.js";
import { callPipeline } from "../daemon/CallerClient.js";
import { LocalSite } from "../daemon/LocalSite.js";
import { attainmentTable, costTable, type DemoResult } from "./DemoTables.js";

const siteFile = new URL("../../../examples/demo/base.yaml", import.meta.url);
const pipelines = ["profile", "hold", "summary", "question"] as const;
const workspaceOf = { profile: "shelters", hold: "families", summary: "readers", question: "groups" } as const;
/** Requests in flight at once. */
const concurrency = 6;
const callTimeoutMs = 30_000;
/** Number of completed requests between two progress lines. */
const progressEvery = 8;

type Print = (text: string) => void;

/** Runs the demonstration. Returns true when every request got a complete answer with the output expected for it. */
export async function runDemo(requests: number, seed: number, print: Print): Promise<boolean> {
    const text = readFileSync(siteFile, "utf8");
    const loaded = loadSettings(siteFile.pathname, []);
    if (loaded.isLeft()) {
        loaded.swap().unsafeCoerce().issues.forEach(issue => print(`${issue.file}:${issue.line}: ${issue.message}`));
        return false;
    }
    const settings = loaded.unsafeCoerce();
    const dir = mkdtempSync(join(tmpdir(), "fireflykeel-demo-"));
    const standIns = await runStandIns(settings, { seed });
    const logLines: string[] = [];
    const random = new SeededRandom(seed);
    const site = new LocalSite({
        settings,
        documents: { base: text },
        keys: { peerKey: random.hex(32), operatorKey: random.hex(32) },
        dir,
        sink: line => logLines.push(line),
        onFatal: err => print(`broken invariant: ${err.message}`),
    });
    try {
        print(
            `starting ${Object.keys(settings.hosts).length} hosts and ${
                Object.keys(settings.endpoints).length
            } endpoints`,
        );
        await site.start();
        print("a committed configuration is in force on every host");
        const results = await sendAll(settings, requests, random, print);
        print(attainmentTable(results));
        print(costTable(logLines));
        return summarise(results, print);
    }
    finally {
        await site.abort();
        standIns.dispose();
        rmSync(dir, { recursive: true, force: true });
    }
}

async function sendAll(
    settings: Settings,
    requests: number,
    random: SeededRandom,
    print: Print,
): Promise<readonly DemoResult[]> {
    const queue = new PQueue({ concurrency });
    const addresses = Object.values(settings.hosts).map(host => host.callerAddress);
    const results: DemoResult[] = [];
    const send = async (index: number) => {
        const address = addresses[random.below(addresses.length)] ?? "";
        results.push(await sendOne(settings, index, address));
        if (results.length % progressEvery === 0) {
            print(`${results.length} of ${requests} requests completed`);
        }
    };
    await queue.addAll(Array.from({ length: requests }, (_, index) => () => send(index)));
    return results;
}

async function sendOne(settings: Settings, index: number, address: string): Promise<DemoResult> {
    const clock = new SystemClock();
    const pipeline = pipelines[index % pipelines.length] ?? "profile";
    const input = { subject: `${pipeline} ${index}`, note: "found near the harbour, friendly, needs a quiet home" };
    const startedMs = clock.nowMs();
    const reply = await callPipeline({
        address,
        pipeline,
        workspace: workspaceOf[pipeline],
        input,
        timeoutMs: callTimeoutMs,
        ...(pipeline === "hold" ? { idempotencyKey: `hold-${index}` } : {}),
    });
    const pipelineSettings = settings.pipelines[pipeline as PipelineId];
    const expected = expectedAnswer((pipelineSettings?.stages ?? []).map(stage => stage.name), input);
    const durationMs = clock.nowMs() - startedMs;
    return reply.caseOf<DemoResult>({
        Left: err => ({
            pipeline,
            outcome: `${err.kind}: ${err.message}`,
            isOwnAnswer: false,
            inTime: false,
            durationMs,
        }),
        Right: answer => ({
            pipeline,
            outcome: answer.outcome === "answered" ? "answered" : `${answer.outcome}: ${answer.message}`,
            isOwnAnswer: answer.output === expected,
            inTime: durationMs <= (pipelineSettings?.deadlineMs ?? 0),
            durationMs,
        }),
    });
}

function summarise(results: readonly DemoResult[], print: Print): boolean {
    const failed = results.filter(result => result.outcome !== "answered" || !result.isOwnAnswer);
    failed.forEach(result => print(`failed: ${result.pipeline}: ${result.outcome}`));
    const correctCount = results.length - failed.length;
    print(`answers checked: ${correctCount} of ${results.length} are complete and correct`);
    return failed.length === 0;
}
