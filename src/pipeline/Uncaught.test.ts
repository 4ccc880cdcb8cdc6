/** A broken invariant in a call that nobody waits for any more still stops the process. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Worker } from "node:worker_threads";

/** Runs the module's function in a thread of its own, since an uncaught failure ends its whole process. */
function endOf(promise: string): Promise<string> {
    const code = `import("${new URL("./Detached.js", import.meta.url).href}").then(({ surfaceFailure }) => {
        surfaceFailure(${promise});
    });`;
    return new Promise(resolve => {
        const worker = new Worker(code, { eval: true });
        worker.on("error", (err: Error) => resolve(err.message));
        worker.on("exit", code => resolve(`exit ${code}`));
    });
}

describe("surfaceFailure", () => {
    const cases: { name: string; promise: string; end: string; }[] = [
        { name: "a failure", promise: "Promise.reject(new Error(\"broken\"))", end: "broken" },
        { name: "a value", promise: "Promise.resolve(1)", end: "exit 0" },
    ];
    for (const { name, promise, end } of cases) {
        it(`ends with ${end} after ${name}`, async () => {
            assert.equal(await endOf(promise), end);
        });
    }
});
