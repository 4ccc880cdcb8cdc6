/**
 * `npm run soak -- --seed N --seconds S [--runs R]`: long randomised runs with mixed faults. Seconds are those of the
 * simulated clock. A failure prints seed, command and the last events; the same seed gives the same run.
 */
import { Command } from "commander";
import { Soak } from "./SoakRun.js";

const program = new Command("soak")
    .option("--seed <number>", "seed of the first run", "1")
    .option("--seconds <number>", "simulated seconds of each run", "120")
    .option("--runs <number>", "runs, with seeds one after another", "1");
program.parse();
const options = program.opts<{ readonly seed: string; readonly seconds: string; readonly runs: string; }>();

let failed = 0;
for (let run = 0; run < Number(options.runs); run++) {
    const seed = Number(options.seed) + run;
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
