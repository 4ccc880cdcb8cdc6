/** Writes the report of a check as text, one line for each finding and change, or as JSON. */
import type { Change, CheckReport, Finding } from "./Types.js";

/** The lines of a report on a file. */
export function reportLines(file: string, report: CheckReport): readonly string[] {
    const { version, versionInForce, findings, changes } = report;
    const errors = findings.filter(one => one.severity === "error").length;
    const verdict = errors > 0 ? "not usable" : findings.length > 0 ? "usable, with warnings" : "sound";
    const counts = `${errors} errors, ${findings.length - errors} warnings`;
    return [
        ...findings.map(one => `${file}: ${lineOfFinding(one)}`),
        ...(changes === undefined ? [] : [
            `compared with version ${versionInForce}: ${changes.length} changes`,
            ...changes.map(lineOfChange),
        ]),
        `${file}: ${version === undefined ? "" : `version ${version} is `}${verdict}: ${counts}`,
    ];
}

/** The report as JSON, with the name of the file. */
export function reportJson(file: string, report: CheckReport): string {
    return JSON.stringify({ file, ...report }, undefined, 2);
}

function lineOfFinding({ severity, code, subject, message }: Finding): string {
    return `${severity} ${code}: ${subject === "" ? "" : `${subject}: `}${message}`;
}

function lineOfChange({ kind, subject, field, before, after }: Change): string {
    return field === "" ? `  ${kind}: ${subject}` : `  ${subject}: ${field}: ${before ?? "none"} -> ${after ?? "none"}`;
}
