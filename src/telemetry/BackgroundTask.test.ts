/** Checks what becomes of the rejection of a task that nobody awaits. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Worker } from "node:worker_threads";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { inBackground } from "./BackgroundTask.js";
import { EventId } from "./Events.js";

// Guards against a process that ends since one of its background tasks has failed.
test("the rejection of a background task is logged with its name", async () => {
    const log = new MemoryLog();
    inBackground(log, "good", Promise.resolve(1));
    inBackground(log, "bad", Promise.reject(new Error("no such port")));
    await new Promise(resolve => setImmediate(resolve));
    assert.deepEqual(log.events.map(({ id, fields }) => [id, fields["task"]]), [[EventId.BackgroundTaskFailed, "bad"]]);
    assert.match(String(log.events[0]!.fields["message"]), /no such port/);
});

test("a broken invariant in a background task still ends the process", async () => {
    const urlOf = (module: string) => JSON.stringify(new URL(module, import.meta.url).href);
    // In a worker thread, since the error would end the test's process.
    const code = `Promise.all([import(${urlOf("./BackgroundTask.js")}), import(${urlOf("../common/Invariant.js")})])
        .then(([{ inBackground }, { InvariantError }]) =>
            inBackground({ event: () => undefined }, "t", Promise.reject(new InvariantError("broken", {}))));`;
    const end = await new Promise(resolve => {
        const worker = new Worker(code, { eval: true });
        worker.on("error", (err: Error) => resolve(err.message));
        worker.on("exit", exitCode => resolve(`exit ${exitCode}`));
    });
    assert.match(String(end), /invariant "broken"/);
});
