/** `fireflykeel control status|add|remove|replace`: the hosts that keep replicas of the durable state. */
import type { Command } from "commander";
import { parseHostId } from "../common/Ids.js";
import { recoverGroups } from "../daemon/RecoverGroups.js";
import { askHost, type OperatorOptions, tellHost, withOperatorOptions } from "./OperatorCommand.js";
import { type CommandContext, ExitCode } from "./Types.js";

interface GroupOptions extends OperatorOptions {
    readonly group: string;
}

export function addControlCommands(program: Command, context: CommandContext): void {
    const control = program.command("control").description("the hosts that keep replicas of the durable state");
    withOperatorOptions(control.command("status").description("print each group's members, leader and progress"))
        .action((options: OperatorOptions) => askHost("/v1/operator/control/status", options, context));
    const change = (name: string, text: string, build: (host: string, by: string) => unknown) => {
        withOperatorOptions(control.command(name))
            .description(`${text}; safe to send again`)
            .option("--group <name>", "config or records; both, one after the other, by default", "all")
            .action(async (...args: readonly unknown[]) => {
                const hosts = args.filter((arg): arg is string => typeof arg === "string");
                const options = args[hosts.length] as GroupOptions;
                const [host = "", by = ""] = hosts;
                const body = { group: options.group, change: build(host, by) };
                await tellHost("/v1/operator/control/change", body, options, context);
            });
    };
    addRecover(control, context);
    change("add <host>", "add a voter once it has caught up", host => ({ kind: "add", host }));
    change("remove <host>", "remove a voter", host => ({ kind: "remove", host }));
    change("replace <host> <by>", "replace a voter by another host", (host, by) => ({ kind: "replace", host, by }));
}

interface RecoverOptions {
    readonly dataDir: string;
    readonly host: string;
    readonly acceptLoss?: boolean;
}

/** Works on the files of a stopped daemon, unlike the other commands. */
function addRecover(control: Command, context: CommandContext): void {
    control.command("recover")
        .description("last resort after the disks of a majority are lost: a stopped host's replicas go on alone")
        .requiredOption("--data-dir <dir>", "data folder of the surviving host, whose daemon is stopped")
        .requiredOption("--host <id>", "the surviving host")
        .option("--accept-loss", "changes that did not reach this host are lost for good")
        .action(async (options: RecoverOptions) => {
            const host = parseHostId(options.host).toMaybe().extract();
            if (host === undefined || options.acceptLoss !== true) {
                context.output.err("name a valid --host, and add --accept-loss; see the page on repair first");
                context.setExit(ExitCode.Usage);
                return;
            }
            const recovered = await recoverGroups(options.dataDir, host);
            recovered.caseOf({
                Left: message => {
                    context.output.err(message);
                    context.setExit(ExitCode.Failed);
                },
                Right: lines => lines.forEach(line => context.output.out(line)),
            });
        });
}
