/**
 * A change of the configuration gives a route a further stage, under the next free number, and lets the first stage need
 * its results. Each piece of the first stage must then be given these. With TROUBLE=0 the stages of the changed route are
 * numbered in the order in which they run.
 */
import { join } from "node:path";
import { CaseRecord } from "../lib-2/CaseRecord.js";
import { configOf, type StageSpec } from "../lib-2/Config.js";
import type { EngineRequest, EngineSpec } from "../lib-2/Engine.js";
import { runCase } from "../lib-2/runCase.js";
import { call, root, Site, sleep } from "../lib-2/Site.js";
import { type PieceItem, stageHandler } from "../lib-2/StageEngine.js";

const hasTrouble = process.env["TROUBLE"] !== "0";
const hostName = "lists.example";
const requests = 40;
/** `ConfigApplyMs` and a second. */
const applyMs = 3000;

const intake = { service: "shelter-intake", after: [], bytes: 8000 };
const stages: readonly StageSpec[] = hasTrouble
    ? [{ service: "photo-house", after: [1], bytes: 60_000 }, intake]
    : [intake, { service: "photo-house", after: [0], bytes: 60_000 }];
const pieces = hasTrouble ? "3,2" : "2,3";
const intakeStage = stages.findIndex(one => one.service === "shelter-intake");
const photoStage = 1 - intakeStage;

const record = new CaseRecord(join(root, "review/9"));
/** Request, stage and piece of each result. */
const made = new Map<string, string>();
const faults: string[] = [];
let photoPieces = 0;

function check(item: PieceItem, handle: string): void {
    const { Id: id, Stage: stage, Piece: piece, Inputs: inputs, Key: key } = item;
    made.set(handle, `${id} ${stage}`);
    record.line(`engine: makes ${id} stage ${stage} piece ${piece}, ${key ?? `inputs [${inputs?.join(", ") ?? ""}]`}`);
    if (stage !== photoStage) {
        return;
    }
    photoPieces += 1;
    const own = (inputs ?? []).filter(one => made.get(one) === `${id} ${intakeStage}`);
    if (own.length !== 2 || inputs?.length !== 2) {
        faults.push(
            `${id}: piece ${piece} of stage ${stage} is given ${own.length} of 2 results of stage ${intakeStage}`,
        );
    }
}

async function answer({ headers }: EngineRequest) {
    const id = headers.get("fireflykeel-request-id") ?? "";
    const inputs = headers.get("fireflykeel-inputs");
    record.line(`engine: runs ${id} with ${inputs === undefined ? "no inputs" : inputs.split(",").length}`);
    if (inputs === undefined) {
        return { status: 400, headers: { "Fireflykeel-Not-Executed": "1" } };
    }
    await sleep(20);
    return {
        status: 200,
        headers: { "Fireflykeel-Server-Stamp": `s.${id}`, "Content-Type": "text/event-stream" },
        body: `id: 1\ndata: summary of ${id}\n\n`,
    };
}

const modelEngine = (id: string, zone: string): EngineSpec => ({ id, service: "keel-writers", zone, handle: answer });

function stageEngine(id: string, service: string, zone: string): EngineSpec {
    return { id, service, zone, handle: stageHandler({ callMs: 60, itemMs: 6, onPiece: check }) };
}

const batching = {
    Pieces: { Slots: 1, Queue: 2, Batch: 6, CallMs: 60, ItemMs: 6, HeadroomMb: 27, HandleS: 4, LinkMbps: 10_000 },
};

function config(version: number, staged: readonly StageSpec[]): unknown {
    const route = { name: "vet-summary", host: hostName, prefix: "/vet/", service: "keel-writers", stages: staged };
    return configOf({
        version,
        routes: [{ ...route, kind: "streaming", targetMs: 1900, timeoutMs: 5000 }],
        services: { "shelter-intake": batching, "photo-house": batching },
    });
}

const statuses = new Map<number, number>();

async function sendRequests(site: Site): Promise<void> {
    for (let at = 0; at < requests; at++) {
        const id = `r${at}`;
        record.line(`requester: sends ${id} with ${pieces} pieces`);
        const headers = {
            "Host": hostName,
            "Fireflykeel-Request-Id": id,
            "Fireflykeel-Deadline-Ms": "5000",
            "Fireflykeel-Pieces": pieces,
            "Fireflykeel-Piece-Key": `key${at}`,
            "Fireflykeel-Model": "m",
            "Fireflykeel-Token-Counts": "100,10",
        };
        const to = { ...site.front(`front-${1 + at % 2}`), path: "/vet/17", method: "POST", headers };
        const { status } = await call({ ...to, timeout: 6000 }, "notes");
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
        record.line(`requester: ${id} is answered ${status}`);
    }
}

async function run(): Promise<number> {
    const site = await Site.start({
        hosts: [
            { name: "core-1", role: "control", zone: "a" },
            { name: "core-2", role: "control", zone: "b" },
            { name: "core-3", role: "control", zone: "c" },
            { name: "front-1", role: "entry", zone: "a" },
            { name: "front-2", role: "entry", zone: "b" },
        ],
        engines: [
            modelEngine("m-1", "a"),
            modelEngine("m-2", "b"),
            stageEngine("in-1", "shelter-intake", "a"),
            stageEngine("in-2", "shelter-intake", "b"),
            stageEngine("ph-1", "photo-house", "a"),
            stageEngine("ph-2", "photo-house", "b"),
        ],
        record,
    });
    try {
        await site.putConfig(config(1, [{ service: "photo-house", after: [], bytes: 60_000 }]));
        await site.whenReady();
        await site.putConfig(config(2, stages));
        await sleep(applyMs);
        await sendRequests(site);
    }
    finally {
        await site.stop();
    }
    faults.forEach(one => record.line(`broken: ${one}`));
    const summary = [...statuses].map(([status, count]) => `status ${status} ${count}`).join(", ");
    record.line(`result: ${summary}; ${photoPieces} pieces with After, ${faults.length} without all results of it`);
    if (photoPieces === 0) {
        return 2;
    }
    return faults.length > 0 ? 1 : 0;
}

runCase(record, run);
