/**
 * Mutation tests of the history checks: each mutation replaces methods of the program under test by faulty ones for one
 * test, and the named check must report a violation. This guards against checks that can never fail.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Right } from "purify-ts";
import { DispatchLedger } from "../src/common/Outcome.js";
import { ConfigClient } from "../src/config/ConfigClient.js";
import { ViewPublisher } from "../src/config/ViewPublisher.js";
import { EndpointHealth } from "../src/endpoints/EndpointHealth.js";
import { OrderIssuer } from "../src/endpoints/OrderIssuer.js";
import { NonIdempotentStage } from "../src/pipeline/NonIdempotentStage.js";
import { StagedPipelineRunner } from "../src/pipeline/StagedPipelineRunner.js";
import { SuspectTracker } from "../src/pipeline/SuspectTracker.js";
import { ClaimTable } from "../src/records/ClaimTable.js";
import { JobTable } from "../src/records/JobTable.js";
import { breakMethod, type MethodMutation, withMutations } from "../testing/MethodMutations.js";
import { runAlone } from "./FaultMatrix.js";
import { faults } from "./Faults.js";
import { historyChecks } from "./HistoryChecks.js";
import { operations } from "./Operations.js";

interface Mutation {
    readonly name: string;
    /** Replacements of methods that together make up the mutation. */
    readonly switches: readonly MethodMutation[];
    readonly operation: string;
    readonly step: string;
    readonly fault: string;
    /** Name of the check that must report a violation. */
    readonly caughtBy: string;
}

const hold = "request that may not be repeated";

/** Epoch of the latest forged lease; it decreases, so that later orders have lower fencing numbers. */
let lastEpoch = 1000;

