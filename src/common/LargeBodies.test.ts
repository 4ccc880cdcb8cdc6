/** Which of several messages are read, which wait, and which are given up for the others. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeClock } from "../../testing/FakeClock.js";
import { type HeldMessage, LargeBodies } from "./LargeBodies.js";

const kiB = 1024;
const limits = { maxAtOnce: 2, smallBytes: 16 * kiB, maxSmallBytes: 128 * kiB };

class Message {
    public isPaused = false;
    public isGivenUp = false;
    public readonly body: HeldMessage;

    public constructor(bodies: LargeBodies) {
        this.body = bodies.begin({
            pause: () => this.isPaused = true,
            resume: () => this.isPaused = false,
            giveUp: () => this.isGivenUp = true,
        });
    }

    public get state(): string {
        return this.isGivenUp ? "given up" : this.isPaused ? "waits" : "read";
    }
}

function startAll(bodies: LargeBodies, sizes: readonly number[]): readonly Message[] {
    return sizes.map(size => {
        const message = new Message(bodies);
        message.body.add(size);
        return message;
    });
}

// Guards against memory that grows with the number of large messages, and small ones that wait for them.
test("small messages are read beside large ones, which are read two at a time", () => {
    const bodies = new LargeBodies(limits, new FakeClock());
    const messages = startAll(bodies, [32 * kiB, 32 * kiB, 32 * kiB, 8 * kiB]);
    assert.deepEqual(messages.map(one => one.state), ["read", "read", "waits", "read"]);
    messages[0]?.body.complete();
    assert.equal(messages[2]?.state, "waits", "a message that is being handled keeps its turn");
    messages[0]?.body.dispose();
    assert.deepEqual(messages.map(one => one.state), ["read", "read", "read", "read"]);
    messages.forEach(one => one.body.dispose());
    assert.equal(bodies.heldBytes, 0);
});

// Guards against messages that stop short of their end and keep all others waiting for good.
test("of two messages in their turn, the one that makes no progress is given up while another waits", async () => {
    const clock = new FakeClock();
    const bodies = new LargeBodies(limits, clock);
    const [stopped, goesOn, next] = startAll(bodies, [32 * kiB, 32 * kiB, 32 * kiB]);
    for (let at = 0; at < 4; at++) {
        await clock.advance(300);
        goesOn?.body.add(100 * kiB);
    }
    assert.deepEqual([stopped, goesOn, next].map(one => one?.state), ["given up", "read", "read"]);
});

// Guards against slow senders that are given up though nobody needs their memory.
test("a message that makes no progress is kept while no other waits", async () => {
    const clock = new FakeClock();
    const bodies = new LargeBodies(limits, clock);
    const messages = startAll(bodies, [32 * kiB, 32 * kiB, 8 * kiB]);
    await clock.advance(60_000);
    assert.deepEqual(messages.map(one => one.state), ["read", "read", "read"]);
});

// Guards against messages that wait without end while others are handled.
test("a message that has waited for its turn too long is given up, and the others of later are not", async () => {
    const clock = new FakeClock();
    const bodies = new LargeBodies(limits, clock);
    const handled = startAll(bodies, [32 * kiB, 32 * kiB]);
    handled.forEach(one => one.body.complete());
    const [first] = startAll(bodies, [32 * kiB]);
    await clock.advance(3000);
    const [second] = startAll(bodies, [32 * kiB]);
    await clock.advance(2500);
    assert.deepEqual([...handled, first, second].map(one => one?.state), ["read", "read", "given up", "waits"]);
});

// Guards against many messages just below the size that needs a turn.
test("beyond the sum of small messages, those that wait and then the oldest are given up, and a new one is read", () => {
    const bodies = new LargeBodies(limits, new FakeClock());
    const large = startAll(bodies, [32 * kiB, 32 * kiB, 17 * kiB]);
    const small = startAll(bodies, Array.from({ length: 8 }, () => 15 * kiB));
    assert.deepEqual(large.map(one => one.state), ["read", "read", "given up"]);
    const [last] = startAll(bodies, [15 * kiB]);
    assert.equal(last?.state, "read");
    assert.equal(small.filter(one => one.isGivenUp).length, 1);
    assert.equal(small[0]?.state, "given up");
});
