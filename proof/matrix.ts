/**
 * `npm run matrix [-- --only TEXT] [--pairs] [--seed N]`: runs the fault matrix and prints one row for each cell.
 * `--only` runs just the cells whose name contains the text, each on its own site; `--pairs` combines two faults.
 */
import { Command } from "commander";
import { type Cell, cellName, type CellResult, runAlone, runStep } from "./FaultMatrix.js";
import { faults } from "./Faults.js";
import { operations } from "./Operations.js";

interface Options {
    readonly only?: string;
    readonly pairs?: boolean;
    readonly seed: string;
}

const program = new Command("matrix")
    .option("--only <text>", "run only cells whose name contains the text")
    .option("--pairs", "inject two faults together at each step")
    .option("--seed <number>", "seed of every site", "1");
program.parse();
const options = program.opts<Options>();
const seed = Number(options.seed);

function print(result: CellResult): void {
    console.log(`${result.broken.length === 0 ? "held  " : "BROKEN"} | ${result.cell} | seed ${result.seed}`);
    result.broken.slice(0, maxShownViolations).forEach(what => console.log(`    ${what}`));
    if (options.only !== undefined) {
        result.trace.forEach(event => console.log(`    ${event}`));
    }
}

const maxShownViolations = 5;
let broken = 0;
let count = 0;
for (const operation of operations) {
    for (const step of operation.steps) {
        const faultSets = options.pairs === true
            ? faults.flatMap((one, at) => faults.slice(at + 1).map(other => [one, other]))
            : faults.map(fault => [fault]);
        const cells: readonly Cell[] = faultSets.map(set => ({ operation, step, faults: set }));
        const chosen = cells.filter(cell => cellName(cell).includes(options.only ?? ""));
        const results = options.only === undefined && options.pairs !== true
            ? await runStep(chosen, seed)
            : await Promise.all(chosen.map(cell => runAlone(cell, seed)));
        results.forEach(print);
        count += results.length;
        broken += results.filter(result => result.broken.length > 0).length;
    }
}
console.log(`${count} cells, ${broken} broken`);
process.exit(broken > 0 ? 1 : 0);
