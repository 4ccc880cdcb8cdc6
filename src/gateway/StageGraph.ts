/**
 * Runs the stages of a request's route, which form a directed acyclic graph, and returns the results that the request's
 * endpoint needs. Each stage starts when its predecessors have ended, and results are freed once no later stage needs
 * them. A final stage waits for a longer parallel branch: otherwise its results would occupy storage at their endpoints
 * until that branch has ended.
 */
import { type Either, Left, Right } from "purify-ts";
import type { Clock, DataCentreId } from "../common/Types.js";
import type { Deployment, Route, RouteStage, ServiceId } from "../fleet/Types.js";
import type {
    PieceExecutor,
    PieceResult,
    PieceSource,
    ResultLocation,
    SubmissionError,
    SubmissionId,
} from "../gather/Types.js";
import { ancestorsOf, isFinal, startOrder } from "./StageOrder.js";

/** The stages of one request and their time limits. */
export interface StagePlan {
    readonly request: string;
    readonly route: Route;
    readonly deployment: Deployment;
    /** Number of pieces of each stage; a stage without pieces is skipped. */
    readonly pieces: readonly number[];
    readonly pieceKey: string;
    readonly priority: number;
    /** Latency objective and deadline, on the local clock. */
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    /** Estimate of the time from the last result to the first byte of the reply. */
    readonly replyMs: number;
    /** Data centre of the endpoint that is expected to get the request; undefined when unknown. */
    readonly dataCentre: DataCentreId | undefined;
    /** Data centres in which no piece may run. */
    readonly notIn: readonly DataCentreId[];
}

/** Results of the final stages. */
export interface StageResults {
    readonly handles: readonly string[];
    /** Data centres of the endpoints that hold the results. */
    readonly dataCentres: ReadonlySet<DataCentreId>;
    /** Frees the results at their endpoints. A second call does nothing. */
    free(): void;
}

interface StageRun {
    readonly stage: RouteStage;
    readonly index: number;
    ended: Promise<Either<SubmissionError, readonly PieceResult[]>>;
}

export class StageGraph {
    public constructor(
        private readonly executor: PieceExecutor,
        private readonly clock: Clock,
        private readonly nextId: () => SubmissionId,
    ) {}

    /** Runs all stages. The first failure cancels the others and frees their results. */
    public async run(plan: StagePlan, signal: AbortSignal): Promise<Either<SubmissionError, StageResults>> {
        const failed = new AbortController();
        const combinedSignal = AbortSignal.any([signal, failed.signal]);
        const { stages } = plan.route;
        const order = startOrder(stages);
        if (order === undefined) {
            return Left({ kind: "failed", message: "a stage can't run: it needs itself, or one that does not exist" });
        }
        const runs = stages.map((stage, index): StageRun => ({ stage, index, ended: Promise.resolve(Right([])) }));
        for (const run of order.flatMap(index => runs[index] ?? [])) {
            run.ended = this.runStage(plan, run, runs, combinedSignal);
        }
        const freed = Promise.all(runs.map(run => this.freeOnceUsed(run, runs)));
        let firstError: SubmissionError | undefined;
        const ended = Promise.all(runs.map(async run => {
            const end = await run.ended;
            end.ifLeft(error => {
                firstError ??= error;
                failed.abort();
            });
            return { run, results: end.orDefault([]) };
        }));
        const [ends] = await Promise.all([ended, freed]);
        const finalStages = ends.filter(({ run }) => isFinal(stages, run.index));
        const freeAll = () => finalStages.forEach(({ results }) => this.executor.free(results));
        if (firstError !== undefined) {
            freeAll();
            return Left(firstError);
        }
        let isFreed = false;
        return Right({
            handles: finalStages.flatMap(({ results }) => results.map(one => one.handle)),
            dataCentres: new Set(finalStages.flatMap(({ results }) => results.map(one => one.dataCentre))),
            free: () => {
                if (!isFreed) {
                    isFreed = true;
                    freeAll();
                }
            },
        });
    }

