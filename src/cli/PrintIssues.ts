/** Prints the issues of a configuration, one per line, with file, line and path. */
import type { ConfigError } from "../config/Types.js";
import { type CommandContext, ExitCode } from "./Types.js";

/** Prints the issues and sets the exit code to `Failed`. */
export function printIssues(err: ConfigError, context: CommandContext): void {
    for (const issue of err.issues) {
        context.output.err(`${issue.file}:${issue.line}: ${issue.path}: ${issue.message}`);
    }
    context.setExit(ExitCode.Failed);
}
