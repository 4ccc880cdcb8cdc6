/** `fireflykeel explain REQUEST LOG...`: prints what happened to one request, from the logs of all processes. */
import type { Command } from "commander";
import { type ExplainedEntry, explainRequest } from "./Explain.js";
import { fieldsOf, readTimeline, wallMsOf } from "./Timeline.js";
import { type CommandContext, ExitCode } from "./Types.js";

const noFilter = { requests: [], hosts: [], endpoints: [], events: [] };
const partMarks: Readonly<Record<ExplainedEntry["part"], string>> = { own: " ", belief: "~", trouble: "!" };

export function addExplainCommand(program: Command, context: CommandContext): void {
    program.command("explain")
        .description("print what happened to one request, with state known to its hosts (~) and problems (!)")
        .argument("<request>", "id of the request")
        .argument("<log...>", "logs of all processes, one JSON object per line")
        .action((request: string, logs: readonly string[]) => printExplanation(request, logs, context));
}

async function printExplanation(request: string, logs: readonly string[], context: CommandContext): Promise<void> {
    const read = await readTimeline(logs, noFilter);
    read.caseOf({
        Left: err => {
            context.output.err(`${err.file}: ${err.message}`);
            context.setExit(ExitCode.Failed);
        },
        Right: ({ entries, unreadable }) => {
            const explained = explainRequest(entries, request);
            const firstOwn = explained.find(one => one.part === "own");
            for (const one of explained) {
                const offsetMs = wallMsOf(one.entry) - (firstOwn === undefined ? 0 : wallMsOf(firstOwn.entry));
                const fields = JSON.stringify(fieldsOf(one.entry));
                const place = `${String(offsetMs).padStart(7)} ms  ${one.entry.host.padEnd(12)}`;
                context.output.out(`${partMarks[one.part]} ${place} ${one.entry.name} ${fields}`);
            }
            if (explained.length === 0) {
                context.output.err(`no event in these logs names request ${request}`);
                context.setExit(ExitCode.Failed);
            }
            if (unreadable.length > 0) {
                context.output.err(`${unreadable.length} lines are not valid events and were skipped`);
            }
        },
    });
}
