/** Restarts of failed services, the order of a planned stop, and broken invariants. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { MemoryLog } from "../../testing/MemoryLog.js";
import { InvariantError } from "../common/Invariant.js";
import { EventId } from "../telemetry/Events.js";
import { Supervisor } from "./Supervisor.js";
import type { Service } from "./Types.js";

function untilAborted(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => signal.addEventListener("abort", () => resolve()));
}

function setUp() {
    const clock = new FakeClock();
    const log = new MemoryLog();
    const fatal: InvariantError[] = [];
    const supervisor = new Supervisor({ clock, log, onFatal: err => fatal.push(err) });
    return { clock, log, fatal, supervisor };
}

test("a failed service is restarted with exponential backoff", async () => {
    const { clock, log, supervisor } = setUp();
    let runs = 0;
    const failing: Service = {
        name: "failing",
        run: async signal => {
            runs += 1;
            if (runs < 4) {
                throw new Error("no");
            }
            await untilAborted(signal);
        },
    };
    supervisor.start(failing);
    await clock.advance(1000);
    const delays = log.events.filter(one => one.id === EventId.ServiceRestarted).map(one => one.fields["delayMs"]);
    assert.deepEqual(delays, [100, 200, 400]);
    await supervisor.abortAll();
    assert.equal(runs, 4);
});

test("a stop drains in reverse order before any service is aborted, and reports unfinished work", async () => {
    const { log, supervisor } = setUp();
    const steps: string[] = [];
    const service = (name: string, unfinished: number): Service => ({
        name,
        run: async signal => {
            await untilAborted(signal);
            steps.push(`end ${name}`);
        },
        drain: async () => {
            steps.push(`drain ${name}`);
            return { unfinished, what: "requests" };
        },
    });
    supervisor.start(service("a", 0));
    supervisor.start(service("b", 2));
    const left = await supervisor.stop(1000);
    assert.deepEqual(steps, ["drain b", "drain a", "end b", "end a"]);
    assert.deepEqual(left, [{ unfinished: 2, what: "requests" }]);
    assert.deepEqual(log.events.map(one => one.id), [EventId.StopLeftWork]);
});

test("a broken invariant is passed to onFatal", async () => {
    const { clock, fatal, supervisor } = setUp();
    supervisor.start({
        name: "broken",
        run: async () => {
            throw new InvariantError("x", {});
        },
    });
    await clock.advance(0);
    assert.deepEqual(fatal.map(err => err.invariant), ["x"]);
    await supervisor.abortAll();
});
