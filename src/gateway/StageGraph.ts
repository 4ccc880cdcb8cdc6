/**
 * Makes the results that a request's endpoint needs: runs the stages of its route as a graph, each as soon as those
 * before it have ended, and gives up results that no later stage needs. A stage that no other needs waits for a longer
 * branch beside it: its results would else lie at their makers until that branch has ended, and take others' room.
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

/** One request's stages, and the times that they are to keep. */
export interface StagePlan {
    readonly request: string;
    readonly route: Route;
    readonly deployment: Deployment;
    /** Pieces of each stage; a stage with none is left out. */
    readonly pieces: readonly number[];
    readonly pieceKey: string;
    readonly priority: number;
    /** Times on the local clock. */
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    /** Estimate of the time from the last result to the first byte of the reply. */
    readonly replyMs: number;
    readonly dataCentre: DataCentreId | undefined;
    /** Where no piece is to be made. */
    readonly notIn: readonly DataCentreId[];
}

/** Results of the stages that no other stage follows, with the service that made each. */
export interface StageResults {
    readonly handles: readonly string[];
    /** Where the results lie. */
    readonly dataCentres: ReadonlySet<DataCentreId>;
    /** Gives up the results at their makers. Doing so twice does nothing. */
    free(): void;
}

interface StageRun {
    readonly stage: RouteStage;
    readonly index: number;
    ended: Promise<Either<SubmissionError, readonly PieceResult[]>>;
}

export class StageGraph {
    public constructor(
        private readonly maker: PieceExecutor,
        private readonly clock: Clock,
        private readonly nextId: () => SubmissionId,
    ) {}

    public async run(plan: StagePlan, signal: AbortSignal): Promise<Either<SubmissionError, StageResults>> {
        const failed = new AbortController();
        const both = AbortSignal.any([signal, failed.signal]);
        const runs: StageRun[] = [];
        plan.route.stages.forEach((stage, index) => {
            const run: StageRun = { stage, index, ended: Promise.resolve(Right([])) };
            runs.push(run);
            run.ended = this.runStage(plan, run, runs, both);
        });
        runs.forEach(run => void this.freeOnceUsed(run, runs));
        let firstError: SubmissionError | undefined;
        const ends = await Promise.all(runs.map(async run => {
            const end = await run.ended;
            end.ifLeft(error => {
                firstError ??= error;
                failed.abort();
            });
            return { run, results: end.orDefault([]) };
        }));
        const last = ends.filter(({ run }) => isLast(plan.route.stages, run.index));
        const freeAll = () => last.forEach(({ results }) => this.maker.free(results));
        if (firstError !== undefined) {
            freeAll();
            return Left(firstError);
        }
        let isFreed = false;
        return Right({
            handles: last.flatMap(({ results }) => results.map(one => one.handle)),
            dataCentres: new Set(last.flatMap(({ results }) => results.map(one => one.dataCentre))),
            free: () => {
                if (!isFreed) {
                    isFreed = true;
                    freeAll();
                }
            },
        });
    }

    /** Waits until the longer branches beside a stage have come as near to their ends; gives their failure, if any. */
    private async longerBranches(beside: readonly number[], runs: readonly StageRun[]) {
        const ends = await Promise.all(beside.flatMap(index => runs[index]?.ended ?? []));
        return ends.find(end => end.isLeft());
    }

    /** Gives up the results of a stage as soon as all stages that follow it have ended. */
    private async freeOnceUsed(run: StageRun, runs: readonly StageRun[]): Promise<void> {
        const followers = followersOf(run, runs);
        if (followers.length > 0) {
            await Promise.all(followers.map(one => one.ended));
            this.maker.free((await run.ended).orDefault([]));
        }
    }

    private async runStage(plan: StagePlan, run: StageRun, runs: readonly StageRun[], signal: AbortSignal) {
        const before = await Promise.all(
            run.stage.after.map(index => runs[index]?.ended ?? Promise.resolve(Right([]))),
        );
        const beside = stagesBeside(plan, run.index);
        const failure = before.find(end => end.isLeft()) ?? await this.longerBranches(beside, runs);
        if (failure !== undefined) {
            return failure;
        }
        const count = plan.pieces[run.index] ?? 0;
        if (count === 0) {
            return Right([]);
        }
        const results = before.flatMap(end => end.orDefault([]));
        const source: PieceSource = run.stage.after.length === 0
            ? { kind: "key", key: plan.pieceKey }
            : {
                kind: "results",
                handles: results.map(one => one.handle),
                makers: makersOf(results),
            };
        const nowMs = this.clock.nowMs();
        const restMs = restAfter(plan, run.index) + plan.replyMs;
        return this.maker.execute({
            id: this.nextId(),
            service: run.stage.service,
            request: plan.request,
            stage: run.index,
            pieces: Array.from({ length: count }, (_, piece) => piece),
            source,
            resultBytes: run.stage.resultBytes,
            startInMs: plan.objectiveMs - nowMs - stageMs(plan, run.index) - restMs,
            remainingMs: plan.deadlineMs - nowMs,
            restMs,
            priority: plan.priority,
            isContinued: run.stage.after.length > 0 || beside.length > 0,
            dataCentre: placeOf(plan, run.index, results, count),
            notIn: plan.notIn,
        }, signal);
    }
}