const mutations: readonly Mutation[] = [
    {
        name: "every attempt gets the claim",
        switches: [breakMethod(ClaimTable, "claim", () => () => ({ kind: "claimed" }))],
        operation: hold,
        step: "answered",
        fault: "burst",
        caughtBy: "a non-idempotent call runs at most once",
    },
    {
        name: "claims of a host that died are forgotten",
        switches: [breakMethod(ClaimTable, "endSession", () =>
            function() {
                for (const claim of (this.running as Map<string, never>).values()) {
                    (this.remove as (claim: never) => void)(claim);
                }
            })],
        operation: hold,
        step: "executed place",
        fault: "process death",
        caughtBy: "a non-idempotent call runs at most once",
    },
    {
        name: "an answered claim is reported as failed",
        switches: [breakMethod(ClaimTable, "describe", right =>
            function(...args) {
                const reply = right.apply(this, args) as { kind: string; };
                return reply.kind === "recorded"
                    ? { kind: "recorded", outcome: { kind: "failed", message: "" } }
                    : reply;
            })],
        operation: hold,
        step: "answered",
        fault: "burst",
        caughtBy: "an answered request is not reported as failed to a resend",
    },
    {
        name: "a hold is answered without calling the endpoint",
        switches: [breakMethod(NonIdempotentStage, "run", () =>
            async function(...args) {
                const ctx = args[0] as { req: { input: unknown; }; outputs: Record<string, string>; } & {
                    adoptOutput(stage: string, output: string): void;
                };
                const output = `place[${JSON.stringify(ctx.req.input)} after ${ctx.outputs.check}]`;
                ctx.adoptOutput("place", output);
                return Right(output);
            })],
        operation: hold,
        step: "executed check",
        fault: "burst",
        caughtBy: "an answered hold was placed",
    },
    {
        name: "one request gets the answer of another",
        switches: [breakMethod(StagedPipelineRunner, "answerOf", right => {
            let earlier: unknown;
            return function(...args) {
                const answer = right.apply(this, args);
                const given = earlier ?? answer;
                earlier = answer;
                return given;
            };
        })],
        operation: "request",
        step: "received write",
        fault: "burst",
        caughtBy: "an answer is complete, on time, and belongs to its request",
    },
    {
        name: "idempotent calls are not marked as sent",
        switches: [breakMethod(DispatchLedger, "markSent", right =>
            function(...args) {
                if (args[0] === false) {
                    right.apply(this, args);
                }
            })],
        operation: "request",
        step: "received encode",
        fault: "failing stage",
        caughtBy: "a request refused as not run was not run",
    },
    {
        name: "jobs of a host that died are not queued again",
        switches: [breakMethod(JobTable, "endSession", () => () => undefined)],
        operation: "job",
        step: "received write",
        fault: "process death",
        caughtBy: "an accepted job ends with its expected answer",
    },
    {
        name: "a host goes back to an older version",
        switches: [breakMethod(ViewPublisher, "publish", right =>
            function(...args) {
                right.apply(this, args);
                const view = this.view as { version: number; } | undefined;
                if (view !== undefined && view.version > 1) {
                    (this.emitter as { fire(view: unknown): void; }).fire({ ...view, version: view.version - 1 });
                }
            })],
        operation: "configuration change",
        step: "proposed",
        fault: "burst",
        caughtBy: "versions in force only increase, and each version has one content",
    },
    {
        name: "hosts without a replica ignore configuration changes",
        switches: [breakMethod(ConfigClient, "take", right =>
            function(...args) {
                if (this.held === undefined) {
                    right.apply(this, args);
                }
            })],
        operation: "configuration change",
        step: "proposed",
        fault: "burst",
        caughtBy: "an accepted change is in force everywhere within seconds",
    },
    {
        name: "a data centre that is out is not closed",
        switches: [breakMethod(ViewPublisher, "publish", right =>
            function(...args) {
                const config = args[0] as { outDataCentres: readonly string[]; };
                right.apply(this, [{ ...config, outDataCentres: [] }]);
            })],
        operation: "data centre out and in",
        step: "asked out",
        fault: "resent change",
        caughtBy: "a closed endpoint gets no new work after the grace period",
    },
    {
        name: "a cold endpoint gets as many calls as a warm one",
        switches: [breakMethod(EndpointHealth, "turnCold", right =>
            function(...args) {
                right.apply(this, args);
                this.level = (this.limits as { warmLimit: number; }).warmLimit;
            })],
        operation: "request",
        step: "received write",
        fault: "warm turned cold",
        caughtBy: "a cold endpoint gets no more concurrent calls than its capacity",
    },
    {
        name: "every host issues orders without the lease",
        switches: [
            breakMethod(OrderIssuer, "renew", () =>
                async function() {
                    const { clock } = this.options as { clock: { nowMs(): number; }; };
                    lastEpoch -= 1;
                    this.lease = { name: "", holder: "", epoch: lastEpoch, expiresAtMs: clock.nowMs() + 60_000 };
                    this.mayIssueAtMs = 0;
                }),
        ],
        operation: "order to an engine",
        step: "EngineOrdered",
        fault: "burst",
        caughtBy: "orders to an engine come from one issuer at a time",
    },
    {
        name: "a request that crashes endpoints is never quarantined",
        switches: [
            breakMethod(SuspectTracker, "isQuarantined", () => () => false),
            breakMethod(SuspectTracker, "isSuspect", () => () => false),
        ],
        operation: "request",
        step: "received write",
        fault: "request that crashes endpoints, resent",
        caughtBy: "a request crashes at most two endpoints",
    },
];

for (const { name, switches, operation: operationName, step: stepName, fault: faultName, caughtBy } of mutations) {
    test(`${name}: caught by "${caughtBy}"`, async () => {
        const operation = operations.find(one => one.name === operationName)!;
        const step = operation.steps.find(one => one.name === stepName)!;
        const fault = faults.find(one => one.name === faultName)!;
        const cell = { operation, step, faults: [fault] };
        const { broken } = await withMutations(switches, () => runAlone(cell, 1));
        assert.ok(
            broken.some(what => what.startsWith(caughtBy)),
            `the check reported no violation; all reported violations: ${broken.join("; ")}`,
        );
    });
}

test("every history check catches at least one mutation", () => {
    const caught = new Set(mutations.map(one => one.caughtBy));
    assert.deepEqual(historyChecks.map(check => check.name).filter(name => !caught.has(name)), []);
});
