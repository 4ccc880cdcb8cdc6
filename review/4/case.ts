/** An entry host is killed while it passes on a stream that has no length and ends with its channel. */
import * as net from "node:net";
import { type CaseRecord, sleep } from "../lib/CaseRecord.js";
import { configOf, routeHost } from "../lib/Config.js";
import { type Answerer, Engine, stampHeader } from "../lib/Engine.js";
import { type Breaches, runCase } from "../lib/runCase.js";
import { Site } from "../lib/Site.js";

/** One of so many is killed. */
const entries = 7;
const events = 20;
const eventPauseMs = 100;
const streams = 6;
/** When the entry host is killed, after the streams have been asked for. */
const killAfterMs = 1050;

interface Received {
    readonly request: string;
    readonly text: string;
    /** How the channel ended. */
    readonly end: "closed" | "reset" | "open";
}

const eventOf = (request: string, at: number) => `id: ${at}\ndata: ${request} event ${at} of ${events}\n\n`;

/** Answers with a stream without a length, which ends with its channel. */
const answerWithStream: Answerer = (run, req) => {
    const { socket } = req;
    const head = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        `Fireflykeel-Request-Id: ${run.request}`,
        `${stampHeader}: stamp.${run.request}`,
        "Connection: close",
    ];
    socket.write(`${head.join("\r\n")}\r\n\r\n`);
    let at = 0;
    const timer = setInterval(() => {
        at += 1;
        if (at > events || socket.destroyed) {
            clearInterval(timer);
            socket.end();
            return;
        }
        socket.write(eventOf(run.request, at));
    }, eventPauseMs);
};

/** Asks for a stream and reads it until its channel ends. */
function readStream(site: Site, request: string, forMs: number): Promise<Received> {
    return new Promise(done => {
        const socket = net.connect(site.ports.front, site.entries[0] ?? "");
        let text = "";
        const finish = (end: Received["end"]) => done({ request, text, end });
        const timer = setTimeout(() => finish("open"), forMs);
        socket.on("data", (data: Buffer) => text += data.toString());
        socket.on("end", () => finish("closed"));
        socket.on("error", () => finish("reset"));
        socket.on("close", () => clearTimeout(timer));
        const lines = [
            "POST /chat/7 HTTP/1.1",
            `Host: ${routeHost}`,
            `Fireflykeel-Request-Id: ${request}`,
            "Fireflykeel-Deadline-Ms: 8000",
            "Content-Length: 0",
        ];
        socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    });
}

/** Why the answer breaks the rule: it is complete by HTTP, and pieces of the stream are missing. */
function breachOf({ request, text, end }: Received): string[] {
    const [head = "", body = ""] = text.split(/\r\n\r\n([\s\S]*)/);
    const isSuccess = head.startsWith("HTTP/1.1 200");
    const isFramed = /^(content-length|transfer-encoding):/im.test(head);
    const whole = Array.from({ length: events }, (_, at) => eventOf(request, at + 1)).join("");
    const isComplete = isSuccess && !isFramed && end === "closed";
    const got = body.split("\n\n").length - 1;
    return isComplete && body !== whole
        ? [`ORDER: ${request} ended as complete after ${got} of ${events} events`]
        : [];
}

async function play(record: CaseRecord, isTroubled: boolean): Promise<Breaches> {
    const site = new Site({ entries, record });
    const engine = new Engine("i-1", record, answerWithStream);
    const address = site.address(1);
    site.listed.push({ id: "i-1", service: "desk", zone: "zone-a", address: `${address}:${site.enginePort}` });
    await engine.start(address, site.enginePort);
    try {
        await site.start(configOf(1));
        await sleep(1500);
        const reading = Array.from({ length: streams }, async (_, at) => {
            const request = `s${at}`;
            record.note("client sends", { request, target: "/chat/7" });
            const received = await readStream(site, request, 6000);
            record.note("client got", { ...received });
            return received;
        });
        await sleep(killAfterMs);
        if (isTroubled) {
            record.note("SIGKILL", { entry: site.entries[0] });
            site.programs.signal(site.entries[0] ?? "", "SIGKILL");
        }
        const received = await Promise.all(reading);
        if (engine.runs.length < streams) {
            throw new Error("not all streams were run");
        }
        return received.flatMap(breachOf);
    }
    finally {
        engine.stop();
        await site.stop();
    }
}

runCase(play);
