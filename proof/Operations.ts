/** Operations of callers and operators for the fault matrix, each with the steps at which faults are injected. */
import type { DataCentreId, EndpointId, ModelId } from "../src/common/Types.js";
import { proofDocument } from "./ProofDocuments.js";
import { changeId, type ProofSite, type Step } from "./ProofSite.js";

/** Matches a step by name, at the given place or at any. */
export interface StepMatch {
    readonly name: string;
    readonly place?: string;
}

export interface Operation {
    readonly name: string;
    /** Steps in the order of a fault-free run. */
    readonly steps: readonly StepMatch[];
    /** Host that runs the operation; the fault "process death" kills it. */
    readonly host: string;
    /** Runs the operation; `turn` is the number of the run on this site and makes its inputs and ids unique. */
    run(site: ProofSite, turn: number): Promise<void>;
}

const entryHost = "north-2";
const otherHosts = ["south-1", "east-1"] as const;
/** Maximum attempts of a caller or operator whose operation fails, and the pause between them in milliseconds. */
const maxAttempts = 6;
const retryPauseMs = 2000;

/** Rounds of requests while a data centre is out, and the pause between them in milliseconds. */
const outRounds = 4;
const roundPauseMs = 2000;
const requestsPerHost = 6;
/** Longer than the order lease of one minute, since a new issuer may have to wait for the lease to expire. */
const orderTimeoutMs = 80_000;
const orderRetryMs = 500;

export const operations: readonly Operation[] = [
    {
        name: "request",
        host: entryHost,
        steps: [
            { name: "RequestStarted", place: entryHost },
            { name: "received encode" },
            { name: "executed encode" },
            { name: "received write" },
            { name: "executed write" },
            { name: "answered", place: entryHost },
        ],
        run: async (site, turn) => {
            await site.send("profile", entryHost, { profile: turn });
        },
    },
    {
        name: "request that may not be repeated",
        host: entryHost,
        steps: [
            { name: "RequestStarted", place: entryHost },
            { name: "executed check" },
            { name: "ClaimMade", place: entryHost },
            { name: "received place" },
            { name: "executed place" },
            { name: "ClaimEnded", place: entryHost },
            { name: "answered", place: entryHost },
        ],
        run: placeHold,
    },
    {
        name: "job",
        host: entryHost,
        steps: [
            { name: "submitted" },
            { name: "JobTaken" },
            { name: "received encode" },
            { name: "executed encode" },
            { name: "JobJournalled" },
            { name: "received write" },
            { name: "executed write" },
            { name: "JobEnded" },
        ],
        run: async (site, turn) => {
            site.onStep({ name: "submitted", place: entryHost });
            const id = `job-${turn}`;
            for (let at = 0; at < maxAttempts; at++) {
                const through = [entryHost, ...otherHosts][at % 3]!;
                if (await withTimeout(site, site.submit(id, through, { job: turn }), 4000) === true) {
                    return;
                }
                await site.clock.sleep(retryPauseMs);
            }
        },
    },
    {
        name: "configuration change",
        host: "south-1",
        steps: [
            { name: "proposed" },
            { name: "ConfigInForce", place: "south-1" },
            { name: "ConfigInForce", place: "east-1" },
            { name: "ConfigInForce", place: "north-2" },
        ],
        run: async (site, turn) => {
            site.onStep({ name: "proposed", place: "south-1" });
            await putDocument(site, `change-${turn}`, turn);
        },
    },
    {
        name: "data centre out and in",
        host: "south-1",
        steps: [
            { name: "asked out" },
            { name: "ConfigInForce", place: "north-2" },
            { name: "out" },
            { name: "asked in" },
            { name: "in" },
        ],
        run: takeOutAndBack,
    },
    {
        name: "repair",
        host: "south-1",
        steps: [
            { name: "disk lost" },
            { name: "ReplicaOpened", place: "south-1" },
            { name: "ConfigInForce", place: "south-1" },
        ],
        run: async site => {
            site.kill("south-1");
            site.onStep({ name: "disk lost", place: "south-1" });
            await site.clock.sleep(1000);
            site.restart("south-1", true);
        },
    },
    {
        name: "order to an engine",
        host: "north-1",
        steps: [{ name: "asked" }, { name: "received order" }, { name: "EngineOrdered" }],
        run: issueOrder,
    },
    {
        name: "planned stop",
        host: entryHost,
        steps: [{ name: "stopping" }, { name: "answered", place: entryHost }, { name: "stopped" }],
        run: plannedStop,
    },
];

