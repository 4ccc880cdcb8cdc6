/**
 * Bounds how many stage calls of this host are under way in each pool, and orders those that wait.
 *
 * Overnight calls (priority 2) have their own p-queue with a part of the pool, so that they never fill it while quick
 * calls wait for one of them to end, and are never starved by quick calls either.
 */
import PQueue, { type Queue } from "p-queue";
import { type Either, Left, Right } from "purify-ts";
import type { Disposable, WorkspaceId } from "../common/Types.js";
import type { EndpointDirectory, Priority } from "../endpoints/Types.js";
import { FairQueue, type FairQueueOptions } from "./FairQueue.js";

/** Part of a pool that overnight calls may use, in [0, 1]. */
const overnightShare = 0.7;
const overnight: Priority = 2;

export interface TurnRequest {
    readonly pool: string;
    readonly workspace: WorkspaceId;
    readonly weight: number;
    readonly priority: Priority;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
}

/** The right to have one call under way in a pool; ended exactly once. */
export interface Turn {
    end(): void;
}

export type TurnError = "queue-full" | "aborted";

type StageQueue = Queue<() => Promise<unknown>, FairQueueOptions>;

/** Order of the calls that wait in a pool. */
export type StageQueueClass = new() => StageQueue;

type PoolQueue = PQueue<StageQueue, FairQueueOptions>;

interface Pool {
    readonly quick: PoolQueue;
    readonly overnight: PoolQueue;
}

export class StageQueues implements Disposable {
    private readonly pools = new Map<string, Pool>();
    private lastId = 0;

    private readonly subscription: Disposable;

    public constructor(
        private readonly directory: EndpointDirectory,
        private readonly maxWaiting: () => number,
        private readonly queueClass: StageQueueClass = FairQueue,
    ) {
        this.subscription = directory.onChange(() => this.resizeAll());
    }

    public dispose(): void {
        this.subscription.dispose();
    }

    /** Calls that wait for their turn, over all pools. */
    public get waiting(): number {
        let sum = 0;
        for (const pool of this.pools.values()) {
            sum += pool.quick.size + pool.overnight.size;
        }
        return sum;
    }

    /** Waits for a turn until the signal is aborted. */
    public turn(req: TurnRequest, signal: AbortSignal): Promise<Either<TurnError, Turn>> {
        const queue = this.queueFor(req);
        if (signal.aborted) {
            return Promise.resolve(Left("aborted"));
        }
        if (this.waiting >= this.maxWaiting()) {
            return Promise.resolve(Left("queue-full"));
        }
        return new Promise(resolve => {
            const waiting = new AbortController();
            const giveUp = () => waiting.abort();
            signal.addEventListener("abort", giveUp, { once: true });
            const run = () =>
                new Promise<void>(end => {
                    signal.removeEventListener("abort", giveUp);
                    resolve(Right({ end }));
                });
            queue.add(run, { ...this.optionsOf(req), signal: waiting.signal }).catch(() => resolve(Left("aborted")));
        });
    }

    /** Expected wait for a turn, in milliseconds, where a call takes `callMs` from its turn to its end. */
    public expectedWaitMs(req: TurnRequest, callMs: number): number {
        const queue = this.queueFor(req);
        if (queue.size === 0 && queue.pending < queue.concurrency) {
            return 0;
        }
        const ahead = queue.sizeBy(this.optionsOf(req));
        return (ahead + 1) * callMs / queue.concurrency;
    }

    private optionsOf(req: TurnRequest): FairQueueOptions {
        this.lastId += 1;
        return {
            id: String(this.lastId),
            workspace: req.workspace,
            weight: req.weight,
            urgency: req.priority,
            deadlineMs: req.deadlineMs,
        };
    }

    private queueFor(req: TurnRequest): PoolQueue {
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
        }
        this.resize(pool, name);
        return pool;
    }

    private resizeAll(): void {
        for (const [name, pool] of this.pools) {
            this.resize(pool, name);
        }
    }

    /** Follows the endpoints' limits: no more calls are under way than all endpoints together may have. */
    private resize(pool: Pool, name: string): void {
        const limit = this.directory.inPool(name).reduce((sum, endpoint) => sum + endpoint.limit, 0);
        const quick = Math.max(1, limit);
        const overnightLimit = Math.max(1, Math.floor(limit * overnightShare));
        if (pool.quick.concurrency !== quick) {
            pool.quick.concurrency = quick;
            pool.overnight.concurrency = overnightLimit;
        }
    }
}
