/** How many records a workspace has, and how large they are. */

export interface Usage {
    readonly count: number;
    /** Characters of text, which is what the records' size goes by. */
    readonly size: number;
}

/** A bound on records of a workspace. */
export interface UsageLimit {
    readonly limit: number;
    readonly sizeLimit: number;
}

export class WorkspaceUsage {
    private readonly usage = new Map<string, Usage>();

    public of(workspace: string): Usage {
        return this.usage.get(workspace) ?? { count: 0, size: 0 };
    }

    /** Adds to a workspace's usage; negative numbers take away. */
    public add(workspace: string, count: number, size: number): void {
        const before = this.of(workspace);
        const after = { count: before.count + count, size: before.size + size };
        if (after.count === 0) {
            this.usage.delete(workspace);
        }
        else {
            this.usage.set(workspace, after);
        }
    }

    public isFull(workspace: string, { limit, sizeLimit }: UsageLimit): boolean {
        const { count, size } = this.of(workspace);
        return count >= limit || size >= sizeLimit;
    }

    public clear(): void {
        this.usage.clear();
    }
}
