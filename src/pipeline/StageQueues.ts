/**
 * Limits the concurrent stage calls of this host in each pool, and queues the rest.
 *
 * Overnight calls (priority 2) have their own p-queue with a share of the pool. They can't fill the pool while quick
 * calls (priorities 0 and 1) wait, and quick calls can't starve them.
 */
import PQueue, { type Queue } from "p-queue";
import { type Either, Left, Right } from "purify-ts";
import type { Clock, Disposable, WorkspaceId } from "../common/Types.js";
import type { EndpointDirectory, Priority } from "../endpoints/Types.js";
import { FairQueue, type FairQueueOptions } from "./FairQueue.js";

/** Share of a pool that overnight calls may use, in [0, 1]. */
const overnightShare = 0.7;
/** Share that they may use while quick calls fill their limit or wait. */
const overnightShareWhenBusy = 1 / 8;
const overnight: Priority = 2;
/** Calls that may wait for slots at endpoints: a share of the pool's limit, but at least `minWaitingForSlots`. */
const waitingForSlotsShare = 0.15;
const minWaitingForSlots = 2;

/** Weight of the latest sample in a workspace's average wait per queued call. */
const waitSampleWeight = 0.1;
/** How long that average is used after its latest sample. */
const averageWaitLifeMs = 2000;

export interface PermitRequest {
    readonly pool: string;
    readonly workspace: WorkspaceId;
    readonly weight: number;
    readonly priority: Priority;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
}

/** The right to run one call in a pool. It must be ended exactly once. */
export interface Permit {
    end(): void;
}

export type PermitError = "queue-full" | "aborted";

type StageQueue = Queue<() => Promise<unknown>, FairQueueOptions>;

/** Order of the calls that wait in a pool. */
export type StageQueueClass = new() => StageQueue;

type PoolQueue = PQueue<StageQueue, FairQueueOptions>;

/** The queues of one pool. */
interface Pool {
    readonly quick: PoolQueue;
    readonly overnight: PoolQueue;
}

export class StageQueues implements Disposable {
    private readonly pools = new Map<string, Pool>();
    private readonly averageWaits = new Map<string, { readonly waitPerCallMs: number; readonly atMs: number; }>();
    private lastId = 0;
    private resizePending = false;

    private readonly subscription: Disposable;

    public constructor(
        private readonly directory: EndpointDirectory,
        private readonly clock: Clock,
        private readonly maxWaiting: () => number,
        private readonly queueClass: StageQueueClass = FairQueue,
    ) {
        this.subscription = directory.onChange(() => this.scheduleResize());
    }

    public dispose(): void {
        this.subscription.dispose();
    }

    /** Calls that wait for a permit, over all pools. */
    public get waiting(): number {
        let sum = 0;
        for (const pool of this.pools.values()) {
            sum += pool.quick.size + pool.overnight.size;
        }
        return sum;
    }

    /** Waits for a permit. Left with `aborted` once the signal is aborted, or `queue-full` when too many calls wait. */
    public acquire(req: PermitRequest, signal: AbortSignal): Promise<Either<PermitError, Permit>> {
        const queue = this.queueFor(req);
        this.refresh(req.pool);
        if (signal.aborted) {
            return Promise.resolve(Left("aborted"));
        }
        if (this.waiting >= this.maxWaiting()) {
            return Promise.resolve(Left("queue-full"));
        }
        const options = this.optionsOf(req);
        const ahead = queue.size === 0 ? 0 : queue.sizeBy(options);
        const enqueuedMs = this.clock.nowMs();
        return new Promise(resolve => {
            const cancellation = new AbortController();
            const cancel = () => cancellation.abort();
            signal.addEventListener("abort", cancel, { once: true });
            const run = () =>
                new Promise<void>(end => {
                    signal.removeEventListener("abort", cancel);
                    this.recordWait(req, ahead, this.clock.nowMs() - enqueuedMs);
                    resolve(Right({ end }));
                });
            queue.add(run, { ...options, signal: cancellation.signal }).catch(() => resolve(Left("aborted")));
        });
    }

