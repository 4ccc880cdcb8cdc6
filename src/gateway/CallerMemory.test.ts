/** Guards against memory that callers use up by not reading, and against callers that keep endpoints busy that way. */
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { describe, it } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { noMetrics } from "../../testing/FleetFixtures.js";
import { EventId } from "../telemetry/Events.js";
import type { EventFields, EventLog } from "../telemetry/Types.js";
import { CallerMemory } from "./CallerMemory.js";
import type { CallerOutput } from "./CallerOutput.js";

/** A caller's connection that takes data only when the test says so. */
class FakeResponse extends EventEmitter {
    public destroyed = false;
    public isEnded = false;
    private readonly writes: (() => void)[] = [];

    public write(_: Buffer, callback: () => void): boolean {
        this.writes.push(callback);
        return false;
    }

    public end(_: Buffer, callback: () => void): void {
        this.isEnded = true;
        this.writes.push(callback);
    }

    /** Takes the oldest write. */
    public take(): void {
        this.writes.shift()?.();
        this.emit("drain");
    }

    public destroy(): void {
        if (!this.destroyed) {
            this.destroyed = true;
            this.emit("close");
        }
    }
}

function newMemory(maxHeldBytes: number, maxStallMs: number) {
    const clock = new FakeClock();
    const events: EventFields[] = [];
    const log: EventLog = {
        event: (id, fields = {}) => {
            assert.equal(id, EventId.SlowCallerDisconnected);
            events.push(fields);
        },
        with: () => log,
    };
    const memory = new CallerMemory({ settings: () => ({ maxHeldBytes, maxStallMs }), clock, log, metrics: noMetrics });
    const open = (request: string) => {
        const res = new FakeResponse();
        const output = memory.open(res as unknown as ServerResponse, request, () => res.destroy());
        return { res, output };
    };
    return { clock, events, memory, open };
}

describe("the callers' memory", () => {
    it("disconnects a caller that takes nothing for longer than the limit, and no other", async () => {
        const { clock, events, memory, open } = newMemory(1000, 4000);
        const stopped = open("stopped");
        const slow = open("slow");
        void stopped.output.write(Buffer.alloc(10));
        void slow.output.write(Buffer.alloc(10));
        void slow.output.write(Buffer.alloc(10));
        void slow.output.write(Buffer.alloc(10));
        await clock.advance(3000);
        slow.res.take();
        await clock.advance(3000);
        assert.equal(stopped.res.destroyed, true);
        assert.equal(slow.res.destroyed, false);
        assert.equal(memory.held, 20);
        assert.deepEqual(events.map(one => [one.request, one.reason, one.waitingBytes]), [["stopped", "stalled", 10]]);
        slow.res.take();
        slow.res.take();
        await clock.advance(10_000);
        assert.equal(slow.res.destroyed, false, "a caller without waiting data was disconnected");
        assert.equal(memory.held, 0);
    });

    it("lets a caller take a large body for longer than the limit, as long as it goes on", async () => {
        const { clock, memory, open } = newMemory(1e9, 4000);
        const { res, output } = open("slow");
        output.writeBody(Buffer.alloc(320 * 1024));
        assert.equal(memory.held, 320 * 1024);
        for (let at = 0; at < 5; at++) {
            await clock.advance(3000);
            res.take();
        }
        await clock.advance(10_000);
        assert.equal(res.destroyed, false);
        assert.equal(res.isEnded, true);
        assert.equal(memory.held, 0);
    });

    it("disconnects the caller that has taken nothing for longest when there is no room", async () => {
        const { clock, events, memory, open } = newMemory(100, Infinity);
        const [first, second, third] = ["first", "second", "third"].map(open);
        void first!.output.write(Buffer.alloc(40));
        await clock.advance(600);
        void second!.output.write(Buffer.alloc(40));
        await clock.advance(600);
        void third!.output.write(Buffer.alloc(40));
        assert.deepEqual([first, second, third].map(one => one!.res.destroyed), [true, false, false]);
        assert.deepEqual(events.map(one => [one.request, one.reason]), [["first", "memory"]]);
        const account = memory.account();
        assert.equal(account.add(60), true);
        assert.deepEqual([first, second, third].map(one => one!.res.destroyed), [true, true, false]);
        assert.equal(memory.held, 100);
        assert.equal(account.add(101), false);
        assert.equal(third!.res.destroyed, false, "a caller was disconnected although that was of no use");
    });

    // Guards against a sound caller that is reset in favour of a new request, which could have been refused.
    it("disconnects no caller that has only just been written to", async () => {
        const { clock, memory, open } = newMemory(100, Infinity);
        const [first, second] = ["first", "second"].map(open);
        void first!.output.write(Buffer.alloc(60));
        await clock.advance(100);
        assert.equal(memory.account().add(60), false);
        void second!.output.write(Buffer.alloc(60));
        assert.deepEqual([first!.res.destroyed, memory.held], [false, 60]);
        await clock.advance(1000);
        assert.deepEqual([first!.res.destroyed, second!.output.waitingBytes], [true, 60]);
    });

    it("lets a stream wait while other data takes up the room", async () => {
        const { memory, open } = newMemory(100, Infinity);
        const account = memory.account();
        account.add(90);
        const { res, output } = open("stream");
        const written = output.write(Buffer.alloc(20));
        assert.equal(memory.held, 90);
        account.release();
        await new Promise(resolve => setImmediate(resolve));
        assert.equal(memory.held, 20);
        res.take();
        await written;
        assert.equal(memory.held, 0);
    });

    it("holds no more than the bound, and nothing in the end, in all orders of writes, reads and disconnections", () => {
        const step = fc.record({
            at: fc.nat(3),
            kind: fc.constantFrom("write", "body", "take", "close", "hold", "release"),
            bytes: fc.integer({ min: 1, max: 60 }),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 40 }), steps => {
                const bound = 100;
                const { memory, open } = newMemory(bound, Infinity);
                const account = memory.account();
                const callers: { readonly res: FakeResponse; readonly output: CallerOutput; }[] = ["0", "1", "2", "3"]
                    .map(open);
                const hasBody = new Set<number>();
                let bodies = 0;
                for (const { at, kind, bytes } of steps) {
                    const { res, output } = callers[at]!;
                    if (kind === "write" && !hasBody.has(at)) {
                        void output.write(Buffer.alloc(bytes));
                    }
                    else if (kind === "body" && !hasBody.has(at)) {
                        // A body comes out of an account that was within the bound.
                        hasBody.add(at);
                        bodies += bytes;
                        output.writeBody(Buffer.alloc(bytes));
                    }
                    else if (kind === "take") {
                        res.take();
                    }
                    else if (kind === "close") {
                        res.destroy();
                    }
                    else if (kind === "hold") {
                        account.add(bytes);
                    }
                    else if (kind === "release") {
                        account.release();
                    }
                    assert.ok(memory.held >= 0 && memory.held <= bound + bodies, `${memory.held} bytes are held`);
                }
                callers.forEach(({ res }) => res.destroy());
                account.release();
                assert.equal(memory.held, 0);
            }),
            { seed: 42, numRuns: 500 },
        );
    });
});
