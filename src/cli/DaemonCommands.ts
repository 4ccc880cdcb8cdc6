/** `fireflykeel serve|standin|demo|status|drain`. */
import type { Command } from "commander";
import { loadSettings } from "../config/Loader.js";
import type { Settings } from "../config/Schema.js";
import { askHost, type OperatorOptions, tellHost, withOperatorOptions } from "./OperatorCommand.js";
import { printIssues } from "./PrintIssues.js";
import { type CommandContext, ExitCode } from "./Types.js";

interface ServeOptions {
    readonly config: string;
    readonly overlay: readonly string[];
    readonly host?: string;
    readonly dataDir?: string;
}

export function addDaemonCommands(program: Command, context: CommandContext): void {
    addServe(program, context);
    addStandIn(program, context);
    program.command("demo")
        .description("run a small site in this process, drive both users' pipelines through it, and show the result")
        .option("--requests <n>", "requests to send", "48")
        .option("--seed <n>", "seed of the arrivals", "1")
        .action(async (options: { readonly requests: string; readonly seed: string; }) => {
            const { runDemo } = await import("./Demo.js");
            const good = await runDemo(Number(options.requests), Number(options.seed), context.output.out);
            context.setExit(good ? ExitCode.Ok : ExitCode.Failed);
        });
    withOperatorOptions(program.command("status").description("print what a host knows and what its work costs"))
        .action((options: OperatorOptions) => askHost("/v1/operator/status", options, context));
    withOperatorOptions(program.command("drain").description("stop a host as planned, so that no request is cut"))
        .action((options: OperatorOptions) => tellHost("/v1/operator/drain", {}, options, context));
}

function addServe(program: Command, context: CommandContext): void {
    program.command("serve")
        .description("run one daemon: an entry host, and a control host where the settings give it a data folder")
        .requiredOption("--config <file>", "base file")
        .option("--overlay <file...>", "overlays, the later over the earlier", [])
        .option("--host <id>", "the host that this process is; goes before daemon.host")
        .option("--data-dir <dir>", "folder for durable state; goes before daemon.dataDir")
        .action(async (options: ServeOptions) => {
            const settings = settingsOf(options, context);
            if (settings === undefined) {
                return;
            }
            const { serveUntilSignal } = await import("../daemon/Serve.js");
            const result = await serveUntilSignal(settings, options.config, options.overlay, context.output.err);
            if (result === "invalid") {
                context.setExit(ExitCode.Failed);
            }
            else if (result === "work-left") {
                context.setExit(ExitCode.WorkLeft);
            }
        });
}

function addStandIn(program: Command, context: CommandContext): void {
    program.command("standin")
        .description("run stand-ins for the endpoints and the platform that a base file names, for trials and tests")
        .requiredOption("--config <file>", "base file")
        .option("--overlay <file...>", "overlays", [])
        .option("--only <endpoint...>", "only these endpoints, and no platform")
        .option("--warm", "start warm")
        .option("--seed <n>", "seed of the stand-ins", "1")
        .action(async (options: ServeOptions & StandInArguments) => {
            const settings = settingsOf(options, context);
            if (settings === undefined) {
                return;
            }
            const { runStandIns } = await import("../../standin/main.js");
            const running = await runStandIns(settings, {
                seed: Number(options.seed),
                startsCold: options.warm !== true,
                ...(options.only === undefined ? {} : { only: options.only, platform: false }),
            });
            context.output.out("stand-ins are running");
            await new Promise<void>(resolve => {
                process.once("SIGTERM", resolve);
                process.once("SIGINT", resolve);
            });
            running.dispose();
        });
}

interface StandInArguments {
    readonly only?: readonly string[];
    readonly warm?: boolean;
    readonly seed: string;
}

/** Loads the settings of one process; undefined, with the faults printed, when they are not valid. */
function settingsOf(options: ServeOptions, context: CommandContext): Settings | undefined {
    return loadSettings(options.config, options.overlay).caseOf<Settings | undefined>({
        Left: err => {
            printIssues(err, context);
            return undefined;
        },
        Right: settings => {
            const daemon = { dial: {}, ...settings.daemon, ...given(options) };
            return { ...settings, daemon } as Settings;
        },
    });
}

function given(options: ServeOptions): Readonly<Record<string, string>> {
    return {
        ...(options.host === undefined ? {} : { host: options.host }),
        ...(options.dataDir === undefined ? {} : { dataDir: options.dataDir }),
    };
}
