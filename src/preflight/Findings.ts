/** Builds the findings of the checks. */
import type { Route, Service } from "../fleet/Types.js";
import type { Finding, FindingCode, Severity } from "./Types.js";

export function finding(severity: Severity, code: FindingCode, subject: string, message: string): Finding {
    return { severity, code, subject, message };
}

export function subjectOf(entry: Route | Service): string {
    return `${"pathPrefix" in entry ? "route" : "service"} ${entry.id}`;
}
