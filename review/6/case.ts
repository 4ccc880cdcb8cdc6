/**
 * Engines answer without a length, as the pages allow, and some of them break off a few of these answers by a reset. No
 * requester may get such an answer, or such a stream, as a success that looks complete. With TROUBLE=0 no answer is broken
 * off.
 */
import * as net from "node:net";
import { join } from "node:path";
import { CaseRecord } from "../lib-2/CaseRecord.js";
import { configOf } from "../lib-2/Config.js";
import type { EngineRequest, EngineSpec } from "../lib-2/Engine.js";
import { runCase } from "../lib-2/runCase.js";
import { root, Site, sleep } from "../lib-2/Site.js";

const hasTrouble = process.env["TROUBLE"] !== "0";
const hostName = "lists.example";
/** Spans of `garble` without a length, of the length, share and rate that the site file and the kinds have for it. */
const spanMs = 5000;
const pauseMs = 2000;
const breakShare = 0.05;
const breakingEngines = ["i-1", "i-2"];
const runMs = 28_000;
const requesters = 12;
const workMs = 20;
const deadlineMs = 1000;

const record = new CaseRecord(join(root, "review/6"));
const startMs = performance.now();
const broken = new Set<string>();

const eventCount = 10;

const bodyOf = (id: string, isStream: boolean) =>
    isStream
        ? Array.from({ length: eventCount }, (_, at) => `id: ${at + 1}\ndata: ${id} ${at + 1}\n\n`).join("")
        : `the whole answer to ${id}; `.repeat(30);
/** The part that is written before a reset: half of an answer, or three events of a stream. */
const partOf = (body: string, isStream: boolean) =>
    isStream ? `${body.split("\n\n").slice(0, 3).join("\n\n")}\n\n` : body.slice(0, body.length / 2);

function breaks(engine: string): boolean {
    const isInSpan = (performance.now() - startMs) % (spanMs + pauseMs) < spanMs;
    return hasTrouble && isInSpan && breakingEngines.includes(engine) && Math.random() < breakShare;
}

async function answer(engine: string, { headers, socket, target }: EngineRequest): Promise<undefined> {
    const id = headers.get("fireflykeel-request-id") ?? "";
    await sleep(workMs);
    const isStream = target.startsWith("/drafts/");
    const head = `HTTP/1.1 200 OK\r\nFireflykeel-Request-Id: ${id}\r\nFireflykeel-Server-Stamp: s.${id}\r\n`
        + `Content-Type: ${isStream ? "text/event-stream" : "text/plain"}\r\nConnection: close\r\n\r\n`;
    const body = bodyOf(id, isStream);
    if (!breaks(engine)) {
        socket.end(head + body);
        record.line(`${engine}: runs ${id}`);
        return;
    }
    broken.add(id);
    // The reset follows once the operating system has taken what was written.
    socket.write(head + partOf(body, isStream), () => {
        socket.resetAndDestroy();
        record.line(`${engine}: runs ${id} and resets the channel in the middle of its answer`);
    });
}

const engine = (id: string, zone: string): EngineSpec => ({
    id,
    service: "desk",
    zone,
    handle: req => answer(id, req),
});

interface Received {
    readonly status: number;
    readonly body: string;
    /** True when its length or its last chunk has come; without these, when its channel has ended in order. */
    readonly looksWhole: boolean;
}

function decode(text: string, isReset: boolean): Received {
    const end = text.indexOf("\r\n\r\n");
    const head = text.slice(0, Math.max(0, end));
    const body = text.slice(end + 4);
    const status = Number(head.split(" ")[1] ?? 0);
    if (/^transfer-encoding: chunked$/im.test(head)) {
        const looksWhole = body.endsWith("\r\n0\r\n\r\n");
        return { status, body: body.replace(/(^|\r\n)[0-9a-f]+\r\n(\r\n$)?/g, ""), looksWhole };
    }
    const length = /^content-length: (\d+)$/im.exec(head)?.[1];
    return { status, body, looksWhole: end > 0 && (length === undefined ? !isReset : body.length === Number(length)) };
}

/** Sends one request on a channel of its own, and reads until that has ended. */
function request(at: { readonly host: string; readonly port: number; }, id: string, line: string): Promise<Received> {
    return new Promise(done => {
        const socket = net.connect(at);
        const parts: Buffer[] = [];
        let isReset = false;
        socket.setTimeout(deadlineMs * 2, () => socket.destroy(new Error("no answer")));
        socket.on("data", part => parts.push(Buffer.from(part)));
        socket.on("error", () => isReset = true);
        socket.on("close", () => {
            done(decode(Buffer.concat(parts).toString(), isReset));
        });
        socket.write(
            `${line} HTTP/1.1\r\nHost: ${hostName}\r\nFireflykeel-Request-Id: ${id}\r\n`
                + `Fireflykeel-Deadline-Ms: ${deadlineMs}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
        );
    });
}

const counts = new Map<string, number>();
let wrong = 0;

async function requester(site: Site, number: number): Promise<void> {
    for (let at = 0; performance.now() - startMs < runMs; at++) {
        const id = `r${number}-${at}`;
        const line = ["POST /holds/place", "GET /pets/17", "POST /drafts/17"][at % 3] ?? "";
        const { status, body, looksWhole } = await request(site.front(`front-${1 + at % 2}`), id, line);
        const wanted = bodyOf(id, line.includes("/drafts/"));
        const name = status !== 200 ? `status ${status}` : looksWhole ? "whole" : "broken off";
        counts.set(name, (counts.get(name) ?? 0) + 1);
        record.line(`requester: ${id} (${line}) is answered ${status}, ${body.length} bytes, ${name}`);
        if (status === 200 && looksWhole && body !== wanted) {
            wrong += 1;
            record.line(`broken: ${id} has ${body.length} of ${wanted.length} bytes and looks complete`);
        }
        await sleep(100 * Math.random());
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
        engines: [engine("i-1", "a"), engine("i-2", "b"), engine("i-3", "c"), engine("i-4", "a")],
        record,
    });
    try {
        const route = { host: hostName, service: "desk", targetMs: 100, timeoutMs: 1000 };
        await site.putConfig(configOf({
            version: 1,
            routes: [
                { ...route, name: "listing-read", prefix: "/pets/", kind: "idempotent", attempts: 2 },
                { ...route, name: "hold-place", prefix: "/holds/", kind: "non_idempotent" },
                { ...route, name: "vet-summary", prefix: "/drafts/", kind: "streaming" },
            ],
        }));
        await site.whenReady();
        await Promise.all(Array.from({ length: requesters }, (_, number) => requester(site, number)));
    }
    finally {
        await site.stop();
    }
    const summary = [...counts].map(([name, count]) => `${name} ${count}`).join(", ");
    record.line(`result: ${summary}; ${broken.size} answers were reset, ${wrong} of them looked complete`);
    if ((counts.get("whole") ?? 0) === 0) {
        return 2;
    }
    return wrong > 0 ? 1 : 0;
}

runCase(record, run);