/**
 * Where a stage's pieces are best made: each piece fetches all its sources, so that large sources bind it to where most
 * of them lie; large results for the endpoint at the end are best made where that is.
 */
function placeOf(
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
    if (isLast(plan.route.stages, index) && plan.dataCentre !== undefined) {
        bytesAt.set(plan.dataCentre, (bytesAt.get(plan.dataCentre) ?? 0) + resultBytes);
    }
    const [best] = [...bytesAt].sort((a, b) => b[1] - a[1]);
    return best !== undefined && best[1] >= bindingBytes ? best[0] : undefined;
}

/** The endpoints that hold results, each once. */
function makersOf(results: readonly PieceResult[]): readonly ResultLocation[] {
    return [...new Map(results.map(({ endpoint, dataCentre }) => [endpoint, { endpoint, dataCentre }])).values()];
}

/** Fewer bytes than this may cross between data centres without binding a stage to one. */
const bindingBytes = 1_000_000;

function followersOf(run: StageRun, runs: readonly StageRun[]): readonly StageRun[] {
    return runs.filter(one => one.stage.after.includes(run.index));
}

/** Time of one stage once it has started: that of a full call, since its pieces seldom travel alone. */
function stageMs(plan: StagePlan, index: number): number {
    const stage = plan.route.stages[index];
    const traits = stage === undefined ? undefined : plan.deployment.services.get(stage.service)?.pieces;
    return traits === undefined || (plan.pieces[index] ?? 0) === 0
        ? 0
        : traits.callMs + traits.batch * traits.pieceMs;
}

/** Time of the longest way through the stages that follow one. */
function restAfter(plan: StagePlan, index: number): number {
    let longestMs = 0;
    plan.route.stages.forEach((stage, at) => {
        if (stage.after.includes(index)) {
            longestMs = Math.max(longestMs, stageMs(plan, at) + restAfter(plan, at));
        }
    });
    return longestMs;
}

/**
 * Stages of longer branches beside a stage that no other needs: once they have ended, what is left of their branches
 * takes about as long as the stage itself.
 */
function stagesBeside(plan: StagePlan, index: number): readonly number[] {
    const { stages } = plan.route;
    if (!isLast(stages, index) || (plan.pieces[index] ?? 0) === 0) {
        return [];
    }
    const ownMs = stageMs(plan, index) * sameTimeShare;
    const others = stages.map((_, at) => at).filter(at => at !== index && isLast(stages, at));
    return others.flatMap(last => {
        const ancestors = ancestorsOf(stages, last).filter(at => restAfter(plan, at) >= ownMs);
        ancestors.sort((a, b) => restAfter(plan, a) - restAfter(plan, b));
        return ancestors.slice(0, 1).filter(at => !ancestorsOf(stages, index).includes(at));
    });
}

/** Stages count as equally long within this share, since waits differ more than that. */
const sameTimeShare = 0.9;

/** True for a stage that no other one needs. */
function isLast(stages: readonly RouteStage[], index: number): boolean {
    return stages.every(stage => !stage.after.includes(index));
}

function ancestorsOf(stages: readonly RouteStage[], index: number): readonly number[] {
    const after = stages[index]?.after ?? [];
    return [...new Set(after.flatMap(at => [at, ...ancestorsOf(stages, at)]))];
}

/** A request whose stages can't be expected to end in time. */
interface InfeasibleStages {
    readonly neededMs: number;
    readonly leftMs: number;
    /** When the caller may come back. */
    readonly retryAfterMs: number;
}

/** Tells a request whose stages and reply need more time than is left; undefined for any other. */
export function infeasibleStages(
    plan: StagePlan,
    nowMs: number,
    waitMs: (service: ServiceId) => number | undefined,
): InfeasibleStages | undefined {
    const neededMs = expectedStagesMs(plan, service => waitMs(service) ?? 0) + plan.replyMs;
    const leftMs = plan.deadlineMs - nowMs;
    const retryAfterMs = Math.min(longestRetryMs, Math.max(defaultRetryMs, neededMs - leftMs));
    return neededMs <= leftMs ? undefined : { neededMs, leftMs, retryAfterMs };
}

/** What is advised where nothing tells when a request can be served. */
export const defaultRetryMs = 500;
/** No caller is asked to stay away for longer: bursts end within seconds, and deadlines are seconds. */
const longestRetryMs = 1500;

/** Time that a request's stages need, with full calls and the waits that `waitMs` gives for their services. */
function expectedStagesMs(plan: StagePlan, waitMs: (service: ServiceId) => number): number {
    const timeOf = (index: number): number => {
        const stage = plan.route.stages[index];
        const ownMs = stage === undefined || (plan.pieces[index] ?? 0) === 0
            ? 0
            : stageMs(plan, index) + waitMs(stage.service);
        const before = (stage?.after ?? []).map(timeOf);
        return ownMs + Math.max(0, ...before);
    };
    return Math.max(0, ...plan.route.stages.map((_, index) => timeOf(index)));
}
