/** `fireflykeel config check|render|apply|show|log|status` and `fireflykeel dc out|in`. */
import { type Command, Option } from "commander";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { Either } from "purify-ts";
import { stringify } from "yaml";
import { checkDocuments, loadSettings } from "../config/Loader.js";
import type { ConfigError } from "../config/Types.js";
import {
    checkPlatformDocument,
    type DocumentCheckOptions,
    isPlatformDocument,
    reportFormats,
} from "./DocumentCommand.js";
import { getFromHost, type OperatorOptions, postToHost, withOperatorOptions } from "./OperatorCommand.js";
import { printIssues } from "./PrintIssues.js";
import { type CommandContext, ExitCode } from "./Types.js";

const defaultTimeoutMs = "5000";

export function addConfigCommands(program: Command, context: CommandContext): void {
    const config = program.command("config").description("the configuration: base file and one overlay for each site");
    addFileCommands(config, context);
    addGroupCommands(config, context);
    const dc = program.command("dc").description("take a data centre out of service and bring it back");
    for (const [verb, out] of [["out", true], ["in", false]] as const) {
        withOperatorOptions(dc.command(`${verb} <data-centre>`))
            .description(out ? "stop sending new work to the data centre" : "send work to the data centre again")
            .option("--id <change>", "id of the change, to send it again after a lost reply")
            .action(async (dataCentre: string, options: OperatorOptions & { readonly id?: string; }) => {
                const change = { kind: "set-data-centre", id: changeId(options.id, context), dataCentre, out };
                await postToHost("/v1/operator/config/change", change, options, context);
            });
    }
}

function addFileCommands(config: Command, context: CommandContext): void {
    config.command("check <base> [overlays...]")
        .description(
            "check a base file, and each overlay merged over it (an overlay's file name is its site), "
                + "or one document of the platform (.json)",
        )
        .option("--against <file>", "document of the platform to compare with")
        .option("--against-host <ip:port>", "control host whose version in force to compare with")
        .addOption(
            new Option("--format <format>", "of the report on a document").choices(reportFormats).default("text"),
        )
        .option("--timeout-ms <ms>", "timeout for the control host's reply, in milliseconds", defaultTimeoutMs)
        .action(async (base: string, overlays: string[], options: DocumentCheckOptions) => {
            if (isPlatformDocument(base)) {
                await checkDocumentFile(base, overlays, options, context);
                return;
            }
            const checked = checkFiles(base, overlays);
            checked.caseOf({
                Left: err => printIssues(err, context),
                Right: sites => context.output.out(`valid: ${sites.length} data centres`),
            });
        });
    config.command("render <base> [overlays...]")
        .description("print the settings that result from the base and these overlays")
        .action((base: string, overlays: string[]) => {
            loadSettings(base, overlays).caseOf({
                Left: err => printIssues(err, context),
                Right: settings => context.output.out(stringify(settings).trimEnd()),
            });
        });
}

async function checkDocumentFile(
    file: string,
    others: readonly string[],
    options: DocumentCheckOptions,
    context: CommandContext,
): Promise<void> {
    const { platform, output, setExit } = context;
    if (platform === undefined || others.length > 0) {
        output.err(
            others.length > 0 ? "a document of the platform has no overlays" : "no platform's documents are known",
        );
        setExit(ExitCode.Usage);
        return;
    }
    await checkPlatformDocument(file, options, platform, context);
}

function addGroupCommands(config: Command, context: CommandContext): void {
    interface ApplyOptions extends OperatorOptions {
        readonly document: string;
        readonly baseVersion: string;
        readonly id?: string;
        readonly wait?: boolean;
    }
    withOperatorOptions(config.command("apply <file>"))
        .description("commit a document; safe to repeat with the same --id")
        .requiredOption("--document <name>", "base, or the name of a site")
        .requiredOption("--base-version <n>", "version of the document that the change is based on; 0 for a new one")
        .option("--id <change>", "id of the change, to send it again after a lost reply")
        .option("--wait", "wait until the change is in force on all live hosts")
        .action(async (file: string, options: ApplyOptions) => {
            const text = readText(file, context);
            if (text === undefined) {
                return;
            }
            const change = {
                kind: "put-document",
                id: changeId(options.id, context),
                document: options.document,
                baseVersion: Number(options.baseVersion),
                text,
            };
            const path = options.wait === true ? "/v1/operator/config/change?wait=true" : "/v1/operator/config/change";
            await postToHost(path, change, options, context);
        });
    withOperatorOptions(config.command("show"))
        .description("print the committed documents, or the settings in force for a site")
        .option("--site <name>", "print the merged settings of this site")
        .action(async (options: OperatorOptions & { readonly site?: string; }) => {
            const query = options.site === undefined ? "" : `?site=${encodeURIComponent(options.site)}`;
            await getFromHost(`/v1/operator/config/show${query}`, options, context);
        });
    withOperatorOptions(config.command("log").description("print the latest changes"))
        .action((options: OperatorOptions) => getFromHost("/v1/operator/config/log", options, context));
    withOperatorOptions(config.command("status").description("print the version in force on each host"))
        .action((options: OperatorOptions) => getFromHost("/v1/operator/config/status", options, context));
}

/** The given id, or a new one that is printed first, so that the change can be sent again after a lost reply. */
function changeId(givenId: string | undefined, context: CommandContext): string {
    if (givenId !== undefined) {
        return givenId;
    }
    const id = `change-${randomUUID()}`;
    context.output.err(`change id: ${id}`);
    return id;
}

function readText(file: string, context: CommandContext): string | undefined {
    return Either.encase(() => readFileSync(file, "utf8")).caseOf<string | undefined>({
        Left: err => {
            context.output.err(`${file}: can't be read: ${err.message}`);
            context.setExit(ExitCode.Failed);
            return undefined;
        },
        Right: text => text,
    });
}

/** Checks the documents as for a commit. Returns the names of the data centres. */
function checkFiles(base: string, overlays: readonly string[]): Either<ConfigError, readonly string[]> {
    const read = (file: string): Either<ConfigError, string> =>
        Either.encase(() => readFileSync(file, "utf8")).mapLeft(err => ({
            kind: "invalid-config",
            issues: [{ file, line: 0, path: "", message: `can't be read: ${err.message}` }],
        }));
    const siteOf = (file: string) => basename(file).replace(/\.ya?ml$/, "");
    const files = new Map([["base", base], ...overlays.map(file => [siteOf(file), file] as const)]);
    const texts = Either.sequence(overlays.map(file => read(file).map(text => [siteOf(file), text] as const)));
    return read(base)
        .chain(text => texts.chain(entries => checkDocuments(text, Object.fromEntries(entries))))
        .map(sites => Object.keys(sites))
        .mapLeft(err => ({
            ...err,
            issues: err.issues.map(issue => ({ ...issue, file: files.get(issue.file) ?? issue.file })),
        }));
}
