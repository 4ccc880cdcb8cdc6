/**
 * Runs every compiled test file below out/, or those whose paths contain one of the arguments. Failures listed in
 * KNOWN-RED.txt are printed and tolerated; any other failure, and a stale entry, fails the run.
 */
import { readdirSync, readFileSync } from "node:fs";
import { relative, resolve } from "node:path";
import { Readable } from "node:stream";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { evaluateRun, parseKnownRed, type TestVerdict } from "./KnownRed.js";

const root = resolve(import.meta.dirname, "../..");
const compiled = resolve(root, "out");
/** Timeout of one test file, in milliseconds. */
const fileTimeoutMs = 300_000;
/** Files in this folder measure the memory of processes; they run one at a time, after all others. */
const aloneFolder = resolve(compiled, "test/crowds");

function testFiles(): string[] {
    const named = process.argv.slice(2);
    const all = readdirSync(compiled, { recursive: true, encoding: "utf8" })
        .filter(file => file.endsWith(".test.js"))
        .sort();
    const chosen = named.length === 0 ? all : all.filter(file => named.some(name => file.includes(name)));
    return chosen.map(file => resolve(compiled, file));
}

async function runAll(files: string[], concurrency: number): Promise<TestVerdict[]> {
    if (files.length === 0) {
        return [];
    }
    const verdicts: TestVerdict[] = [];
    const paths = new Map<string, string[]>();
    const pathOf = (file: string | undefined): string[] => {
        const path = paths.get(file ?? "") ?? [];
        paths.set(file ?? "", path);
        return path;
    };
    const stream = run({ files, concurrency, timeout: fileTimeoutMs });
    stream.on("test:start", data => {
        const path = pathOf(data.file);
        path.length = data.nesting;
        path[data.nesting] = data.name;
    });
    const finish = (data: { name: string; nesting: number; file?: string; }, passed: boolean) => {
        const names = [...pathOf(data.file).slice(0, data.nesting), data.name];
        const file = data.file === undefined ? "" : relative(compiled, data.file).replace(/\.js$/, ".ts");
        verdicts.push({ name: [file, ...names].join(" > "), passed });
    };
    stream.on("test:pass", data => finish(data, true));
    stream.on("test:fail", data => finish(data, false));
    const report = Readable.from(stream.compose(new spec()) as AsyncIterable<string>);
    for await (const text of report) {
        process.stdout.write(String(text));
    }
    return verdicts;
}

const files = testFiles();
const isAlone = (file: string) => file.startsWith(aloneFolder);
const verdicts = [
    ...await runAll(files.filter(file => !isAlone(file)), 4),
    ...await runAll(files.filter(isAlone), 1),
];
const known = parseKnownRed(readFileSync(resolve(root, "KNOWN-RED.txt"), "utf8"));
const verdict = evaluateRun(verdicts, process.argv.length > 2 ? [] : known);
for (const entry of verdict.tolerated) {
    console.log(`KNOWN RED, passed over: ${entry.test} | ${entry.command} | ${entry.seen} | issue ${entry.issue}`);
}
for (const name of verdict.failures) {
    console.log(`FAILED: ${name}`);
}
for (const line of verdict.stale) {
    console.log(`STALE ENTRY IN KNOWN-RED.txt: ${line}`);
}
const failedCount = verdict.failures.length + verdict.stale.length;
console.log(`${verdicts.filter(one => one.passed).length} passed, ${failedCount} failed`);
process.exitCode = failedCount > 0 || verdicts.length === 0 ? 1 : 0;
