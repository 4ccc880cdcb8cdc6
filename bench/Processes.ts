/** Child processes of an experiment: daemons and stand-ins, started here and ended by their own ids. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { Clock } from "../src/common/Types.js";

/** How long a process may take to end after SIGTERM before it is killed, in milliseconds. */
const stopGraceMs = 10_000;
/** Clock ticks a second in /proc/PID/stat. */
const ticksPerSecond = 100;

export interface ProcessUse {
    /** Processor time since the start, in milliseconds. */
    readonly cpuMs: number;
    /** Resident memory, in bytes. */
    readonly residentBytes: number;
    /** Bytes read and written by system calls since the start: sockets, logs and other files together. */
    readonly ioBytes: number;
}

export class Processes {
    /** Names of processes whose output goes to a pipe that nobody reads. */
    public readonly unreadOutputs = new Set<string>();
    private readonly children = new Map<string, ChildProcess>();

    public constructor(private readonly folder: string, private readonly clock: Clock) {
        mkdirSync(folder, { recursive: true });
    }

    /** Starts `node` on a script, with the options that this process has; its output goes to NAME.out in the folder. */
    public start(name: string, script: string, args: readonly string[]): void {
        const out = openSync(join(this.folder, `${name}.out`), "a");
        const child = spawn(process.execPath, [...process.execArgv, script, ...args], {
            stdio: ["ignore", this.unreadOutputs.has(name) ? "pipe" : out, out],
        });
        closeSync(out);
        this.children.set(name, child);
    }

    public get names(): readonly string[] {
        return [...this.children.keys()];
    }

    public isRunning(name: string): boolean {
        const child = this.children.get(name);
        return child !== undefined && child.exitCode === null && child.signalCode === null;
    }

    public signal(name: string, signal: NodeJS.Signals): void {
        if (this.isRunning(name)) {
            this.children.get(name)?.kill(signal);
        }
    }

    /** Ends all processes, and kills those that do not end in time. */
    public async stopAll(): Promise<void> {
        for (const name of this.children.keys()) {
            this.signal(name, "SIGCONT");
            this.signal(name, "SIGTERM");
        }
        const deadlineMs = this.clock.nowMs() + stopGraceMs;
        while (this.names.some(name => this.isRunning(name)) && this.clock.nowMs() < deadlineMs) {
            await this.clock.sleep(50);
        }
        for (const name of this.children.keys()) {
            this.signal(name, "SIGKILL");
        }
    }

    /** Processor time and memory of a running process; undefined when it is gone. */
    public use(name: string): ProcessUse | undefined {
        const pid = this.children.get(name)?.pid;
        if (pid === undefined || !this.isRunning(name)) {
            return undefined;
        }
        try {
            const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
            const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
            const cpuMs = ((Number(fields[11]) + Number(fields[12])) * 1000) / ticksPerSecond;
            const resident = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
            const io = readFileSync(`/proc/${pid}/io`, "utf8");
            const ioBytes = Number(/^rchar: (\d+)$/m.exec(io)?.[1]) + Number(/^wchar: (\d+)$/m.exec(io)?.[1]);
            return { cpuMs, residentBytes: Number(resident?.[1] ?? 0) * 1024, ioBytes };
        }
        catch {
            return undefined;
        }
    }
}
