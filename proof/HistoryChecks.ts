/** The promises, as checks of a {@link History}. Each gives what is wrong, or nothing. */
import { expectedAnswer, type History, type SeenCall, type SeenRequest } from "./History.js";

export interface HistoryCheck {
    readonly name: string;
    run(history: History): readonly string[];
}

/** New work may still arrive so long after an order to close, in milliseconds. */
const closeGraceMs = 5000;
/** An endpoint that turns cold unannounced may be overloaded for so long, in milliseconds. */
const coldGraceMs = 3000;
/** An accepted change is in force everywhere within this time, in milliseconds. */
const inForceMs = 10_000;
/** Time for an answer that was made in time to reach its caller, in milliseconds. */
const answerGraceMs = 50;

export const historyChecks: readonly HistoryCheck[] = [
    { name: "an answer is whole, on time, and the request's own", run: checkAnswers },
    { name: "a call that may not be repeated runs at most once", run: checkAtMostOnce },
    { name: "an answered hold was placed", run: checkPlaced },
    { name: "a refusal that says not run is true", run: checkRefusals },
    { name: "an answer is never taken back", run: checkResends },
    { name: "an accepted job ends with its own answer", run: checkJobs },
    { name: "versions in force only rise, and a version has one content", run: checkVersions },
    { name: "an accepted change is in force everywhere within seconds", run: checkInForce },
    { name: "a closed endpoint gets no new work after a few seconds", run: checkClosed },
    { name: "an endpoint in cold start gets no more than it can bear", run: checkCold },
    { name: "a request crashes at most two endpoints", run: checkCrashes },
    { name: "orders to an engine come from one issuer at a time", run: checkOrders },
];

export function brokenPromises(history: History): readonly string[] {
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

/** Calls that may not be repeated, by the input that names the action. */
function placedCalls(history: History): ReadonlyMap<string, readonly SeenCall[]> {
    const byInput = new Map<string, SeenCall[]>();
    for (const call of history.calls.filter(one => !one.idempotent)) {
        const name = JSON.stringify(call.input);
        byInput.set(name, [...(byInput.get(name) ?? []), call]);
    }
    return byInput;
}

function checkAtMostOnce(history: History): readonly string[] {
    return [...placedCalls(history)]
        .filter(([, calls]) => calls.length > 1)
        .map(([input, calls]) => `${input} ran ${calls.length} times: ${calls.map(describe).join(", ")}`);
}

function checkPlaced(history: History): readonly string[] {
    const placed = placedCalls(history);
    return history.requests
        .filter(req => req.kind === "hold" && req.outcome?.kind === "answered")
        .filter(req => !placed.get(JSON.stringify(req.input))?.some(call => call.end === "done"))
        .map(req => `${req.id} was answered and never placed`);
}

function checkRefusals(history: History): readonly string[] {
    const ran = new Map(history.calls.map(call => [call.request, call]));
    return history.requests.flatMap(req => {
        const call = ran.get(req.id);
        if (call === undefined || req.outcome === undefined || req.outcome.kind === "answered") {
            return [];
        }
        const unsafe = history.calls.some(one => one.request === req.id && !one.idempotent);
        const saysSafe = req.outcome.kind === "failed" && req.outcome.repeat === "safe";
        return [
            ...(req.outcome.kind === "not-run" ? [`${req.id} was refused as not run, but ${describe(call)}`] : []),
            ...(saysSafe && unsafe ? [`${req.id} was said to be safe to repeat, but its hold was sent`] : []),
        ];
    });
}

/** Of the sendings of one key: once one was answered, none may be told that its action ran and failed. */
function checkResends(history: History): readonly string[] {
    const byKey = new Map<string, SeenRequest[]>();
    for (const req of history.requests.filter(one => one.key !== undefined && one.endedAtMs !== undefined)) {
        byKey.set(req.key ?? "", [...(byKey.get(req.key ?? "") ?? []), req]);
    }
    return [...byKey.values()].flatMap(sent => {
        const answered = sent.find(req => req.outcome?.kind === "answered");
        const denied = sent.filter(req => req.outcome?.kind === "failed" && req.outcome.repeat === "unsafe");
        return answered === undefined
            ? []
            : denied.map(req => `${req.id} was told that it failed, and ${answered.id} was answered`);
    });
}

function checkJobs(history: History): readonly string[] {
    return history.jobs.filter(job => job.accepted && !job.cancelled).flatMap(job => {
        // A job may end without its answer only when an endpoint itself said that a stage of it failed.
        const saidToFail = history.calls.some(call => call.request === job.id && call.end === "failed");
        if (job.state === "failed" && saidToFail) {
            return [];
        }
        if (job.state !== "answered") {
            return [`${job.id} was accepted and is ${job.state ?? "lost"}`];
        }
        const expected = expectedAnswer("profile", job.input);
        return job.answer === expected ? [] : [`${job.id} ended with ${job.answer ?? "nothing"}`];
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
                return [`${host} never had version ${change.version} (${change.what})`];
            }
            const tookMs = seen.atMs - change.atMs - excusedMs(history, host, change.atMs, seen.atMs);
            return tookMs > inForceMs
                ? [`${host} had version ${change.version} (${change.what}) after ${tookMs} ms`]
                : [];
        })
    );
}

/** Time in which a host was down or cut off, so that nothing could reach it, in milliseconds. */
function excusedMs(history: History, host: string, fromMs: number, toMs: number): number {
    const own = history.away.filter(one => one.host === host);
    const away = [...own, ...history.disturbed].sort((a, b) => a.fromMs - b.fromMs);
    let sum = 0;
    let countedToMs = fromMs;
    for (const one of away) {
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
            .map(call => `${describe(call)} came ${call.atMs - closed.fromMs} ms after its order to close`)
    );
}

/** True when a host of the endpoint's data centre can't have heard of an order yet. */
function isCutOff(history: History, call: SeenCall): boolean {
    const centre = call.endpoint.split("-")[0] ?? "";
    const away = history.away.filter(one => one.host.startsWith(centre));
    return [...away, ...history.disturbed].some(one => call.atMs >= one.fromMs && call.atMs < one.toMs + closeGraceMs);
}

function checkCold(history: History): readonly string[] {
    return history.calls
        .filter(call => call.inFlight > call.bearable && call.sinceColdMs > coldGraceMs)
        .map(call => `${describe(call)} was one of ${call.inFlight} where ${call.bearable} can be borne`);
}

function checkCrashes(history: History): readonly string[] {
    return [...history.crashes]
        .filter(([, count]) => count > maxCrashes)
        .map(([input, count]) => `${input} crashed ${count} endpoints`);
}

/** The proofs' engines ignore fencing numbers, so that time alone keeps a former issuer's orders away. */
function checkOrders(history: History): readonly string[] {
    const highest = new Map<string, number>();
    return history.orders.flatMap(({ endpoint, fencing, orderId, atMs }) => {
        const before = highest.get(endpoint) ?? 0;
        highest.set(endpoint, Math.max(before, fencing));
        return fencing < before
            ? [`${endpoint} got order ${orderId} after one of number ${before}, at ${atMs} ms`]
            : [];
    });
}

/** Crashes that one request may cause over the whole site. */
const maxCrashes = 2;

function describe(call: SeenCall): string {
    return `${call.endpoint} got ${call.stage} of ${call.request} (attempt ${call.attempt}) at ${call.atMs} ms`;
}
