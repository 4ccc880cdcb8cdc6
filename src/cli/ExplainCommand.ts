/** `fireflykeel explain REQUEST LOG...`: prints the story of one request from the logs of all processes. */
import type { Command } from "commander";
import { explainRequest, type StoryEntry } from "./Explain.js";
import { fieldsOf, readTimeline, wallMsOf } from "./Timeline.js";
import { type CommandContext, ExitCode } from "./Types.js";

const everything = { requests: [], hosts: [], endpoints: [], events: [] };
const marks: Readonly<Record<StoryEntry["part"], string>> = { own: " ", belief: "~", trouble: "!" };

export function addExplainCommand(program: Command, context: CommandContext): void {
    program.command("explain")
        .description("print what happened to one request, with what its hosts believed (~) and troubles it met (!)")
        .argument("<request>", "id of the request")
        .argument("<log...>", "logs of all processes, one JSON object a line")
        .action((request: string, logs: readonly string[]) => printStory(request, logs, context));
}

async function printStory(request: string, logs: readonly string[], context: CommandContext): Promise<void> {
    const read = await readTimeline(logs, everything);
    read.caseOf({
        Left: err => {
            context.output.err(`${err.file}: ${err.message}`);
            context.setExit(ExitCode.Failed);
        },
        Right: ({ entries, unreadable }) => {
            const story = explainRequest(entries, request);
            const startMs = story.find(one => one.part === "own");
            for (const one of story) {
                const offsetMs = wallMsOf(one.entry) - (startMs === undefined ? 0 : wallMsOf(startMs.entry));
                const fields = JSON.stringify(fieldsOf(one.entry));
                const place = `${String(offsetMs).padStart(7)} ms  ${one.entry.host.padEnd(12)}`;
                context.output.out(`${marks[one.part]} ${place} ${one.entry.name} ${fields}`);
            }
            if (story.length === 0) {
                context.output.err(`no line of these logs names request ${request}`);
                context.setExit(ExitCode.Failed);
            }
            if (unreadable.length > 0) {
                context.output.err(`${unreadable.length} lines are no events and were left out`);
            }
        },
    });
}
