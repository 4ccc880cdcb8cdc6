/** Requests of this host that wait for a slot of one endpoint, by priority and then by deadline. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, Disposable } from "../common/Types.js";
import type { Slot, SlotError, SlotRequest } from "./Types.js";

interface Waiter {
    readonly req: SlotRequest;
    readonly settle: (result: Either<SlotError, Slot>) => void;
    readonly timer: Disposable;
}

export class SlotQueue {
    private waiters: Waiter[] = [];

    public constructor(
        private readonly clock: Clock,
        /** What a request hears that was not served by its deadline. */
        private readonly expired: () => SlotError,
    ) {}

    public get size(): number {
        return this.waiters.length;
    }

    public get first(): SlotRequest | undefined {
        return this.waiters[0]?.req;
    }

    /** Waits for a slot until the request's deadline or its signal. */
    public add(req: SlotRequest): Promise<Either<SlotError, Slot>> {
        return new Promise(resolve => {
            const leave = () => {
                this.waiters = this.waiters.filter(one => one !== waiter);
                waiter.settle(Left(this.expired()));
            };
            const waiter: Waiter = {
                req,
                settle: result => {
                    waiter.timer.dispose();
                    req.signal?.removeEventListener("abort", leave);
                    resolve(result);
                },
                timer: this.clock.setTimer(Math.max(0, req.deadlineMs - this.clock.nowMs()), leave),
            };
            this.waiters.push(waiter);
            this.waiters.sort((a, b) => a.req.priority - b.req.priority || a.req.deadlineMs - b.req.deadlineMs);
            req.signal?.addEventListener("abort", leave, { once: true });
            if (req.signal?.aborted === true) {
                leave();
            }
        });
    }

    /** Gives the first one its slot. */
    public serve(take: (req: SlotRequest) => Slot): void {
        const next = this.waiters.shift();
        next?.settle(Right(take(next.req)));
    }

    /** Refuses everybody. */
    public failAll(error: SlotError): void {
        for (const waiter of this.waiters.splice(0)) {
            waiter.settle(Left(error));
        }
    }
}
