/** A rejected stage call that is no longer awaited (a broken invariant) must still stop the process. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Worker } from "node:worker_threads";

/** Runs the function in a worker thread, since the uncaught exception would end the test process. */
function endOf(promise: string): Promise<string> {
    const code = `import("${new URL("./Uncaught.js", import.meta.url).href}").then(({ rethrowUncaught }) => {
        rethrowUncaught(${promise});
    });`;
    return new Promise(resolve => {
        const worker = new Worker(code, { eval: true });
        worker.on("error", (err: Error) => resolve(err.message));
        worker.on("exit", code => resolve(`exit ${code}`));
    });
}

describe("rethrowUncaught", () => {
    const cases: { name: string; promise: string; end: string; }[] = [
        { name: "a rejection", promise: "Promise.reject(new Error(\"broken\"))", end: "broken" },
        { name: "a resolved promise", promise: "Promise.resolve(1)", end: "exit 0" },
    ];
    for (const { name, promise, end } of cases) {
        it(`ends the thread with "${end}" after ${name}`, async () => {
            assert.equal(await endOf(promise), end);
        });
    }
});
