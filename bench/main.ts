/** Command line of the benchmarks: `npm run bench -- COMMAND`. Writes results to bench/results/. */
import { Command, InvalidArgumentError, Option } from "commander";
import { mkdirSync, writeFileSync } from "node:fs";
import { cpus } from "node:os";
import { join, resolve } from "node:path";
import { runAttainment, sites } from "./Attainment.js";
import { faultPlans } from "./Faults.js";
import { renderReport } from "./Report.js";
import { formatRun } from "./ResultTable.js";
import type { ExperimentResult, RunResult } from "./Types.js";
import { variants } from "./Variants.js";

const results = resolve(import.meta.dirname, "../../bench/results");

interface AttainmentArguments {
    readonly site: readonly string[];
    readonly variant: readonly string[];
    readonly seconds: number;
    readonly load: number;
    readonly seed: number;
    readonly changes: boolean;
    readonly cold?: boolean;
    readonly fault: readonly string[];
    readonly burst: number;
    readonly name: string;
}

function positive(text: string): number {
    const value = Number(text);
    if (!(value > 0)) {
        throw new InvalidArgumentError("must be a positive number");
    }
    return value;
}

function progress(text: string): void {
    process.stderr.write(`${text}\n`);
}

const program = new Command("bench").description(
    "runs load experiments with real daemons on loopback or in simulation",
);

program.command("attainment")
    .description("measures attainment and cost by stage while a data centre leaves service and returns")
    .option("--site <name...>", "sites to run", [...sites])
    .option("--variant <name...>", `policies to compare: ${Object.keys(variants).join(", ")}`, ["as-is"])
    .option("--seconds <n>", "duration of the load in seconds", positive, 60)
    .option("--load <factor>", "factor on the site's request rates", positive, 1)
    .option("--seed <n>", "seed for arrivals and stand-ins", positive, 1)
    .option("--cold", "start with all endpoints cold")
    .addOption(
        new Option("--fault <name...>", "additional faults to inject").choices(Object.keys(faultPlans)).default(
            [],
            "none",
        ),
    )
    .option("--burst <factor>", "factor on the request rates from 30 % to 40 % of the duration", positive, 1)
    .option("--no-changes", "keep all data centres in service")
    .option("--name <name>", "name of the result files", "attainment")
    .action(attainment);

/** Experiments in separate files; each exports `run(args)`. */
for (const name of ["capacity", "entry", "endpoints", "replication", "requests"]) {
    program.command(name)
        .description(`the experiment of bench/${name}.ts`)
        .allowUnknownOption()
        .allowExcessArguments()
        .helpOption(false)
        .action(async (_options: unknown, command: Command) => {
            const experiment = await import(`./${name}.js`) as { run(args: readonly string[]): Promise<void>; };
            await experiment.run(command.args);
        });
}

async function attainment(options: AttainmentArguments): Promise<void> {
    const runs: RunResult[] = [];
    for (const site of options.site) {
        for (const variant of options.variant) {
            progress(`${site}, ${variant}: ${options.seconds} s, load ${options.load}, seed ${options.seed}`);
            const { seed, seconds, load, changes, fault: faults, burst } = options;
            const folder = join(results, "tmp");
            const cold = options.cold ?? false;
            const run = await runAttainment({
                site,
                variant,
                seed,
                seconds,
                load,
                cold,
                changes,
                faults,
                burst,
                folder,
                progress,
            });
            process.stdout.write(formatRun(run));
            runs.push(run);
        }
    }
    const result: ExperimentResult = {
        name: options.name,
        command: `npm run bench -- ${process.argv.slice(2).join(" ")}`,
        endedAt: new Date().toISOString(),
        node: process.version,
        cores: cpus().length,
        runs,
    };
    mkdirSync(results, { recursive: true });
    writeFileSync(join(results, `${options.name}.json`), JSON.stringify(result));
    writeFileSync(join(results, `${options.name}.html`), renderReport(result));
    progress(`results written to bench/results/${options.name}.json and .html`);
}

await program.parseAsync();
