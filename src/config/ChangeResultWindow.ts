/**
 * Keeps the results of the most recent changes by change id, so that a resent change gets its original result. Bounded
 * by number and by size; the oldest results are evicted first.
 */
import { createHash } from "node:crypto";
import type { ConfigChange, ConfigChangeResult } from "./Types.js";

/** Bounds on the stored results: their number, and their total size in characters. */
export const maxStoredResults = 1000;
const maxStoredResultChars = 4_000_000;

export interface StoredChangeResult {
    readonly id: string;
    /** Distinguishes a resent change from a different change with the same id. */
    readonly digest: string;
    readonly result: ConfigChangeResult;
}

export class ChangeResultWindow {
    private results = new Map<string, StoredChangeResult>();
    private totalChars = 0;

    public find(id: string): StoredChangeResult | undefined {
        return this.results.get(id);
    }

    public add(change: ConfigChange, result: ConfigChangeResult): void {
        this.store({ id: change.id, digest: changeDigest(change), result });
    }

    /** The stored results, the oldest first. */
    public list(): readonly StoredChangeResult[] {
        return [...this.results.values()];
    }

    public restore(results: readonly StoredChangeResult[]): void {
        this.results = new Map();
        this.totalChars = 0;
        results.forEach(stored => this.store(stored));
    }

    private store(stored: StoredChangeResult): void {
        this.results.set(stored.id, stored);
        this.totalChars += resultChars(stored);
        for (const [id, oldest] of this.results) {
            if (this.results.size <= maxStoredResults && this.totalChars <= maxStoredResultChars) {
                return;
            }
            this.results.delete(id);
            this.totalChars -= resultChars(oldest);
        }
    }
}

/** Digest of the content of a change. `baseVersion` is excluded, since a resent change may name a newer version. */
export function changeDigest(change: ConfigChange): string {
    const fields = Object.entries(change).filter(([name]) => name !== "baseVersion").sort(([a], [b]) => a < b ? -1 : 1);
    return createHash("sha256").update(JSON.stringify(fields)).digest("hex");
}

/** Approximate size of a stored result: the document text of a conflict, plus 200 for all other fields. */
function resultChars(stored: StoredChangeResult): number {
    const { result } = stored;
    return result.kind === "conflict" ? result.winner.text.length + 200 : 200;
}
