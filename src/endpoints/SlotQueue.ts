/** Queue of this host's requests that wait for a slot of one endpoint, ordered by priority, then deadline. */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, Disposable } from "../common/Types.js";
import type { Slot, SlotError, SlotRequest } from "./Types.js";

interface QueueEntry {
    readonly req: SlotRequest;
    readonly settle: (result: Either<SlotError, Slot>) => void;
    readonly timer: Disposable;
}

export class SlotQueue {
    private entries: QueueEntry[] = [];

    public constructor(
        private readonly clock: Clock,
        /** Creates the error for a request that got no slot by its deadline or was aborted. */
        private readonly createExpiredError: () => SlotError,
    ) {}

    public get size(): number {
        return this.entries.length;
    }

    public get first(): SlotRequest | undefined {
        return this.entries[0]?.req;
    }

    /** Adds a request; resolves with a slot, or with an error at the request's deadline or when its signal aborts. */
    public add(req: SlotRequest): Promise<Either<SlotError, Slot>> {
        return new Promise(resolve => {
            const expire = () => {
                this.entries = this.entries.filter(one => one !== entry);
                entry.settle(Left(this.createExpiredError()));
            };
            const entry: QueueEntry = {
                req,
                settle: result => {
                    entry.timer.dispose();
                    req.signal?.removeEventListener("abort", expire);
                    resolve(result);
                },
                timer: this.clock.setTimer(Math.max(0, req.deadlineMs - this.clock.nowMs()), expire),
            };
            this.entries.push(entry);
            this.entries.sort((a, b) => a.req.priority - b.req.priority || a.req.deadlineMs - b.req.deadlineMs);
            req.signal?.addEventListener("abort", expire, { once: true });
            if (req.signal?.aborted === true) {
                expire();
            }
        });
    }

    /** Removes the first request and resolves it with the slot that `take` returns. */
    public serveFirst(take: (req: SlotRequest) => Slot): void {
        const next = this.entries.shift();
        next?.settle(Right(take(next.req)));
    }

    /** Refuses all waiting requests. */
    public failAll(error: SlotError): void {
        for (const entry of this.entries.splice(0)) {
            entry.settle(Left(error));
        }
    }
}
