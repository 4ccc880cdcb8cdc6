/** `fireflykeel control status|add|remove|replace|recover`: the hosts that keep replicas of the durable state. */
import type { Command } from "commander";
import { parseHostId } from "../common/Ids.js";
import { recoverGroups } from "../daemon/RecoverGroups.js";
import { getFromHost, type OperatorOptions, postToHost, withOperatorOptions } from "./OperatorCommand.js";
import { type CommandContext, ExitCode } from "./Types.js";

interface GroupOptions extends OperatorOptions {
    readonly group: string;
}

export function addControlCommands(program: Command, context: CommandContext): void {
    const control = program.command("control").description("manage the hosts that keep replicas of the durable state");
    withOperatorOptions(control.command("status").description("print each group's members, leader and progress"))
        .action((options: OperatorOptions) => getFromHost("/v1/operator/control/status", options, context));
    const change = (name: string, text: string, build: (host: string, by: string) => unknown) => {
        withOperatorOptions(control.command(name))
            .description(`${text}; safe to repeat`)
            .option("--group <name>", "config or records; by default both, one after the other", "all")
            .action(async (...args: readonly unknown[]) => {
                const hosts = args.filter((arg): arg is string => typeof arg === "string");
                const options = args[hosts.length] as GroupOptions;
                const [host = "", by = ""] = hosts;
                const body = { group: options.group, change: build(host, by) };
                await postToHost("/v1/operator/control/change", body, options, context);
            });
    };
    addRecover(control, context);
    change("add <host>", "add a voter once it has caught up", host => ({ kind: "add", host }));
    change("remove <host>", "remove a voter", host => ({ kind: "remove", host }));
    change("replace <host> <by>", "replace a voter with another host", (host, by) => ({ kind: "replace", host, by }));
}

interface RecoverOptions {
    readonly dataDir: string;
    readonly host: string;
    readonly acceptLoss?: boolean;
}

/** Adds `recover`, which works on the files of a stopped daemon, unlike the other commands. */
function addRecover(control: Command, context: CommandContext): void {
    control.command("recover")
        .description("last resort when a majority has lost its disks: continue from one stopped host's replicas")
        .requiredOption("--data-dir <dir>", "data directory of the surviving host; its daemon must be stopped")
        .requiredOption("--host <id>", "the surviving host")
        .option("--accept-loss", "accept that changes that did not reach this host are lost permanently")
        .action(async (options: RecoverOptions) => {
            const host = parseHostId(options.host).toMaybe().extract();
            if (host === undefined || options.acceptLoss !== true) {
                context.output.err("give a valid --host, and add --accept-loss; read the page on repair first");
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
