/**
 * An entry host can't open a channel to an engine, since the opening packet is dropped, and goes through another entry
 * host, which is killed while the answer, which has no length, passes through it.
 */
import { type ChildProcess, fork } from "node:child_process";
import * as net from "node:net";
import { type CaseRecord, sleep } from "../lib/CaseRecord.js";
import { configOf, routeHost } from "../lib/Config.js";
import { type Breaches, runCase } from "../lib/runCase.js";
import { Site } from "../lib/Site.js";

const engineScript = new URL("./engine.js", import.meta.url).pathname;
/** More than the engine's queue of new channels holds. */
const fillers = 4;
/** From the request to the end of the full queue; a retry of the opening packet comes after a second. */
const fullMs = 60;
/** From the first part of the answer to the kill. */
const killAfterMs = 500;
const request = "r1";
const whole = `first part of ${request}, second part of ${request}`;

interface Received {
    readonly text: string;
    readonly end: "closed" | "reset" | "open";
}

class QueuedEngine {
    public readonly runs: string[] = [];
    private readonly child: ChildProcess;
    private readonly waiting: net.Socket[] = [];

    public constructor(private readonly host: string, private readonly port: number, record: CaseRecord) {
        this.child = fork(engineScript, [host, String(port), "i-1"]);
        this.child.on("message", (message: { readonly request?: string; }) => {
            if (message.request !== undefined) {
                record.note("engine runs", { ...message });
                this.runs.push(message.request);
            }
        });
    }

    /** Fills the queue of new channels, so that further opening packets are dropped. */
    public async fillQueue(): Promise<void> {
        this.child.kill("SIGSTOP");
        for (let at = 0; at < fillers; at++) {
            const socket = net.connect(this.port, this.host);
            socket.on("error", () => undefined);
            this.waiting.push(socket);
        }
        await sleep(100);
    }

    public emptyQueue(): void {
        this.waiting.forEach(socket => socket.destroy());
        this.child.kill("SIGCONT");
    }

    public stop(): void {
        this.emptyQueue();
        this.child.kill("SIGKILL");
    }
}

function ask(site: Site): Promise<Received> {
    return new Promise(done => {
        const socket = net.connect(site.ports.front, site.entries[0] ?? "");
        let text = "";
        const finish = (end: Received["end"]) => done({ text, end });
        const timer = setTimeout(() => finish("open"), 7000);
        socket.on("data", (data: Buffer) => text += data.toString());
        socket.on("end", () => finish("closed"));
        socket.on("error", () => finish("reset"));
        socket.on("close", () => clearTimeout(timer));
        const head = `Host: ${routeHost}\r\nFireflykeel-Request-Id: ${request}\r\nFireflykeel-Deadline-Ms: 5000`;
        socket.write(`POST /holds/7 HTTP/1.1\r\n${head}\r\nContent-Length: 0\r\n\r\n`);
    });
}

function breachesOf({ text, end }: Received): string[] {
    const [head = "", body = ""] = text.split(/\r\n\r\n([\s\S]*)/);
    const isFramed = /^(content-length|transfer-encoding):/im.test(head);
    const isComplete = head.startsWith("HTTP/1.1 200") && !isFramed && end === "closed";
    return isComplete && body !== whole ? [`MIXED: ${request} got "${body}" as the whole of "${whole}"`] : [];
}

async function play(record: CaseRecord, isTroubled: boolean): Promise<Breaches> {
    const site = new Site({ entries: 2, record });
    const engine = new QueuedEngine(site.address(1), site.enginePort, record);
    const address = `${site.address(1)}:${site.enginePort}`;
    site.listed.push({ id: "i-1", service: "desk", zone: "zone-a", address });
    const helper = site.entries[1] ?? "";
    try {
        await site.start(configOf(1));
        await sleep(3000);
        if (isTroubled) {
            await engine.fillQueue();
            record.note("the engine's queue of new channels is full");
        }
        record.note("client sends", { request, entry: site.entries[0], target: "/holds/7" });
        const asking = ask(site);
        await sleep(fullMs);
        engine.emptyQueue();
        for (let waitedMs = 0; engine.runs.length === 0 && waitedMs < 4000; waitedMs += 10) {
            await sleep(10);
        }
        await sleep(killAfterMs);
        if (isTroubled) {
            record.note("SIGKILL", { entry: helper });
            site.programs.signal(helper, "SIGKILL");
        }
        const received = await asking;
        record.note("client got", { request, ...received });
        if (engine.runs.length === 0) {
            throw new Error("the request was not run");
        }
        return breachesOf(received);
    }
    finally {
        engine.stop();
        await site.stop();
    }
}

runCase(play);
