/**
 * Checks that an order which an operator has given up changes nothing once a newer one has been acknowledged, however late
 * it is committed and however often. Operators order one thing after another, each with the copies that they have sent.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Right } from "purify-ts";
import { FleetCluster } from "../../testing/FleetCluster.js";
import { noMetrics } from "../../testing/FleetFixtures.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import type { DataCentreId, HostId } from "../common/Types.js";
import type { Json } from "../replication/Types.js";
import { FleetState } from "./FleetState.js";
import { type OperatorAnswer, OperatorCallHandler } from "./OperatorCallHandler.js";

const dataCentre = "a" as DataCentreId;

/** One copy of an order, which a host binds to the state while its operator waits, and which is committed at any time. */
interface Copy {
    /** The order's place among all that the operator gives. */
    readonly order: number;
    readonly isOut: boolean;
    readonly dataCentre: string;
    seen: number;
}

const commandOf = ({ dataCentre, isOut, seen }: Copy): Json => ({
    kind: "set-data-centre",
    dataCentre,
    isOut,
    seen,
    by: "c1",
});

/** What happens to the operators' orders, one step after another; numbers choose among what is possible. */
const steps = fc.array(
    fc.oneof(
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("order" as const), isOut: fc.boolean() }) },
        { weight: 4, arbitrary: fc.record({ kind: fc.constant("bind" as const) }) },
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("commit" as const), choice: fc.nat(50) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constant("restore" as const) }) },
    ),
    { maxLength: 60 },
);

/** An operator of one data centre who has the next order only after the last one was acknowledged or given up. */
class Operator {
    public readonly copies: Copy[] = [];
    public lastAcknowledged = -1;
    private current: { readonly order: number; readonly isOut: boolean; } | undefined;
    private orders = 0;

    public constructor(public readonly dataCentre: string) {}

    public order(isOut: boolean): void {
        this.current = { order: this.orders, isOut };
        this.orders += 1;
    }

    /** Another control host gets the order and binds it to the state up to `seen`. */
    public bind(seen: number): void {
        if (this.current !== undefined && this.current.order > this.lastAcknowledged) {
            this.copies.push({ ...this.current, dataCentre: this.dataCentre, seen });
        }
    }

    /** Only the operator who still waits for the order takes the acknowledgement. */
    public acknowledge({ order }: Copy): void {
        if (order === this.current?.order) {
            this.lastAcknowledged = order;
        }
    }

    /** The states that the last acknowledged order and those after it allow; any if none was acknowledged. */
    public allows(isOut: boolean): boolean {
        const last = this.copies.filter(one => one.order >= this.lastAcknowledged);
        return this.lastAcknowledged < 0 || last.some(one => one.isOut === isOut);
    }
}

// Guards against a late copy of an order that takes effect behind a newer one which was acknowledged (review case 1).
test("the state of each data centre is that of its last acknowledged order, or of a later one", () => {
    fc.assert(
        fc.property(steps, steps, (first, second) => {
            let state = new FleetState();
            let index = 0;
            const operators = [new Operator("a"), new Operator("b")];
            const script = [first, second].flatMap((own, at) => own.map((step, place) => ({ step, at, place })))
                .sort((x, y) => x.place - y.place);
            for (const { step, at } of script) {
                const operator = operators[at]!;
                const copy = step.kind === "commit" ? operator.copies[step.choice % operator.copies.length] : undefined;
                if (step.kind === "order") {
                    operator.order(step.isOut);
                }
                else if (step.kind === "bind") {
                    operator.bind(index);
                }
                else if (copy !== undefined) {
                    index += 1;
                    const result = state.apply(commandOf(copy), index) as { readonly kind: string; };
                    if (result.kind === "set") {
                        operator.acknowledge(copy);
                    }
                }
                else if (step.kind === "restore") {
                    const restored = new FleetState();
                    restored.restore(JSON.parse(JSON.stringify(state.snapshot())) as Json);
                    state = restored;
                }
                for (const one of operators) {
                    const isOut = state.dataCentresOut.includes(one.dataCentre);
                    assert.ok(one.allows(isOut), `${one.dataCentre} is ${isOut ? "out" : "in"} use`);
                }
            }
        }),
        { seed: 53, numRuns: 2000 },
    );
});

