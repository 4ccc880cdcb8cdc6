/**
 * Compares two configurations by entry and field. Keys of workspaces are secrets: of these only the numbers are told.
 */
import { isDeepStrictEqual } from "node:util";
import type { Deployment } from "../fleet/Types.js";
import type { Change } from "./Types.js";

type Entry = Readonly<Record<string, unknown>>;

/** The changes from one configuration to another, in the order of their sections. */
export function diffDeployments(before: Deployment, after: Deployment): readonly Change[] {
    return [
        ...diffEntries("route", routesOf(before), routesOf(after)),
        ...diffEntries("service", servicesOf(before), servicesOf(after)),
        ...diffEntries("workspace", workspacesOf(before), workspacesOf(after)),
        ...diffFields("limits", { ...before.limits }, { ...after.limits }),
        ...diffFields("keys", { required: before.workspaces !== undefined }, {
            required: after.workspaces !== undefined,
        }),
        ...diffKeys(before, after),
    ];
}

/** Routes by name; further ones of the same name get the number of their occurrence. */
function routesOf({ routes }: Deployment): ReadonlyMap<string, Entry> {
    const entries = new Map<string, Entry>();
    for (const { id, ...fields } of routes) {
        let name: string = id;
        for (let at = 2; entries.has(name); at++) {
            name = `${id} (${at})`;
        }
        entries.set(name, fields);
    }
    return entries;
}

function servicesOf({ services }: Deployment): ReadonlyMap<string, Entry> {
    return new Map([...services.values()].map(({ id, pieces, ...fields }) => {
        const traits = Object.entries(pieces ?? {}).map(([name, value]) => [`pieces.${name}`, value] as const);
        return [id, { ...fields, ...Object.fromEntries(traits) }];
    }));
}

function workspacesOf({ workspaces }: Deployment): ReadonlyMap<string, Entry> {
    const entries = new Map<string, { readonly priority: number | undefined; readonly keyCount: number; }>();
    for (const { id, priority } of workspaces?.values() ?? []) {
        entries.set(id, { priority, keyCount: (entries.get(id)?.keyCount ?? 0) + 1 });
    }
    return entries;
}

function diffEntries(
    section: string,
    before: ReadonlyMap<string, Entry>,
    after: ReadonlyMap<string, Entry>,
): readonly Change[] {
    const names = [...new Set([...before.keys(), ...after.keys()])];
    return names.flatMap((name): readonly Change[] => {
        const subject = `${section} ${name}`;
        const old = before.get(name);
        const next = after.get(name);
        if (old === undefined || next === undefined) {
            return [{ kind: old === undefined ? "added" : "removed", subject, field: "" }];
        }
        return diffFields(subject, old, next);
    });
}

function diffFields(subject: string, before: Entry, after: Entry): readonly Change[] {
    const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return fields.filter(field => !isDeepStrictEqual(before[field], after[field])).map(field => ({
        kind: "changed" as const,
        subject,
        field,
        ...(before[field] === undefined ? {} : { before: JSON.stringify(before[field]) }),
        ...(after[field] === undefined ? {} : { after: JSON.stringify(after[field]) }),
    }));
}

/** Keys that another workspace has, that are new or that are gone, by workspace. */
function diffKeys(before: Deployment, after: Deployment): readonly Change[] {
    const ownerOf = ({ workspaces }: Deployment, key: string) => workspaces?.get(key)?.id;
    const keys = [...new Set([...before.workspaces?.keys() ?? [], ...after.workspaces?.keys() ?? []])];
    const counts = new Map<string, { revoked: number; issued: number; }>();
    for (const key of keys) {
        const [old, next] = [ownerOf(before, key), ownerOf(after, key)];
        if (old !== next) {
            const count = (id: string) => counts.get(id) ?? counts.set(id, { revoked: 0, issued: 0 }).get(id)!;
            if (old !== undefined) {
                count(old).revoked += 1;
            }
            if (next !== undefined) {
                count(next).issued += 1;
            }
        }
    }
    return [...counts].map(([id, { revoked, issued }]) => ({
        kind: "changed",
        subject: `workspace ${id}`,
        field: "keys",
        before: `${revoked} revoked`,
        after: `${issued} issued`,
    }));
}
