/**
 * Mutation tests: each breaks one rule that claims and jobs rely on, and checks that a random sequence or a scenario
 * detects it.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ClaimRun, claimStep } from "../../testing/ClaimRun.js";
import { JobRun, jobStep } from "../../testing/JobRun.js";
import { breakMethod, type MethodMutation, withMutations } from "../../testing/MethodMutations.js";
import { claimKey, leaseMs, newJob, type RecordsHost, RecordsHosts, requestId } from "../../testing/RecordsHosts.js";
import { ClaimTable } from "./ClaimTable.js";
import { type RecordsResult, toJson } from "./Commands.js";
import { HeldJob } from "./HeldJob.js";
import { JobTable } from "./JobTable.js";
import { RecordsClient } from "./RecordsClient.js";
import { RecordsState } from "./RecordsState.js";
import { SessionTable } from "./SessionTable.js";

const sequences = { seed: 20261203, numRuns: 60, endOnFailure: true };
const size = { minLength: 5, maxLength: 40 };

function claims(): Promise<void> {
    const property = fc.asyncProperty(
        fc.nat({ max: 1 << 30 }),
        fc.array(claimStep, size),
        (seed, steps) => new ClaimRun(seed).run(steps),
    );
    return fc.assert(property, sequences);
}

function jobs(): Promise<void> {
    const property = fc.asyncProperty(
        fc.nat({ max: 1 << 30 }),
        fc.array(jobStep, size),
        (seed, steps) => new JobRun(seed).run(steps),
    );
    return fc.assert(property, sequences);
}

/** A command that is committed after its claim was released must not claim again. */
async function lateClaim(): Promise<void> {
    const cluster = new RecordsHosts({ seed: 2, lateMs: 3000 });
    const [a, b] = [cluster.start("a"), cluster.start("b")];
    await cluster.clock.advance(10);
    cluster.group.script.push("late-commit");
    const claim = (host: RecordsHost, request: string) =>
        cluster.settle(host.claims.claim(claimKey("k"), "body", requestId(request), 2000));
    const first = (await claim(a, "r1")).unsafeCoerce();
    assert.ok(first.kind === "claimed" && (await cluster.settle(first.claim.release(1000))).isRight());
    await cluster.clock.advance(5000);
    assert.equal((await claim(b, "r2")).unsafeCoerce().kind, "claimed", "the key is blocked");
    cluster.stop();
}

/** A request to end a session with an old heartbeat must be refused. */
async function staleHeartbeat(): Promise<void> {
    const state = new RecordsState();
    const send = (host: string, body: object): RecordsResult => {
        const session = { host, incarnation: 1, epoch: 1 };
        const command = { session, floor: 1, clock: { seenMs: 0, elapsedMs: 0 }, body };
        return state.apply(toJson(command), 1) as unknown as RecordsResult;
    };
    send("a", { kind: "renew" });
    send("a", { kind: "renew" });
    send("b", { kind: "expire", session: { host: "a", incarnation: 1, epoch: 1 }, beat: 1 });
    assert.equal(send("a", { kind: "renew" }).endedBy, undefined, "a live session was ended");
}

/** A job whose lease expired on a host whose session is still live must be queued again. */
async function expiredLease(): Promise<void> {
    const cluster = new RecordsHosts();
    const a = cluster.start("a");
    await cluster.settle(a.jobs.submit(newJob("j"), 1000));
    await cluster.settle(a.jobs.take(1000));
    cluster.group.cut(a.id);
    await cluster.clock.advance(leaseMs + 10);
    cluster.group.heal();
    assert.ok(await cluster.settle(a.jobs.take(leaseMs * 3)) !== undefined, "the job is running for ever");
    cluster.stop();
}

const mutations: { name: string; run: () => Promise<void>; caughtBy: RegExp; switches: MethodMutation[]; }[] = [
    {
        name: "a used ticket is not closed",
        run: lateClaim,
        caughtBy: /blocked/,
        switches: [
            breakMethod(SessionTable, "close", () => () => undefined),
            breakMethod(SessionTable, "raiseFloor", () => () => undefined),
        ],
    },
    {
        name: "an attempt without a reply is not withdrawn",
        run: claims,
        caughtBy: /blocked|for ever/,
        switches: [breakMethod(RecordsClient, "sendInBackground", () => () => undefined)],
    },
    {
        name: "a claim of a crashed host is removed",
        run: claims,
        caughtBy: /claimed again|was free|sent by/,
        switches: [breakMethod(ClaimTable, "endSession", () =>
            function(...args) {
                const name = JSON.stringify(args[0]);
                for (const claim of [...(this.running as Map<string, { ticket: { session: unknown; }; }>).values()]) {
                    if (JSON.stringify(claim.ticket.session) === name) {
                        (this.remove as (one: unknown) => void).call(this, claim);
                    }
                }
            })],
    },
    {
        name: "a session is ended despite newer heartbeats",
        run: staleHeartbeat,
        caughtBy: /a live session was ended/,
        switches: [breakMethod(SessionTable, "expire", right =>
            function(...args) {
                const session = args[0] as { host: string; };
                const known = (this.byHost as Map<string, { beat: number; }>).get(session.host);
                return right.call(this, session, known?.beat);
            })],
    },
    {
        name: "a session is ended without waiting for a lease",
        run: jobs,
        caughtBy: /two live leases/,
        switches: [breakMethod(RecordsClient, "expireIfStale", () =>
            function(...args) {
                const { session, beat } = args[0] as { session: unknown; beat: number; };
                return (this.send as (body: unknown, timeoutMs: unknown) => Promise<unknown>).call(
                    this,
                    { kind: "expire", session, beat },
                    args[1],
                );
            })],
    },
    {
        name: "jobs of an ended session are not queued again",
        run: jobs,
        caughtBy: /is running/,
        switches: [breakMethod(JobTable, "endSession", () => () => undefined)],
    },
    {
        name: "the job of an expired lease is not handed back",
        run: expiredLease,
        caughtBy: /running for ever/,
        switches: [breakMethod(HeldJob, "lose", () =>
            function(...args) {
                (this.stop as (reason: unknown) => void).call(this, args[0]);
            })],
    },
];

for (const { name, run, caughtBy, switches } of mutations) {
    test(`${name}: caught by ${caughtBy.source}`, async () => {
        if (run !== claims && run !== jobs) {
            await run();
        }
        await assert.rejects(withMutations(switches, run), (err: Error) => {
            assert.match(err.cause instanceof Error ? err.cause.message : err.message, caughtBy);
            return true;
        });
    });
}
