/**
 * The order in which stage calls of one pool start: priority first, then a fair share between workspaces by weight,
 * then the earliest deadline within a workspace. It is a queue class of p-queue.
 *
 * A lower priority is served at every eighth turn at least, so that it is never starved. Workspaces share a priority
 * by virtual time: a workspace that has used more than its share waits until the others have caught up.
 */
import type { Queue, QueueAddOptions } from "p-queue";
import type { WorkspaceId } from "../common/Types.js";
import type { Priority } from "../endpoints/Types.js";

type RunFunction = () => Promise<unknown>;

export type FairQueueOptions = QueueAddOptions & {
    readonly workspace: WorkspaceId;
    /** Share of the workspace while the pool is scarce. */
    readonly weight: number;
    /** Lower goes first. */
    readonly urgency: Priority;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
};

interface Waiting {
    readonly run: RunFunction;
    readonly id: string;
    readonly deadlineMs: number;
}

/** The waiting calls of one workspace at one priority, earliest deadline first. */
class Share {
    public readonly items: Waiting[] = [];
    public virtualTime = 0;

    public constructor(public weight: number) {}

    public add(item: Waiting): void {
        let low = 0;
        let high = this.items.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.items[middle]!.deadlineMs <= item.deadlineMs) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.items.splice(low, 0, item);
    }
}

/** One priority, shared between workspaces. */
class Lane {
    public size = 0;
    private readonly shares = new Map<string, Share>();
    private virtualTime = 0;

    public add(item: Waiting, workspace: string, weight: number): void {
        let share = this.shares.get(workspace);
        if (share === undefined) {
            share = new Share(weight);
            this.shares.set(workspace, share);
        }
        share.weight = weight;
        if (share.items.length === 0) {
            share.virtualTime = Math.max(share.virtualTime, this.virtualTime);
        }
        share.add(item);
        this.size += 1;
    }

    public take(): Waiting | undefined {
        let next: Share | undefined;
        for (const share of this.shares.values()) {
            if (share.items.length > 0 && (next === undefined || share.virtualTime < next.virtualTime)) {
                next = share;
            }
        }
        if (next === undefined) {
            return undefined;
        }
        this.virtualTime = next.virtualTime;
        next.virtualTime += 1 / next.weight;
        this.size -= 1;
        return next.items.shift();
    }

    /** Calls that would start before a new one of this workspace with this deadline. */
    public ahead(workspace: string, weight: number, deadlineMs: number): RunFunction[] {
        const own = this.shares.get(workspace)?.items.filter(item => item.deadlineMs <= deadlineMs) ?? [];
        const found = own.map(item => item.run);
        for (const [name, share] of this.shares) {
            if (name !== workspace) {
                const turns = Math.ceil((own.length + 1) * share.weight / weight);
                found.push(...share.items.slice(0, turns).map(item => item.run));
            }
        }
        return found;
    }

    public remove(id: string): boolean {
        for (const share of this.shares.values()) {
            const index = share.items.findIndex(item => item.id === id);
            if (index >= 0) {
                share.items.splice(index, 1);
                this.size -= 1;
                return true;
            }
        }
        return false;
    }
}

/** Every so many turns a lower priority goes first. */
const turnsPerLowerPriority = 8;
const priorities: readonly Priority[] = [0, 1, 2];

export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
    private readonly lanes = priorities.map(() => new Lane());
    private turn = 0;

    public get size(): number {
        return this.lanes.reduce((sum, lane) => sum + lane.size, 0);
    }

    public enqueue(run: RunFunction, options?: Partial<FairQueueOptions>): void {
        const item = { run, id: options?.id ?? "", deadlineMs: options?.deadlineMs ?? Infinity };
        this.lane(options?.urgency).add(item, options?.workspace ?? "", options?.weight ?? 1);
    }

    public dequeue(): RunFunction | undefined {
        const busy = this.lanes.filter(lane => lane.size > 0);
        if (busy.length > 1) {
            this.turn = (this.turn + 1) % turnsPerLowerPriority;
        }
        // The reserved turn goes to the lowest priority that waits.
        const lane = busy.length > 1 && this.turn === 0 ? busy[busy.length - 1] : busy[0];
        return lane?.take()?.run;
    }

    /** The calls that would start before a new one with these options. */
    public filter(options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
        const urgency = options.urgency ?? 1;
        const found: RunFunction[] = [];
        for (const priority of priorities.filter(one => one <= urgency)) {
            const deadlineMs = priority === urgency ? options.deadlineMs ?? Infinity : Infinity;
            found.push(...this.lane(priority).ahead(options.workspace ?? "", options.weight ?? 1, deadlineMs));
        }
        return found;
    }

    /** Not used: a call's place follows from its priority, workspace and deadline. */
    public setPriority(): void {}

    public remove(id: string): void {
        this.lanes.some(lane => lane.remove(id));
    }

    private lane(urgency: Priority = 1): Lane {
        return this.lanes[urgency]!;
    }
}
