/** Checks how the entries of lists that name no endpoint are logged. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { EntryFaultLog } from "./EntryFaultLog.js";

// Guards against a log line for the same bad entry with each read of the list, or thousands with one.
test("a bad entry is logged once, and again with another fault; of many, a few with each read", () => {
    const log = new MemoryLog();
    const faults = new EntryFaultLog(log);
    const faultOf = (cause: string) => [{ entry: "odd", cause }];
    [faultOf("slots"), faultOf("slots"), faultOf("address")].forEach(list => faults.record(list, "10.0.0.1"));
    assert.deepEqual(log.events.map(one => one.fields["cause"]), ["slots", "address"]);
    assert.deepEqual(log.events[0]!.fields["from"], "10.0.0.1");
    faults.record(Array.from({ length: 1000 }, (_, at) => ({ entry: `odd-${at}`, cause: "slots" })));
    assert.equal(log.events.length, 10);
    assert.equal(log.events.at(-1)!.fields["ofList"], 1000);
});
