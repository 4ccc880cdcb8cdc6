/** `fireflykeel serve|standin|demo|status|drain`. */
import type { Command } from "commander";
import { loadSettings } from "../config/Loader.js";
import type { Settings } from "../config/Schema.js";
import { getFromHost, type OperatorOptions, postToHost, withOperatorOptions } from "./OperatorCommand.js";
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
        .description("run a small site in this process, send requests to its pipelines, and print the results")
        .option("--requests <n>", "requests to send", "48")
        .option("--seed <n>", "seed of the arrivals", "1")
        .action(async (options: { readonly requests: string; readonly seed: string; }) => {
            const { runDemo } = await import("./Demo.js");
            const succeeded = await runDemo(Number(options.requests), Number(options.seed), context.output.out);
            context.setExit(succeeded ? ExitCode.Ok : ExitCode.Failed);
        });
    withOperatorOptions(program.command("status").description("print the state of a host and the cost of its work"))
        .action((options: OperatorOptions) => getFromHost("/v1/operator/status", options, context));
    withOperatorOptions(program.command("drain").description("stop a host gracefully, so that no request is cut off"))
        .action((options: OperatorOptions) => postToHost("/v1/operator/drain", {}, options, context));
}

function addServe(program: Command, context: CommandContext): void {
    program.command("serve")
        .description("run one daemon: an entry host, and a control host if the settings give it a data directory")
        .requiredOption("--config <file>", "base file")
        .option("--overlay <file...>", "overlays; later ones take precedence", [])
        .option("--host <id>", "id of the host that this process runs; overrides daemon.host")
        .option("--data-dir <dir>", "directory for durable state; overrides daemon.dataDir")
        .action(async (options: ServeOptions) => {
            const settings = loadProcessSettings(options, context);
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
        .description("run stand-ins for the endpoints and the platform of a base file, for trials and tests")
        .requiredOption("--config <file>", "base file")
        .option("--overlay <file...>", "overlays", [])
        .option("--only <endpoint...>", "run only these endpoints, and no platform")
        .option("--warm", "start the endpoints warm")
        .option("--seed <n>", "seed of the stand-ins", "1")
        .action(async (options: ServeOptions & StandInCommandOptions) => {
            const settings = loadProcessSettings(options, context);
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

interface StandInCommandOptions {
    readonly only?: readonly string[];
    readonly warm?: boolean;
    readonly seed: string;
}

/** Loads the settings of one process. Prints the issues and returns undefined when they are invalid. */
function loadProcessSettings(options: ServeOptions, context: CommandContext): Settings | undefined {
    return loadSettings(options.config, options.overlay).caseOf<Settings | undefined>({
        Left: err => {
            printIssues(err, context);
            return undefined;
        },
        Right: settings => {
            const daemon = { dial: {}, ...settings.daemon, ...overridesOf(options) };
            return { ...settings, daemon } as Settings;
        },
    });
}

function overridesOf(options: ServeOptions): Readonly<Record<string, string>> {
    return {
        ...(options.host === undefined ? {} : { host: options.host }),
        ...(options.dataDir === undefined ? {} : { dataDir: options.dataDir }),
    };
}
