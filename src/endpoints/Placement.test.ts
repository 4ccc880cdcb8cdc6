/** Tests which load and unload orders are planned for given engines, demand and time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { EndpointId, ModelId } from "../common/Types.js";
import { type PlacedEngine, Placement } from "./Placement.js";

interface EngineCase {
    readonly allowed: readonly string[];
    /** Models with version, such as "m1@v1"; a trailing "?" marks a model that is still loading. */
    readonly has: readonly string[] | undefined;
    readonly isOpen?: boolean;
}

function engineOf({ allowed, has, isOpen = true }: EngineCase, index: number): PlacedEngine {
    const models = has?.map(text => {
        const [model = "", version = ""] = text.replace("?", "").split("@");
        return { model, version, ready: !text.endsWith("?") };
    });
    const state = models === undefined
        ? undefined
        : { incarnation: "x", role: "both" as const, models, adapters: [], fencing: 0 };
    return { endpoint: `e${index + 1}` as EndpointId, allowed: allowed as ModelId[], warmLimit: 10, state, isOpen };
}

const cases: readonly {
    readonly name: string;
    readonly engines: readonly EngineCase[];
    readonly demand?: Readonly<Record<string, number>>;
    readonly afterMs?: number;
    readonly orders: readonly string[];
}[] = [
    { name: "a model already in place gets no order", engines: [{ allowed: ["m1"], has: ["m1@v1"] }], orders: [] },
    { name: "a missing model is loaded", engines: [{ allowed: ["m1"], has: [] }], orders: ["e1 load-model m1"] },
    { name: "an unresponsive engine gets no order", engines: [{ allowed: ["m1"], has: undefined }], orders: [] },
    { name: "a leaving engine gets no order", engines: [{ allowed: ["m1"], has: [], isOpen: false }], orders: [] },
    { name: "a load in progress is not repeated", engines: [{ allowed: ["m1"], has: ["m1@v1?"] }], orders: [] },
    {
        name: "copies are replaced by a new version one at a time",
        engines: [{ allowed: ["m1"], has: ["m1@v0"] }, { allowed: ["m1"], has: ["m1@v0"] }],
        demand: { m1: 3 },
        orders: ["e1 load-model m1"],
    },
    {
        name: "the last ready copy in demand is not replaced",
        engines: [{ allowed: ["m1"], has: ["m1@v0"] }],
        demand: { m1: 3 },
        orders: [],
    },
    {
        name: "the last copy without demand is replaced",
        engines: [{ allowed: ["m1"], has: ["m1@v0"] }],
        orders: ["e1 load-model m1"],
    },
    {
        name: "a model in demand without a copy is loaded at once",
        engines: [{ allowed: ["m1", "m2"], has: ["m1@v1"] }],
        demand: { m2: 1 },
        orders: ["e1 load-model m2"],
    },
    {
        name: "a further copy is not loaded before demand has lasted",
        engines: [{ allowed: ["m1", "m2"], has: ["m2@v1"] }, { allowed: ["m1", "m2"], has: ["m1@v1"] }],
        demand: { m2: 12 },
        orders: [],
    },
    {
        name: "a further copy is loaded after demand has lasted",
        engines: [{ allowed: ["m1", "m2"], has: ["m2@v1"] }, { allowed: ["m1", "m2"], has: ["m1@v1"] }],
        demand: { m2: 12 },
        afterMs: 6000,
        orders: ["e2 load-model m2"],
    },
    {
        name: "a surplus copy is unloaded after a long time",
        engines: [{ allowed: ["m1", "m2"], has: ["m2@v1"] }, { allowed: ["m1", "m2"], has: ["m2@v1"] }],
        demand: { m2: 2 },
        afterMs: 130_000,
        orders: ["e2 unload-model m2"],
    },
    {
        name: "a surplus copy is not unloaded soon",
        engines: [{ allowed: ["m1", "m2"], has: ["m2@v1"] }, { allowed: ["m1", "m2"], has: ["m2@v1"] }],
        demand: { m2: 2 },
        afterMs: 60_000,
        orders: [],
    },
    {
        name: "a model that an engine may no longer hold is unloaded",
        engines: [{ allowed: ["m1"], has: ["m1@v1", "m2@v1"] }],
        orders: ["e1 unload-model m2"],
    },
    {
        name: "a model that an engine may no longer hold is kept while it is the last copy in demand",
        engines: [{ allowed: ["m1"], has: ["m1@v1", "m2@v1"] }],
        demand: { m2: 1 },
        orders: [],
    },
];

for (const { name, engines, demand = {}, afterMs = 0, orders } of cases) {
    test(name, () => {
        const placement = new Placement();
        const input = {
            engines: engines.map(engineOf),
            versions: new Map([["m1" as ModelId, "v1"], ["m2" as ModelId, "v1"]]),
            demand: new Map(Object.entries(demand) as [ModelId, number][]),
        };
        placement.plan({ ...input, nowMs: 1000 });
        const planned = placement.plan({ ...input, nowMs: 1000 + afterMs });
        assert.deepEqual(planned.map(one => `${one.endpoint} ${one.order.kind} ${one.model}`), orders);
    });
}
