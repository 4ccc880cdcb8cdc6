/** `fireflykeel jobs list|show|cancel`. */
import type { Command } from "commander";
import { operatorClient, type OperatorOptions, printReply, withOperatorOptions } from "./OperatorCommand.js";
import type { CommandContext } from "./Types.js";

export function addJobCommands(program: Command, context: CommandContext): void {
    const jobs = program.command("jobs").description("long work: list, show and cancel jobs");
    withOperatorOptions(jobs.command("list").description("list jobs"))
        .option("--workspace <id>", "only this workspace's")
        .action(async (options: OperatorOptions & { readonly workspace?: string; }) => {
            const client = operatorClient(options, context);
            const query = options.workspace === undefined ? "" : `?workspace=${encodeURIComponent(options.workspace)}`;
            if (client !== undefined) {
                printReply(await client.get(`/v1/operator/jobs${query}`), context);
            }
        });
    withOperatorOptions(jobs.command("show <job>").description("show one job with its stage results"))
        .action(async (job: string, options: OperatorOptions) => {
            const client = operatorClient(options, context);
            if (client !== undefined) {
                printReply(await client.get(`/v1/operator/jobs/show?job=${encodeURIComponent(job)}`), context);
            }
        });
    withOperatorOptions(jobs.command("cancel <job>").description("cancel a job; safe to send again"))
        .action(async (job: string, options: OperatorOptions) => {
            const client = operatorClient(options, context);
            if (client !== undefined) {
                printReply(await client.post("/v1/operator/jobs/cancel", { job }), context);
            }
        });
}
