/** Result tables of the demonstration: attainment by pipeline, and cost by stage from the events of the log. */
import { EventId } from "../telemetry/Events.js";

export interface DemoResult {
    readonly pipeline: string;
    /** "answered", or a description of the failure. */
    readonly outcome: string;
    /** Whether the output is the one expected for the input of this request. */
    readonly isOwnAnswer: boolean;
    /** Whether the reply came within the deadline of the pipeline. */
    readonly inTime: boolean;
    readonly durationMs: number;
}

interface StageRow {
    calls: number;
    totalMs: number;
}

/** Attainment by pipeline: the share of requests with the expected answer within the deadline. */
export function attainmentTable(results: readonly DemoResult[]): string {
    const rows = [...new Set(results.map(result => result.pipeline))].map(pipeline => {
        const ofPipeline = results.filter(result => result.pipeline === pipeline);
        const attained = ofPipeline.filter(result =>
            result.outcome === "answered" && result.isOwnAnswer && result.inTime
        );
        const sorted = ofPipeline.map(result => result.durationMs).sort((a, b) => a - b);
        const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
        const slowest = sorted[sorted.length - 1] ?? 0;
        const share = (100 * attained.length) / ofPipeline.length;
        return [pipeline, String(ofPipeline.length), `${share.toFixed(1)} %`, median.toFixed(0), slowest.toFixed(0)];
    });
    return formatTable(["pipeline", "requests", "attained", "median ms", "slowest ms"], rows);
}

/** Cost by stage, summed over the stage events of the log. */
export function costTable(logLines: readonly string[]): string {
    const stages = new Map<string, StageRow>();
    for (const line of logLines) {
        const record = JSON.parse(line) as { event: number; stage?: string; durationMs?: number; };
        if (record.event === Number(EventId.StageEnded) && record.stage !== undefined) {
            const row = stages.get(record.stage) ?? { calls: 0, totalMs: 0 };
            row.calls += 1;
            row.totalMs += record.durationMs ?? 0;
            stages.set(record.stage, row);
        }
    }
    const rows = [...stages].map(([stage, row]) => [
        stage,
        String(row.calls),
        (row.totalMs / row.calls).toFixed(0),
        row.totalMs.toFixed(0),
    ]);
    return formatTable(["stage", "runs", "mean ms", "total ms"], rows);
}

function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const all = [head, ...rows];
    const widths = head.map((_, column) => Math.max(...all.map(row => (row[column] ?? "").length)));
    const line = (row: readonly string[]) =>
        row.map((cell, column) => column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0))
            .join("  ");
    return `\n${all.map(line).join("\n")}\n`;
}
