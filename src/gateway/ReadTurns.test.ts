/** Guards against a host that reads nothing but the many small parts of a few bodies, and serves nobody meanwhile. */
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { ReadTurns } from "./ReadTurns.js";

function newTurns() {
    const callbacks: (() => void)[] = [];
    const events: string[] = [];
    const turns = new ReadTurns(callback => callbacks.push(callback));
    const open = (name: string) => {
        const emitter = new EventEmitter();
        const connection = Object.assign(emitter, {
            pause: () => events.push(`${name} pauses`),
            resume: () => {
                events.push(name);
                emitter.emit("resume");
            },
        });
        const part = turns.counter(connection);
        return Object.assign((parts: number) => Array.from({ length: parts }).forEach(part), { connection });
    };
    /** Runs one turn of the event loop; returns what happened since the last one. */
    const turn = () => {
        callbacks.splice(0).forEach(callback => callback());
        return events.splice(0);
    };
    return { open, turn };
}

test("connections with many parts go on one after the other, one in each turn", () => {
    const { open, turn } = newTurns();
    const [one, two] = [open("one"), open("two")];
    one(3000);
    two(3000);
    assert.deepEqual(turn(), ["one pauses", "two pauses", "one"]);
    one(3000);
    assert.deepEqual(turn(), ["one pauses", "two"]);
    assert.deepEqual(turn(), ["one"]);
    assert.deepEqual(turn(), []);
    two(300);
    assert.deepEqual(turn(), ["two pauses", "two"]);
});

// Guards against the HTTP server, which resumes a connection whenever it wants more of a body.
test("a connection that is resumed before its turn is paused again, and not after it", () => {
    const { open, turn } = newTurns();
    const one = open("one");
    one(300);
    one.connection.resume();
    assert.deepEqual(turn(), ["one pauses", "one", "one pauses", "one"]);
    one.connection.resume();
    assert.deepEqual(turn(), ["one"]);
});

test("a connection with few parts is not paused", () => {
    const { open, turn } = newTurns();
    open("few")(200);
    assert.deepEqual(turn(), []);
});