/** Places a hold, then resends it through other hosts with the same idempotency key, even if it was answered. */
async function placeHold(site: ProofSite, turn: number): Promise<void> {
    const input = { hold: turn };
    const key = `hold-${turn}`;
    await withTimeout(site, site.send("hold", entryHost, input, key), 8000);
    // Both resends are concurrent, as with an application that retries without waiting.
    await withTimeout(site, Promise.all(otherHosts.map(host => site.send("hold", host, input, key))), 8000);
}

async function putDocument(site: ProofSite, id: string, turn: number): Promise<void> {
    for (let at = 0; at < maxAttempts; at++) {
        const through = ["south-1", "east-1", "north-2"][at % 3]!;
        const version = documentVersion(site);
        const result = await withTimeout(
            site,
            site.change(through, {
                kind: "put-document",
                id: changeId(id),
                document: "base",
                baseVersion: version,
                text: proofDocument(turn),
            }),
            6000,
        );
        if (result === "accepted") {
            return;
        }
        await site.clock.sleep(retryPauseMs);
    }
}

/** The current version of the base document as known to operators: that of its latest accepted change. */
export function documentVersion(site: ProofSite): number {
    return 1 + site.history.accepted.filter(change => change.what.startsWith("put-document")).length;
}

async function takeOutAndBack(site: ProofSite, turn: number): Promise<void> {
    const endpoints = [...site.endpoints.keys()].filter(id => id.startsWith("north"));
    site.onStep({ name: "asked out", place: "south-1" });
    await setDataCentre(site, `out-${turn}`, true);
    const closed = { endpoints, fromMs: site.clock.nowMs(), toMs: Number.POSITIVE_INFINITY };
    site.history.closed.push(closed);
    site.onStep({ name: "out", place: "south-1" });
    for (let at = 0; at < outRounds; at++) {
        // Enough concurrent requests that every open endpoint is needed.
        for (const host of site.live) {
            for (let each = 0; each < requestsPerHost; each++) {
                void site.send("profile", host.id, { during: turn, at, host: host.id, each });
            }
        }
        await site.clock.sleep(roundPauseMs);
    }
    closed.toMs = site.clock.nowMs();
    site.onStep({ name: "asked in", place: "south-1" });
    await setDataCentre(site, `in-${turn}`, false);
    site.onStep({ name: "in", place: "south-1" });
}

async function setDataCentre(site: ProofSite, id: string, out: boolean): Promise<void> {
    for (let at = 0; at < maxAttempts; at++) {
        const through = ["south-1", "east-1", "north-2"][at % 3]!;
        const change = {
            kind: "set-data-centre" as const,
            id: changeId(id),
            dataCentre: "north" as DataCentreId,
            out,
        };
        if (await withTimeout(site, site.change(through, change), 6000) === "accepted") {
            return;
        }
        await site.clock.sleep(retryPauseMs);
    }
}

/** Asks every host of a data centre to issue an order, in rounds, until the order of one is executed. */
async function issueOrder(site: ProofSite, turn: number): Promise<void> {
    site.onStep({ name: "asked", place: "north" });
    const order = { kind: "load-model" as const, model: "m" as ModelId, version: `v${turn}` };
    for (let waitedMs = 0; waitedMs < orderTimeoutMs; waitedMs += orderRetryMs) {
        let isDone = false;
        for (const host of site.live.filter(one => one.dataCentre === "north" as DataCentreId)) {
            const result = await withTimeout(site, host.issuer.issue("north-writer" as EndpointId, order, 5000), 6000);
            isDone ||= result?.isRight() === true;
        }
        if (isDone) {
            return;
        }
        await site.clock.sleep(orderRetryMs);
    }
    site.failures.push(`order ${turn} was not executed within ${orderTimeoutMs} ms`);
}

async function plannedStop(site: ProofSite, turn: number): Promise<void> {
    const requests = [0, 1, 2].map(at => site.send("profile", entryHost, { stop: turn, at }));
    site.onStep({ name: "stopping", place: entryHost });
    const stopped = site.stop(entryHost);
    requests.push(site.send("profile", entryHost, { stop: turn, at: 3 }));
    await withTimeout(site, Promise.all([...requests, stopped]), 35_000);
    site.onStep({ name: "stopped", place: entryHost });
    site.restart(entryHost);
}

/** Waits for a promise whose host may die; undefined if it is not settled in time. */
async function withTimeout<T>(site: ProofSite, promise: Promise<T>, withinMs: number): Promise<T | undefined> {
    return Promise.race([promise, site.clock.sleep(withinMs).then(() => undefined)]);
}

/** True if the step has the matcher's name and, if given, its place. */
export function matches(step: Step, match: StepMatch): boolean {
    return step.name === match.name && (match.place === undefined || match.place === step.place);
}
