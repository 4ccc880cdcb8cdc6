/** Registers the tests of one operation in the fault matrix: one for each cell, a step combined with a fault. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { runStep } from "./FaultMatrix.js";
import { faults } from "./Faults.js";
import { operations } from "./Operations.js";

const seed = 1;

/** Runs the operation with each fault at each of its steps, and registers a test of the result of each cell. */
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
