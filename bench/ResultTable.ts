/** Formats the result of a run as plain-text tables for the terminal. */
import type { Attainment } from "./Tally.js";
import type { RunResult } from "./Types.js";

export function formatRun(run: RunResult): string {
    const title = `${run.site}, ${run.variant}: ${
        run.offeredPerSecond.toFixed(1)
    } requests/s offered, seed ${run.seed}`;
    return [
        "",
        title,
        formatTable(attainmentHeaders("phase"), [
            ...Object.entries(run.byPhase).map(([name, one]) => attainmentRow(name, one)),
            attainmentRow("all", run.overall),
        ]),
        formatTable(
            attainmentHeaders("pipeline"),
            Object.entries(run.byPipeline).map(([name, one]) => attainmentRow(name, one)),
        ),
        formatTable(
            ["stage", "calls/answer", "busy ms/answer", "prompt tokens", "cached", "output tokens"],
            run.costs.map(cost => [
                cost.stage,
                cost.callsPerAnswer.toFixed(3),
                cost.busyMsPerAnswer.toFixed(1),
                cost.promptTokensPerAnswer.toFixed(0),
                percent(cost.cachedShare),
                cost.outputTokensPerAnswer.toFixed(0),
            ]),
        ),
        ...reasonLines(run),
        ...changeLines(run),
        `violations: ${JSON.stringify(run.violations)}`,
        `daemons: ${daemonUsageText(run)}`,
        "",
    ].join("\n");
}

export function percent(share: number): string {
    return `${(share * 100).toFixed(2)} %`;
}

export function attainmentHeaders(first: string): string[] {
    return [
        first,
        "requests",
        "attained",
        "not run",
        "failed",
        "unknown",
        "lost",
        "wrong",
        "p50 ms",
        "p95 ms",
        "p99 ms",
    ];
}

export function attainmentRow(name: string, one: Attainment): string[] {
    const { ends } = one;
    const counts = [ends["not-run"], ends.failed, ends.unknown, ends.lost, ends.wrong, one.p50Ms, one.p95Ms, one.p99Ms];
    return [name, String(one.requests), percent(one.attained), ...counts.map(String)];
}

/** One line each on when new calls stopped and resumed in the data centre; empty if none was taken out. */
export function changeLines(run: RunResult): string[] {
    const change = run.dataCentreChange;
    if (change === undefined) {
        return [];
    }
    const back = change.firstNewCallAfterInMs === undefined
        ? "never"
        : `after ${Math.round(change.firstNewCallAfterInMs)} ms`;
    return [
        `${change.dataCentre} out: last new call received after ${Math.round(change.lastNewCallAfterOutMs)} ms`,
        `${change.dataCentre} in: first new call received ${back}`,
    ];
}

function reasonLines(run: RunResult): string[] {
    const reasons = Object.entries(run.overall.reasons).sort(([, a], [, b]) => b - a);
    return reasons.length === 0
        ? []
        : [`reasons: ${reasons.map(([reason, count]) => `${reason} ${count}`).join("; ")}`];
}

function daemonUsageText(run: RunResult): string {
    const shares = run.daemons.map(one => one.cpuShare);
    const megabytes = run.daemons.map(one => one.residentBytes / 1e6);
    const mean = shares.reduce((sum, one) => sum + one, 0) / Math.max(1, shares.length);
    const most = Math.max(0, ...shares);
    return `${percent(mean)} of a core on average, ${percent(most)} at most; ${
        Math.max(0, ...megabytes).toFixed(0)
    } MB at most`;
}

export function formatTable(headers: readonly string[], rows: readonly (readonly string[])[]): string {
    const widths = headers.map((head, column) => Math.max(head.length, ...rows.map(row => row[column]?.length ?? 0)));
    const line = (cells: readonly string[]) =>
        cells.map((cell, column) => column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0))
            .join("  ");
    return [line(headers), widths.map(width => "-".repeat(width)).join("  "), ...rows.map(line), ""].join("\n");
}
