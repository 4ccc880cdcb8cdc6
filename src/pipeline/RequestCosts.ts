/** Accumulates the cost of one request by stage, and adds it to the host's totals. */
import type { PipelineId, WorkspaceId } from "../common/Types.js";
import type { StageUsage } from "../endpoints/Types.js";
import type { CallKind, CostTotals } from "./CostTotals.js";
import type { StageCost } from "./Types.js";

interface Entry {
    calls: number;
    retries: number;
    hedges: number;
    durationMs: number;
    promptTokens: number;
    cachedTokens: number;
    outputTokens: number;
    busyMs: number;
    wastedMs: number;
}

export class RequestCosts {
    private readonly entries = new Map<string, Entry>();

    public constructor(
        private readonly totals: CostTotals,
        private readonly pipeline: PipelineId,
        private readonly workspace: WorkspaceId,
    ) {}

    public recordCall(stage: string, kind: CallKind): void {
        this.totals.recordCall(this.pipeline, this.workspace, stage, kind);
        const entry = this.entry(stage);
        entry.calls += 1;
        entry.retries += kind === "retry" ? 1 : 0;
        entry.hedges += kind === "hedge" ? 1 : 0;
    }

    /** Adds a call whose result was used. */
    public recordUsed(stage: string, usage: StageUsage): void {
        this.totals.recordUsed(this.pipeline, this.workspace, stage, usage);
        const entry = this.entry(stage);
        entry.promptTokens += usage.promptTokens;
        entry.cachedTokens += usage.cachedTokens;
        entry.outputTokens += usage.outputTokens;
        entry.busyMs += usage.busyMs;
    }

    /** Adds the time of a call whose result was not used. */
    public recordWasted(stage: string, elapsedMs: number): void {
        this.totals.recordWasted(this.pipeline, this.workspace, stage, elapsedMs);
        this.entry(stage).wastedMs += elapsedMs;
    }

    public recordDuration(stage: string, durationMs: number): void {
        this.entry(stage).durationMs += durationMs;
    }

    public stages(): readonly StageCost[] {
        return [...this.entries].map(([stage, entry]) => ({
            stage,
            calls: entry.calls,
            retries: entry.retries,
            hedges: entry.hedges,
            durationMs: entry.durationMs,
            usage: {
                promptTokens: entry.promptTokens,
                cachedTokens: entry.cachedTokens,
                outputTokens: entry.outputTokens,
                busyMs: entry.busyMs,
            },
            wastedMs: entry.wastedMs,
        }));
    }

    private entry(stage: string): Entry {
        let entry = this.entries.get(stage);
        if (entry === undefined) {
            entry = {
                calls: 0,
                retries: 0,
                hedges: 0,
                durationMs: 0,
                promptTokens: 0,
                cachedTokens: 0,
                outputTokens: 0,
                busyMs: 0,
                wastedMs: 0,
            };
            this.entries.set(stage, entry);
        }
        return entry;
    }
}
