/** Checks that a field that can't be written costs itself alone. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "../common/SystemClock.js";
import type { HostId } from "../common/Types.js";
import { EventId } from "./Events.js";
import { HybridLogicalClock } from "./HybridLogicalClock.js";
import { JsonEventLog } from "./JsonEventLog.js";

// Guards against a request or a task that fails since its log line holds a deeply nested value of another process.
test("a line with a value that is nested too deeply is written without its fields", () => {
    const lines: string[] = [];
    const host = "h" as HostId;
    const log = new JsonEventLog(host, new HybridLogicalClock(new SystemClock(), host), line => lines.push(line));
    log.event(EventId.ServiceFailed, { error: JSON.parse("[".repeat(100_000) + "]".repeat(100_000)) as unknown });
    const written = lines.map(line => JSON.parse(line) as Record<string, unknown>);
    assert.deepEqual(written.map(one => [one["event"], one["name"]]), [[EventId.ServiceFailed, "ServiceFailed"]]);
});
