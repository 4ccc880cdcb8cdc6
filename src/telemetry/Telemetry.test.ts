/** Checks the hybrid logical clock, the event log, the metrics, and the list of events in docs/EVENTS.md. */
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { parseHostId } from "../common/Ids.js";
import { EventId } from "./Events.js";
import { HybridLogicalClock } from "./HybridLogicalClock.js";
import { JsonEventLog } from "./JsonEventLog.js";
import { MetricsRegistry } from "./MetricsRegistry.js";

const host = parseHostId("h1").unsafeCoerce();

test("stamps increase within a millisecond, and after a stamp from a clock that is ahead", async () => {
    const clock = new FakeClock();
    const here = new HybridLogicalClock(clock, host);
    const there = new HybridLogicalClock(clock.shifted(500), parseHostId("h2").unsafeCoerce());
    const stamps = [here.stamp(), here.stamp(), there.stamp()];
    here.observe(stamps[2]!);
    stamps.push(here.stamp());
    await clock.advance(10);
    stamps.push(here.stamp());
    assert.deepEqual([...stamps].sort(), stamps);
});

test("a stamp from a clock that is far ahead is ignored", () => {
    const here = new HybridLogicalClock(new FakeClock(), host);
    const before = here.stamp();
    here.observe("99999999999999-000000-h9");
    assert.ok(here.stamp() < "00000002000000");
    assert.ok(here.stamp() > before);
});

test("the event log writes one JSON object a line with number, name and fields", () => {
    const lines: string[] = [];
    const log = new JsonEventLog(host, new HybridLogicalClock(new FakeClock(), host), line => lines.push(line));
    log.with({ request: "r1" }).event(EventId.RequestStarted, { pipeline: "p" });
    const record = JSON.parse(lines[0]!) as Record<string, unknown>;
    assert.equal(lines.length, 1);
    assert.deepEqual(
        { ...record, hlc: typeof record["hlc"] },
        { request: "r1", pipeline: "p", hlc: "string", host: "h1", event: 800, name: "RequestStarted" },
    );
});

test("metrics render counters, gauges and latency summaries", async () => {
    const metrics = new MetricsRegistry();
    metrics.count("requests", { pipeline: "p" });
    metrics.gauge("in_flight", 3);
    for (let valueMs = 1; valueMs <= 100; valueMs += 1) {
        metrics.latency("stage", valueMs, { stage: "s" });
    }
    const text = await metrics.render();
    assert.match(text, /fireflykeel_requests_total\{pipeline="p"\} 1/);
    assert.match(text, /fireflykeel_in_flight 3/);
    assert.match(text, /fireflykeel_stage_ms_count\{stage="s"\} 100/);
    const medianMs = metrics.percentileMs("stage", 50, { stage: "s" })!;
    assert.ok(medianMs > 48 && medianMs < 52, `median ${medianMs}`);
    assert.equal(metrics.percentileMs("stage", 50, { stage: "other" }), undefined);
});

// Guards against requests, and whole processes, that end since a metric is counted with other labels than before.
test("a value with other labels than the metric's first is rejected without an exception, once", async () => {
    const rejected: string[] = [];
    const metrics = new MetricsRegistry(name => rejected.push(name));
    metrics.count("cut_off", {}, 0);
    metrics.count("cut_off", { cause: "idle" });
    metrics.count("cut_off", { cause: "idle" });
    metrics.count("cut_off", {}, 2);
    assert.deepEqual(rejected, ["cut_off"]);
    assert.match(await metrics.render(), /fireflykeel_cut_off_total 2/);
});

test("docs/EVENTS.md lists exactly the events of the code, with the same numbers", () => {
    const page = readFileSync(new URL("../../../docs/EVENTS.md", import.meta.url), "utf8");
    const rows = [...page.matchAll(/^\| (\d+) \| (\w+) \|/gm)].map(match => `${match[1]} ${match[2]}`).sort();
    const events = Object.entries(EventId)
        .filter((entry): entry is [string, number] => typeof entry[1] === "number")
        .map(([name, id]) => `${id} ${name}`)
        .sort();
    assert.deepEqual(rows, events);
});
