/** Counts the records of each workspace and their size, for quotas. */

export interface Usage {
    readonly count: number;
    /** Total size of the records, in characters of text. */
    readonly size: number;
}

/** Quota of a workspace: the number of its records, and their total size in characters. */
export interface UsageLimit {
    readonly limit: number;
    readonly sizeLimit: number;
}

export class WorkspaceUsage {
    private readonly usage = new Map<string, Usage>();

    public usageOf(workspace: string): Usage {
        return this.usage.get(workspace) ?? { count: 0, size: 0 };
    }

    /** Adds to a workspace's usage; negative numbers subtract. */
    public add(workspace: string, count: number, size: number): void {
        const before = this.usageOf(workspace);
        const after = { count: before.count + count, size: before.size + size };
        if (after.count === 0) {
            this.usage.delete(workspace);
        }
        else {
            this.usage.set(workspace, after);
        }
    }

    /** True when the workspace has reached either bound of the quota. */
    public isFull(workspace: string, { limit, sizeLimit }: UsageLimit): boolean {
        const { count, size } = this.usageOf(workspace);
        return count >= limit || size >= sizeLimit;
    }

    public clear(): void {
        this.usage.clear();
    }
}
