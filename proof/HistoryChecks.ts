/** The system's guarantees as checks of a {@link History}. Each check returns the violations found. */
import { expectedAnswer, type History, type SeenCall, type SeenRequest } from "./History.js";

export interface HistoryCheck {
    readonly name: string;
    run(history: History): readonly string[];
}

/** Time after an endpoint is closed during which new work may still arrive, in milliseconds. */
const closeGraceMs = 5000;
/** Time after an endpoint turns cold without notice during which it may be overloaded, in milliseconds. */
const coldGraceMs = 3000;
/** Maximum time until an accepted change is in force on every host, in milliseconds. */
const inForceMs = 10_000;
/** Time for an answer completed by its deadline to reach its caller, in milliseconds. */
const answerGraceMs = 50;

export const historyChecks: readonly HistoryCheck[] = [
    { name: "an answer is complete, on time, and belongs to its request", run: checkAnswers },
    { name: "a non-idempotent call runs at most once", run: checkAtMostOnce },
    { name: "an answered hold was placed", run: checkPlaced },
    { name: "a request refused as not run was not run", run: checkRefusals },
    { name: "an answered request is not reported as failed to a resend", run: checkResends },
    { name: "an accepted job ends with its expected answer", run: checkJobs },
    { name: "versions in force only increase, and each version has one content", run: checkVersions },
    { name: "an accepted change is in force everywhere within seconds", run: checkInForce },
    { name: "a closed endpoint gets no new work after the grace period", run: checkClosed },
    { name: "a cold endpoint gets no more concurrent calls than its capacity", run: checkCold },
    { name: "a request crashes at most two endpoints", run: checkCrashes },
    { name: "orders to an engine come from one issuer at a time", run: checkOrders },
];

export function findViolations(history: History): readonly string[] {
    return historyChecks.flatMap(check => check.run(history).map(what => `${check.name}: ${what}`));
}

function checkAnswers(history: History): readonly string[] {
    return history.requests.flatMap(req => {
        if (req.outcome?.kind !== "answered") {
            return [];
        }
        const expected = expectedAnswer(req.kind, req.input);
        const late = (req.endedAtMs ?? 0) > req.deadlineMs + answerGraceMs;
        return [
            ...(req.outcome.text === expected ? [] : [`${req.id} got ${req.outcome.text} instead of ${expected}`]),
            ...(late ? [`${req.id} was answered ${(req.endedAtMs ?? 0) - req.deadlineMs} ms late`] : []),
        ];
    });
}

/** Non-idempotent calls, grouped by input as JSON. */
function nonIdempotentCalls(history: History): ReadonlyMap<string, readonly SeenCall[]> {
    const byInput = new Map<string, SeenCall[]>();
    for (const call of history.calls.filter(one => !one.idempotent)) {
        const name = JSON.stringify(call.input);
        byInput.set(name, [...(byInput.get(name) ?? []), call]);
    }
    return byInput;
}

function checkAtMostOnce(history: History): readonly string[] {
    return [...nonIdempotentCalls(history)]
        .filter(([, calls]) => calls.length > 1)
        .map(([input, calls]) => `${input} ran ${calls.length} times: ${calls.map(describe).join(", ")}`);
}

function checkPlaced(history: History): readonly string[] {
    const callsByInput = nonIdempotentCalls(history);
    return history.requests
        .filter(req => req.kind === "hold" && req.outcome?.kind === "answered")
        .filter(req => !callsByInput.get(JSON.stringify(req.input))?.some(call => call.end === "done"))
        .map(req => `${req.id} was answered, but its hold was never placed`);
}

function checkRefusals(history: History): readonly string[] {
    const callsByRequest = new Map(history.calls.map(call => [call.request, call]));
    return history.requests.flatMap(req => {
        const call = callsByRequest.get(req.id);
        if (call === undefined || req.outcome === undefined || req.outcome.kind === "answered") {
            return [];
        }
        const sentNonIdempotent = history.calls.some(one => one.request === req.id && !one.idempotent);
        const isReportedSafe = req.outcome.kind === "failed" && req.outcome.repeat === "safe";
        return [
            ...(req.outcome.kind === "not-run" ? [`${req.id} was refused as not run, but ${describe(call)}`] : []),
            ...(isReportedSafe && sentNonIdempotent
                ? [`${req.id} was reported as safe to repeat, but its non-idempotent call was sent`]
                : []),
        ];
    });
}

/** If any request with an idempotency key was answered, none with that key may be reported as run and failed. */
function checkResends(history: History): readonly string[] {
    const byKey = new Map<string, SeenRequest[]>();
    for (const req of history.requests.filter(one => one.key !== undefined && one.endedAtMs !== undefined)) {
        byKey.set(req.key ?? "", [...(byKey.get(req.key ?? "") ?? []), req]);
    }
    return [...byKey.values()].flatMap(sent => {
        const answered = sent.find(req => req.outcome?.kind === "answered");
        const contradictory = sent.filter(req => req.outcome?.kind === "failed" && req.outcome.repeat === "unsafe");
        return answered === undefined
            ? []
            : contradictory.map(req => `${req.id} was reported as failed, but ${answered.id} was answered`);
    });
}

