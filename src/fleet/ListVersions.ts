/**
 * The recent versions of a list whose items have ids. A holder of a recent version is sent only what has changed since,
 * so that the size of a message follows the changes and not the size of the fleet.
 */

/** Number of versions kept; a holder of an older one is sent the whole list. */
const keptVersions = 32;

/** A list, or what has changed in it since an earlier version. */
export interface ListPart<T> {
    /** Identifies the version; equal on all control hosts for equal lists. */
    readonly tag: string;
    /** The version that the changes apply to; undefined for the whole list. */
    readonly base?: string;
    /** All items, or those that are new or have changed. */
    readonly items: readonly T[];
    /** Ids of the items that are gone. */
    readonly gone: readonly string[];
}

interface Version<T> {
    readonly tag: string;
    /** Items by id, each with a text that differs when the item has changed. */
    readonly items: ReadonlyMap<string, { readonly item: T; readonly text: string; }>;
}

export class ListVersions<T> {
    private versions: readonly Version<T>[] = [];
    private cached: { readonly held: string; readonly part: ListPart<T>; } | undefined;

    /** `textOf` returns a text that differs when an item has changed. */
    public constructor(private readonly idOf: (item: T) => string, private readonly textOf: (item: T) => string) {}

    /** Tag of the newest version; empty before the first. */
    public get tag(): string {
        return this.versions.at(-1)?.tag ?? "";
    }

    /** Adds a version, unless the newest one has its tag. */
    public add(tag: string, items: readonly T[]): void {
        if (tag === this.tag) {
            return;
        }
        const byId = new Map(items.map(item => [this.idOf(item), { item, text: this.textOf(item) }]));
        this.versions = [...this.versions.filter(one => one.tag !== tag).slice(1 - keptVersions), { tag, items: byId }];
        this.cached = undefined;
    }

    /** What a holder of version `held` lacks; the whole list when that version is not kept. */
    public since(held: string): ListPart<T> {
        if (this.cached?.held !== held) {
            this.cached = { held, part: this.partSince(held) };
        }
        return this.cached.part;
    }

    private partSince(held: string): ListPart<T> {
        const { tag } = this;
        const newest: Version<T>["items"] = this.versions.at(-1)?.items ?? new Map();
        const base = this.versions.find(one => one.tag === held)?.items;
        if (base === undefined) {
            return { tag, items: [...newest.values()].map(({ item }) => item), gone: [] };
        }
        const changed = [...newest].filter(([id, { text }]) => base.get(id)?.text !== text);
        const gone = [...base.keys()].filter(id => !newest.has(id));
        return { tag, base: held, items: changed.map(([, { item }]) => item), gone };
    }
}

/**
 * Applies a part to the list that its receiver holds at version `held`; undefined when the part does not apply to that
 * version, so that the receiver has to ask for the whole list.
 */
export function applyPart<T>(
    list: readonly T[],
    held: string,
    { base, items, gone }: ListPart<T>,
    idOf: (item: T) => string,
): readonly T[] | undefined {
    if (base === undefined) {
        return items;
    }
    if (base !== held) {
        return undefined;
    }
    const goneIds = new Set(gone);
    const changed = new Map(items.map(item => [idOf(item), item]));
    const kept = list.filter(item => !goneIds.has(idOf(item))).map(item => {
        const id = idOf(item);
        const next = changed.get(id) ?? item;
        changed.delete(id);
        return next;
    });
    return [...kept, ...changed.values()];
}
