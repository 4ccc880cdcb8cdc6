/**
 * Weighted fair queue of the stage calls of one pool, as a queue class of p-queue. Calls are ordered by priority, then
 * by weighted fair share between workspaces, then by earliest deadline within a workspace.
 *
 * While several priorities wait, every eighth dequeue serves the lowest of them, so that it is not starved. Within a
 * priority, workspaces are scheduled by virtual time: a workspace that has used more than its share waits until the
 * others have caught up.
 */
import type { Queue, QueueAddOptions } from "p-queue";
import type { WorkspaceId } from "../common/Types.js";
import type { Priority } from "../endpoints/Types.js";

type RunFunction = () => Promise<unknown>;

export type FairQueueOptions = QueueAddOptions & {
    readonly workspace: WorkspaceId;
    /** Relative share of the workspace under contention. */
    readonly weight: number;
    /** Lower values are served first. */
    readonly urgency: Priority;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
};

interface WaitingCall {
    readonly run: RunFunction;
    readonly id: string;
    readonly deadlineMs: number;
}

/** The waiting calls of one workspace at one priority, earliest deadline first. */
class WorkspaceQueue {
    public readonly items: WaitingCall[] = [];
    public virtualTime = 0;

    public constructor(public weight: number) {}

    public add(item: WaitingCall): void {
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

/** The waiting calls of one priority, scheduled between workspaces by virtual time. */
class Lane {
    public size = 0;
    private readonly queues = new Map<string, WorkspaceQueue>();
    private virtualTime = 0;

    public add(item: WaitingCall, workspace: string, weight: number): void {
        let queue = this.queues.get(workspace);
        if (queue === undefined) {
            queue = new WorkspaceQueue(weight);
            this.queues.set(workspace, queue);
        }
        queue.weight = weight;
        if (queue.items.length === 0) {
            queue.virtualTime = Math.max(queue.virtualTime, this.virtualTime);
        }
        queue.add(item);
        this.size += 1;
    }

    public take(): WaitingCall | undefined {
        let next: WorkspaceQueue | undefined;
        for (const queue of this.queues.values()) {
            if (queue.items.length > 0 && (next === undefined || queue.virtualTime < next.virtualTime)) {
                next = queue;
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

    /** Calls that would start before a new call of this workspace with this deadline. */
    public ahead(workspace: string, weight: number, deadlineMs: number): RunFunction[] {
        const own = this.queues.get(workspace)?.items.filter(item => item.deadlineMs <= deadlineMs) ?? [];
        const found = own.map(item => item.run);
        for (const [name, queue] of this.queues) {
            if (name !== workspace) {
                const count = Math.ceil((own.length + 1) * queue.weight / weight);
                found.push(...queue.items.slice(0, count).map(item => item.run));
            }
        }
        return found;
    }

    public remove(id: string): boolean {
        for (const queue of this.queues.values()) {
            const index = queue.items.findIndex(item => item.id === id);
            if (index >= 0) {
                queue.items.splice(index, 1);
                this.size -= 1;
                return true;
            }
        }
        return false;
    }
}

/** While several priorities wait, one dequeue in this many goes to the lowest. */
const dequeuesPerLowestPriority = 8;
const priorities: readonly Priority[] = [0, 1, 2];

export class FairQueue implements Queue<RunFunction, FairQueueOptions> {
    private readonly lanes = priorities.map(() => new Lane());
    private dequeueCount = 0;

    public get size(): number {
        return this.lanes.reduce((sum, lane) => sum + lane.size, 0);
    }

    public enqueue(run: RunFunction, options?: Partial<FairQueueOptions>): void {
        const item = { run, id: options?.id ?? "", deadlineMs: options?.deadlineMs ?? Infinity };
        this.lane(options?.urgency).add(item, options?.workspace ?? "", options?.weight ?? 1);
    }

    public dequeue(): RunFunction | undefined {
        const nonEmpty = this.lanes.filter(lane => lane.size > 0);
        if (nonEmpty.length > 1) {
            this.dequeueCount = (this.dequeueCount + 1) % dequeuesPerLowestPriority;
        }
        // The reserved dequeue goes to the lowest waiting priority.
        const lane = nonEmpty.length > 1 && this.dequeueCount === 0 ? nonEmpty[nonEmpty.length - 1] : nonEmpty[0];
        return lane?.take()?.run;
    }

    /** The calls that would start before a new call with these options; p-queue's `sizeBy` counts them. */
    public filter(options: Readonly<Partial<FairQueueOptions>>): RunFunction[] {
        const urgency = options.urgency ?? 1;
        const found: RunFunction[] = [];
        for (const priority of priorities.filter(one => one <= urgency)) {
            const deadlineMs = priority === urgency ? options.deadlineMs ?? Infinity : Infinity;
            found.push(...this.lane(priority).ahead(options.workspace ?? "", options.weight ?? 1, deadlineMs));
        }
        return found;
    }

    /** Not supported: a call's position follows from its priority, workspace and deadline. */
    public setPriority(): void {}

    public remove(id: string): void {
        this.lanes.some(lane => lane.remove(id));
    }

    private lane(urgency: Priority = 1): Lane {
        return this.lanes[urgency]!;
    }
}
