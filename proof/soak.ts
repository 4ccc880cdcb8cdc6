/**
 * `npm run soak -- --seed N --seconds S [--runs R]`: long randomised runs with mixed faults. Seconds are simulated
 * time. A failure prints the violations, the command to repeat the run, and the last events. The same seed gives the
 * same run.
 *
 * With `--processes` the programs of deploy/system.toml run as processes on loopback and seconds are real time; the
 * seed then determines only the sequence of faults. The logs of the processes are kept in the printed folder.
 */
import { Command } from "commander";
import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { FleetSoak } from "./FleetSoak.js";
import { Soak } from "./SoakRun.js";

const program = new Command("soak")
    .option("--seed <number>", "seed of the first run", "1")
    .option("--seconds <number>", "duration of each run in seconds (simulated, or real with --processes)", "120")
    .option("--runs <number>", "number of runs, with consecutive seeds", "1")
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
        console.log(`    repeat with: npm run soak -- --seed ${seed} --seconds ${options.seconds}`);
        result.lastEvents.forEach(event => console.log(`    ${event}`));
    }
}
process.exit(failed > 0 ? 1 : 0);

/** True if no violation was found. */
async function soakProcesses(seed: number, seconds: number): Promise<boolean> {
    const folder = mkdtempSync(join(tmpdir(), "fireflykeel-fleet-"));
    const result = await new FleetSoak(seed, { controls: 3, entries: 3, endpoints: 3 }, folder).run(seconds);
    const verdict = result.broken.length === 0 ? "held" : "BROKEN";
    console.log(`${verdict} | processes, seed ${seed} | ${seconds} s | ${JSON.stringify(result.counts)} | ${folder}`);
    result.broken.forEach(what => console.log(`    ${what}`));
    return result.broken.length === 0;
}
