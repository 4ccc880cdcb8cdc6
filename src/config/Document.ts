/** Parses a YAML document and keeps the line of each of its values, so that an issue can name its location. */
import { type Either, Left, Right } from "purify-ts";
import { type Alias, type Document, isMap, isScalar, isSeq, LineCounter, parseAllDocuments, visit } from "yaml";
import { type DocumentPath, isDocumentMap } from "./Merge.js";
import type { ConfigError, ConfigIssue } from "./Types.js";

/** Bound on the text of a document, in characters. */
const maxDocumentChars = 4 * 1024 * 1024;
/** Bound on the expansion of aliases, so that a small text can't produce a huge value. */
const maxAliasCount = 100;

export interface ParsedDocument {
    readonly file: string;
    /** The document as a plain value; always a map. */
    readonly value: unknown;
    /** The line of the value at a path, or of its nearest ancestor that exists. */
    lineOf(path: DocumentPath): number;
    /** Number of leading steps of the path that exist in the document. */
    depthOf(path: DocumentPath): number;
    /**
     * Whether this document alone determines the value at the path: the path exists here, or leads through a list here,
     * since a list replaces a list of an earlier document as a whole.
     */
    determines(path: DocumentPath): boolean;
}

/** Parses one document. `file` is only the label of its issues. */
export function parseDocument(file: string, text: string): Either<ConfigError, ParsedDocument> {
    if (text.length > maxDocumentChars) {
        return Left(
            configError([{ file, line: 0, path: "", message: `is longer than ${maxDocumentChars} characters` }]),
        );
    }
    const lines = new LineCounter();
    const documents = parseAllDocuments(text, { lineCounter: lines, prettyErrors: false, uniqueKeys: true });
    const [first, second] = Array.isArray(documents) ? documents : [];
    if (first === undefined) {
        return Left(configError([{ file, line: 1, path: "", message: "is empty" }]));
    }
    const issues = [...first.errors, ...first.warnings].map(problem => ({
        file,
        line: lines.linePos(problem.pos[0]).line,
        path: "",
        message: problem.message,
    }));
    if (second !== undefined) {
        const line = lines.linePos(second.range?.[0] ?? 0).line;
        issues.push({ file, line, path: "", message: "holds more than one document" });
    }
    issues.push(
        ...unresolvedAliases(first).map(alias => ({
            file,
            line: lines.linePos(alias.range?.[0] ?? 0).line,
            path: "",
            message: `alias "${alias.source}" has no anchor before it`,
        })),
    );
    if (issues.length > 0) {
        return Left(configError(issues));
    }
    return plainValue(first).caseOf<Either<ConfigError, ParsedDocument>>({
        Left: message => Left(configError([{ file, line: 1, path: "", message }])),
        Right: value => Right(new LocatedDocument(file, value, first, lines)),
    });
}

function unresolvedAliases(document: Document): Alias[] {
    const found: Alias[] = [];
    visit(document, {
        Alias: (_key, alias) => {
            if (alias.resolve(document) === undefined) {
                found.push(alias);
            }
        },
    });
    return found;
}

function plainValue(document: Document): Either<string, unknown> {
    try {
        const value: unknown = document.toJS({ maxAliasCount });
        return isDocumentMap(value) ? Right(value) : Left("must be a map of settings");
    }
    catch (err) {
        return Left(err instanceof Error ? err.message : String(err));
    }
}

export function configError(issues: readonly ConfigIssue[]): ConfigError {
    return { kind: "invalid-config", issues };
}

/** Formats a path as "pipelines.profile.stages[0].pool". */
export function formatPath(path: DocumentPath): string {
    return path.map(step => typeof step === "number" ? `[${step}]` : `.${step}`).join("").replace(/^\./, "");
}

interface Location {
    readonly offset: number;
    readonly depth: number;
    /** Whether the path leads through a list. */
    readonly inList: boolean;
}

class LocatedDocument implements ParsedDocument {
    public constructor(
        public readonly file: string,
        public readonly value: unknown,
        private readonly document: Document,
        private readonly lines: LineCounter,
    ) {}

    public lineOf(path: DocumentPath): number {
        return this.lines.linePos(this.locate(path).offset).line;
    }

    public depthOf(path: DocumentPath): number {
        return this.locate(path).depth;
    }

    public determines(path: DocumentPath): boolean {
        const { depth, inList } = this.locate(path);
        return inList || depth === path.length;
    }

    private locate(path: DocumentPath): Location {
        let node: unknown = this.document.contents;
        let offset = this.document.contents?.range?.[0] ?? 0;
        let inList = false;
        for (const [depth, step] of path.entries()) {
            inList ||= isSeq(node);
            const next = childOf(node, step);
            if (next === undefined) {
                return { offset, depth, inList };
            }
            node = next.node;
            offset = next.offset ?? offset;
        }
        return { offset, depth: path.length, inList };
    }
}

function childOf(
    node: unknown,
    step: string | number,
): { readonly node: unknown; readonly offset: number | undefined; } | undefined {
    if (isMap(node)) {
        const pair = node.items.find(item => isScalar(item.key) && String(item.key.value) === String(step));
        const key = isScalar(pair?.key) ? pair.key : undefined;
        return pair === undefined ? undefined : { node: pair.value, offset: key?.range?.[0] };
    }
    if (isSeq(node) && typeof step === "number" && step < node.items.length) {
        const item = node.items[step] as { range?: [number, number, number]; } | undefined;
        return { node: item, offset: item?.range?.[0] };
    }
    return undefined;
}