    /** Waits for the stages of longer parallel branches; returns their failure, if any. See {@link stagesToAwait}. */
    private async waitForLongerBranches(awaited: readonly number[], runs: readonly StageRun[]) {
        const ends = await Promise.all(awaited.flatMap(index => runs[index]?.ended ?? []));
        return ends.find(end => end.isLeft());
    }

    /** Frees the results of a stage as soon as all its successors have ended. */
    private async freeOnceUsed(run: StageRun, runs: readonly StageRun[]): Promise<void> {
        const successors = successorsOf(run, runs);
        if (successors.length > 0) {
            await Promise.all(successors.map(one => one.ended));
            this.executor.free((await run.ended).orDefault([]));
        }
    }

    private async runStage(plan: StagePlan, run: StageRun, runs: readonly StageRun[], signal: AbortSignal) {
        const predecessors = await Promise.all(
            [...new Set(run.stage.after)].map(index => runs[index]?.ended ?? Promise.resolve(Right([]))),
        );
        const awaited = stagesToAwait(plan, run.index);
        const failure = predecessors.find(end => end.isLeft()) ?? await this.waitForLongerBranches(awaited, runs);
        if (failure !== undefined) {
            return failure;
        }
        const count = plan.pieces[run.index] ?? 0;
        if (count === 0) {
            return Right([]);
        }
        const results = predecessors.flatMap(end => end.orDefault([]));
        const source: PieceSource = run.stage.after.length === 0
            ? { kind: "key", key: plan.pieceKey }
            : {
                kind: "results",
                handles: results.map(one => one.handle),
                makers: locationsOf(results),
            };
        const nowMs = this.clock.nowMs();
        const restMs = remainingPathMs(plan, run.index) + plan.replyMs;
        return this.executor.execute({
            id: this.nextId(),
            service: run.stage.service,
            request: plan.request,
            stage: run.index,
            pieces: Array.from({ length: count }, (_, piece) => piece),
            source,
            resultBytes: run.stage.resultBytes,
            startInMs: plan.objectiveMs - nowMs - stageDurationMs(plan, run.index) - restMs,
            remainingMs: plan.deadlineMs - nowMs,
            restMs,
            priority: plan.priority,
            isContinued: run.stage.after.length > 0 || awaited.length > 0,
            dataCentre: preferredDataCentre(plan, run.index, results, count),
            notIn: plan.notIn,
        }, signal);
    }
}

/**
 * Preferred data centre of a stage; undefined when little data would be transferred. Each piece fetches all its
 * sources, so that large sources bind it to the data centre that holds most of them. A final stage with large results
 * is bound to the data centre of the endpoint that will fetch them.
 */
function preferredDataCentre(
    plan: StagePlan,
    index: number,
    sources: readonly PieceResult[],
    pieces: number,
): DataCentreId | undefined {
    const bytesAt = new Map<DataCentreId, number>();
    for (const { dataCentre, bytes } of sources) {
        bytesAt.set(dataCentre, (bytesAt.get(dataCentre) ?? 0) + bytes * pieces);
    }
    const resultBytes = (plan.route.stages[index]?.resultBytes ?? 0) * pieces;
    if (isFinal(plan.route.stages, index) && plan.dataCentre !== undefined) {
        bytesAt.set(plan.dataCentre, (bytesAt.get(plan.dataCentre) ?? 0) + resultBytes);
    }
    const [best] = [...bytesAt].sort((a, b) => b[1] - a[1]);
    return best !== undefined && best[1] >= minBindingBytes ? best[0] : undefined;
}

/** The endpoints that hold the results, without duplicates. */
function locationsOf(results: readonly PieceResult[]): readonly ResultLocation[] {
    return [...new Map(results.map(({ endpoint, dataCentre }) => [endpoint, { endpoint, dataCentre }])).values()];
}

/** Traffic between data centres below this number of bytes does not bind a stage to one. */
const minBindingBytes = 1_000_000;

function successorsOf(run: StageRun, runs: readonly StageRun[]): readonly StageRun[] {
    return runs.filter(one => one.stage.after.includes(run.index));
}

/** What the durations of a plan's stages depend on. */
type StageShape = Pick<StagePlan, "route" | "deployment" | "pieces">;

