/** Checks reading, merging and filtering of logs, and the output formats of a timeline. */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { readTimeline, type TimelineFilter } from "./Timeline.js";
import { renderTimeline } from "./TimelineView.js";

const noFilter: TimelineFilter = { requests: [], hosts: [], endpoints: [], events: [] };
let folder: string;
let logs: string[];

function line(at: number, host: string, event: number, name: string, fields: object = {}): string {
    const hlc = `${String(at).padStart(14, "0")}-000000-${host}`;
    return `${JSON.stringify({ ...fields, hlc, host, event, name })}\n`;
}

before(() => {
    folder = mkdtempSync(join(tmpdir(), "timeline-"));
    logs = ["a", "b"].map(host => join(folder, `${host}.log`));
    const a = line(1, "a", 800, "RequestStarted", { request: "r1" })
        + line(4, "a", 801, "RequestEnded", { request: "r1" });
    const b = line(2, "b", 802, "StageStarted", { request: "r1", endpoint: "e1" })
        + line(3, "b", 802, "StageStarted", { requests: ["r2", "r3"], endpoint: "e2", note: "<b>" })
        + `{"hlc":"0000`;
    writeFileSync(logs[0]!, a);
    writeFileSync(logs[1]!, b);
});

after(() => rmSync(folder, { recursive: true }));

const filters: { name: string; filter: Partial<TimelineFilter>; times: number[]; }[] = [
    { name: "everything, merged by stamp", filter: {}, times: [1, 2, 3, 4] },
    { name: "one request", filter: { requests: ["r1"] }, times: [1, 2, 4] },
    { name: "a request in a list", filter: { requests: ["r3"] }, times: [3] },
    { name: "one host", filter: { hosts: ["b"] }, times: [2, 3] },
    { name: "endpoints", filter: { endpoints: ["e2", "e9"] }, times: [3] },
    { name: "an event by number", filter: { events: ["801"] }, times: [4] },
    { name: "events by name", filter: { events: ["RequestStarted", "RequestEnded"] }, times: [1, 4] },
    { name: "all conditions together", filter: { requests: ["r1"], hosts: ["b"] }, times: [2] },
];

for (const row of filters) {
    test(`readTimeline returns ${row.name}`, async () => {
        const timeline = (await readTimeline(logs, { ...noFilter, ...row.filter })).unsafeCoerce();
        assert.deepEqual(timeline.entries.map(entry => Number(entry.hlc.split("-")[0])), row.times);
        assert.deepEqual(timeline.unreadable, [{ file: logs[1], line: 3 }]);
    });
}

test("readTimeline names a file that can't be read", async () => {
    const read = await readTimeline([join(folder, "none.log")], noFilter);
    assert.equal(read.swap().unsafeCoerce().kind, "unreadable-file");
});

test("renderTimeline writes text, JSON lines and HTML", async () => {
    const timeline = (await readTimeline(logs, noFilter)).unsafeCoerce();
    const text = renderTimeline(timeline, "text").split("\n");
    assert.match(text[1]!, /^1970-01-01T00:00:00.002Z b +802 StageStarted +request=r1 endpoint=e1$/);
    const json = renderTimeline(timeline, "json").trim().split("\n").map(one => JSON.parse(one) as { event: number; });
    assert.deepEqual(json.map(one => one.event), [800, 802, 802, 801]);
    const html = renderTimeline(timeline, "html");
    assert.match(html, /4 events of 2 hosts, 1 unreadable lines/);
    assert.match(html, /note=&lt;b&gt;/);
    assert.doesNotMatch(html, /<b>"|note=<b>/);
});
