/** Tests which endpoint ranks first by load and its age, prefix, data centre, and endpoints already tried. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { type EndpointSpec, FakeSlots } from "../../testing/pipeline/FakeSlots.js";
import type { DataCentreId, EndpointId, ModelId } from "../common/Types.js";
import { BlockPrefixIndex } from "./BlockPrefixIndex.js";
import { CostRouter } from "./CostRouter.js";

const prompt = "x".repeat(4096);
const engine = { pool: "p", limit: 4, kind: "engine" as const, recentMs: 200 };
const service = { pool: "p", limit: 4, recentMs: 100 };

interface Case {
    readonly name: string;
    readonly endpoints: readonly EndpointSpec[];
    readonly cachedAt?: string;
    readonly avoid?: string;
    readonly waitingAt?: Readonly<Record<string, number>>;
    readonly model?: string;
    readonly first: string | undefined;
}

const load = (running: number, ageMs: number) => ({ running, waiting: 0, ageMs });

describe("CostRouter", () => {
    const cases: Case[] = [
        {
            name: "the endpoint with less reported load",
            endpoints: [{ id: "a", ...service, reported: load(4, 10) }, { id: "b", ...service, reported: load(1, 10) }],
            first: "b",
        },
        {
            name: "an endpoint with an old report of high load when the idle one is slower",
            endpoints: [
                { id: "a", ...service, reported: load(4, 20_000) },
                { id: "b", ...service, recentMs: 150, reported: load(0, 10) },
            ],
            first: "a",
        },
        {
            name: "the endpoint where fewer calls of this host wait",
            endpoints: [{ id: "a", ...service }, { id: "b", ...service }],
            waitingAt: { a: 6 },
            first: "b",
        },
        {
            name: "the engine that has the prefix cached",
            endpoints: [{ id: "a", ...engine }, { id: "b", ...engine }],
            cachedAt: "b",
            first: "b",
        },
        {
            name: "another engine when the one with the prefix is overloaded",
            endpoints: [{ id: "a", ...engine }, { id: "b", ...engine }],
            cachedAt: "b",
            waitingAt: { b: 40 },
            first: "a",
        },
        {
            name: "the own data centre among equal endpoints",
            endpoints: [{ id: "a", ...service, dataCentre: "dc2" }, { id: "b", ...service }],
            first: "b",
        },
        {
            name: "another data centre when the local wait exceeds the network delay",
            endpoints: [{ id: "a", ...service, dataCentre: "dc2" }, { id: "b", ...service }],
            waitingAt: { b: 8 },
            first: "a",
        },
        {
            name: "an endpoint not tried before, even if it is slower",
            endpoints: [{ id: "a", ...service }, { id: "b", ...service, recentMs: 900 }],
            avoid: "a",
            first: "b",
        },
        {
            name: "a warm endpoint over a suspect one",
            endpoints: [{ id: "a", ...service, state: "suspect" }, { id: "b", ...service, recentMs: 900 }],
            first: "b",
        },
        {
            name: "only engines with the requested model",
            endpoints: [{ id: "a", ...engine, models: ["m1"] }, { id: "b", ...engine, models: ["m2"], recentMs: 900 }],
            model: "m2",
            first: "b",
        },
        {
            name: "no endpoint that is leaving",
            endpoints: [{ id: "a", ...service, state: "leaving" }],
            first: undefined,
        },
    ];
    for (const { name, endpoints, cachedAt, avoid, waitingAt, model, first } of cases) {
        it(`chooses ${name}`, () => {
            const index = new BlockPrefixIndex(new MemoryLog());
            if (cachedAt !== undefined) {
                index.recordPrompt(cachedAt as EndpointId, prompt);
            }
            const router = new CostRouter({
                directory: new FakeSlots(new FakeClock(), endpoints),
                prefixes: index,
                dataCentre: "dc1" as DataCentreId,
            });
            const ranked = router.rank({
                pool: "p",
                model: model as ModelId | undefined,
                prompt,
                avoid: new Set(avoid === undefined ? [] : [avoid as EndpointId]),
                waiting: new Map(Object.entries(waitingAt ?? {}) as [EndpointId, number][]),
                deadlineMs: 0,
            });
            assert.equal(ranked[0]?.endpoint.id, first);
        });
    }

    it("ranks the same engine first for a prompt on every host, unless it is overloaded", () => {
        const endpoints: EndpointSpec[] = [1, 2, 3, 4].map(n => ({ id: `e${n}`, ...engine }));
        const firstOf = (waiting: ReadonlyMap<EndpointId, number>, order: readonly EndpointSpec[]) =>
            new CostRouter({
                directory: new FakeSlots(new FakeClock(), order),
                prefixes: new BlockPrefixIndex(new MemoryLog()),
                dataCentre: "dc1" as DataCentreId,
            }).rank({ pool: "p", model: undefined, prompt, avoid: new Set(), waiting, deadlineMs: 0 })[0]!.endpoint.id;
        const preferred = firstOf(new Map(), endpoints);
        assert.equal(firstOf(new Map(), [...endpoints].reverse()), preferred);
        assert.notEqual(firstOf(new Map([[preferred, 40]]), endpoints), preferred);
    });
});
