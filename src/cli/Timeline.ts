/**
 * Timeline of the events of all processes: the JSON lines of their logs, merged by hybrid logical clock and filtered by
 * request, host, endpoint or event.
 */
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { type Either, Left, Right } from "purify-ts";
import * as z from "zod";

const entrySchema = z.looseObject({
    hlc: z.string(),
    host: z.string(),
    event: z.number().int(),
    name: z.string(),
});

/** One event of one process. Keys that are not named here are the event's own fields. */
export type TimelineEntry = z.infer<typeof entrySchema>;

/** Fields that every event has. */
const commonFields: ReadonlySet<string> = new Set(Object.keys(entrySchema.shape));

/** Conditions on entries. An entry must match at least one value of each list that is not empty. */
export interface TimelineFilter {
    readonly requests: readonly string[];
    readonly hosts: readonly string[];
    readonly endpoints: readonly string[];
    /** Event numbers or names. */
    readonly events: readonly string[];
}

export interface Timeline {
    /** In order of their stamps. */
    readonly entries: readonly TimelineEntry[];
    /** Lines that are not events, such as the incomplete last line of a process that was killed. */
    readonly unreadable: readonly UnreadableLine[];
}

export interface UnreadableLine {
    readonly file: string;
    /** Line in the file, from 1. */
    readonly line: number;
}

export interface TimelineError {
    readonly kind: "unreadable-file";
    readonly file: string;
    readonly message: string;
}

/** Reads and merges logs. Left: a file that can't be read. */
export async function readTimeline(
    files: readonly string[],
    filter: TimelineFilter,
): Promise<Either<TimelineError, Timeline>> {
    const entries: TimelineEntry[] = [];
    const unreadable: UnreadableLine[] = [];
    for (const file of files) {
        try {
            await readLog(file, filter, entries, unreadable);
        }
        catch (err) {
            return Left({ kind: "unreadable-file", file, message: err instanceof Error ? err.message : String(err) });
        }
    }
    entries.sort(compareStamps);
    return Right({ entries, unreadable });
}

async function readLog(
    file: string,
    filter: TimelineFilter,
    entries: TimelineEntry[],
    unreadable: UnreadableLine[],
): Promise<void> {
    let line = 0;
    for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
        line += 1;
        if (text.trim() === "") {
            continue;
        }
        const entry = parseEntry(text);
        if (entry === undefined) {
            unreadable.push({ file, line });
        }
        else if (matches(entry, filter)) {
            entries.push(entry);
        }
    }
}

function parseEntry(text: string): TimelineEntry | undefined {
    try {
        return entrySchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}

/** Stamps sort as text. The sort is stable, so that entries with equal stamps keep the order of their file. */
function compareStamps(a: TimelineEntry, b: TimelineEntry): number {
    return a.hlc < b.hlc ? -1 : Number(a.hlc > b.hlc);
}

/** True when an entry meets all conditions of the filter. */
export function matches(entry: TimelineEntry, filter: TimelineFilter): boolean {
    return matchesAny(filter.requests, valuesOf(entry, "request", "requests"))
        && matchesAny(filter.hosts, [entry.host])
        && matchesAny(filter.endpoints, valuesOf(entry, "endpoint", "endpoints"))
        && matchesAny(filter.events, [String(entry.event), entry.name]);
}

function matchesAny(wanted: readonly string[], values: readonly string[]): boolean {
    return wanted.length === 0 || values.some(value => wanted.includes(value));
}

/** The values of a field: a single value under its own name, or a list under its plural. */
function valuesOf(entry: TimelineEntry, singular: string, plural: string): string[] {
    const list = entry[plural];
    return [entry[singular], ...(Array.isArray(list) ? list as unknown[] : [])]
        .filter(value => typeof value === "string");
}

/** Wall time of an entry's stamp, in milliseconds since the Unix epoch. */
export function wallMsOf(entry: TimelineEntry): number {
    return Number(entry.hlc.split("-")[0]);
}

/** The event's own fields. */
export function fieldsOf(entry: TimelineEntry): Readonly<Record<string, unknown>> {
    return Object.fromEntries(Object.entries(entry).filter(([key]) => !commonFields.has(key)));
}
