/**
 * `fireflykeel config check FILE.json`: checks a configuration in the platform's format. The platform's adapter decodes
 * it, and reads the version in force from a control host.
 */
import { readFileSync } from "node:fs";
import { Either, Right } from "purify-ts";
import { checkDocument } from "../preflight/DocumentCheck.js";
import { reportJson, reportLines } from "../preflight/ReportText.js";
import type { CheckReport, DocumentInspector, InspectedDocument } from "../preflight/Types.js";
import { type CommandContext, ExitCode } from "./Types.js";

/** The platform's part of the command line. */
export interface PlatformDocuments extends DocumentInspector {
    /** Reads the configuration in force from a control host's address for operators; the error says why it can't. */
    readInForce(address: string, timeoutMs: number): Promise<Either<string, string>>;
}

export interface DocumentCheckOptions {
    readonly against?: string;
    readonly againstHost?: string;
    readonly format: string;
    readonly timeoutMs: string;
}

export type ReportFormat = "text" | "json";
export const reportFormats: readonly ReportFormat[] = ["text", "json"];

/** A document could not be read or decoded, so that nothing was checked. */
interface InputFault {
    readonly message: string;
    readonly exit: ExitCode;
}

/** True for a file in the platform's format, as opposed to YAML. */
export function isPlatformDocument(file: string): boolean {
    return file.endsWith(".json");
}

/** Checks a document, prints the report and sets the exit code. */
export async function checkPlatformDocument(
    file: string,
    options: DocumentCheckOptions,
    platform: PlatformDocuments,
    { output, setExit }: CommandContext,
): Promise<void> {
    const text = readInput(file);
    const inForce = await textInForce(options, platform);
    const report = text.chain(document =>
        inForce.chain(old => old === undefined ? Right(undefined) : decodeInForce(old, platform)).map(old =>
            checkDocument(platform, document, old?.deployment)
        )
    );
    report.caseOf({
        Left: fault => {
            output.err(fault.message);
            setExit(fault.exit);
        },
        Right: checked => {
            const lines = options.format === "json" ? [reportJson(file, checked)] : reportLines(file, checked);
            lines.forEach(line => output.out(line));
            setExit(exitCodeOf(checked));
        },
    });
}

function exitCodeOf({ findings }: CheckReport): ExitCode {
    if (findings.some(one => one.severity === "error")) {
        return ExitCode.Failed;
    }
    return findings.length > 0 ? ExitCode.Warnings : ExitCode.Ok;
}

/** The configuration in force as text; undefined when there is nothing to compare with. */
async function textInForce(
    { against, againstHost, timeoutMs }: DocumentCheckOptions,
    platform: PlatformDocuments,
): Promise<Either<InputFault, string | undefined>> {
    if (against !== undefined) {
        return readInput(against);
    }
    if (againstHost === undefined) {
        return Right(undefined);
    }
    const read = await platform.readInForce(againstHost, Number(timeoutMs));
    return read.mapLeft(message => ({ message: `${againstHost}: ${message}`, exit: ExitCode.Unavailable }));
}

/** The version in force was checked before it was sent; its errors don't matter here. */
function decodeInForce(text: string, platform: PlatformDocuments): Either<InputFault, InspectedDocument> {
    return platform.inspect(text).mapLeft(faults => ({
        message: `the version in force can't be read: ${faults.map(one => one.message).join("; ")}`,
        exit: ExitCode.Failed,
    }));
}

function readInput(file: string): Either<InputFault, string> {
    return Either.encase(() => readFileSync(file, "utf8"))
        .mapLeft(err => ({ message: `${file}: can't be read: ${err.message}`, exit: ExitCode.Failed }));
}
