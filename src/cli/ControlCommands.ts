/** `fireflykeel control status|add|remove|replace`: the hosts that keep replicas of the durable state. */
import type { Command } from "commander";
import { operatorClient, type OperatorOptions, printReply, withOperatorOptions } from "./OperatorCommand.js";
import type { CommandContext } from "./Types.js";

interface GroupOptions extends OperatorOptions {
    readonly group: string;
}

export function addControlCommands(program: Command, context: CommandContext): void {
    const control = program.command("control").description("the hosts that keep replicas of the durable state");
    withOperatorOptions(control.command("status").description("print each group's members, leader and progress"))
        .action(async (options: OperatorOptions) => {
            const client = operatorClient(options, context);
            if (client !== undefined) {
                printReply(await client.get("/v1/operator/control/status"), context);
            }
        });
    const change = (name: string, text: string, build: (host: string, by: string) => unknown) => {
        withOperatorOptions(control.command(name))
            .description(`${text}; safe to send again`)
            .option("--group <name>", "config or records; both, one after the other, by default", "all")
            .action(async (...args: readonly unknown[]) => {
                const hosts = args.filter((arg): arg is string => typeof arg === "string");
                const options = args[hosts.length] as GroupOptions;
                const client = operatorClient(options, context);
                const [host = "", by = ""] = hosts;
                if (client !== undefined) {
                    const body = { group: options.group, change: build(host, by) };
                    printReply(await client.post("/v1/operator/control/change", body), context);
                }
            });
    };
    change("add <host>", "add a voter once it has caught up", host => ({ kind: "add", host }));
    change("remove <host>", "remove a voter", host => ({ kind: "remove", host }));
    change("replace <host> <by>", "replace a voter by another host", (host, by) => ({ kind: "replace", host, by }));
}
