/**
 * The stages of one request: runs them unless their results are at hand, and decides which endpoints can fetch the
 * results. Results that no endpoint in reach can fetch are given up, and the stages run again elsewhere.
 */
import type { Clock, DataCentreId } from "../common/Types.js";
import type { PieceExecutor } from "../gather/Types.js";
import type { EndpointRecord } from "./EndpointTracker.js";
import {
    defaultRetryMs,
    infeasibleStages,
    type StageGraph,
    type StagePlan,
    type StageResults,
    stagesAndReplyMs,
} from "./StageGraph.js";

/** Why the stages did not run, and when the caller may try again. */
export interface StageRefusal {
    readonly message: string;
    readonly retryAfterMs: number;
}

interface RequestStagesOptions {
    readonly stages: StageGraph;
    readonly pieces: PieceExecutor;
    readonly clock: Clock;
    readonly signal: AbortSignal;
}

export class RequestStages {
    private results: StageResults | undefined;
    private plan: StagePlan | undefined;
    /** Data centres whose endpoints could not fetch the results. */
    private readonly unreachableFrom = new Set<DataCentreId>();
    /** Data centres in which no stage may run again, since none of their endpoints could be reached from this host. */
    private readonly excluded = new Set<DataCentreId>();

    public constructor(private readonly options: RequestStagesOptions) {}

    /** Handles of the results; empty before the stages have run and after {@link free}. */
    public get handles(): readonly string[] {
        return this.results?.handles ?? [];
    }

    public get hasResults(): boolean {
        return this.results !== undefined;
    }

    /** Estimated time of the stages and the reply with the waits of now; undefined before the stages have begun. */
    public get neededMs(): number | undefined {
        return this.plan === undefined
            ? undefined
            : stagesAndReplyMs(this.plan, service => this.options.pieces.waitMs(service));
    }

    /** True once an endpoint could not fetch the results, so that only those beside the results are left. */
    public get isBound(): boolean {
        return this.unreachableFrom.size > 0;
    }

    /**
     * Runs the stages; returns why they did not run, if so. With `isFirst`, they are refused at once when they are not
     * expected to end in time, by the waits that gatherers reported last.
     */
    public async run(basePlan: Omit<StagePlan, "notIn">, isFirst: boolean): Promise<StageRefusal | undefined> {
        const { stages, signal } = this.options;
        const plan = { ...basePlan, notIn: [...this.excluded] };
        this.plan = plan;
        const infeasible = isFirst ? this.infeasibility(plan) : undefined;
        if (infeasible !== undefined) {
            return infeasible;
        }
        let outcome = await stages.run(plan, signal);
        const isSourceGone = outcome.caseOf({ Left: error => error.kind === "source-gone", Right: () => false });
        if (isSourceGone && !signal.aborted) {
            // The endpoint that held the result has ended, or the result has expired: all stages run again.
            outcome = await stages.run(plan, signal);
        }
        return outcome.caseOf<StageRefusal | undefined>({
            Right: results => {
                this.results = results;
                return undefined;
            },
            Left: error => ({
                message: error.message,
                retryAfterMs: error.kind === "overloaded" ? error.retryAfterMs : defaultRetryMs,
            }),
        });
    }

    /** The endpoints that can fetch the results; once some could not, only those in the results' data centres. */
    public reachable(endpoints: readonly EndpointRecord[]): readonly EndpointRecord[] {
        const { results, unreachableFrom } = this;
        return results === undefined || unreachableFrom.size === 0
            ? endpoints
            : endpoints.filter(({ listed: { dataCentre } }) =>
                results.dataCentres.has(dataCentre) && !unreachableFrom.has(dataCentre)
            );
    }

    /** Records that endpoints of a data centre can't fetch the results. */
    public recordUnreachable(from: DataCentreId): void {
        this.unreachableFrom.add(from);
    }

    /** Gives the results up, since no endpoint is left that could fetch them. The stages may run again anywhere. */
    public giveUp(): void {
        this.free();
        this.unreachableFrom.clear();
    }

    /**
     * Gives up results that only endpoints in their own data centres can fetch, when none of those can be reached, and
     * excludes these data centres. Returns false when that does not help or has been done before.
     */
    public giveUpDataCentres(): boolean {
        if (this.results === undefined || !this.isBound || this.excluded.size > 0) {
            return false;
        }
        this.results.dataCentres.forEach(one => this.excluded.add(one));
        this.giveUp();
        return true;
    }

    /** Frees the results at the endpoints that hold them. */
    public free(): void {
        this.results?.free();
        this.results = undefined;
    }

    private infeasibility(plan: StagePlan): StageRefusal | undefined {
        const { pieces, clock } = this.options;
        const infeasible = infeasibleStages(plan, clock.nowMs(), service => pieces.waitMs(service));
        if (infeasible === undefined) {
            return undefined;
        }
        const { neededMs, leftMs, retryAfterMs } = infeasible;
        return {
            message: `the stages need ${Math.round(neededMs)} ms, ${Math.round(leftMs)} ms are left`,
            retryAfterMs,
        };
    }
}
