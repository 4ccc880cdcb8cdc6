/** Makes one test of each cell of an operation's matrix. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { runStep } from "./FaultMatrix.js";
import { faults } from "./Faults.js";
import { operations } from "./Operations.js";

const seed = 1;

/** Runs each single fault at each step of an operation, and registers a test with the verdict of each cell. */
export async function testOperation(name: string): Promise<void> {
    const operation = operations.find(one => one.name === name);
    assert.ok(operation !== undefined, `there is no operation "${name}"`);
    for (const step of operation.steps) {
        const results = await runStep(faults.map(fault => ({ operation, step, faults: [fault] })), seed);
        for (const { cell, broken } of results) {
            test(cell, () => assert.deepEqual(broken, []));
        }
    }
}
