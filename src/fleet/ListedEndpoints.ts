/**
 * Checks the entries of a list of endpoints wherever one comes in: from the platform, which other writers write to as
 * well, and from other hosts, whose builds may have checked less. An entry that fails the check names no endpoint, and
 * the others hold.
 */
import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { parseEndpointAddress } from "../common/EndpointAddress.js";
import { parseEndpointId } from "../common/Ids.js";
import type { DataCentreId, IdParser, ServiceId } from "../common/Types.js";
import type { ListPart } from "./ListVersions.js";
import type { EntryFault, ListedEndpoint } from "./Types.js";

/** Far above any endpoint; sums over all endpoints of a fleet stay exact. */
const maxSlots = 65_536;
/** A cold start takes seconds; a day bounds the times that are calculated from it. */
const maxColdLeftMs = 86_400_000;
/** Bound on an entry's name in logs. */
const maxNameLength = 64;

function parsedBy<T extends string>(parse: IdParser<T>): z.ZodType<T> {
    return z.string().refine(text => parse(text).isRight()) as unknown as z.ZodType<T>;
}

/** A text without control characters, lone surrogates and the replacement of bytes that are not UTF-8. */
const plainText = z.string().regex(/^[^\p{C}\uFFFD]{1,128}$/u);

const endpointSchema = z.object({
    id: parsedBy(parseEndpointId),
    instance: parsedBy(parseEndpointId),
    service: plainText as unknown as z.ZodType<ServiceId>,
    address: parsedBy(parseEndpointAddress),
    dataCentre: plainText as unknown as z.ZodType<DataCentreId>,
    version: plainText.optional(),
    slots: z.number().int().min(0).max(maxSlots),
    isLeaving: z.boolean(),
    coldLeftMs: z.number().min(0).max(maxColdLeftMs),
});

/** Parses one entry; `name` names it in the fault. */
export function parseListedEndpoint(entry: unknown, name: string): Either<EntryFault, ListedEndpoint> {
    const parsed = endpointSchema.safeParse(entry);
    return parsed.success ? Right(parsed.data) : Left(entryFault(name, parsed.error));
}

/**
 * Checks a list, or its changes, as another host has passed it on. An endpoint whose entry has become bad counts as gone,
 * and the part keeps its tag, so that its sender does not send it again.
 */
export function checkListPart(part: ListPart<ListedEndpoint>): {
    readonly part: ListPart<ListedEndpoint>;
    readonly faults: readonly EntryFault[];
} {
    const checked = part.items.map((item: Partial<ListedEndpoint> | null) => ({
        id: String(item?.id),
        entry: parseListedEndpoint(item, String(item?.id)),
    }));
    const entries = checked.map(one => one.entry);
    const gone = [...part.gone, ...checked.filter(one => one.entry.isLeft()).map(one => one.id)];
    return { part: { ...part, items: Either.rights(entries), gone }, faults: Either.lefts(entries) };
}

/** The fault of an entry that a schema rejects. */
export function entryFault(name: string, { issues }: z.ZodError): EntryFault {
    const fields = new Set(issues.map(({ path }) => String(path[0] ?? "")).filter(field => field !== ""));
    return { entry: name.slice(0, maxNameLength), cause: [...fields].join(" ") || "no object" };
}
