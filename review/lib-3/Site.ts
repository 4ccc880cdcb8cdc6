/**
 * A small deployment on loopback addresses: the project's programs as processes, started with the commands of the deploy
 * file, and stand-ins for the platform's list and the engines.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import * as http from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { call } from "./Calls.js";
import type { CaseRecord } from "./CaseRecord.js";
import type { Engine } from "./Engine.js";
import { render } from "./Template.js";

/** Bounds of a small deployment, as in the platform's example of a settings file. */
const bounds = {
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
const callerPort = 8625;
const readyPort = 8621;
const operatorPort = 8628;
/** The platform's list lags by this much, which is `MaxLagMs`. */
const listLagMs = 800;
const internalPorts = [7740, 7755];

export type Role = "entry" | "control";

export interface Machine {
    readonly name: string;
    readonly role: Role;
    readonly ip: string;
    readonly zone: string;
    process: ChildProcess | undefined;
}

export interface SiteOptions {
    readonly record: CaseRecord;
    /** Zones of the entry hosts and of the control hosts. */
    readonly entries: readonly string[];
    readonly controls: readonly string[];
    /** Changes a field of the settings of one machine. */
    readonly settings?: (machine: Machine) => Readonly<Record<string, unknown>>;
}

export class Site {
    public readonly machines: Machine[];
    public readonly engines: Engine[] = [];
    private readonly dir = mkdtempSync(join(tmpdir(), "fireflykeel-review-"));
    /** Addresses of this run: 127.NET.x.y. */
    private readonly net = `127.${100 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}`;
    private readonly platform: http.Server;
    private nextIp = 10;

    public constructor(private readonly options: SiteOptions) {
        const { entries, controls } = options;
        this.platform = http.createServer((req, res) => this.serveList(req, res));
        this.machines = [
            ...controls.map((zone, at) => this.machine("control", zone, at)),
            ...entries.map((zone, at) => this.machine("entry", zone, at)),
        ];
    }

    public get entries(): readonly Machine[] {
        return this.machines.filter(one => one.role === "entry");
    }

    public get controls(): readonly Machine[] {
        return this.machines.filter(one => one.role === "control");
    }

    /** A loopback address that nothing else of the run uses. */
    public freeIp(): string {
        this.nextIp += 1;
        return `${this.net}.${this.nextIp}`;
    }

    public callerAddress(machine: Machine): string {
        return `${machine.ip}:${callerPort}`;
    }

    public operatorAddress(machine: Machine): string {
        return `${machine.ip}:${operatorPort}`;
    }

    /** Starts everything and puts a configuration; true once all entry hosts are ready. */
    public async startWith(config: () => unknown): Promise<boolean> {
        await this.start();
        return await this.putConfig(config()) && this.waitUntilReady();
    }

    /** Starts everything; resolves once the platform's list is served. */
    public async start(): Promise<void> {
        await Promise.all(this.engines.map(engine => engine.start()));
        await new Promise<void>(resolve => this.platform.listen(8624, `${this.net}.9`, resolve));
        this.machines.forEach(machine => this.startMachine(machine, true));
    }

    /** Crashes an engine; another start of it takes its place, at the same address and in the list, after a time. */
    public replaceLater(engine: Engine, next: Engine, afterMs: number): void {
        engine.stop();
        setTimeout(() => {
            const port = Number(engine.address.split(":")[1]);
            void next.start(port).then(() => {
                this.engines[this.engines.indexOf(engine)] = next;
                this.options.record.add("engine", next.options.instance, "starts");
            });
        }, afterMs);
    }

    public startMachine(machine: Machine, isFirst: boolean): void {
        const { record } = this.options;
        const dir = join(this.dir, machine.name);
        mkdirSync(join(dir, "data"), { recursive: true });
        const file = join(dir, "settings");
        writeFileSync(file, this.settingsText(machine, isFirst, join(dir, "data")));
        const [program = "", ...args] = runCommand(machine.role);
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(program, args, {
            env: { PATH, HOME, LANG, FIREFLYKEEL_NODE_FILE: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(dir, "log"), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        child.on("exit", (code, signal) => record.add("process", machine.name, "ended", String(code ?? signal)));
        machine.process = child;
        record.add("process", machine.name, "started at", machine.ip);
    }

    /** The directory with the logs of a machine. */
    public dirOf(machine: Machine): string {
        return join(this.dir, machine.name);
    }

    /** Puts a configuration, as the operator does: again and at other hosts until it is acknowledged. */
    public async putConfig(config: unknown, withinMs: number = 20_000): Promise<boolean> {
        const untilMs = performance.now() + withinMs;
        const body = JSON.stringify(config);
        for (let at = 0; performance.now() < untilMs; at++) {
            const machine = this.controls[at % this.controls.length]!;
            const answer = await call(this.operatorAddress(machine), {
                method: "POST",
                path: "/api/Config.Put",
                headers: { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(body) },
                body,
                timeoutMs: 1000,
            });
            this.options.record.add(
                "operator",
                "Config.Put at",
                machine.name,
                answer.status,
                answer.error ?? answer.text,
            );
            if (answer.status === 200) {
                return true;
            }
            await sleep(300);
        }
        return false;
    }

    /** Sends an order without a body, as the operator does; true once it is acknowledged. */
    public async order(path: string): Promise<boolean> {
        for (let at = 0; at < 8; at++) {
            const machine = this.controls[at % this.controls.length]!;
            const answer = await call(this.operatorAddress(machine), { method: "POST", path, timeoutMs: 1000 });
            this.options.record.add("operator", path, "at", machine.name, answer.status, answer.error ?? answer.text);
            if (answer.status === 200) {
                return true;
            }
            await sleep(200);
        }
        return false;
    }

    /** True once each entry host is ready. */
    public async waitUntilReady(withinMs: number = 15_000): Promise<boolean> {
        const untilMs = performance.now() + withinMs;
        while (performance.now() < untilMs) {
            const answers = await Promise.all(
                this.entries.map(one =>
                    call(`${one.ip}:${readyPort}`, { method: "GET", path: "/api/ready", timeoutMs: 500 })
                ),
            );
            if (answers.every(one => one.status === 200)) {
                return true;
            }
            await sleep(200);
        }
        return false;
    }

    /** Ends all processes and stand-ins. */
    public async stop(keepsFiles: boolean = false): Promise<void> {
        const running = this.machines.flatMap(({ process: child }) =>
            child !== undefined && child.exitCode === null && child.signalCode === null ? [child] : []
        );
        const ended = running.map(child => new Promise(resolve => child.once("exit", resolve)));
        running.forEach(child => child.kill("SIGKILL"));
        await Promise.all(ended);
        this.engines.forEach(engine => engine.stop());
        this.platform.close();
        this.platform.closeAllConnections();
        if (!keepsFiles) {
            rmSync(this.dir, { recursive: true, force: true });
        }
    }

    private machine(role: Role, zone: string, at: number): Machine {
        return { name: `${role}-${zone}-${at + 1}`, role, ip: this.freeIp(), zone, process: undefined };
    }

    private settingsText(machine: Machine, isFirst: boolean, dataDir: string): string {
        const seeds = this.controls.slice(0, 3).map(one => `${one.ip}:${operatorPort}`);
        const { role, ip, zone, name } = machine;
        const fields = {
            NodeName: name,
            Ip: ip,
            Zone: zone,
            InternalPorts: internalPorts,
            Seeds: seeds,
            Bootstrap: isFirst,
            FaultTolerance: { Machines: 1, Zones: 1, Regions: 0 },
            Listen: role === "entry"
                ? { Front: `${ip}:${callerPort}`, Ready: `${ip}:${readyPort}` }
                : { Control: `${ip}:${operatorPort}` },
            ...(role === "control" ? { DataDir: dataDir } : {}),
            Cloud: { Address: `${this.net}.9:8624`, RatePerS: 44, MaxLagMs: 800 },
            Limits: { MaxFds: 4100 },
            Bounds: bounds,
            ...this.options.settings?.(machine),
        };
        return render(readFileSync("deploy/settings.yaml.tmpl", "utf8"), fields);
    }

    private serveList(req: http.IncomingMessage, res: http.ServerResponse): void {
        if (req.url?.startsWith("/instances") !== true) {
            res.writeHead(404).end();
            return;
        }
        const entries = this.engines.map(engine => ({
            Service: engine.options.service,
            Address: engine.address,
            Zone: engine.options.zone,
            Version: "v1",
            Slots: engine.options.slots,
            State: engine.state,
            ColdLeftMs: Math.round(engine.coldLeftMs(performance.now() - listLagMs)),
            Id: engine.options.instance,
            born: engine.bornMs,
        }));
        const text = JSON.stringify({ Instances: entries, Next: null });
        res.writeHead(200, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) }).end(text);
    }
}

/** The command of a role in the deploy file. */
function runCommand(role: Role): readonly string[] {
    const text = readFileSync("deploy/system.toml", "utf8");
    const table = text.split(`[roles.${role}]`)[1] ?? "";
    return (/^run = "(.*)"$/m.exec(table)?.[1] ?? "").split(" ");
}
