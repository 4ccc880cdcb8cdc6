/**
 * A small deployment on loopback addresses: control and entry hosts as processes, and stand-ins for the platform's list,
 * the engines and the operator.
 */
import { mkdtempSync, rmSync } from "node:fs";
import * as http from "node:http";
import type * as net from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { type CaseRecord, sleep } from "./CaseRecord.js";
import { Links } from "./Links.js";
import { Programs } from "./Programs.js";
import type { Fields } from "./Template.js";

export const zones = ["zone-a", "zone-b", "zone-c"] as const;
/** Bounds of the installation `bramwell-fleet`. */
export const bounds = {
    SeedLagS: 3,
    ReuseAfterS: 2,
    ContactMs: 3000,
    AckMs: 4000,
    CatchUpS: 4,
    DrainMs: 3000,
    GraceS: 8,
    LossSlackMs: 200,
    ConfigApplyMs: 2000,
    DowngradeSlackMs: 250,
    OuterBoundMs: 5000,
    RevokeStrict: true,
    RevokeMs: 5000,
    RetryRatio: 0.2,
    RetryWindowS: 10,
    RetrySlack: 56,
    ColdOverrun: 1.5,
    ColdSlack: 5,
    EvacuateMs: 5000,
    RecoveryS: 12,
    PassMs: 120,
    RetryAfterS: 7.8,
};

export interface ListedEngine {
    readonly id: string;
    readonly service: string;
    readonly zone: string;
    readonly address: string;
    /** Version of its software. */
    readonly version?: string;
}

interface SiteOptions {
    readonly entries: number;
    readonly record: CaseRecord;
    /** True to lay a proxy into each link between two processes of the system. */
    readonly hasLinks?: boolean;
}

export interface Answer {
    /** HTTP status; 0 without a complete answer. */
    readonly status: number;
    readonly text: string;
}

/** How long the operator waits for an answer before it moves on, by the pages. */
const operatorPatienceMs = 1000;
const readyWithinMs = 20_000;

export class Site {
    public readonly controls: readonly string[];
    public readonly entries: readonly string[];
    public readonly programs: Programs;
    public readonly links = new Links();
    public readonly listed: ListedEngine[] = [];
    public readonly ports: { readonly front: number; readonly ready: number; readonly control: number; };
    private readonly folder = mkdtempSync(join(tmpdir(), "case-"));
    private readonly net = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
    private readonly firstPort = 18_000 + 20 * Math.floor(Math.random() * 600);
    private readonly hasLinks: boolean;
    private readonly list = http.createServer((_, res) => this.answerList(res));
    private readonly record: CaseRecord;

    public constructor({ entries, record, hasLinks = false }: SiteOptions) {
        this.hasLinks = hasLinks;
        this.record = record;
        this.controls = [1, 2, 3].map(at => `${this.net}.${at}`);
        this.entries = Array.from({ length: entries }, (_, at) => `${this.net}.${11 + at}`);
        this.programs = new Programs(repository(), this.folder);
        this.ports = { front: this.firstPort, ready: this.firstPort + 1, control: this.firstPort + 2 };
    }

    /** An address for a stand-in. */
    public address(at: number): string {
        return `${this.net}.${100 + at}`;
    }

    public get enginePort(): number {
        return this.firstPort + 4;
    }

    /** Starts the programs, puts the first configuration, and waits until all entry hosts are ready. */
    public async start(config: Fields): Promise<void> {
        await listen(this.list, this.address(0), this.firstPort + 3);
        if (this.hasLinks) {
            await this.links.open(new Map(this.hosts.map(host => [host, this.peerPort(host)])));
        }
        this.hosts.forEach(host => this.programs.start(host, this.roleOf(host), this.fieldsOf(host, true)));
        const untilMs = this.record.nowMs + readyWithinMs;
        await sleep(1000);
        while (this.record.nowMs < untilMs) {
            const put = await this.order("POST", "/api/Config.Put", JSON.stringify(config), this.controls);
            const ready = await Promise.all(this.entries.map(entry => this.isReady(entry)));
            if (put.status === 200 && ready.every(one => one)) {
                this.record.note("ready", { controls: this.controls, entries: this.entries });
                return;
            }
            await sleep(200);
        }
        throw new Error("the site was not ready in time");
    }

