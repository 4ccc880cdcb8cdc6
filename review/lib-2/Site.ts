/**
 * A small deployment on loopback addresses: control and entry hosts as processes, started by the `run` lines of
 * deploy/system.toml with settings from its template, and stand-ins for engines, the platform's list and the operator.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import type { CaseRecord } from "./CaseRecord.js";
import { Engine, type EngineSpec } from "./Engine.js";
import { fillIn } from "./Template.js";

/** The project's root, from out/review-2/review/lib-2. */
export const root = resolve(import.meta.dirname, "../../../..");
/** Fixed by the `metrics` lines of deploy/system.toml. */
const metricsPort = 9464;
const startTimeoutMs = 20_000;
const pollMs = 100;
const stopTimeoutMs = 3000;

export interface HostSpec {
    readonly name: string;
    readonly role: "entry" | "control";
    readonly zone: string;
}

export interface SiteOptions {
    readonly hosts: readonly HostSpec[];
    readonly engines: readonly EngineSpec[];
    readonly record: CaseRecord;
    /** Fields that replace those of the settings, by table. */
    readonly limits?: Readonly<Record<string, number>>;
}

interface Ports {
    readonly internal: number;
    readonly control: number;
    readonly front: number;
    readonly ready: number;
    readonly engine: number;
    readonly list: number;
}

export interface Answer {
    /** 0 when there was no complete answer. */
    readonly status: number;
    readonly text: string;
}

export function sleep(ms: number): Promise<void> {
    return new Promise(done => setTimeout(done, ms));
}

/** Sends one request on a channel of its own, and never rejects. */
export function call(options: http.RequestOptions, body = ""): Promise<Answer> {
    return new Promise(done => {
        const none = { status: 0, text: "" };
        const req = http.request({ agent: false, timeout: 3000, ...options }, res => {
            const parts: Buffer[] = [];
            res.on("data", (part: Buffer) => parts.push(part));
            res.on("error", () => done(none));
            res.on(
                "close",
                () =>
                    done(res.complete ? { status: res.statusCode ?? 0, text: Buffer.concat(parts).toString() } : none),
            );
        });
        req.on("timeout", () => req.destroy());
        req.on("error", () => done(none));
        req.end(body);
    });
}

function isFree(host: string, port: number): Promise<boolean> {
    return new Promise(done => {
        const server = net.createServer();
        server.once("error", () => done(false));
        server.listen(port, host, () => server.close(() => done(true)));
    });
}

/** The words of the `run` line of a role. */
function runWords(role: string): string[] {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const table = text.slice(text.indexOf(`[roles.${role}]`));
    const line = /^run = "(.*)"$/m.exec(table)?.[1] ?? "";
    return line.split(" ");
}

export class Site {
    public readonly folder = mkdtempSync(join(tmpdir(), "fireflykeel-review-"));
    public readonly engines: Engine[] = [];
    private readonly processes = new Map<string, ChildProcess>();
    private readonly template = readFileSync(join(root, "deploy/settings.yaml.tmpl"), "utf8");
    private readonly list: http.Server;
    /** Entries of the platform's list; of the engines at first. */
    public listed: Readonly<Record<string, unknown>>[] = [];

    private constructor(
        private readonly options: SiteOptions,
        private readonly firstNet: number,
        private readonly ports: Ports,
    ) {
        this.list = http.createServer((_, res) => {
            res.setHeader("content-type", "application/json");
            res.end(JSON.stringify({ Instances: this.listed, Next: null }));
        });
    }

    /** Finds free addresses and ports, and starts everything. */
    public static async start(options: SiteOptions): Promise<Site> {
        for (let tries = 0; tries < 50; tries++) {
            const firstNet = 20 + Math.floor(Math.random() * 200);
            const base = 20_000 + Math.floor(Math.random() * 10_000);
            const ports = {
                internal: base,
                control: base + 1,
                front: base + 2,
                ready: base + 3,
                engine: base + 4,
                list: base + 5,
            };
            const site = new Site(options, firstNet, ports);
            const wanted = options.hosts.flatMap(({ name }) =>
                [ports.internal, ports.control, ports.front, ports.ready, metricsPort].map(port =>
                    isFree(site.ip(name), port)
                )
            );
            if ((await Promise.all(wanted)).every(one => one)) {
                await site.begin();
                return site;
            }
        }
        throw new Error("no free addresses");
    }

    public ip(host: string): string {
        const at = this.options.hosts.findIndex(one => one.name === host);
        return `127.${this.firstNet}.1.${at + 1}`;
    }

    /** Where callers connect to an entry host. */
    public front(host: string): { readonly host: string; readonly port: number; } {
        return { host: this.ip(host), port: this.ports.front };
    }

    public control(host: string): { readonly host: string; readonly port: number; } {
        return { host: this.ip(host), port: this.ports.control };
    }

    public async isReady(host: string): Promise<boolean> {
        const at = { host: this.ip(host), port: this.ports.ready, path: "/api/ready", timeout: 1000 };
        return (await call(at)).status === 200;
    }

    /** Sends a configuration to control hosts, one after the other, until it is acknowledged. */
    public async putConfig(config: unknown): Promise<void> {
        const untilMs = performance.now() + startTimeoutMs;
        const controls = this.names("control");
        for (let at = 0; performance.now() < untilMs; at++) {
            const to = { ...this.control(controls[at % controls.length] ?? ""), path: "/api/Config.Put" };
            const headers = { "content-type": "application/json" };
            const { status, text } = await call({ ...to, method: "POST", headers }, JSON.stringify(config));
            if (status === 200) {
                this.options.record.line("operator: the configuration is acknowledged");
                return;
            }
            if (status >= 400 && status < 500) {
                throw new Error(`the configuration is refused with ${status}: ${text}`);
            }
            await sleep(pollMs);
        }
        throw new Error("the configuration is not acknowledged");
    }

