/** Checks how log lines reach their file: together, soon, and completely at the end of the process. */
import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from "node:fs";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { SystemClock } from "../common/SystemClock.js";
import { LogOutput } from "./LogOutput.js";

const maxBufferedBytes = 1024 * 1024;

async function withOutput(run: (output: LogOutput, read: () => string) => Promise<void>): Promise<void> {
    const folder = mkdtempSync(join(tmpdir(), "fireflykeel-log-"));
    const file = join(folder, "log");
    const fd = openSync(file, "w");
    await run(new LogOutput({ fd, maxBufferedBytes, clock: new SystemClock() }), () => readFileSync(file, "utf8"));
    closeSync(fd);
    rmSync(folder, { recursive: true });
}

// Guards against lines that stay in the buffer of a quiet process.
test("a single line is written after a short time", () =>
    withOutput(async (output, read) => {
        output.sink("one");
        const untilMs = performance.now() + 5000;
        while ((read() === "" || output.pressure.fill() > 0) && performance.now() < untilMs) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        assert.equal(read(), "one\n");
        assert.equal(output.pressure.fill(), 0);
    }));

// Guards against the last lines of a process that are lost when it ends.
test("all lines are written when the output is closed", () =>
    withOutput(async (output, read) => {
        const lines = Array.from({ length: 5000 }, (_, at) => `line ${at}`);
        lines.forEach(line => output.sink(line));
        await output.close();
        assert.equal(read(), lines.map(line => `${line}\n`).join(""));
        assert.deepEqual([output.pressure.fill(), output.pressure.droppedLines()], [0, 0]);
    }));

// Guards against a broken invariant that leaves no line, since the process ends at once.
test("all lines are written at once when the process must end", () =>
    withOutput(async (output, read) => {
        output.sink("one");
        output.closeNow();
        assert.equal(read(), "one\n");
    }));

/** Starts a process that runs a script, and returns an output whose lines it gets through a pipe. */
function outputTo(script: string): { readonly reader: ChildProcess; readonly output: LogOutput; } {
    const reader = spawn(process.execPath, ["-e", script], { stdio: ["pipe", "pipe", "inherit"] });
    const { fd } = (reader.stdin as unknown as { readonly _handle: { readonly fd: number; }; })._handle;
    return { reader, output: new LogOutput({ fd, maxBufferedBytes, clock: new SystemClock() }) };
}

/** More than a pipe holds. */
const manyLines = Array.from({ length: 5000 }, (_, at) => `line ${at} ${"x".repeat(100)}`);

// Guards against the loss of the last lines of a process whose reader has been busy for a moment when it ends.
test("all lines are written when the output is closed while its reader pauses", async () => {
    const { reader, output } = outputTo(`console.log(); setTimeout(() => {
        let bytes = 0;
        process.stdin.on("data", chunk => bytes += chunk.length).on("end", () => console.log(bytes));
    }, 300);`);
    await once(reader.stdout as Socket, "data");
    manyLines.forEach(line => output.sink(line));
    await output.close();
    reader.stdin?.destroy();
    const [printed] = await once(reader.stdout as Socket, "data") as [Buffer];
    assert.equal(Number(printed), manyLines.join("\n").length + 1);
});

// Guards against the end of a process whose log nobody reads any more.
test("an output whose reader has gone away drops lines", async () => {
    const { reader, output } = outputTo("require(\"fs\").closeSync(0); console.log(); setTimeout(() => {}, 60_000);");
    await once(reader.stdout as Socket, "data");
    manyLines.forEach(line => output.sink(line));
    await output.close();
    manyLines.forEach(line => output.sink(line));
    assert.ok(output.pressure.droppedLines() > 0);
    reader.kill();
});
