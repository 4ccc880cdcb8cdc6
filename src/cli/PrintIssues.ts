/** Prints the faults of a configuration, one a line with file, line and path. */
import type { ConfigError } from "../config/Types.js";
import { type CommandContext, ExitCode } from "./Types.js";

/** Prints the faults and sets the exit code of a command whose answer is no. */
export function printIssues(err: ConfigError, context: CommandContext): void {
    for (const issue of err.issues) {
        context.output.err(`${issue.file}:${issue.line}: ${issue.path}: ${issue.message}`);
    }
    context.setExit(ExitCode.Failed);
}
