/** Checks which orders change the replicated state, and that snapshots of all builds are readable. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ServiceId } from "../common/Types.js";
import { FleetState } from "../fleet/FleetState.js";
import type { Json } from "../replication/Types.js";
import { plainVerdict, type RolloutCommand, RolloutTable } from "./RolloutTable.js";

const service = "s" as ServiceId;
const start = (target: string, durationMs = 12_000, after = -1): RolloutCommand => ({
    kind: "start-rollout",
    service,
    target,
    durationMs,
    atMs: 1000,
    after,
});
const end = (table: RolloutTable, state: "completed" | "rolled_back") =>
    table.apply({
        kind: "end-rollout",
        service,
        order: table.find(service)?.order ?? 0,
        state,
        verdict: plainVerdict("failures", 2000),
    });

const cases: readonly {
    readonly name: string;
    readonly before: (table: RolloutTable) => void;
    readonly order: RolloutCommand;
    readonly outcome: string;
}[] = [
    { name: "the first order", before: () => undefined, order: start("v2"), outcome: "started" },
    {
        name: "the same order in progress",
        before: t => t.apply(start("v2")),
        order: start("v2"),
        outcome: "in-progress",
    },
    { name: "another target in progress", before: t => t.apply(start("v2")), order: start("v3"), outcome: "conflict" },
    {
        name: "another duration in progress",
        before: t => t.apply(start("v2")),
        order: start("v2", 9000),
        outcome: "conflict",
    },
    {
        name: "another service in progress",
        before: t => t.apply({ ...start("v2"), service: "t" as ServiceId }),
        order: start("v2"),
        outcome: "started",
    },
    {
        name: "the same order after its rollback",
        before: t => [t.apply(start("v2")), end(t, "rolled_back")],
        order: start("v2"),
        outcome: "repeated",
    },
    {
        name: "a new order for a version that was rolled back",
        before: t => [t.apply(start("v2")), end(t, "rolled_back")],
        order: start("v2", 9000),
        outcome: "started",
    },
];

for (const { name, before, order, outcome } of cases) {
    test(`an order leads to the right outcome, and changes nothing unless it starts: ${name}: ${outcome}`, () => {
        const table = new RolloutTable();
        before(table);
        const revision = table.revision;
        assert.equal(table.apply(order), outcome);
        assert.equal(table.revision, revision + (outcome === "started" ? 1 : 0));
    });
}

test("a rejected version stays rejected through later orders until one names it", () => {
    const table = new RolloutTable();
    table.apply(start("v2"));
    end(table, "rolled_back");
    table.apply(start("v3"));
    end(table, "completed");
    assert.deepEqual(table.find(service)?.rejected, ["v2"]);
    table.apply(start("v2"));
    assert.deepEqual([table.find(service)?.rejected, table.find(service)?.base], [[], "v3"]);
});

test("steps and ends of an order that has ended change nothing", () => {
    const table = new RolloutTable();
    table.apply(start("v2"));
    const { order } = table.find(service)!;
    end(table, "rolled_back");
    table.apply(start("v3"));
    assert.equal(table.apply({ kind: "step-rollout", service, order, step: 1, isProven: true, atMs: 0 }), "stale");
    const verdict = plainVerdict("drained", 0);
    assert.equal(table.apply({ kind: "end-rollout", service, order, state: "completed", verdict }), "stale");
    assert.equal(table.find(service)?.state, "serving");
});

test("roll-outs survive a snapshot of the fleet's state, and a snapshot of an older build has none", () => {
    const state = new FleetState();
    state.apply(start("v2"), 1);
    const snapshot = JSON.parse(JSON.stringify(state.snapshot())) as Record<string, Json>;
    const copy = new FleetState();
    copy.restore(snapshot);
    assert.deepEqual(copy.snapshot(), state.snapshot());
    const { rollouts, ...older } = snapshot;
    assert.notEqual(rollouts, undefined);
    copy.restore(older);
    assert.deepEqual(copy.rollouts.records, []);
});

// Guards against a copy of an order that its operator gave up, which is committed after a newer roll-out has ended.
test("an order to begin a roll-out changes nothing after another one has begun that its host did not know", () => {
    const table = new RolloutTable();
    const late = start("v2", 12_000, table.find(service)?.order ?? 0);
    assert.equal(table.apply(late), "started");
    end(table, "rolled_back");
    assert.equal(table.apply(start("v3", 12_000, table.find(service)?.order)), "started");
    end(table, "completed");
    assert.equal(table.apply(late), "stale");
    assert.equal(table.find(service)?.target, "v3");
});
