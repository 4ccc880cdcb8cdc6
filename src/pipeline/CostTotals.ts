/**
 * Accumulates the cost of all stage calls of this host by pipeline, stage and workspace, for the operators' status
 * route and the metrics.
 */
import type { PipelineId, WorkspaceId } from "../common/Types.js";
import type { StageUsage } from "../endpoints/Types.js";
import type { Labels, Metrics } from "../telemetry/Types.js";

export type CallKind = "first" | "retry" | "hedge";

/** Totals of one stage of a pipeline for one workspace, since the start of the process. */
export interface StageTotals {
    readonly pipeline: PipelineId;
    readonly workspace: WorkspaceId;
    readonly stage: string;
    calls: number;
    retries: number;
    hedges: number;
    promptTokens: number;
    cachedTokens: number;
    outputTokens: number;
    /** Time that endpoints spent on results that were used, in milliseconds. */
    busyMs: number;
    /** Time of calls whose result was not used, in milliseconds. */
    wastedMs: number;
}

export class CostTotals {
    private readonly entries = new Map<string, StageTotals>();

    public constructor(private readonly metrics: Metrics) {}

    /** Totals by pipeline, stage and workspace. */
    public totals(): readonly Readonly<StageTotals>[] {
        return [...this.entries.values()];
    }

    public recordCall(pipeline: PipelineId, workspace: WorkspaceId, stage: string, kind: CallKind): void {
        const entry = this.entry(pipeline, workspace, stage);
        entry.calls += 1;
        entry.retries += kind === "retry" ? 1 : 0;
        entry.hedges += kind === "hedge" ? 1 : 0;
        this.metrics.count("stage_calls", { ...labelsOf(entry), kind });
    }

    public recordUsed(pipeline: PipelineId, workspace: WorkspaceId, stage: string, usage: StageUsage): void {
        const entry = this.entry(pipeline, workspace, stage);
        entry.promptTokens += usage.promptTokens;
        entry.cachedTokens += usage.cachedTokens;
        entry.outputTokens += usage.outputTokens;
        entry.busyMs += usage.busyMs;
        const labels = labelsOf(entry);
        this.metrics.count("stage_tokens", { ...labels, kind: "prompt" }, usage.promptTokens);
        this.metrics.count("stage_tokens", { ...labels, kind: "cached" }, usage.cachedTokens);
        this.metrics.count("stage_tokens", { ...labels, kind: "output" }, usage.outputTokens);
        this.metrics.count("stage_busy_ms", labels, usage.busyMs);
    }

    public recordWasted(pipeline: PipelineId, workspace: WorkspaceId, stage: string, elapsedMs: number): void {
        const entry = this.entry(pipeline, workspace, stage);
        entry.wastedMs += elapsedMs;
        this.metrics.count("stage_wasted_ms", labelsOf(entry), elapsedMs);
    }

    private entry(pipeline: PipelineId, workspace: WorkspaceId, stage: string): StageTotals {
        const name = `${pipeline}/${workspace}/${stage}`;
        let entry = this.entries.get(name);
        if (entry === undefined) {
            entry = {
                pipeline,
                workspace,
                stage,
                calls: 0,
                retries: 0,
                hedges: 0,
                promptTokens: 0,
                cachedTokens: 0,
                outputTokens: 0,
                busyMs: 0,
                wastedMs: 0,
            };
            this.entries.set(name, entry);
        }
        return entry;
    }
}

function labelsOf(entry: StageTotals): Labels {
    return { pipeline: entry.pipeline, stage: entry.stage, workspace: entry.workspace };
}
