/**
 * Loads and checks configuration: base and overlays are parsed, merged, and checked by the schema and by
 * {@link checkSettings}. Each issue names its file, line and path.
 */
import { readFileSync } from "node:fs";
import { isDeepStrictEqual } from "node:util";
import { Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import { checkSettings } from "./Checks.js";
import { configError, formatPath, type ParsedDocument, parseDocument } from "./Document.js";
import { type DocumentPath, ineffectiveRemovals, isDocumentMap, mergeDocuments } from "./Merge.js";
import { type Settings, settingsSchema } from "./Schema.js";
import type { ConfigError, ConfigIssue } from "./Types.js";

export { parseDocument } from "./Document.js";
export { mergeDocuments } from "./Merge.js";

/** Issues reported at once; further ones are reported after these are fixed. */
const maxIssues = 50;
/** Label of the base document among committed documents. */
const baseDocument = "base";
/** Sections that must be the same on every site, since they define the hosts. */
const sharedSections = ["name", "dataCentres", "hosts"] as const;

/** Loads the settings of one process from its base file and overlays; later overlays take precedence. */
export function loadSettings(baseFile: string, overlayFiles: readonly string[]): Either<ConfigError, Settings> {
    return combine([baseFile, ...overlayFiles].map(readDocument))
        .chain(documents => buildSettings(documents));
}

/**
 * Checks documents before they are committed, as YAML texts: the base, and overlays by site name (the id of a data
 * centre). Returns the settings of each data centre; one without an overlay has the settings of the base.
 */
export function checkDocuments(
    base: string,
    overlays: Readonly<Record<string, string>>,
): Either<ConfigError, Readonly<Record<string, Settings>>> {
    const parsed = combine([
        parseDocument(baseDocument, base),
        ...Object.entries(overlays).map(([site, text]) => parseDocument(site, text)),
    ]);
    return parsed.chain(([baseParsed, ...overlaysParsed]) => {
        if (baseParsed === undefined) {
            return Left(configError([]));
        }
        const processSections = [baseParsed, ...overlaysParsed].flatMap(document => processSectionIssues(document));
        const unknownSites = overlaysParsed.flatMap(overlay => unknownSiteIssues(baseParsed, overlay));
        if (processSections.length + unknownSites.length > 0) {
            return Left(configError([...processSections, ...unknownSites]));
        }
        return buildSites(baseParsed, overlaysParsed);
    });
}

function buildSites(
    base: ParsedDocument,
    overlays: readonly ParsedDocument[],
): Either<ConfigError, Readonly<Record<string, Settings>>> {
    const sites = dataCentresOf(base);
    if (sites.length === 0) {
        return buildSettings([base]).map(() => ({}));
    }
    const built = sites.map(site => {
        const overlay = overlays.find(one => one.file === site);
        return buildSettings(overlay === undefined ? [base] : [base, overlay]).map(settings =>
            [site, settings] as const
        );
    });
    return combine(built).chain(entries => {
        const differingIssues = overlays.flatMap(overlay => sharedSectionIssues(base, overlay));
        return differingIssues.length > 0 ? Left(configError(differingIssues)) : Right(Object.fromEntries(entries));
    });
}

/** A section that belongs to one process is not allowed in a committed document. */
function processSectionIssues(document: ParsedDocument): ConfigIssue[] {
    if (!isDocumentMap(document.value) || !Object.hasOwn(document.value, "daemon")) {
        return [];
    }
    return [issueIn(document, ["daemon"], "belongs to one process and is not allowed in a committed document")];
}

function unknownSiteIssues(base: ParsedDocument, overlay: ParsedDocument): ConfigIssue[] {
    const known = dataCentresOf(base).includes(overlay.file);
    return known ? [] : [issueIn(overlay, [], `the base has no data centre "${overlay.file}"`)];
}

function dataCentresOf(base: ParsedDocument): string[] {
    const section = isDocumentMap(base.value) ? base.value["dataCentres"] : undefined;
    return isDocumentMap(section) ? Object.keys(section) : [];
}

/** An overlay may repeat the sections that all sites share, but not change them. */
function sharedSectionIssues(base: ParsedDocument, overlay: ParsedDocument): ConfigIssue[] {
    const merged = mergeDocuments(base.value, overlay.value);
    return sharedSections
        .filter(section => !isDeepStrictEqual(sectionOf(base.value, section), sectionOf(merged, section)))
        .map(section => issueIn(overlay, [section], "must be the same on every site; change it in the base"));
}

function sectionOf(value: unknown, section: string): unknown {
    return isDocumentMap(value) ? value[section] : undefined;
}

function readDocument(file: string): Either<ConfigError, ParsedDocument> {
    return Either.encase(() => readFileSync(file, "utf8"))
        .mapLeft(err => configError([{ file, line: 0, path: "", message: `can't be read: ${err.message}` }]))
        .chain(text => parseDocument(file, text));
}

/** Merges the documents, of which the first is the base, and checks the result. */
function buildSettings(documents: readonly ParsedDocument[]): Either<ConfigError, Settings> {
    const [base, ...overlays] = documents;
    let merged = base?.value;
    const removalIssues: ConfigIssue[] = [];
    for (const overlay of overlays) {
        const paths = ineffectiveRemovals(merged, overlay.value);
        removalIssues.push(...paths.map(path => issueIn(overlay, path, "null removes a key, but the key is not set")));
        merged = mergeDocuments(merged, overlay.value);
    }
    const checked = settingsSchema.safeParse(merged);
    if (!checked.success) {
        const faults = checked.error.issues.flatMap(settingsIssuesOf).map(fault =>
            toConfigIssue(documents, fault.path, fault.message)
        );
        return Left(configError([...removalIssues, ...faults].slice(0, maxIssues)));
    }
    const settings = checked.data as unknown as Settings;
    const faults = checkSettings(settings).map(fault => toConfigIssue(documents, fault.path, fault.message));
    const issues = [...removalIssues, ...faults];
    return issues.length > 0 ? Left(configError(issues.slice(0, maxIssues))) : Right(settings);
}

/** Converts an issue of the schema; each unknown key gets an issue with its own path. */
function settingsIssuesOf(issue: z.core.$ZodIssue): { readonly path: DocumentPath; readonly message: string; }[] {
    const path = issue.path.map(step => typeof step === "number" ? step : String(step));
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({ path: [...path, key], message: "unknown key" }));
    }
    if (issue.code === "invalid_key") {
        return [{ path, message: `key ${issue.issues.map(inner => inner.message).join(", ")}` }];
    }
    return [{ path, message: issue.message }];
}

/** Locates an issue in the last document that determines the value, or else in the one that has most of the path. */
function toConfigIssue(documents: readonly ParsedDocument[], path: DocumentPath, message: string): ConfigIssue {
    const depths = documents.map(document => document.depthOf(path));
    const determining = documents.findLast(document => document.determines(path));
    const best = determining ?? documents[depths.lastIndexOf(Math.max(...depths))];
    return best === undefined ? { file: "", line: 0, path: formatPath(path), message } : issueIn(best, path, message);
}

function issueIn(document: ParsedDocument, path: DocumentPath, message: string): ConfigIssue {
    return { file: document.file, line: document.lineOf(path), path: formatPath(path), message };
}

/** All values, or the distinct issues of all errors. */
function combine<T>(results: readonly Either<ConfigError, T>[]): Either<ConfigError, T[]> {
    const issues = Either.lefts([...results]).flatMap(err => err.issues);
    const unique = issues.filter((issue, index) =>
        issues.findIndex(other => isDeepStrictEqual(other, issue)) === index
    );
    return unique.length > 0 ? Left(configError(unique.slice(0, maxIssues))) : Right(Either.rights([...results]));
}
