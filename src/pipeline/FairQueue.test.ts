/** Dequeue order by priority, workspace share and deadline, without starvation. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { WorkspaceId } from "../common/Types.js";
import type { Priority } from "../endpoints/Types.js";
import { FairQueue } from "./FairQueue.js";

interface Item {
    readonly id: string;
    readonly workspace?: string;
    readonly weight?: number;
    readonly urgency?: Priority;
    readonly deadlineMs?: number;
}

class QueueDriver {
    private readonly queue = new FairQueue();
    private readonly names = new Map<() => Promise<unknown>, string>();

    public add(items: readonly Item[]): this {
        for (const item of items) {
            const run = async () => undefined;
            this.names.set(run, item.id);
            this.queue.enqueue(run, { ...this.optionsOf(item), id: item.id });
        }
        return this;
    }

    public take(count: number): string[] {
        return Array.from({ length: count }, () => this.names.get(this.queue.dequeue()!)!);
    }

    public remove(id: string): void {
        this.queue.remove(id);
    }

    public ahead(item: Item): string[] {
        return this.queue.filter(this.optionsOf(item)).map(run => this.names.get(run)!);
    }

    public get size(): number {
        return this.queue.size;
    }

    private optionsOf(item: Item) {
        return {
            workspace: (item.workspace ?? "w1") as WorkspaceId,
            weight: item.weight ?? 1,
            urgency: item.urgency ?? 1,
            deadlineMs: item.deadlineMs ?? 100,
        };
    }
}

function many(count: number, item: Omit<Item, "id">, name: string): Item[] {
    return Array.from({ length: count }, (_, index) => ({ ...item, id: `${name}${index}` }));
}

describe("FairQueue", () => {
    const cases: { name: string; items: Item[]; order: string[]; }[] = [
        {
            name: "the earliest deadline first",
            items: [{ id: "late", deadlineMs: 300 }, { id: "soon", deadlineMs: 100 }, { id: "mid", deadlineMs: 200 }],
            order: ["soon", "mid", "late"],
        },
        {
            name: "equal deadlines in order of arrival",
            items: many(3, {}, "r"),
            order: ["r0", "r1", "r2"],
        },
        {
            name: "priority before deadline",
            items: [{ id: "normal", deadlineMs: 1 }, { id: "quick", urgency: 0, deadlineMs: 900 }],
            order: ["quick", "normal"],
        },
        {
            name: "another workspace's single call in between a burst",
            items: [...many(3, { workspace: "big", deadlineMs: 1 }, "b"), { id: "small", workspace: "little" }],
            order: ["b0", "small", "b1", "b2"],
        },
    ];
    for (const { name, items, order } of cases) {
        it(`takes ${name}`, () => {
            assert.deepEqual(new QueueDriver().add(items).take(items.length), order);
        });
    }

    it("shares by weight", () => {
        const order = new QueueDriver().add([
            ...many(40, { workspace: "heavy", weight: 3 }, "h"),
            ...many(40, { workspace: "light", weight: 1 }, "l"),
        ]);
        const heavy = order.take(40).filter(id => id.startsWith("h")).length;
        assert.ok(heavy >= 29 && heavy <= 31, `${heavy} of 40`);
    });

    it("gives a lower priority one dequeue in eight and the higher one all others", () => {
        const order = new QueueDriver().add([...many(80, { urgency: 0 }, "q"), ...many(80, { urgency: 2 }, "o")]);
        const overnight = order.take(80).filter(id => id.startsWith("o")).length;
        assert.equal(overnight, 10);
    });

    it("does not let an idle workspace accumulate turns", () => {
        const order = new QueueDriver().add(many(10, { workspace: "busy" }, "b"));
        order.take(8);
        order.add(many(10, { workspace: "idle" }, "i"));
        assert.ok(order.take(4).filter(id => id.startsWith("b")).length >= 1);
    });

    it("removes an entry", () => {
        const order = new QueueDriver().add(many(3, {}, "r"));
        order.remove("r1");
        assert.equal(order.size, 2);
        assert.deepEqual(order.take(2), ["r0", "r2"]);
    });

    it("lists the calls that would start before a new one", () => {
        const order = new QueueDriver().add([
            ...many(10, { workspace: "big" }, "b"),
            { id: "own", workspace: "little", deadlineMs: 50 },
            { id: "quick", urgency: 0, workspace: "big" },
            { id: "overnight", urgency: 2, workspace: "little" },
        ]);
        const ahead = order.ahead({ id: "new", workspace: "little", deadlineMs: 100 });
        assert.deepEqual(ahead.sort(), ["b0", "b1", "own", "quick"]);
    });

    it("dequeues each remaining entry exactly once after random additions and removals", () => {
        const item = fc.record({
            workspace: fc.constantFrom("w1", "w2", "w3"),
            weight: fc.constantFrom(0.5, 1, 4),
            urgency: fc.constantFrom<Priority>(0, 1, 2),
            deadlineMs: fc.nat(100),
        });
        fc.assert(
            fc.property(fc.array(item, { maxLength: 60 }), fc.array(fc.nat(59)), (items, removed) => {
                const order = new QueueDriver().add(items.map((one, index) => ({ ...one, id: `${index}` })));
                const gone = new Set(removed.filter(index => index < items.length).map(String));
                gone.forEach(id => order.remove(id));
                const taken = order.take(order.size);
                assert.equal(taken.length, items.length - gone.size);
                assert.equal(new Set(taken).size, taken.length);
                assert.ok(taken.every(id => !gone.has(id)));
            }),
            { seed: 4, numRuns: 100 },
        );
    });
});
