/**
 * `npm run soak -- --seed N --seconds S [--runs R]`: long randomised runs with mixed faults. Seconds are those of the
 * simulated clock. A failure prints seed, command and the last events; the same seed gives the same run.
 *
 * With `--processes` the programs of deploy/system.toml run as processes on loopback and seconds are real ones; the seed
 * then fixes the order of faults. Their logs stay in the folder that is printed.
 */
import { Command } from "commander";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FleetSoak } from "./FleetSoak.js";
import { Soak } from "./SoakRun.js";

const program = new Command("soak")
    .option("--seed <number>", "seed of the first run", "1")
    .option("--seconds <number>", "simulated seconds of each run", "120")
    .option("--runs <number>", "runs, with seeds one after another", "1")
    .option("--processes", "run the fleet's programs as processes on loopback", false);
program.parse();
const options = program.opts<{
    readonly seed: string;
    readonly seconds: string;
    readonly runs: string;
    readonly processes: boolean;
}>();

let failed = 0;
for (let run = 0; run < Number(options.runs); run++) {
    const seed = Number(options.seed) + run;
    if (options.processes) {
        failed += await soakProcesses(seed, Number(options.seconds)) ? 0 : 1;
        continue;
    }
    const result = await new Soak(seed).run(Number(options.seconds));
    const verdict = result.broken.length === 0 ? "held" : "BROKEN";
    console.log(`${verdict} | seed ${seed} | ${options.seconds} s | ${JSON.stringify(result.counts)}`);
    console.log(`    history ${result.digest}`);
    if (result.broken.length > 0) {
        failed += 1;
        result.broken.forEach(what => console.log(`    ${what}`));
        console.log(`    again: npm run soak -- --seed ${seed} --seconds ${options.seconds}`);
        result.lastEvents.forEach(event => console.log(`    ${event}`));
    }
}
process.exit(failed > 0 ? 1 : 0);

/** True when all promises held. */
async function soakProcesses(seed: number, seconds: number): Promise<boolean> {
    const folder = mkdtempSync(join(tmpdir(), "fireflykeel-fleet-"));
    const result = await new FleetSoak(seed, { controls: 3, entries: 3, endpoints: 3 }, folder).run(seconds);
    const verdict = result.broken.length === 0 ? "held" : "BROKEN";
    console.log(`${verdict} | processes, seed ${seed} | ${seconds} s | ${JSON.stringify(result.counts)} | ${folder}`);
    result.broken.forEach(what => console.log(`    ${what}`));
    return result.broken.length === 0;
}
