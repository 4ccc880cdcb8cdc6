import assert from "node:assert/strict";
import { test } from "node:test";
import { Left, Right } from "purify-ts";
import { FakeClock } from "../../testing/FakeClock.js";
import { deployment, route, service, serviceId } from "../../testing/FleetFixtures.js";
import type { BatchTraits, RouteStage } from "../fleet/Types.js";
import type { NewSubmission, PieceExecutor, SubmissionId, SubmissionOutcome } from "../gather/Types.js";
import { StageGraph } from "./StageGraph.js";

/** Makes each stage in 100 ms and notes when it was asked; fails the stages that it is told to. */
class NotingMaker implements PieceExecutor {
    public readonly askedMs = new Map<number, number>();
    /** Stages that were asked for as ones that continue others. */
    public readonly continued: number[] = [];

    public constructor(private readonly clock: FakeClock, private readonly failing: ReadonlySet<number>) {}

    public async execute({ stage, isContinued }: NewSubmission): Promise<SubmissionOutcome> {
        this.continued.push(...(isContinued ? [stage] : []));
        this.askedMs.set(stage, this.clock.nowMs());
        await this.clock.sleep(100);
        return this.failing.has(stage) ? Left({ kind: "failed", message: "told to" }) : Right([]);
    }

    public free(): void {}

    public waitMs(): undefined {
        return undefined;
    }
}

const traits: BatchTraits = {
    slots: 1,
    batch: 10,
    callMs: 100,
    pieceMs: 1,
    resultRoomBytes: 1_000_000,
    resultKeptMs: 4000,
};

const stage = (...after: number[]): RouteStage => ({ service: serviceId("s"), after, resultBytes: 1 });

const cases: readonly {
    readonly name: string;
    readonly stages: readonly RouteStage[];
    readonly pieces?: readonly number[];
    readonly failing?: readonly number[];
    /** When each stage is asked for, in milliseconds; undefined for never. */
    readonly askedMs: readonly (number | undefined)[];
    readonly continued?: readonly number[];
}[] = [
    { name: "a chain", stages: [stage(), stage(0), stage(1)], askedMs: [0, 100, 200] },
    {
        name: "a short branch waits for a longer one beside it",
        stages: [stage(), stage(), stage(1), stage(2)],
        askedMs: [200, 0, 100, 200],
        continued: [0, 2, 3],
    },
    { name: "branches of the same length start together", stages: [stage(), stage()], askedMs: [0, 0] },
    {
        name: "a branch of two stages beside one of three",
        stages: [stage(), stage(0), stage(), stage(2), stage(3)],
        askedMs: [0, 200, 0, 100, 200],
    },
    {
        name: "a short branch beside one whose stages are left out",
        stages: [stage(), stage(), stage(1)],
        pieces: [1, 0, 0],
        askedMs: [0, undefined, undefined],
    },
    {
        name: "a short branch whose longer one fails is not begun",
        stages: [stage(), stage(), stage(1), stage(2)],
        failing: [1],
        askedMs: [undefined, 0, undefined, undefined],
    },
];

for (const { name, stages, pieces, failing, askedMs, continued } of cases) {
    test(`start of stages: ${name}`, async () => {
        const clock = new FakeClock();
        const startMs = clock.nowMs();
        const maker = new NotingMaker(clock, new Set(failing));
        const graph = new StageGraph(maker, clock, () => "id" as SubmissionId);
        const plan = {
            request: "r",
            route: route({ stages }),
            deployment: deployment([], [service("s", { pieces: traits })]),
            pieces: pieces ?? stages.map(() => 1),
            pieceKey: "k",
            priority: 0,
            objectiveMs: startMs + 2000,
            deadlineMs: startMs + 5000,
            replyMs: 50,
            dataCentre: undefined,
            notIn: [],
        };
        const ended = graph.run(plan, new AbortController().signal);
        await clock.advance(2000);
        assert.equal((await ended).isRight(), failing === undefined);
        const asked = stages.map((_, at) => {
            const atMs = maker.askedMs.get(at);
            return atMs === undefined ? undefined : atMs - startMs;
        });
        assert.deepEqual(asked, askedMs);
        assert.deepEqual(maker.continued.sort(), continued ?? maker.continued);
    });
}