function checkJobs(history: History): readonly string[] {
    return history.jobs.filter(job => job.accepted && !job.cancelled).flatMap(job => {
        // A job may fail only if an endpoint reported that one of its stages failed.
        const hasFailedStage = history.calls.some(call => call.request === job.id && call.end === "failed");
        if (job.state === "failed" && hasFailedStage) {
            return [];
        }
        if (job.state !== "answered") {
            return [`${job.id} was accepted, but its state is ${job.state ?? "lost"}`];
        }
        const expected = expectedAnswer("profile", job.input);
        return job.answer === expected ? [] : [`${job.id} ended with a wrong answer: ${job.answer ?? "nothing"}`];
    });
}

function checkVersions(history: History): readonly string[] {
    const broken: string[] = [];
    const latest = new Map<string, number>();
    const texts = new Map<number, string>();
    for (const seen of history.versions) {
        const before = latest.get(seen.host) ?? 0;
        if (seen.version < before) {
            broken.push(`${seen.host} went from version ${before} to ${seen.version}`);
        }
        latest.set(seen.host, seen.version);
        if ((texts.get(seen.version) ?? seen.text) !== seen.text) {
            broken.push(`version ${seen.version} has two contents`);
        }
        texts.set(seen.version, seen.text);
    }
    return broken;
}

function checkInForce(history: History): readonly string[] {
    const hosts = new Set(history.versions.map(seen => seen.host));
    return history.accepted.flatMap(change =>
        [...hosts].flatMap(host => {
            const seen = history.versions.find(one => one.host === host && one.version >= change.version);
            if (seen === undefined) {
                return [`${host} never applied version ${change.version} (${change.what})`];
            }
            const tookMs = seen.atMs - change.atMs - unreachableMs(history, host, change.atMs, seen.atMs);
            return tookMs > inForceMs
                ? [`${host} applied version ${change.version} (${change.what}) after ${tookMs} ms`]
                : [];
        })
    );
}

/** Total time, between `fromMs` and `toMs`, in which the host was unreachable or mixed faults were active, in ms. */
function unreachableMs(history: History, host: string, fromMs: number, toMs: number): number {
    const own = history.unreachable.filter(one => one.host === host);
    const periods = [...own, ...history.disrupted].sort((a, b) => a.fromMs - b.fromMs);
    let sum = 0;
    let countedToMs = fromMs;
    for (const one of periods) {
        const startMs = Math.max(one.fromMs, countedToMs);
        const endMs = Math.min(one.toMs, toMs);
        sum += Math.max(0, endMs - startMs);
        countedToMs = Math.max(countedToMs, endMs);
    }
    return sum;
}

function checkClosed(history: History): readonly string[] {
    return history.closed.flatMap(closed =>
        history.calls
            .filter(call => closed.endpoints.includes(call.endpoint))
            .filter(call => call.atMs > closed.fromMs + closeGraceMs && call.atMs < closed.toMs)
            .filter(call => !isCutOff(history, call))
            .map(call => `${describe(call)}, ${call.atMs - closed.fromMs} ms after it was closed`)
    );
}

/** True if a host of the endpoint's data centre may not know yet that the endpoint was closed. */
function isCutOff(history: History, call: SeenCall): boolean {
    const centre = call.endpoint.split("-")[0] ?? "";
    const periods = history.unreachable.filter(one => one.host.startsWith(centre));
    return [...periods, ...history.disrupted].some(one =>
        call.atMs >= one.fromMs && call.atMs < one.toMs + closeGraceMs
    );
}

function checkCold(history: History): readonly string[] {
    return history.calls
        .filter(call => call.inFlight > call.bearable && call.sinceColdMs > coldGraceMs)
        .map(call =>
            `${describe(call)}, one of ${call.inFlight} concurrent calls, but the capacity was ${call.bearable}`
        );
}

function checkCrashes(history: History): readonly string[] {
    return [...history.crashes]
        .filter(([, count]) => count > maxCrashes)
        .map(([input, count]) => `${input} crashed ${count} endpoints`);
}

/** The simulated engines ignore fencing numbers, so only lease expiry protects them from a former issuer's orders. */
function checkOrders(history: History): readonly string[] {
    const highest = new Map<string, number>();
    return history.orders.flatMap(({ endpoint, fencing, orderId, atMs }) => {
        const before = highest.get(endpoint) ?? 0;
        highest.set(endpoint, Math.max(before, fencing));
        return fencing < before
            ? [`${endpoint} got order ${orderId} after an order with fencing number ${before}, at ${atMs} ms`]
            : [];
    });
}

/** Maximum number of endpoint crashes that one request may cause on the whole site. */
const maxCrashes = 2;

function describe(call: SeenCall): string {
    return `${call.endpoint} got ${call.stage} of ${call.request} (attempt ${call.attempt}) at ${call.atMs} ms`;
}
