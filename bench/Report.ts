/** Renders the results of the attainment experiment as one self-contained HTML page with uPlot charts. */
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { escapeHtml } from "../src/cli/TimelineView.js";
import { attainmentHeaders, attainmentRow, changeLines, percent } from "./ResultTable.js";
import type { ExperimentResult, RunResult } from "./Types.js";

const plotFolder = dirname(createRequire(import.meta.url).resolve("uplot"));

const style = `
body { font: 14px/1.45 system-ui, sans-serif; margin: 1.5em auto; max-width: 1100px; padding: 0 1em; }
table { border-collapse: collapse; margin: .6em 0 1.4em; }
th, td { padding: 3px 9px; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
.bad { color: #b00020; font-weight: bold; }
.plot { margin: 1em 0; }
`;

/** Browser script that draws the charts of a run; marks are shown as dashed vertical lines. */
const script = `
const colours = ["#1b6ca8", "#b5651d", "#2a7f62", "#9a1750", "#6a4c93"];
function markLines(marks) {
    return { hooks: { draw: [u => {
        u.ctx.save();
        u.ctx.strokeStyle = "#999";
        u.ctx.setLineDash([4, 4]);
        for (const mark of marks) {
            const x = u.valToPos(mark.atMs / 1000, "x", true);
            u.ctx.beginPath();
            u.ctx.moveTo(x, u.bbox.top);
            u.ctx.lineTo(x, u.bbox.top + u.bbox.height);
            u.ctx.stroke();
        }
        u.ctx.restore();
    }] } };
}
function lines(id, title, unit, x, named, marks, range) {
    const series = Object.keys(named).map((label, i) => ({ label, stroke: colours[i % colours.length], width: 2 }));
    new uPlot({
        title, width: 1050, height: 260, plugins: [markLines(marks)],
        scales: { x: { time: false }, y: range ? { range } : {} },
        axes: [{ label: "seconds" }, { label: unit, size: 70 }],
        series: [{ label: "s" }, ...series],
    }, [x, ...Object.values(named)], document.getElementById(id));
}
function bars(id, title, unit, labels, values) {
    new uPlot({
        title, width: 1050, height: 300,
        scales: { x: { time: false, range: [-0.6, labels.length - 0.4] } },
        axes: [
            { splits: () => labels.map((_, i) => i), values: () => labels, rotate: -35, size: 110 },
            { label: unit, size: 70 },
        ],
        series: [{ label: "stage" }, {
            label: unit, fill: colours[0], stroke: colours[0], paths: uPlot.paths.bars({ size: [0.6, 60] }), points: { show: false },
        }],
    }, [labels.map((_, i) => i), values], document.getElementById(id));
}
`;

export function renderReport(result: ExperimentResult): string {
    const plotScript = readFileSync(join(plotFolder, "uPlot.iife.min.js"), "utf8");
    const plotStyle = readFileSync(join(plotFolder, "uPlot.min.css"), "utf8");
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(result.name)}</title>
<style>${plotStyle}${style}</style><script>${plotScript}${script}</script></head><body>
<h1>${escapeHtml(result.name)}</h1>
<p><code>${escapeHtml(result.command)}</code><br>${result.endedAt}, Node.js ${result.node}, ${result.cores} cores</p>
${comparison(result.runs)}
${result.runs.map(renderRun).join("\n")}
</body></html>
`;
}

function comparison(runs: readonly RunResult[]): string {
    const rows = runs.map(run => {
        const phases = Object.entries(run.byPhase).map(([name, one]) => `${name} ${percent(one.attained)}`).join(", ");
        const row = attainmentRow(`${run.site}, ${run.variant}`, run.overall);
        return [...row, phases];
    });
    return htmlTable([...attainmentHeaders("run"), "by phase"], rows);
}

function renderRun(run: RunResult, index: number): string {
    const violations = Object.entries(run.violations).map(([name, count]) => [name, String(count)]);
    return `<h2>${escapeHtml(run.site)}, ${escapeHtml(run.variant)}</h2>
<p>${run.offeredPerSecond.toFixed(1)} requests/s offered over ${run.durationMs / 1000} s, seed ${run.seed}.
${changeLines(run).map(line => `<br>${escapeHtml(line)}.`).join("")}</p>
${htmlTable(attainmentHeaders("phase"), Object.entries(run.byPhase).map(([name, one]) => attainmentRow(name, one)))}
${
        htmlTable(
            attainmentHeaders("pipeline"),
            Object.entries(run.byPipeline).map(([name, one]) => attainmentRow(name, one)),
        )
    }
<div class="plot" id="attained-${index}"></div><div class="plot" id="latency-${index}"></div>
<div class="plot" id="received-${index}"></div><div class="plot" id="cost-${index}"></div>
${htmlTable(["reason", "requests"], Object.entries(run.overall.reasons).map(([name, count]) => [name, String(count)]))}
${htmlTable(["violation or crash", "count"], violations)}
${htmlTable(["at s", "event"], run.marks.map(mark => [(mark.atMs / 1000).toFixed(1), mark.what]))}
<script>${plotCalls(run, index)}</script>`;
}

function plotCalls(run: RunResult, index: number): string {
    const seconds = run.seconds.map(one => one.second);
    const marks = JSON.stringify(run.marks);
    const attained = { "attained %": run.seconds.map(one => one.requests === 0 ? undefined : one.attained * 100) };
    const latency = { p50: run.seconds.map(one => one.p50Ms), p99: run.seconds.map(one => one.p99Ms) };
    const costs = run.costs.map(one => one.busyMsPerAnswer);
    const { times, rates } = receivedRates(run);
    const call = (name: string, ...args: readonly unknown[]) =>
        `${name}(${args.map(arg => JSON.stringify(arg)).join(", ")});`;
    return [
        call("lines", `attained-${index}`, "Attainment by second of arrival", "%", seconds, attained)
            .replace(/\);$/, `, ${marks}, [0, 102]);`),
        call("lines", `latency-${index}`, "Latency of answers by second of arrival", "ms", seconds, latency)
            .replace(/\);$/, `, ${marks});`),
        call("lines", `received-${index}`, "Stage calls that reached each data centre", "calls/s", times, rates)
            .replace(/\);$/, `, ${marks});`),
        call("bars", `cost-${index}`, "Endpoint time by stage", "ms/answer", run.costs.map(one => one.stage), costs),
    ].join("\n");
}

/** Stage calls per second received by each data centre, between consecutive samples; times in seconds. */
function receivedRates(run: RunResult): { readonly times: number[]; readonly rates: Record<string, number[]>; } {
    const rates: Record<string, number[]> = {};
    const times: number[] = [];
    for (const [index, sample] of run.received.entries()) {
        const before = run.received[index - 1];
        if (before === undefined) {
            continue;
        }
        times.push(sample.atMs / 1000);
        for (const [dataCentre, count] of Object.entries(sample.received)) {
            const perSecond = ((count - (before.received[dataCentre] ?? 0)) * 1000) / (sample.atMs - before.atMs);
            (rates[dataCentre] ??= []).push(Math.max(0, perSecond));
        }
    }
    return { times, rates };
}

function htmlTable(headers: readonly string[], rows: readonly (readonly string[])[]): string {
    const head = headers.map(cell => `<th>${escapeHtml(cell)}</th>`).join("");
    const body = rows.map(row => `<tr>${row.map(cell => `<td>${escapeHtml(cell)}</td>`).join("")}</tr>`).join("\n");
    return `<table><thead><tr>${head}</tr></thead><tbody>${body}</tbody></table>`;
}
