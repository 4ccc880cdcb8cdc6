/**
 * A clock in virtual time for long simulations: it advances from timer to timer and lets pending promises settle in
 * between.
 */
import { sleepOn } from "../src/common/Sleep.js";
import type { Clock, Disposable } from "../src/common/Types.js";

interface Timer {
    readonly atMs: number;
    readonly order: number;
    callback: (() => void) | undefined;
}

export class VirtualClock implements Clock {
    private timeMs = 1_000_000;
    private lastOrder = 0;
    /** Binary min-heap, ordered by time and then by creation. */
    private readonly heap: Timer[] = [];

    public nowMs(): number {
        return this.timeMs;
    }

    public wallMs(): number {
        return this.timeMs;
    }

    public setTimer(delayMs: number, callback: () => void): Disposable {
        this.lastOrder += 1;
        const timer: Timer = { atMs: this.timeMs + Math.max(0, delayMs), order: this.lastOrder, callback };
        this.push(timer);
        return {
            dispose: () => {
                timer.callback = undefined;
            },
        };
    }

    public sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
        return sleepOn(this, delayMs, signal);
    }

    /** Runs timers until the promise has settled, and returns it. Throws if no timer is left before that. */
    public async runUntil<T>(promise: Promise<T>): Promise<T> {
        let settled = false;
        const onSettled = () => {
            settled = true;
        };
        promise.then(onSettled, onSettled);
        await this.settlePromises();
        while (!settled) {
            const timer = this.pop();
            if (timer === undefined) {
                throw new Error("no timer is left, and the promise has not settled");
            }
            if (timer.callback !== undefined) {
                this.timeMs = timer.atMs;
                timer.callback();
                await this.settlePromises();
            }
        }
        return promise;
    }

    private settlePromises(): Promise<void> {
        return new Promise(resolve => setImmediate(resolve));
    }

    private push(timer: Timer): void {
        this.heap.push(timer);
        let index = this.heap.length - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!this.isBefore(this.heap[index]!, this.heap[parent]!)) {
                return;
            }
            this.swap(index, parent);
            index = parent;
        }
    }

    private pop(): Timer | undefined {
        const first = this.heap[0];
        const last = this.heap.pop();
        if (first === undefined || last === undefined || this.heap.length === 0) {
            return first;
        }
        this.heap[0] = last;
        let index = 0;
        while (true) {
            let smallest = index;
            for (const child of [2 * index + 1, 2 * index + 2]) {
                if (child < this.heap.length && this.isBefore(this.heap[child]!, this.heap[smallest]!)) {
                    smallest = child;
                }
            }
            if (smallest === index) {
                return first;
            }
            this.swap(index, smallest);
            index = smallest;
        }
    }

    private isBefore(a: Timer, b: Timer): boolean {
        return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
    }

    private swap(a: number, b: number): void {
        [this.heap[a], this.heap[b]] = [this.heap[b]!, this.heap[a]!];
    }
}
