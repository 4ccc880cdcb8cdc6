/** `fireflykeel jobs list|show|cancel`. */
import type { Command } from "commander";
import { getFromHost, type OperatorOptions, postToHost, withOperatorOptions } from "./OperatorCommand.js";
import type { CommandContext } from "./Types.js";

interface ListOptions extends OperatorOptions {
    readonly workspace?: string;
}

export function addJobCommands(program: Command, context: CommandContext): void {
    const jobs = program.command("jobs").description("list, show and cancel long-running jobs");
    withOperatorOptions(jobs.command("list").description("list jobs"))
        .option("--workspace <id>", "only the jobs of this workspace")
        .action((options: ListOptions) => {
            const query = options.workspace === undefined ? "" : `?workspace=${encodeURIComponent(options.workspace)}`;
            return getFromHost(`/v1/operator/jobs${query}`, options, context);
        });
    withOperatorOptions(jobs.command("show <job>").description("show one job with its stage results"))
        .action((job: string, options: OperatorOptions) =>
            getFromHost(`/v1/operator/jobs/show?job=${encodeURIComponent(job)}`, options, context)
        );
    withOperatorOptions(jobs.command("cancel <job>").description("cancel a job; safe to repeat"))
        .action((job: string, options: OperatorOptions) =>
            postToHost("/v1/operator/jobs/cancel", { job }, options, context)
        );
}