const older = { version: 1, text: "1", dataCentresOut: ["a"], crashes: [] };

const mixed: readonly {
    readonly name: string;
    readonly commands: readonly Json[];
    readonly out: readonly string[];
}[] = [
    {
        name: "an order of an older build, which names no state, takes effect",
        commands: [{ kind: "set-data-centre", dataCentre: "a", isOut: false }],
        out: [],
    },
    {
        name: "an order that is bound to a state before the snapshot takes effect",
        commands: [{ kind: "set-data-centre", dataCentre: "a", isOut: false, seen: 3, by: "c1" }],
        out: [],
    },
    {
        name: "an order that is bound to a state before one of an older build changes nothing",
        commands: [
            { kind: "set-data-centre", dataCentre: "a", isOut: false },
            { kind: "set-data-centre", dataCentre: "a", isOut: true, seen: 9, by: "c1" },
        ],
        out: [],
    },
];

for (const { name, commands, out } of mixed) {
    // Guards against control hosts that can't read what those of the build before have written.
    test(`after a snapshot of an older build, ${name}`, () => {
        const state = new FleetState();
        state.restore(older);
        commands.forEach((command, at) => state.apply(command, 10 + at));
        assert.deepEqual(state.dataCentresOut, out);
    });
}

// Guards against a configuration that comes late and takes the place of a newer one, or of another one with its number.
test("a late configuration with an older or equal version changes nothing", () => {
    const state = new FleetState();
    [[7, "seven"], [5, "five"], [7, "another"]].forEach(([version, text], at) =>
        state.apply({ kind: "put-config", version: version!, text: text! }, at + 1)
    );
    assert.deepEqual([state.version, state.text], [7, "seven"]);
});

interface Log {
    /** Resolves to the index of a read, after whatever happens meanwhile. */
    readonly read: () => Promise<number>;
    readonly results: readonly Json[];
}

const calls: readonly {
    readonly name: string;
    readonly log: Log;
    readonly hasLeft: readonly boolean[];
    readonly answer: OperatorAnswer["kind"];
    /** The states to which proposals were bound. */
    readonly seen: readonly number[];
}[] = [
    {
        name: "is bound to the state that was confirmed",
        log: { read: async () => 4, results: [{ kind: "set" }] },
        hasLeft: [false],
        answer: "done",
        seen: [4],
    },
    {
        name: "is dropped when its operator has left while the state was being confirmed",
        log: { read: async () => 4, results: [] },
        hasLeft: [true],
        answer: "unavailable",
        seen: [],
    },
    {
        name: "is bound anew when another order came between",
        log: { read: counter(4), results: [{ kind: "stale" }, { kind: "set" }] },
        hasLeft: [false, false],
        answer: "done",
        seen: [4, 5],
    },
    {
        name: "is not bound anew when its operator has left",
        log: { read: counter(4), results: [{ kind: "stale" }] },
        hasLeft: [false, true],
        answer: "unavailable",
        seen: [4],
    },
];

function counter(from: number): () => Promise<number> {
    let next = from - 1;
    return async () => {
        next += 1;
        return next;
    };
}

for (const { name, log: { read, results }, hasLeft, answer, seen } of calls) {
    // Guards against an order that is bound to a state from after its operator has given it up.
    test(`an order ${name}`, async () => {
        const cluster = new FleetCluster([]);
        const proposed: number[] = [];
        const left = [...hasLeft];
        const outcomes = [...results];
        const handler = new OperatorCallHandler({
            self: "c1" as HostId,
            log: {
                readBarrier: async () => Right(await read()),
                propose: async command => {
                    proposed.push((command as { readonly seen: number; }).seen);
                    return Right(outcomes.shift() ?? null);
                },
            },
            state: new FleetState(),
            decoder: cluster.decoder,
            rollouts: { execute: () => assert.fail() },
            clock: cluster.clock,
            events: new MemoryLog(),
            metrics: noMetrics,
        });
        const call = { kind: "set-data-centre", dataCentre, isOut: true } as const;
        const given = await handler.handle(call, { hasLeft: async () => left.shift() ?? true });
        assert.deepEqual([given.kind, proposed], [answer, seen]);
    });
}