    /** Starts a process again that has ended. */
    public restart(host: string): void {
        this.programs.restart(host, this.fieldsOf(host, false));
    }

    /** The control host that was elected last. */
    public leader(): string {
        const elected = this.controls.flatMap(host =>
            this.programs.log(host)
                .filter(line => JSON.stringify(line).includes("\"LeaderElected\""))
                .map(line => ({ host, term: Number(line["term"]) }))
        );
        return elected.sort((a, b) => b.term - a.term)[0]?.host ?? "";
    }

    /** An order of the operator: to the hosts in turn, moving on after a second without an answer. */
    public async order(method: string, path: string, body: string, hosts: readonly string[]): Promise<Answer> {
        let answer: Answer = { status: 0, text: "" };
        for (const host of hosts) {
            this.record.note("operator sends", { host, path: `${method} ${path}` });
            const options = { host, port: this.ports.control, method, path, timeout: operatorPatienceMs };
            answer = await ask(options, body, operatorPatienceMs);
            this.record.note("operator got", { host, path: `${method} ${path}`, status: answer.status });
            if (answer.status === 200) {
                return answer;
            }
        }
        return answer;
    }

    public async stop(): Promise<void> {
        await this.programs.endAll();
        this.links.dispose();
        this.list.close();
        this.list.closeAllConnections();
        rmSync(this.folder, { recursive: true, force: true });
    }

    private get hosts(): readonly string[] {
        return [...this.controls, ...this.entries];
    }

    private async isReady(host: string): Promise<boolean> {
        return (await ask({ host, port: this.ports.ready, path: "/api/ready" }, "", 1000)).status === 200;
    }

    private roleOf(host: string) {
        return this.controls.includes(host) ? "control" as const : "entry" as const;
    }

    /** With proxies, each process has a port of its own, so that each direction of a link has its own address. */
    private peerPort(host: string): number {
        return this.firstPort + 5 + (this.hasLinks ? this.hosts.indexOf(host) : 0);
    }

    private fieldsOf(host: string, isFirstStart: boolean): Fields {
        const isControl = this.controls.includes(host);
        const at = (isControl ? this.controls : this.entries).indexOf(host);
        return {
            NodeName: host,
            Ip: host,
            Zone: zones[at % zones.length],
            InternalPorts: [this.peerPort(host), this.peerPort(host) + 15],
            Seeds: this.controls.map(one => `${one}:${this.ports.control}`),
            Bootstrap: isFirstStart,
            FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 },
            ...(isControl ? { DataDir: join(this.folder, `disk-${at}`) } : {}),
            Listen: isControl
                ? { Control: `${host}:${this.ports.control}` }
                : { Front: `${host}:${this.ports.front}`, Ready: `${host}:${this.ports.ready}` },
            Cloud: { Address: `${this.address(0)}:${this.firstPort + 3}` },
            Bounds: bounds,
        };
    }

    private answerList(res: http.ServerResponse): void {
        const instances = this.listed.map(({ id, service, zone, address, version = "v1" }) => ({
            Service: service,
            Address: address,
            Zone: zone,
            Version: version,
            Slots: 64,
            State: "ready",
            ColdLeftMs: 0,
            Id: id,
        }));
        res.writeHead(200, { "content-type": "application/json" });
        res.end(JSON.stringify({ Instances: instances, Next: null }));
    }
}

/** The folder of the project; the scripts are started there. */
function repository(): string {
    return resolve(process.cwd());
}

export function listen(server: net.Server, host: string, port: number): Promise<void> {
    return new Promise((done, reject) => {
        server.once("error", reject);
        server.listen(port, host, 1024, done);
    });
}

/** One exchange on a channel of its own; never rejects. */
export function ask(options: http.RequestOptions, body: string | Buffer, timeoutMs: number): Promise<Answer> {
    return new Promise(done => {
        const none = { status: 0, text: "" };
        const req = http.request({ agent: false, ...options }, res => {
            let text = "";
            res.on("data", (chunk: Buffer) => text += chunk.toString());
            res.on("error", () => done(none));
            res.on("close", () => done(res.complete ? { status: res.statusCode ?? 0, text } : none));
        });
        const timer = setTimeout(() => req.destroy(), timeoutMs);
        req.on("close", () => clearTimeout(timer));
        req.on("error", () => done(none));
        req.end(body);
    });
}
