/**
 * The answers of the last changes by their ids, so that a change that is sent again gets its first answer. The
 * window is bounded by number and by size; the oldest answers go first.
 */
import { createHash } from "node:crypto";
import type { ConfigChange, ConfigChangeResult } from "./Types.js";

/** Changes whose answers are kept, and the characters that they may take together. */
export const maxStoredResults = 1000;
const maxAnswerChars = 4_000_000;

export interface StoredChangeResult {
    readonly id: string;
    /** Tells a change that is sent again from another one that uses its id. */
    readonly digest: string;
    readonly result: ConfigChangeResult;
}

export class ChangeResultWindow {
    private answers = new Map<string, StoredChangeResult>();
    private chars = 0;

    public find(id: string): StoredChangeResult | undefined {
        return this.answers.get(id);
    }

    public add(change: ConfigChange, result: ConfigChangeResult): void {
        this.put({ id: change.id, digest: changeDigest(change), result });
    }

    public list(): readonly StoredChangeResult[] {
        return [...this.answers.values()];
    }

    public restore(answers: readonly StoredChangeResult[]): void {
        this.answers = new Map();
        this.chars = 0;
        answers.forEach(answer => this.put(answer));
    }

    private put(answer: StoredChangeResult): void {
        this.answers.set(answer.id, answer);
        this.chars += sizeOf(answer);
        for (const [id, oldest] of this.answers) {
            if (this.answers.size <= maxStoredResults && this.chars <= maxAnswerChars) {
                return;
            }
            this.answers.delete(id);
            this.chars -= sizeOf(oldest);
        }
    }
}

/** Digest of what a change does; the version that it builds on is left out, since a resend may name a newer one. */
export function changeDigest(change: ConfigChange): string {
    const fields = Object.entries(change).filter(([name]) => name !== "baseVersion").sort(([a], [b]) => a < b ? -1 : 1);
    return createHash("sha256").update(JSON.stringify(fields)).digest("hex");
}

function sizeOf(answer: StoredChangeResult): number {
    const { result } = answer;
    return result.kind === "conflict" ? result.winner.text.length + 200 : 200;
}
