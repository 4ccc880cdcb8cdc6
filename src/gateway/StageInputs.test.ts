/** Checks the inputs of stages, whatever the order of their numbers. */
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Right } from "purify-ts";
import { FakeClock } from "../../testing/FakeClock.js";
import { deployment, route, serviceId } from "../../testing/FleetFixtures.js";
import type { DataCentreId, EndpointId } from "../common/Types.js";
import type { RouteStage } from "../fleet/Types.js";
import type { NewSubmission, PieceExecutor, PieceResult, SubmissionId, SubmissionOutcome } from "../gather/Types.js";
import { StageGraph } from "./StageGraph.js";

const resultOf = (stage: number, piece: number): PieceResult => ({
    handle: `${stage}/${piece}`,
    endpoint: "e" as EndpointId,
    dataCentre: "a" as DataCentreId,
    bytes: 1,
});

/** Records the inputs of each stage, and completes its pieces in 10 ms. */
class InputRecorder implements PieceExecutor {
    /** Handles, or the key. */
    public readonly inputs = new Map<number, readonly string[] | string>();
    public readonly freed: string[] = [];

    public constructor(private readonly clock: FakeClock) {}

    public async execute({ stage, pieces, source }: NewSubmission): Promise<SubmissionOutcome> {
        assert.ok(!this.inputs.has(stage), `stage ${stage} runs twice`);
        this.inputs.set(stage, source.kind === "key" ? source.key : source.handles);
        await this.clock.sleep(10);
        return Right(pieces.map(piece => resultOf(stage, piece)));
    }

    public free(results: readonly PieceResult[]): void {
        this.freed.push(...results.map(one => one.handle));
    }

    public waitMs(): undefined {
        return undefined;
    }
}

const stage = (after: readonly number[]): RouteStage => ({ service: serviceId("s"), after, resultBytes: 1 });

interface StageRuns {
    readonly inputs: ReadonlyMap<number, readonly string[] | string>;
    readonly handles: readonly string[];
    readonly freed: readonly string[];
}

async function runStages(afters: readonly (readonly number[])[], pieces: readonly number[]): Promise<StageRuns> {
    const clock = new FakeClock();
    const executor = new InputRecorder(clock);
    const graph = new StageGraph(executor, clock, () => "id" as SubmissionId);
    const plan = {
        request: "r",
        route: route({ stages: afters.map(stage) }),
        deployment: deployment([], []),
        pieces,
        pieceKey: "k",
        priority: 0,
        objectiveMs: clock.nowMs() + 2000,
        deadlineMs: clock.nowMs() + 5000,
        replyMs: 50,
        dataCentre: undefined,
        notIn: [],
    };
    const ended = graph.run(plan, new AbortController().signal);
    await clock.advance(1000);
    const { handles } = (await ended).unsafeCoerce();
    return { inputs: executor.inputs, handles, freed: executor.freed };
}

const handlesOf = (stages: readonly number[], pieces: readonly number[]) =>
    stages.flatMap(at => Array.from({ length: pieces[at] ?? 0 }, (_, piece) => `${at}/${piece}`)).sort();

const maxStages = 7;

/** An acyclic graph: stage `order[at]` needs some of those that stand before it in `order`. */
const graphs = fc.integer({ min: 1, max: maxStages }).chain(count =>
    fc.record({
        order: fc.shuffledSubarray(Array.from({ length: count }, (_, at) => at), { minLength: count }),
        edges: fc.array(fc.array(fc.boolean(), { minLength: count, maxLength: count }), {
            minLength: count,
            maxLength: count,
        }),
        pieces: fc.array(fc.integer({ min: 1, max: 3 }), { minLength: count, maxLength: count }),
    })
);

// Guards against stages that start before one with a higher number which they need, and so get none of its results.
test("each stage gets the results of all stages that it needs, once, in any order of their numbers", async () => {
    await fc.assert(
        fc.asyncProperty(graphs, async ({ order, edges, pieces }) => {
            const afters = pieces.map((_, at) => {
                const place = order.indexOf(at);
                return order.slice(0, place).filter((_, before) => edges[place]?.[before]);
            });
            const { inputs, handles, freed } = await runStages(afters, pieces);
            afters.forEach((after, at) => {
                const given = inputs.get(at);
                const wanted = after.length === 0 ? "k" : handlesOf(after, pieces);
                assert.deepEqual(typeof given === "string" ? given : [...given ?? []].sort(), wanted);
            });
            const needed = new Set(afters.flat());
            const [inner, final] = [true, false].map(isNeeded =>
                handlesOf(pieces.flatMap((_, at) => needed.has(at) === isNeeded ? [at] : []), pieces)
            );
            assert.deepEqual([...handles].sort(), final);
            assert.deepEqual([...freed].sort(), inner);
        }),
        { seed: 65, numRuns: 300 },
    );
});

const cases: readonly {
    readonly name: string;
    readonly afters: readonly (readonly number[])[];
    readonly inputs: readonly (readonly string[] | string)[];
}[] = [
    { name: "a stage needs a later-numbered one", afters: [[1], []], inputs: [["1/0"], "k"] },
    { name: "a chain is numbered backwards", afters: [[1], [2], []], inputs: [["1/0"], ["2/0"], "k"] },
    { name: "two stages need a later-numbered one", afters: [[2], [2], []], inputs: [["2/0"], ["2/0"], "k"] },
    { name: "a stage is named twice", afters: [[], [0, 0]], inputs: ["k", ["0/0"]] },
];
for (const { name, afters, inputs } of cases) {
    // Guards against inputs that are missing or given twice.
    test(`inputs of stages: ${name}`, async () => {
        const runs = await runStages(afters, afters.map(() => 1));
        assert.deepEqual(afters.map((_, at) => runs.inputs.get(at)), inputs);
    });
}
