/**
 * Bounds how many stage calls of this host are under way in each pool, and orders those that wait.
 *
 * Overnight calls (priority 2) have their own p-queue with a part of the pool, so that they never fill it while quick
 * calls wait for one of them to end, and are never starved by quick calls either.
 */
import PQueue, { type Queue } from "p-queue";
import { type Either, Left, Right } from "purify-ts";
import type { Clock, Disposable, WorkspaceId } from "../common/Types.js";
import type { EndpointDirectory, Priority } from "../endpoints/Types.js";
import { FairQueue, type FairQueueOptions } from "./FairQueue.js";

/** Part of a pool that overnight calls may use, in [0, 1]. */
const overnightShare = 0.7;
/** The same while quick calls fill the pool. */
const overnightShareWhenBusy = 1 / 8;
const overnight: Priority = 2;
/** Calls that may wait for slots at endpoints, as a share of the pool's limit, and at least. */
const waitingForSlotsShare = 0.15;
const leastWaitingForSlots = 2;

/** Weight of the latest wait in the pace of a workspace, and how long the pace is believed without another. */
const paceWeight = 0.1;
const paceLifeMs = 2000;

export interface PermitRequest {
    readonly pool: string;
    readonly workspace: WorkspaceId;
    readonly weight: number;
    readonly priority: Priority;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
}

/** The right to have one call under way in a pool; ended exactly once. */
export interface Permit {
    end(): void;
}

export type PermitError = "queue-full" | "aborted";

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
    private readonly paces = new Map<string, { readonly paceMs: number; readonly atMs: number; }>();
    private lastId = 0;
    private resizePending = false;

    private readonly subscription: Disposable;

    public constructor(
        private readonly directory: EndpointDirectory,
        private readonly clock: Clock,
        private readonly maxWaiting: () => number,
        private readonly queueClass: StageQueueClass = FairQueue,
    ) {
        this.subscription = directory.onChange(() => this.resizeSoon());
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
        const askedMs = this.clock.nowMs();
        return new Promise(resolve => {
            const waiting = new AbortController();
            const giveUp = () => waiting.abort();
            signal.addEventListener("abort", giveUp, { once: true });
            const run = () =>
                new Promise<void>(end => {
                    signal.removeEventListener("abort", giveUp);
                    this.recordPace(req, ahead, this.clock.nowMs() - askedMs);
                    resolve(Right({ end }));
                });
            queue.add(run, { ...options, signal: waiting.signal }).catch(() => resolve(Left("aborted")));
        });
    }

    /**
     * Expected wait for a turn, in milliseconds, where a call takes `callMs` from its turn to its end. `soon` calls will
     * be in the queue before.
     */
    public expectedWaitMs(req: PermitRequest, callMs: number, soon: number): number {
        const queue = this.queueFor(req);
        if (queue.size === 0 && queue.pending < queue.concurrency) {
            return 0;
        }
        const ahead = queue.sizeBy(this.optionsOf(req));
        const paceMs = Math.max(callMs / queue.concurrency, this.recentPaceMs(req));
        return (ahead + soon + 1) * paceMs;
    }

    /** Learns how long the workspace waits for each call ahead of its own; later calls of others go in between. */
    private recordPace(req: PermitRequest, ahead: number, waitedMs: number): void {
        const name = `${req.pool}/${req.priority}/${req.workspace}`;
        const paceMs = waitedMs / (ahead + 1);
        const before = this.paces.get(name)?.paceMs ?? paceMs;
        this.paces.set(name, {
            paceMs: before * (1 - paceWeight) + paceMs * paceWeight,
            atMs: this.clock.nowMs(),
        });
    }

    private recentPaceMs(req: PermitRequest): number {
        const pace = this.paces.get(`${req.pool}/${req.priority}/${req.workspace}`);
        return pace === undefined || this.clock.nowMs() - pace.atMs > paceLifeMs ? 0 : pace.paceMs;
    }

    /** True while calls wait for a turn in the pool. */
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

    /** Takes notice of a slot that was granted or released. */
    public refresh(name: string): void {
        const pool = this.pools.get(name);
        if (pool !== undefined) {
            this.resize(pool, name);
        }
    }

    /** Resizes the pools in which calls wait, once for all changes that come together. */
    private resizeSoon(): void {
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
     * Follows what this host has: its calls in flight, the slots that it could take at once, and some calls more that
     * wait for slots. What waits beyond that waits here, where priorities and shares are kept, and is not bound to an
     * endpoint yet.
     */
    private resize(pool: Pool, name: string): void {
        let limit = 0;
        let held = 0;
        for (const endpoint of this.directory.inPool(name)) {
            limit += endpoint.limit;
            held += endpoint.ownInFlight + endpoint.credits;
        }
        const waitingForSlots = Math.max(leastWaitingForSlots, Math.ceil(limit * waitingForSlotsShare));
        const quick = Math.max(1, Math.min(limit, held + waitingForSlots));
        if (pool.quick.concurrency !== quick) {
            pool.quick.concurrency = quick;
        }
        const quickWaits = pool.quick.size > 0 || pool.quick.pending >= quick;
        const share = quickWaits ? overnightShareWhenBusy : overnightShare;
        const overnightLimit = Math.max(1, Math.floor(quick * share));
        if (pool.overnight.concurrency !== overnightLimit) {
            pool.overnight.concurrency = overnightLimit;
        }
    }
}