    /**
     * Expected wait for a permit, in milliseconds, if a call takes `callMs` from its permit to its end.
     * `expectedCalls` further calls are expected to be queued ahead.
     */
    public expectedWaitMs(req: PermitRequest, callMs: number, expectedCalls: number): number {
        const queue = this.queueFor(req);
        if (queue.size === 0 && queue.pending < queue.concurrency) {
            return 0;
        }
        const ahead = queue.sizeBy(this.optionsOf(req));
        const waitPerCallMs = Math.max(callMs / queue.concurrency, this.recentWaitPerCallMs(req));
        return (ahead + expectedCalls + 1) * waitPerCallMs;
    }

    /**
     * Updates the workspace's average wait per call ahead of its own. It can exceed the time of a call, since later
     * calls of other workspaces are scheduled in between.
     */
    private recordWait(req: PermitRequest, ahead: number, waitedMs: number): void {
        const name = `${req.pool}/${req.priority}/${req.workspace}`;
        const sampleMs = waitedMs / (ahead + 1);
        const previousMs = this.averageWaits.get(name)?.waitPerCallMs ?? sampleMs;
        this.averageWaits.set(name, {
            waitPerCallMs: previousMs * (1 - waitSampleWeight) + sampleMs * waitSampleWeight,
            atMs: this.clock.nowMs(),
        });
    }

    private recentWaitPerCallMs(req: PermitRequest): number {
        const averageWait = this.averageWaits.get(`${req.pool}/${req.priority}/${req.workspace}`);
        return averageWait === undefined || this.clock.nowMs() - averageWait.atMs > averageWaitLifeMs
            ? 0
            : averageWait.waitPerCallMs;
    }

    /** True while calls wait for a permit of the pool. */
    public isContended(name: string): boolean {
        const pool = this.pools.get(name);
        return pool !== undefined && pool.quick.size + pool.overnight.size > 0;
    }

    private optionsOf(req: PermitRequest): FairQueueOptions {
        this.lastId += 1;
        return {
            id: String(this.lastId),
            workspace: req.workspace,
            weight: req.weight,
            urgency: req.priority,
            deadlineMs: req.deadlineMs,
        };
    }

    private queueFor(req: PermitRequest): PoolQueue {
        const pool = this.pool(req.pool);
        return req.priority === overnight ? pool.overnight : pool.quick;
    }

    private pool(name: string): Pool {
        let pool = this.pools.get(name);
        if (pool === undefined) {
            pool = {
                quick: new PQueue({ queueClass: this.queueClass, concurrency: 1 }),
                overnight: new PQueue({ queueClass: this.queueClass, concurrency: 1 }),
            };
            this.pools.set(name, pool);
            this.resize(pool, name);
        }
        return pool;
    }

    /** Recomputes the pool's limits after a slot was granted or released. */
    public refresh(name: string): void {
        const pool = this.pools.get(name);
        if (pool !== undefined) {
            this.resize(pool, name);
        }
    }

    /** Resizes the pools with waiting calls, once for all changes made in the same task. */
    private scheduleResize(): void {
        if (this.resizePending) {
            return;
        }
        this.resizePending = true;
        queueMicrotask(() => {
            this.resizePending = false;
            for (const [name, pool] of this.pools) {
                if (pool.quick.size + pool.overnight.size > 0) {
                    this.resize(pool, name);
                }
            }
        });
    }

    /**
     * Sets the pool's concurrency to this host's calls in flight, plus the slots that it could take immediately, plus a
     * few calls that wait for slots. All further calls stay in this queue, where priorities and shares apply and calls
     * are not yet bound to an endpoint.
     */
    private resize(pool: Pool, name: string): void {
        let limit = 0;
        let availableSlots = 0;
        for (const endpoint of this.directory.inPool(name)) {
            limit += endpoint.limit;
            availableSlots += endpoint.ownInFlight + endpoint.credits;
        }
        const waitingForSlots = Math.max(minWaitingForSlots, Math.ceil(limit * waitingForSlotsShare));
        const quickLimit = Math.max(1, Math.min(limit, availableSlots + waitingForSlots));
        if (pool.quick.concurrency !== quickLimit) {
            pool.quick.concurrency = quickLimit;
        }
        const isQuickBusy = pool.quick.size > 0 || pool.quick.pending >= quickLimit;
        const share = isQuickBusy ? overnightShareWhenBusy : overnightShare;
        const overnightLimit = Math.max(1, Math.floor(quickLimit * share));
        if (pool.overnight.concurrency !== overnightLimit) {
            pool.overnight.concurrency = overnightLimit;
        }
    }
}
