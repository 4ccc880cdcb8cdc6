/**
 * Reads and checks configuration: base and overlays are parsed, merged, and checked by the schema and by
 * {@link checkSettings}. Each fault names file, line and path.
 */
import { readFileSync } from "node:fs";
import { isDeepStrictEqual } from "node:util";
import { Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import { checkSettings } from "./Checks.js";
import { configError, formatPath, type ParsedDocument, parseDocument } from "./Document.js";
import { type DocumentPath, idleRemovals, isDocumentMap, mergeDocuments } from "./Merge.js";
import { type Settings, settingsSchema } from "./Schema.js";
import type { ConfigError, ConfigIssue } from "./Types.js";

export { parseDocument } from "./Document.js";
export { mergeDocuments } from "./Merge.js";

/** Faults that are reported at once; the rest waits until these are mended. */
const maxIssues = 50;
/** Label of the base document among committed documents. */
const baseDocument = "base";
/** What every site must see alike, since it says who the hosts are. */
const sharedSections = ["name", "dataCentres", "hosts"] as const;

/** Reads the settings of one process from its base file and overlays, the later ones over the earlier. */
export function loadSettings(baseFile: string, overlayFiles: readonly string[]): Either<ConfigError, Settings> {
    return combine([baseFile, ...overlayFiles].map(readDocument))
        .chain(documents => buildSettings(documents));
}

/**
 * Checks the documents that are to be committed, as YAML texts: the base, and overlays by the site's name, which is
 * a data centre's. Gives the settings of each data centre; one without an overlay has the base's.
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
        const foreign = [baseParsed, ...overlaysParsed].flatMap(document => foreignSections(document));
        const strangers = overlaysParsed.flatMap(overlay => strangerIssues(baseParsed, overlay));
        if (foreign.length + strangers.length > 0) {
            return Left(configError([...foreign, ...strangers]));
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
        const differing = overlays.flatMap(overlay => sharedIssues(base, overlay));
        return differing.length > 0 ? Left(configError(differing)) : Right(Object.fromEntries(entries));
    });
}

/** Sections that belong to one process are no part of a committed document. */
function foreignSections(document: ParsedDocument): ConfigIssue[] {
    if (!isDocumentMap(document.value) || !Object.hasOwn(document.value, "daemon")) {
        return [];
    }
    return [issueIn(document, ["daemon"], "belongs to one process, and not to a document for all")];
}

function strangerIssues(base: ParsedDocument, overlay: ParsedDocument): ConfigIssue[] {
    const known = dataCentresOf(base).includes(overlay.file);
    return known ? [] : [issueIn(overlay, [], `the base has no data centre "${overlay.file}"`)];
}

function dataCentresOf(base: ParsedDocument): string[] {
    const section = isDocumentMap(base.value) ? base.value["dataCentres"] : undefined;
    return isDocumentMap(section) ? Object.keys(section) : [];
}

/** An overlay may repeat what all sites share, but not change it. */
function sharedIssues(base: ParsedDocument, overlay: ParsedDocument): ConfigIssue[] {
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

/** Merges the documents, the first being the base, and checks the result. */
function buildSettings(documents: readonly ParsedDocument[]): Either<ConfigError, Settings> {
    const [base, ...overlays] = documents;
    let merged = base?.value;
    const idle: ConfigIssue[] = [];
    for (const overlay of overlays) {
        const paths = idleRemovals(merged, overlay.value);
        idle.push(...paths.map(path => issueIn(overlay, path, "null removes a key, but there is none")));
        merged = mergeDocuments(merged, overlay.value);
    }
    const checked = settingsSchema.safeParse(merged);
    if (!checked.success) {
        const faults = checked.error.issues.flatMap(faultsOf).map(fault =>
            locate(documents, fault.path, fault.message)
        );
        return Left(configError([...idle, ...faults].slice(0, maxIssues)));
    }
    const settings = checked.data as unknown as Settings;
    const faults = checkSettings(settings).map(fault => locate(documents, fault.path, fault.message));
    const issues = [...idle, ...faults];
    return issues.length > 0 ? Left(configError(issues.slice(0, maxIssues))) : Right(settings);
}

/** Unknown keys are named one by one, each with its own path. */
function faultsOf(issue: z.core.$ZodIssue): { readonly path: DocumentPath; readonly message: string; }[] {
    const path = issue.path.map(step => typeof step === "number" ? step : String(step));
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({ path: [...path, key], message: "unknown key" }));
    }
    if (issue.code === "invalid_key") {
        return [{ path, message: `key ${issue.issues.map(inner => inner.message).join(", ")}` }];
    }
    return [{ path, message: issue.message }];
}

/** Points at the last document that decides the value, or else at the one that holds most of the path. */
function locate(documents: readonly ParsedDocument[], path: DocumentPath, message: string): ConfigIssue {
    const depths = documents.map(document => document.depthOf(path));
    const deciding = documents.findLast(document => document.decides(path));
    const best = deciding ?? documents[depths.lastIndexOf(Math.max(...depths))];
    return best === undefined ? { file: "", line: 0, path: formatPath(path), message } : issueIn(best, path, message);
}

function issueIn(document: ParsedDocument, path: DocumentPath, message: string): ConfigIssue {
    return { file: document.file, line: document.lineOf(path), path: formatPath(path), message };
}

/** All values, or the issues of every fault together. */
function combine<T>(results: readonly Either<ConfigError, T>[]): Either<ConfigError, T[]> {
    const issues = Either.lefts([...results]).flatMap(err => err.issues);
    const unique = issues.filter((issue, index) =>
        issues.findIndex(other => isDeepStrictEqual(other, issue)) === index
    );
    return unique.length > 0 ? Left(configError(unique.slice(0, maxIssues))) : Right(Either.rights([...results]));
}