/** Estimated duration of a stage once it has started: that of a full call, since its pieces usually share one. */
function stageDurationMs(plan: StageShape, index: number): number {
    const stage = plan.route.stages[index];
    const traits = stage === undefined ? undefined : plan.deployment.services.get(stage.service)?.pieces;
    return traits === undefined || (plan.pieces[index] ?? 0) === 0
        ? 0
        : traits.callMs + traits.batch * traits.pieceMs;
}

/** Estimated duration of the longest path through the successors of a stage. */
function remainingPathMs(plan: StagePlan, index: number): number {
    const { stages } = plan.route;
    const restsMs = stages.map(() => 0);
    for (const at of [...startOrder(stages) ?? []].reverse()) {
        const fromMs = stageDurationMs(plan, at) + (restsMs[at] ?? 0);
        stages[at]?.after.forEach(one => restsMs[one] = Math.max(restsMs[one] ?? 0, fromMs));
    }
    return restsMs[index] ?? 0;
}

/**
 * For a final stage, the stages of longer parallel branches that it waits for: once they have ended, the rest of their
 * branches takes about as long as the final stage itself.
 */
function stagesToAwait(plan: StagePlan, index: number): readonly number[] {
    const { stages } = plan.route;
    if (!isFinal(stages, index) || (plan.pieces[index] ?? 0) === 0) {
        return [];
    }
    const ownMs = stageDurationMs(plan, index) * equalDurationShare;
    const others = stages.map((_, at) => at).filter(at => at !== index && isFinal(stages, at));
    return others.flatMap(last => {
        const ancestors = ancestorsOf(stages, last).filter(at => remainingPathMs(plan, at) >= ownMs);
        ancestors.sort((a, b) => remainingPathMs(plan, a) - remainingPathMs(plan, b));
        return ancestors.slice(0, 1).filter(at => !ancestorsOf(stages, index).includes(at));
    });
}

/** Stages whose durations differ by less than this factor count as equally long, since their waits vary more. */
const equalDurationShare = 0.9;

/** Time estimate of a request whose stages are not expected to end in time. */
interface InfeasibleStages {
    readonly neededMs: number;
    readonly leftMs: number;
    /** Retry advice for the caller. */
    readonly retryAfterMs: number;
}

/** Checks whether the stages and the reply fit into the time until the deadline; undefined when they do. */
export function infeasibleStages(
    plan: StagePlan,
    nowMs: number,
    waitMs: (service: ServiceId) => number | undefined,
): InfeasibleStages | undefined {
    const neededMs = stagesAndReplyMs(plan, waitMs);
    const leftMs = plan.deadlineMs - nowMs;
    const retryAfterMs = Math.min(maxRetryMs, Math.max(defaultRetryMs, neededMs - leftMs));
    return neededMs <= leftMs ? undefined : { neededMs, leftMs, retryAfterMs };
}

/** What the estimated time of the stages depends on. */
type StageWork = StageShape & Pick<StagePlan, "replyMs">;

/** Estimated time of the stages and the reply, with the waits that `waitMs` returns. */
export function stagesAndReplyMs(plan: StageWork, waitMs: (service: ServiceId) => number | undefined): number {
    return expectedStagesMs(plan, service => waitMs(service) ?? 0) + plan.replyMs;
}

/** Retry advice when nothing indicates when a request can be served. */
export const defaultRetryMs = 500;
/** Upper bound of the retry advice: bursts end within seconds, and deadlines are a few seconds. */
const maxRetryMs = 1500;

/** Estimated duration of all stages, with full calls and the waits that `waitMs` returns for their services. */
export function expectedStagesMs(plan: StageShape, waitMs: (service: ServiceId) => number): number {
    const { stages } = plan.route;
    const finishMs = stages.map(() => 0);
    for (const at of startOrder(stages) ?? []) {
        const { service, after } = stages[at]!;
        const ownMs = (plan.pieces[at] ?? 0) === 0 ? 0 : stageDurationMs(plan, at) + waitMs(service);
        finishMs[at] = ownMs + Math.max(0, ...after.map(one => finishMs[one] ?? 0));
    }
    return Math.max(0, ...finishMs);
}
