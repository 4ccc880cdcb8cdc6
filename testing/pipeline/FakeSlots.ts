/** In-memory endpoint directory and slot holder; grants slots up to each limit, by priority, then by deadline. */
import { type Either, Left, Right } from "purify-ts";
import { Emitter } from "../../src/common/Emitter.js";
import type { Clock, DataCentreId, EndpointId, ModelId } from "../../src/common/Types.js";
import type {
    CallEnd,
    EndpointDirectory,
    EndpointKind,
    EndpointState,
    EndpointView,
    Slot,
    SlotError,
    SlotHolder,
    SlotRequest,
} from "../../src/endpoints/Types.js";

export interface EndpointSpec {
    readonly id: string;
    readonly pool: string;
    limit: number;
    state?: EndpointState;
    readonly kind?: EndpointKind;
    readonly dataCentre?: string;
    readonly models?: readonly string[];
    recentMs?: number;
    reported?: EndpointView["reported"];
}

interface Waiter {
    readonly req: SlotRequest;
    grant(): void;
}

interface Entry {
    readonly endpoint: EndpointSpec;
    inFlight: number;
    exclusive: boolean;
    readonly waiters: Waiter[];
}

const slotLeaseMs = 2000;

export class FakeSlots implements EndpointDirectory, SlotHolder {
    private readonly entries = new Map<EndpointId, Entry>();
    private readonly changes = new Emitter<EndpointId>();
    public readonly onChange = this.changes.event;
    /** Ends of all calls, in order. */
    public readonly ends: { readonly endpoint: EndpointId; readonly end: CallEnd; }[] = [];
    /** Maximum number of calls that any endpoint had in flight beyond its limit. */
    public mostOverLimit = 0;

    public constructor(
        private readonly clock: Clock,
        endpoints: readonly EndpointSpec[],
        private readonly maxQueue: number = 1000,
        private readonly grantsExclusive: boolean = true,
    ) {
        for (const endpoint of endpoints) {
            this.entries.set(endpoint.id as EndpointId, {
                endpoint: { ...endpoint },
                inFlight: 0,
                exclusive: false,
                waiters: [],
            });
        }
    }

    public get(id: EndpointId): EndpointView | undefined {
        const entry = this.entries.get(id);
        return entry === undefined ? undefined : this.viewOf(id, entry);
    }

    public inPool(pool: string): readonly EndpointView[] {
        return [...this.entries]
            .filter(([, entry]) => entry.endpoint.pool === pool && this.isOpen(entry))
            .map(([id, entry]) => this.viewOf(id, entry));
    }

    /** Calls in flight on an endpoint. */
    public inFlight(id: string): number {
        return this.entries.get(id as EndpointId)?.inFlight ?? 0;
    }

    public change(id: string, change: Partial<Pick<EndpointSpec, "limit" | "state" | "recentMs" | "reported">>): void {
        const entry = this.entries.get(id as EndpointId)!;
        Object.assign(entry.endpoint, change);
        this.grantNext(entry);
        this.changes.fire(id as EndpointId);
    }

    public acquire(id: EndpointId, req: SlotRequest): Promise<Either<SlotError, Slot>> {
        const entry = this.entries.get(id);
        if (entry === undefined || !this.isOpen(entry)) {
            return Promise.resolve(Left({ kind: "closed", endpoint: id, state: entry?.endpoint.state ?? "out" }));
        }
        if (entry.waiters.length >= this.maxQueue) {
            return Promise.resolve(Left({ kind: "no-slot", endpoint: id, retryAfterMs: 100 }));
        }
        return new Promise(resolve => {
            const finish = (result: Either<SlotError, Slot>) => {
                timer.dispose();
                req.signal?.removeEventListener("abort", giveUp);
                const index = entry.waiters.indexOf(waiter);
                if (index >= 0) {
                    entry.waiters.splice(index, 1);
                }
                resolve(result);
            };
            const giveUp = () => finish(Left({ kind: "no-slot", endpoint: id, retryAfterMs: 100 }));
            const waiter: Waiter = { req, grant: () => finish(Right(this.newSlot(id, entry, req))) };
            const timer = this.clock.setTimer(Math.max(0, req.deadlineMs - this.clock.nowMs()), giveUp);
            req.signal?.addEventListener("abort", giveUp);
            entry.waiters.push(waiter);
            entry.waiters.sort((a, b) => a.req.priority - b.req.priority || a.req.deadlineMs - b.req.deadlineMs);
            this.grantNext(entry);
        });
    }

    private newSlot(id: EndpointId, entry: Entry, req: SlotRequest): Slot {
        entry.inFlight += 1;
        entry.exclusive = req.exclusive === true && this.grantsExclusive;
        this.mostOverLimit = Math.max(this.mostOverLimit, entry.inFlight - entry.endpoint.limit);
        const expiresAtMs = this.clock.nowMs() + slotLeaseMs;
        let released = false;
        return {
            endpoint: id,
            expiresAtMs,
            ...(this.grantsExclusive ? { exclusive: entry.exclusive } : {}),
            begin: () => this.clock.nowMs() <= expiresAtMs,
            release: end => {
                if (released) {
                    throw new Error("slot released twice");
                }
                released = true;
                entry.inFlight -= 1;
                entry.exclusive = false;
                this.ends.push({ endpoint: id, end });
                this.grantNext(entry);
            },
        };
    }

    private grantNext(entry: Entry): void {
        while (this.isOpen(entry) && !entry.exclusive && entry.inFlight < entry.endpoint.limit) {
            const next = entry.waiters[0];
            if (next === undefined || (next.req.exclusive === true && this.grantsExclusive && entry.inFlight > 0)) {
                return;
            }
            next.grant();
        }
    }

    private isOpen(entry: Entry): boolean {
        return entry.endpoint.state !== "out" && entry.endpoint.state !== "leaving";
    }

    private viewOf(id: EndpointId, entry: Entry): EndpointView {
        const { endpoint } = entry;
        return {
            id,
            dataCentre: (endpoint.dataCentre ?? "dc1") as DataCentreId,
            kind: endpoint.kind ?? "service",
            pool: endpoint.pool,
            models: (endpoint.models ?? []) as readonly ModelId[],
            state: endpoint.state ?? "warm",
            limit: endpoint.limit,
            ownInFlight: entry.inFlight,
            credits: Math.max(0, endpoint.limit - entry.inFlight),
            reported: endpoint.reported,
            recentMs: endpoint.recentMs,
        };
    }
}
