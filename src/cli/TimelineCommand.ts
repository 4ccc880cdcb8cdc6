/** `fireflykeel timeline LOG...`: prints a timeline of the events of all processes. */
import { type Command, Option } from "commander";
import { writeFileSync } from "node:fs";
import { readTimeline } from "./Timeline.js";
import { renderTimeline, type TimelineFormat } from "./TimelineView.js";
import { type CommandContext, ExitCode } from "./Types.js";

interface TimelineOptions {
    readonly request: readonly string[];
    readonly host: readonly string[];
    readonly endpoint: readonly string[];
    readonly event: readonly string[];
    readonly format: TimelineFormat;
    readonly output?: string;
}

export function addTimelineCommand(program: Command, context: CommandContext): void {
    const listOption = (flags: string, description: string) => new Option(flags, description).default([], "any");
    program.command("timeline")
        .description("print a timeline of the events of all processes, merged by hybrid logical clock")
        .argument("<log...>", "logs of daemons, one JSON object per line")
        .addOption(listOption("-r, --request <id...>", "only events of these requests"))
        .addOption(listOption("-H, --host <id...>", "only events of these hosts"))
        .addOption(listOption("-e, --endpoint <id...>", "only events of these endpoints"))
        .addOption(listOption("-E, --event <event...>", "only these events, by number or name"))
        .addOption(
            new Option("-f, --format <format>", "format of the timeline").choices(["text", "json", "html"]).default(
                "text",
            ),
        )
        .option("-o, --output <file>", "write to a file instead of standard output")
        .action((logs: readonly string[], options: TimelineOptions) => printTimeline(logs, options, context));
}

async function printTimeline(
    logs: readonly string[],
    options: TimelineOptions,
    context: CommandContext,
): Promise<void> {
    const filter = {
        requests: options.request,
        hosts: options.host,
        endpoints: options.endpoint,
        events: options.event,
    };
    const read = await readTimeline(logs, filter);
    read.caseOf({
        Left: err => {
            context.output.err(`${err.file}: ${err.message}`);
            context.setExit(ExitCode.Failed);
        },
        Right: timeline => {
            const text = renderTimeline(timeline, options.format);
            if (options.output === undefined) {
                context.output.out(text.trimEnd());
            }
            else {
                writeFileSync(options.output, text);
            }
            for (const { file, line } of timeline.unreadable) {
                context.output.err(`${file}:${line}: not a valid event, skipped`);
            }
        },
    });
}
