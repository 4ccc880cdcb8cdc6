/**
 * Merges overlays into a base document: maps are merged key by key, lists and scalars replace, and null removes the
 * key. A null for a key that the base does not have is an error, since it would hide a misspelt key.
 */

/** Keys and list indexes that lead from the root of a document to a value. */
export type DocumentPath = readonly (string | number)[];

type DocumentMap = Readonly<Record<string, unknown>>;

export function isDocumentMap(value: unknown): value is DocumentMap {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Merges overlays into a base, in order. The arguments are plain values as parsed from YAML and are not modified. */
export function mergeDocuments(base: unknown, ...overlays: readonly unknown[]): unknown {
    return overlays.reduce(mergeOne, base);
}

function mergeOne(base: unknown, overlay: unknown): unknown {
    if (overlay === undefined) {
        return base;
    }
    if (!isDocumentMap(overlay)) {
        return overlay;
    }
    const merged = new Map<string, unknown>(isDocumentMap(base) ? Object.entries(base) : []);
    for (const [key, value] of Object.entries(overlay)) {
        if (value === null) {
            merged.delete(key);
        }
        else {
            merged.set(key, mergeOne(merged.get(key), value));
        }
    }
    return Object.fromEntries(merged);
}

/** Paths at which an overlay removes a key that the base does not have. */
export function ineffectiveRemovals(base: unknown, overlay: unknown, path: DocumentPath = []): DocumentPath[] {
    if (!isDocumentMap(overlay)) {
        return [];
    }
    const known = isDocumentMap(base) ? base : {};
    return Object.entries(overlay).flatMap(([key, value]) => {
        const inBase = Object.hasOwn(known, key) ? known[key] : undefined;
        if (value === null) {
            return inBase === undefined ? [[...path, key]] : [];
        }
        return ineffectiveRemovals(inBase, value, [...path, key]);
    });
}
