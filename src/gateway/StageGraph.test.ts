/**
 * Checks when each stage of a request starts. A short branch that starts too early would hold its results at their
 * endpoints until a longer parallel branch has ended.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Left, Right } from "purify-ts";
import { FakeClock } from "../../testing/FakeClock.js";
import { deployment, route, service, serviceId } from "../../testing/FleetFixtures.js";
import type { BatchTraits, RouteStage } from "../fleet/Types.js";
import type { NewSubmission, PieceExecutor, SubmissionId, SubmissionOutcome } from "../gather/Types.js";
import { StageGraph } from "./StageGraph.js";

/** Completes each stage in 100 ms and records when it was submitted; fails the given stages. */
class RecordingExecutor implements PieceExecutor {
    public readonly submittedMs = new Map<number, number>();
    /** Stages that were submitted as continued. */
    public readonly continued: number[] = [];

    public constructor(private readonly clock: FakeClock, private readonly failing: ReadonlySet<number>) {}

    public async execute({ stage, isContinued }: NewSubmission): Promise<SubmissionOutcome> {
        this.continued.push(...(isContinued ? [stage] : []));
        this.submittedMs.set(stage, this.clock.nowMs());
        await this.clock.sleep(100);
        return this.failing.has(stage) ? Left({ kind: "failed", message: "simulated" }) : Right([]);
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
    /** When each stage is submitted, in milliseconds; undefined for never. */
    readonly submittedMs: readonly (number | undefined)[];
    readonly continued?: readonly number[];
}[] = [
    {
        name: "the stages of a chain start one after another",
        stages: [stage(), stage(0), stage(1)],
        submittedMs: [0, 100, 200],
    },
    {
        name: "a short branch waits for a longer parallel one",
        stages: [stage(), stage(), stage(1), stage(2)],
        submittedMs: [200, 0, 100, 200],
        continued: [0, 2, 3],
    },
    { name: "branches of the same length start together", stages: [stage(), stage()], submittedMs: [0, 0] },
    {
        name: "the final stage of a branch of two waits for a branch of three",
        stages: [stage(), stage(0), stage(), stage(2), stage(3)],
        submittedMs: [0, 200, 0, 100, 200],
    },
    {
        name: "a short branch does not wait for a branch whose stages are skipped",
        stages: [stage(), stage(), stage(1)],
        pieces: [1, 0, 0],
        submittedMs: [0, undefined, undefined],
    },
    {
        name: "a short branch does not start when the longer one fails",
        stages: [stage(), stage(), stage(1), stage(2)],
        failing: [1],
        submittedMs: [undefined, 0, undefined, undefined],
    },
];

for (const { name, stages, pieces, failing, submittedMs, continued } of cases) {
    test(`stage start times: ${name}`, async () => {
        const clock = new FakeClock();
        const startMs = clock.nowMs();
        const executor = new RecordingExecutor(clock, new Set(failing));
        const graph = new StageGraph(executor, clock, () => "id" as SubmissionId);
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
        const submitted = stages.map((_, at) => {
            const atMs = executor.submittedMs.get(at);
            return atMs === undefined ? undefined : atMs - startMs;
        });
        assert.deepEqual(submitted, submittedMs);
        assert.deepEqual(executor.continued.sort(), continued ?? executor.continued);
    });
}
