/** Random requests through several stages under random faults; the invariants are checked after each run. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Behaviour, outputOf } from "../../testing/pipeline/FakeStageClient.js";
import { PipelineBench } from "../../testing/pipeline/PipelineBench.js";

const pipelines = {
    answer: [
        { name: "encode", pool: "a" },
        { name: "retrieve", pool: "a", hedge: true },
        { name: "generate", pool: "b", stream: true, hedge: true },
    ],
    renew: [{ name: "check", pool: "a" }, { name: "renew", pool: "b", idempotent: false }, { name: "tell", pool: "a" }],
};

const fault: fc.Arbitrary<Behaviour> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({ kind: fc.constant("reply" as const), ms: fc.nat(60), chunks: fc.constant(3) }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("lost" as const), ms: fc.nat(40), crashed: fc.boolean() }) },
    { weight: 1, arbitrary: fc.constant({ kind: "silent" as const }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constantFrom(
                "never-sent" as const,
                "refused" as const,
                "stage-error" as const,
                "bad-reply" as const,
            ),
            ms: fc.nat(40),
        }),
    },
);

const request = fc.record({
    pipeline: fc.constantFrom("answer", "renew"),
    workspace: fc.constantFrom("w1", "w2"),
    priority: fc.constantFrom(0 as const, 1 as const, 2 as const),
    atMs: fc.nat(400),
    deadlineMs: fc.integer({ min: 10, max: 600 }),
    giveUpAfterMs: fc.option(fc.nat(300), { freq: 6 }),
});

const endpointChange = fc.record({
    id: fc.constantFrom("a1", "a2", "b1", "b2"),
    atMs: fc.nat(500),
    limit: fc.integer({ min: 1, max: 4 }),
    state: fc.constantFrom("warm" as const, "leaving" as const, "out" as const, "cold" as const),
});

describe("requests under random faults", () => {
    it("preserves the invariants of every outcome", async () => {
        let answered = 0;
        let total = 0;
        const property = fc.asyncProperty(
            fc.array(fault, { minLength: 3, maxLength: 10 }),
            fc.array(request, { minLength: 1, maxLength: 15 }),
            fc.array(endpointChange, { maxLength: 4 }),
            async (faults, requests, changes) => {
                const bench = new PipelineBench({ pipelines });
                let calls = 0;
                bench.client.script = () => faults[calls++ % faults.length]!;
                for (const change of changes) {
                    bench.clock.setTimer(
                        change.atMs,
                        () => bench.slots.change(change.id, { limit: change.limit, state: change.state }),
                    );
                }
                const ended = requests.map(async (one, index) => {
                    await bench.clock.sleep(one.atMs);
                    const caller = new AbortController();
                    if (one.giveUpAfterMs !== null) {
                        bench.clock.setTimer(one.giveUpAfterMs, () => caller.abort());
                    }
                    const req = bench.request(one.pipeline, { ...one, input: index, key: `key ${index}` });
                    let streamed = "";
                    const listener = {
                        onOutput: (offset: number, text: string) => {
                            assert.equal(offset, streamed.length);
                            streamed += text;
                        },
                    };
                    const outcome = await bench.runner.run(req, caller.signal, listener);
                    return { req, outcome, streamed, endedMs: bench.clock.nowMs(), sent: bench.client.sent.length };
                });
                const results = await bench.settle(Promise.all(ended), 60_000, 5);
                await bench.clock.advance(60_000);
                for (const { req, outcome, streamed, endedMs } of results) {
                    const own = bench.client.sent.filter(one => one.call.request === req.id);
                    assert.ok(own.filter(one => !one.call.idempotent).length <= 1, "sent at most once");
                    assert.ok(outcome.kind !== "not-run" || own.length === 0, "nothing was sent for a not-run outcome");
                    assert.ok(endedMs <= req.deadlineMs, "answered by the deadline");
                    assert.ok(
                        own.every(one => one.atMs <= endedMs || !one.call.idempotent),
                        "nothing is sent after the outcome",
                    );
                    const attempts = own.map(one => `${one.call.stage}/${one.call.attempt}`);
                    assert.equal(new Set(attempts).size, attempts.length, "attempt numbers are unique");
                    if (outcome.kind === "answered") {
                        assert.equal(outcome.answer.output, outputOf(own[own.length - 1]!.call));
                        assert.ok(req.pipeline === "renew" || streamed === outcome.answer.output);
                        answered += 1;
                    }
                    total += 1;
                }
                assert.equal(bench.runner.inFlight, 0);
                assert.deepEqual(["a1", "a2", "b1", "b2"].map(id => bench.slots.inFlight(id)), [0, 0, 0, 0]);
            },
        );
        await fc.assert(property, { seed: 8, numRuns: 80 });
        assert.ok(answered > total / 5, `${answered} of ${total} answered: too few for a meaningful run`);
    });
});
