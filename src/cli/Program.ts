/** The command line: builds the commander program, and maps its errors to exit codes. */
import { Command, CommanderError } from "commander";
import { addConfigCommands } from "./ConfigCommands.js";
import { addControlCommands } from "./ControlCommands.js";
import { addDaemonCommands } from "./DaemonCommands.js";
import type { PlatformDocuments } from "./DocumentCommand.js";
import { addExplainCommand } from "./ExplainCommand.js";
import { addJobCommands } from "./JobCommands.js";
import { addTimelineCommand } from "./TimelineCommand.js";
import { type CommandContext, ExitCode, type Output } from "./Types.js";

const exitHelp = `
Exit codes: 0 done; 1 refused (invalid, conflict, not found); 2 invalid command line;
3 no host or no quorum reached, nothing was changed; 4 outcome unknown; 5 a stop left work unfinished;
6 a checked configuration has warnings only.`;

/** Runs one command line and returns its exit code. */
export async function runProgram(
    argv: readonly string[],
    output: Output,
    platform?: PlatformDocuments,
): Promise<number> {
    let exitCode: number = ExitCode.Ok;
    const context: CommandContext = {
        output,
        platform,
        setExit: code => {
            exitCode = code;
        },
    };
    const program = buildProgram(context);
    try {
        await program.parseAsync([...argv]);
        return exitCode;
    }
    catch (err) {
        if (err instanceof CommanderError) {
            return err.exitCode === 0 ? ExitCode.Ok : ExitCode.Usage;
        }
        throw err;
    }
}

function buildProgram(context: CommandContext): Command {
    const program = new Command("fireflykeel")
        .description("Serves multi-stage model pipelines under one deadline.")
        .addHelpText("after", exitHelp)
        .exitOverride()
        .configureOutput({
            writeOut: text => context.output.out(text.trimEnd()),
            writeErr: text => context.output.err(text.trimEnd()),
        });
    addDaemonCommands(program, context);
    addConfigCommands(program, context);
    addControlCommands(program, context);
    addJobCommands(program, context);
    addTimelineCommand(program, context);
    addExplainCommand(program, context);
    for (const command of program.commands) {
        inherit(program, command);
    }
    return program;
}

/** Lets subcommands inherit the program's settings: help text with exit codes, and no exit of the process. */
function inherit(parent: Command, command: Command): void {
    command.copyInheritedSettings(parent).addHelpText("after", exitHelp);
    for (const child of command.commands) {
        inherit(command, child);
    }
}