    public async whenReady(): Promise<void> {
        const untilMs = performance.now() + startTimeoutMs;
        for (const host of this.names("entry")) {
            while (!await this.isReady(host)) {
                if (performance.now() > untilMs) {
                    throw new Error(`${host} is not ready`);
                }
                await sleep(pollMs);
            }
        }
        // The list reaches all hosts within two readings.
        await sleep(2000);
        this.options.record.line("site: all entry hosts are ready");
    }

    public signal(host: string, signal: NodeJS.Signals): void {
        this.processes.get(host)?.kill(signal);
        this.options.record.line(`site: ${signal} to ${host}`);
    }

    /** The exit status or signal of a process that has ended; undefined while it runs. */
    public ended(host: string): string | undefined {
        const process = this.processes.get(host);
        return process?.exitCode?.toString() ?? process?.signalCode ?? undefined;
    }

    /** The process id of a host. */
    public pid(host: string): number | undefined {
        return this.processes.get(host)?.pid;
    }

    public output(host: string): string {
        return readFileSync(join(this.folder, `${host}.log`), "utf8");
    }

    public startHost({ name, role, zone }: HostSpec, bootstrap: boolean): void {
        const { record } = this.options;
        const file = join(this.folder, `${name}.yaml`);
        const dataDir = join(this.folder, `data-${name}`);
        mkdirSync(dataDir, { recursive: true });
        writeFileSync(file, fillIn(this.template, this.settingsOf(name, role, zone, dataDir, bootstrap)));
        const [command = "node", ...words] = runWords(role);
        const log = openSync(join(this.folder, `${name}.log`), "a");
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(command, words, {
            cwd: root,
            env: { PATH, HOME, LANG, FIREFLYKEEL_NODE_FILE: file },
            stdio: ["ignore", log, log],
        });
        child.on("exit", (code, signal) => record.line(`site: ${name} has ended, ${signal ?? `status ${code}`}`));
        process.once("exit", () => child.kill("SIGKILL"));
        this.processes.set(name, child);
        record.line(`site: ${name} is started at ${this.ip(name)}`);
    }

    /** Ends all processes that were started, and waits for that. */
    public async stop(): Promise<void> {
        const running = [...this.processes.values()].filter(one => one.exitCode === null && one.signalCode === null);
        const exits = running.map(one => new Promise(done => one.once("exit", done)));
        running.forEach(one => one.kill("SIGCONT") && one.kill("SIGKILL"));
        await Promise.race([Promise.all(exits), sleep(stopTimeoutMs)]);
        this.engines.forEach(one => one.close());
        this.list.closeAllConnections();
        this.list.close();
        if (process.env["KEEP"] === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        }
    }

    private names(role: HostSpec["role"]): string[] {
        return this.options.hosts.filter(one => one.role === role).map(one => one.name);
    }

    private async begin(): Promise<void> {
        const { hosts, engines } = this.options;
        for (const [at, spec] of engines.entries()) {
            const engine = new Engine(spec, `127.${this.firstNet}.2.${at + 1}:${this.ports.engine}`);
            await engine.listen();
            this.engines.push(engine);
        }
        this.listed = this.engines.map(({ spec, address }) => ({
            Id: spec.id,
            Service: spec.service,
            Address: address,
            Zone: spec.zone,
            Version: "v1",
            Slots: 8,
            State: "ready",
            ColdLeftMs: 0,
            born: Date.now(),
        }));
        await new Promise<void>(done => this.list.listen(this.ports.list, `127.${this.firstNet}.3.1`, () => done()));
        hosts.forEach(one => this.startHost(one, true));
    }

    /** The settings of DEPLOY.md, with the bounds of a small site. */
    private settingsOf(name: string, role: HostSpec["role"], zone: string, dataDir: string, bootstrap: boolean) {
        const isEntry = role === "entry";
        const { hosts, limits = {} } = this.options;
        const ip = this.ip(name);
        const { internal, control, front, ready, list } = this.ports;
        return {
            NodeName: name,
            Role: role,
            MachineClass: isEntry ? "front" : "core",
            Serves: [isEntry ? "front" : "control"],
            Ip: ip,
            Zone: zone,
            Region: "r",
            InternalPorts: [internal, internal],
            Seeds: this.names("control").slice(0, 3).map(one => `${this.ip(one)}:${control}`),
            Bootstrap: bootstrap,
            LossCounts: !isEntry,
            Zones: Object.fromEntries(hosts.map(one => [one.zone, "r"])),
            Listen: isEntry ? { Front: `${ip}:${front}`, Ready: `${ip}:${ready}` } : { Control: `${ip}:${control}` },
            ...(isEntry ? {} : { DataDir: dataDir }),
            Limits: { CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 128, ...limits },
            FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 },
            Bounds: {
                ConfigApplyMs: 2000,
                RevokeMs: 5000,
                GraceS: 8,
                RetryRatio: 0.2,
                RetryWindowS: 10,
                RetrySlack: 56,
                ColdOverrun: 1.5,
                ColdSlack: 5,
            },
            Cloud: { Address: `127.${this.firstNet}.3.1:${list}`, RatePerS: 44, Duties: [], MaxLagMs: 800 },
        };
    }
}
