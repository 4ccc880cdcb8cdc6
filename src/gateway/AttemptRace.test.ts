/**
 * Guards against two answers, or parts of two, for one request: all orders of the events of two attempts, over the race
 * and the way of events to the caller, without a network.
 */
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AttemptRace, type Contender, mayHaveRun, type RaceEnd } from "./AttemptRace.js";
import { AttemptReply } from "./AttemptReply.js";
import type { CallerReply } from "./CallerReply.js";
import type { AttemptOutcome, ReplyHead } from "./Types.js";

type Step = "event" | "end" | "answer" | "failure" | "busy" | "not-run" | "unsent" | "broken";
const endings: readonly Step[] = ["end", "answer", "failure", "busy", "not-run", "unsent", "broken"];
/** What each attempt may do: up to two events, then an end, or nothing more. */
const scripts: readonly (readonly Step[])[] = [
    [],
    ["event"],
    ...endings.map(one => [one]),
    ["event", "end"],
    ["event", "broken"],
    ["event", "event", "end"],
];

function headOf(attempt: number, status: number): ReplyHead {
    return {
        status,
        requestId: "id",
        isSigned: true,
        isNotRun: false,
        isEventStream: false,
        isFramed: true,
        hasBody: true,
        forwarded: ["attempt", String(attempt)],
    };
}

/** Records what reaches the caller, each piece with the attempt that it came from. */
class RecordedCaller {
    public readonly written: string[] = [];

    public beginStream({ forwarded }: ReplyHead): void {
        if (!this.written.some(one => one.startsWith("head"))) {
            this.written.push(`head ${forwarded[1]}`);
        }
    }

    public async writeEvent({ bytes }: { readonly bytes: Buffer; }): Promise<void> {
        this.written.push(`event ${bytes.toString()}`);
    }

    public async endStream(): Promise<void> {
        this.written.push("end");
    }
}

/** An attempt that a test drives, with the rules of an exchange: nothing happens after its end or its cancellation. */
class DrivenAttempt {
    private isOver = false;
    private isStreaming = false;
    private resolve: (outcome: AttemptOutcome) => void = () => undefined;
    private readonly reply: AttemptReply;
    public readonly outcome = new Promise<AttemptOutcome>(resolve => this.resolve = resolve);

    public constructor(private readonly at: number, private readonly contender: Contender, caller: RecordedCaller) {
        this.reply = new AttemptReply(caller as unknown as CallerReply, contender, true);
        contender.signal.addEventListener("abort", () => this.finish({ kind: "cancelled" }));
        if (contender.signal.aborted) {
            this.finish({ kind: "cancelled" });
        }
        else {
            this.reply.beginStream(headOf(at, 200));
        }
    }

    /** Takes a step; false when an attempt in this state can't: a streamed reply only goes on, ends or breaks. */
    public take(step: Step): boolean {
        if (this.isOver || (this.isStreaming && !["event", "end", "broken"].includes(step))) {
            return false;
        }
        this.isStreaming = step === "event" || this.isStreaming;
        this.apply(step);
        return true;
    }

    private apply(step: Step): void {
        switch (step) {
            case "event":
                // The exchange asks the contender before each event.
                if (this.contender.claim()) {
                    void this.reply.writeEvent({
                        bytes: Buffer.from(String(this.at)),
                        id: undefined,
                        isComment: false,
                    });
                }
                return;
            case "end":
                void this.reply.endStream(Buffer.alloc(0));
                return this.finish({ kind: "replied", reply: headOf(this.at, 200), body: undefined });
            case "answer":
                return this.replied(200);
            case "failure":
                return this.replied(500);
            case "busy":
                return this.replied(429);
            case "not-run":
                return this.finish({ kind: "not-run", status: 503 });
            case "unsent":
                return this.finish({ kind: "unsent", message: "refused", isSilent: false });
            case "broken":
                return this.finish({ kind: "broken", message: "reset", isSilent: false });
        }
    }

    private replied(status: number): void {
        this.finish({ kind: "replied", reply: headOf(this.at, status), body: Buffer.from(String(this.at)) });
    }

    private finish(outcome: AttemptOutcome): void {
        this.isOver = true;
        this.resolve(outcome);
    }
}

type Move = { readonly at: 0 | 1; readonly step: Step; } | { readonly at: "request"; };

interface Run {
    readonly end: RaceEnd<number>;
    readonly written: readonly string[];
    /** What each attempt has done. */
    readonly steps: readonly (readonly Step[])[];
}

/** Runs both attempts through the moves; `isPrompt` lets all promises settle after each move. */
async function runRace(moves: readonly Move[], isPrompt: boolean): Promise<Run> {
    const request = new AbortController();
    const caller = new RecordedCaller();
    const attempts: DrivenAttempt[] = [];
    const race = new AttemptRace<number>(request.signal, (at, contender) => {
        const attempt = new DrivenAttempt(at, contender, caller);
        attempts[at] = attempt;
        return attempt.outcome;
    });
    race.enter(0);
    race.enter(1);
    await settle();
    const steps: Step[][] = [[], []];
    for (const move of moves) {
        if (move.at === "request") {
            request.abort();
        }
        else {
            if (attempts[move.at]?.take(move.step) === true) {
                steps[move.at]?.push(move.step);
            }
        }
        if (isPrompt) {
            await settle();
        }
    }
    await settle();
    // What is still running ends with the deadline.
    request.abort();
    return { end: await race.end(), written: caller.written, steps };
}

function settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

/** Checks what must hold after any order of events. */
function check({ end: { decisive, others }, written, steps }: Run): void {
    const writers = new Set(written.filter(one => one !== "end").map(one => one.split(" ")[1]));
    assert.ok(writers.size <= 1, `the caller got parts of two attempts: ${written.join(", ")}`);
    assert.ok(written.filter(one => one === "end").length <= 1, "the stream ended twice");
    const body = decisive.outcome.kind === "replied" ? decisive.outcome.body : undefined;
    if (body !== undefined) {
        assert.deepEqual(written, [], "a complete reply follows parts of a stream");
    }
    if (writers.size === 1) {
        assert.ok(writers.has(String(decisive.choice)), "another attempt than the one that wrote is decisive");
    }
    const isWhole = decisive.outcome.kind === "replied" && body === undefined;
    assert.equal(isWhole, written.includes("end"));
    // A refusal as "not run" follows only when no attempt may have run.
    const refusesAsNotRun = ![decisive, ...others].some(one => mayHaveRun(one.outcome));
    const ranSteps: readonly Step[] = ["event", "end", "answer", "failure", "busy", "broken"];
    const hasRun = steps.some(one => one.some(step => ranSteps.includes(step)));
    assert.ok(!(refusesAsNotRun && hasRun), "an attempt that may have run does not count");
    // An answer that has arrived is not lost to a failure of the other attempt.
    const whole = steps.filter(one => one.includes("answer") || one.includes("end")).length;
    const hasBrokenWinner = written.length > 0 && !isWhole;
    if (whole > 0 && !hasBrokenWinner) {
        assert.ok(decisive.outcome.kind === "replied" && decisive.outcome.reply.status === 200);
    }
}

/** All orders in which the moves of both scripts can follow one another. */
function interleavings(one: readonly Move[], other: readonly Move[]): Move[][] {
    const [first, ...rest] = one;
    const [second, ...restOfOther] = other;
    if (first === undefined || second === undefined) {
        return [[...one, ...other]];
    }
    return [
        ...interleavings(rest, other).map(moves => [first, ...moves]),
        ...interleavings(one, restOfOther).map(moves => [second, ...moves]),
    ];
}

describe("two attempts of a request", () => {
    it("give the caller exactly one answer or none, in all orders of their events", async () => {
        let count = 0;
        for (const one of scripts) {
            for (const other of scripts) {
                const moves = interleavings(
                    one.map(step => ({ at: 0, step })),
                    other.map(step => ({ at: 1, step })),
                );
                for (const order of moves) {
                    for (const isPrompt of [true, false]) {
                        check(await runRace(order, isPrompt));
                        count += 1;
                    }
                }
            }
        }
        assert.ok(count > 500, `only ${count} orders were run`);
    });

    it("give at most one answer when the request ends at any point, or the promises settle at any point", async () => {
        const move: fc.Arbitrary<Move> = fc.oneof(
            {
                weight: 9,
                arbitrary: fc.record({
                    at: fc.constantFrom<0 | 1>(0, 1),
                    step: fc.constantFrom<Step>("event", ...endings),
                }),
            },
            { weight: 1, arbitrary: fc.constant<Move>({ at: "request" }) },
        );
        await fc.assert(
            fc.asyncProperty(fc.array(move, { maxLength: 8 }), fc.boolean(), async (moves, isPrompt) => {
                check(await runRace(moves, isPrompt));
            }),
            { seed: 41, numRuns: 2000 },
        );
    });

    it("end with the winner of the first event, and the other is cancelled at once", async () => {
        const request = new AbortController();
        const contenders: Contender[] = [];
        const resolvers: ((outcome: AttemptOutcome) => void)[] = [];
        const race = new AttemptRace<number>(request.signal, (_, contender) => {
            contenders.push(contender);
            return new Promise(resolve => {
                resolvers.push(resolve);
                contender.signal.addEventListener("abort", () => resolve({ kind: "cancelled" }));
            });
        });
        race.enter(0);
        race.enter(1);
        await settle();
        assert.equal(race.possibleRuns, 2);
        assert.equal(contenders[1]?.claim(), true);
        assert.equal(contenders[0]?.signal.aborted, true, "the loser was not cancelled");
        assert.equal(contenders[0]?.hasLostRace, true);
        assert.equal(contenders[0]?.claim(), false);
        assert.equal(race.closed.aborted, true);
        resolvers[1]?.({ kind: "broken", message: "reset", isSilent: false });
        const { decisive, others } = await race.end();
        assert.deepEqual([decisive.choice, decisive.outcome.kind], [1, "broken"]);
        assert.deepEqual(others.map(one => one.outcome.kind), ["cancelled"]);
    });
});
