/** The failures that a request's dispatch ledger permits. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { InvariantError } from "./Invariant.js";
import { DispatchLedger, failureFor, NotRunProof } from "./Outcome.js";

describe("failureFor", () => {
    const cases: { name: string; prepare: (ledger: DispatchLedger) => void; kind: string; repeat?: string; }[] = [
        { name: "nothing was sent", prepare: () => undefined, kind: "not-run" },
        {
            name: "an idempotent call was sent",
            prepare: ledger => ledger.markSent(true),
            kind: "failed",
            repeat: "safe",
        },
        {
            name: "a non-idempotent call was sent",
            prepare: ledger => {
                ledger.markSent(true);
                ledger.markSent(false);
            },
            kind: "failed",
            repeat: "unsafe",
        },
        {
            name: "an earlier run of the job may have sent calls",
            prepare: ledger => ledger.markEarlierRun(),
            kind: "failed",
            repeat: "safe",
        },
    ];
    for (const { name, prepare, kind, repeat } of cases) {
        it(`returns ${kind} when ${name}`, () => {
            const ledger = new DispatchLedger();
            prepare(ledger);
            const failure = failureFor(ledger, "overloaded", "busy", 100);
            assert.equal(failure.kind, kind);
            assert.equal(failure.kind === "failed" ? failure.repeat : undefined, repeat);
            assert.equal(failure.retryAfterMs, 100);
        });
    }

    it("breaks an invariant when a call is sent after a not-run failure", () => {
        const ledger = new DispatchLedger();
        failureFor(ledger, "overloaded", "busy");
        assert.equal(ledger.isSealed, true);
        assert.throws(() => ledger.markSent(true), InvariantError);
    });

    it("returns no proof once a call was sent", () => {
        const ledger = new DispatchLedger();
        ledger.markSent(true);
        assert.equal(NotRunProof.from(ledger).isNothing(), true);
        assert.equal(ledger.isSealed, false);
    });
});
