/** What the matrix runs: operations of callers and operators, each with the steps at which a fault can strike. */
import type { DataCentreId, EndpointId, ModelId } from "../src/common/Types.js";
import { proofDocument } from "./ProofDocuments.js";
import { changeId, type ProofSite, type Step } from "./ProofSite.js";

/** A step by name; at one place, or at the first that takes it. */
export interface StepMatch {
    readonly name: string;
    readonly place?: string;
}

export interface Operation {
    readonly name: string;
    /** Steps in the order of a run without faults. */
    readonly steps: readonly StepMatch[];
    /** Host that carries the operation; the fault "process death" ends it. */
    readonly host: string;
    /** Runs the operation; `turn` makes inputs and ids that differ from run to run on one site. */
    run(site: ProofSite, turn: number): Promise<void>;
}

const entry = "north-2";
const otherHosts = ["south-1", "east-1"] as const;
/** Tries of a caller or an operator who is told to come back, and the pause between them, in milliseconds. */
const tries = 6;
const pauseMs = 2000;

/** Rounds of requests while a data centre is out, and the pause between them, in milliseconds. */
const outRounds = 4;
const roundMs = 2000;
const requestsPerHost = 6;
/** A lease on orders lasts a minute, so that the next issuer may have to wait so long. */
const orderPatienceMs = 80_000;
const orderPauseMs = 500;

export const operations: readonly Operation[] = [
    {
        name: "request",
        host: entry,
        steps: [
            { name: "RequestStarted", place: entry },
            { name: "received encode" },
            { name: "executed encode" },
            { name: "received write" },
            { name: "executed write" },
            { name: "answered", place: entry },
        ],
        run: async (site, turn) => {
            await site.send("profile", entry, { profile: turn });
        },
    },
    {
        name: "request that may not be repeated",
        host: entry,
        steps: [
            { name: "RequestStarted", place: entry },
            { name: "executed check" },
            { name: "ClaimMade", place: entry },
            { name: "received place" },
            { name: "executed place" },
            { name: "ClaimEnded", place: entry },
            { name: "answered", place: entry },
        ],
        run: placeHold,
    },
    {
        name: "job",
        host: entry,
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
            site.onStep({ name: "submitted", place: entry });
            const id = `job-${turn}`;
            for (let at = 0; at < tries; at++) {
                const through = [entry, ...otherHosts][at % 3]!;
                if (await bounded(site, site.submit(id, through, { job: turn }), 4000) === true) {
                    return;
                }
                await site.clock.sleep(pauseMs);
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
        run: outAndIn,
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
        run: giveOrder,
    },
    {
        name: "planned stop",
        host: entry,
        steps: [{ name: "stopping" }, { name: "answered", place: entry }, { name: "stopped" }],
        run: plannedStop,
    },
];

/** Places a hold, and sends it again while its caller can't know that it was placed. */
async function placeHold(site: ProofSite, turn: number): Promise<void> {
    const input = { hold: turn };
    const key = `hold-${turn}`;
    await bounded(site, site.send("hold", entry, input, key), 8000);
    // Two resends at the same moment through other hosts, as an impatient caller's application does.
    await bounded(site, Promise.all(otherHosts.map(host => site.send("hold", host, input, key))), 8000);
}

async function putDocument(site: ProofSite, id: string, turn: number): Promise<void> {
    for (let at = 0; at < tries; at++) {
        const through = ["south-1", "east-1", "north-2"][at % 3]!;
        const version = documentVersion(site);
        const told = await bounded(
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
        if (told === "accepted") {
            return;
        }
        await site.clock.sleep(pauseMs);
    }
}

/** The version of the base document that an operator would build on: that of the latest accepted change to it. */
export function documentVersion(site: ProofSite): number {
    return 1 + site.history.accepted.filter(change => change.what.startsWith("put-document")).length;
}

async function outAndIn(site: ProofSite, turn: number): Promise<void> {
    const endpoints = [...site.endpoints.keys()].filter(id => id.startsWith("north"));
    site.onStep({ name: "asked out", place: "south-1" });
    await setCentre(site, `out-${turn}`, true);
    const closed = { endpoints, fromMs: site.clock.nowMs(), toMs: Number.POSITIVE_INFINITY };
    site.history.closed.push(closed);
    site.onStep({ name: "out", place: "south-1" });
    for (let at = 0; at < outRounds; at++) {
        // Enough at once that every open endpoint is needed.
        for (const host of site.live) {
            for (let each = 0; each < requestsPerHost; each++) {
                void site.send("profile", host.id, { during: turn, at, host: host.id, each });
            }
        }
        await site.clock.sleep(roundMs);
    }
    closed.toMs = site.clock.nowMs();
    site.onStep({ name: "asked in", place: "south-1" });
    await setCentre(site, `in-${turn}`, false);
    site.onStep({ name: "in", place: "south-1" });
}

async function setCentre(site: ProofSite, id: string, out: boolean): Promise<void> {
    for (let at = 0; at < tries; at++) {
        const through = ["south-1", "east-1", "north-2"][at % 3]!;
        const change = {
            kind: "set-data-centre" as const,
            id: changeId(id),
            dataCentre: "north" as DataCentreId,
            out,
        };
        if (await bounded(site, site.change(through, change), 6000) === "accepted") {
            return;
        }
        await site.clock.sleep(pauseMs);
    }
}

/** Asks the hosts of a data centre, all of them each time, until one has had an order carried out. */
async function giveOrder(site: ProofSite, turn: number): Promise<void> {
    site.onStep({ name: "asked", place: "north" });
    const order = { kind: "load-model" as const, model: "m" as ModelId, version: `v${turn}` };
    for (let waitedMs = 0; waitedMs < orderPatienceMs; waitedMs += orderPauseMs) {
        let isDone = false;
        for (const host of site.live.filter(one => one.dataCentre === "north" as DataCentreId)) {
            const result = await bounded(site, host.issuer.issue("north-writer" as EndpointId, order, 5000), 6000);
            isDone ||= result?.isRight() === true;
        }
        if (isDone) {
            return;
        }
        await site.clock.sleep(orderPauseMs);
    }
    site.failures.push(`order ${turn} was not carried out within ${orderPatienceMs} ms`);
}

async function plannedStop(site: ProofSite, turn: number): Promise<void> {
    const cut = [0, 1, 2].map(at => site.send("profile", entry, { stop: turn, at }));
    site.onStep({ name: "stopping", place: entry });
    const stopped = site.stop(entry);
    cut.push(site.send("profile", entry, { stop: turn, at: 3 }));
    await bounded(site, Promise.all([...cut, stopped]), 35_000);
    site.onStep({ name: "stopped", place: entry });
    site.restart(entry);
}

/** Waits for a promise whose host may die; undefined when it hasn't come in time. */
async function bounded<T>(site: ProofSite, promise: Promise<T>, withinMs: number): Promise<T | undefined> {
    return Promise.race([promise, site.clock.sleep(withinMs).then(() => undefined)]);
}

export function matches(step: Step, match: StepMatch): boolean {
    return step.name === match.name && (match.place === undefined || match.place === step.place);
}
