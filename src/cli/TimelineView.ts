/** Renders a timeline as text, as JSON lines, or as one self-contained HTML page. */
import { fieldsOf, type Timeline, type TimelineEntry, wallMsOf } from "./Timeline.js";

export type TimelineFormat = "text" | "json" | "html";

/** Minimum widths of the columns of the text format, in characters. */
const hostWidth = 16;
const eventWidth = 28;

export function renderTimeline(timeline: Timeline, format: TimelineFormat): string {
    switch (format) {
        case "text":
            return timeline.entries.map(textLine).join("");
        case "json":
            return timeline.entries.map(entry => `${JSON.stringify(entry)}\n`).join("");
        case "html":
            return renderHtml(timeline);
    }
}

function timeOf(entry: TimelineEntry): string {
    const date = new Date(wallMsOf(entry));
    return Number.isNaN(date.getTime()) ? entry.hlc : date.toISOString();
}

function textLine(entry: TimelineEntry): string {
    const event = `${entry.event} ${entry.name}`.padEnd(eventWidth);
    return `${timeOf(entry)} ${entry.host.padEnd(hostWidth)} ${event} ${fieldText(entry)}`.trimEnd() + "\n";
}

function fieldText(entry: TimelineEntry): string {
    return Object.entries(fieldsOf(entry))
        .map(([key, value]) => `${key}=${typeof value === "string" ? value : JSON.stringify(value)}`)
        .join(" ");
}

const style = `
body { font: 13px/1.4 system-ui, sans-serif; margin: 1.5em; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; border-bottom: 2px solid #444; }
td, th { padding: 2px 8px; vertical-align: top; }
td.at { white-space: nowrap; font-variant-numeric: tabular-nums; color: #555; }
td.own { border-left: 3px solid var(--block); background: #f4f4f4; }
td.other { border-left: 1px solid #e4e4e4; }
small { color: #666; overflow-wrap: anywhere; }
`;

/** Colours by block of one hundred event numbers; the first is also used for blocks without a colour. */
const blockColours = [
    "#888888",
    "#1b6ca8",
    "#6a4c93",
    "#2a7f62",
    "#b5651d",
    "#9a1750",
    "#c08a00",
    "#4f7f1f",
    "#d1495b",
    "#00798c",
];

/** Script of the page: hides the rows that do not contain the text typed into the filter. */
const script = `
const box = document.querySelector("input");
const rows = [...document.querySelectorAll("tbody tr")];
box.addEventListener("input", () => {
    const text = box.value.toLowerCase();
    for (const row of rows) {
        row.hidden = !row.textContent.toLowerCase().includes(text);
    }
});
`;

/** Page with a table of one column for each host and one row for each event, in order. */
function renderHtml(timeline: Timeline): string {
    const hosts = [...new Set(timeline.entries.map(entry => entry.host))].sort();
    const startMs = timeline.entries[0] === undefined ? 0 : wallMsOf(timeline.entries[0]);
    const headerCells = ["time", "ms", ...hosts].map(head => `<th>${escapeHtml(head)}</th>`).join("");
    const rows = timeline.entries.map(entry => htmlRow(entry, hosts, startMs)).join("\n");
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Timeline</title><style>${style}</style></head>
<body><h1>Timeline</h1>
<p>${timeline.entries.length} events of ${hosts.length} hosts, ${timeline.unreadable.length} unreadable lines.
<input placeholder="filter rows"></p>
<table><thead><tr>${headerCells}</tr></thead><tbody>
${rows}
</tbody></table><script>${script}</script></body></html>
`;
}

function htmlRow(entry: TimelineEntry, hosts: readonly string[], startMs: number): string {
    const colour = blockColours[Math.floor(entry.event / 100)] ?? blockColours[0];
    const event = `<b>${entry.event} ${escapeHtml(entry.name)}</b><br><small>${escapeHtml(fieldText(entry))}</small>`;
    const cells = hosts.map(host =>
        host === entry.host ? `<td class="own" style="--block: ${colour}">${event}</td>` : `<td class="other"></td>`
    );
    const time = timeOf(entry).slice(11, 23);
    return `<tr><td class="at">${escapeHtml(time)}</td><td class="at">+${wallMsOf(entry) - startMs}</td>${
        cells.join("")
    }</tr>`;
}

export function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll("\"", "&quot;");
}
