/** Starts, signals and stops the child processes (daemons and stand-ins) of experiments and tests. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdirSync, openSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { Clock } from "../src/common/Types.js";

/** Time between SIGTERM and SIGKILL when processes are stopped, in milliseconds. */
const stopGraceMs = 10_000;
/** An output without new bytes for this long holds no more. */
const outputQuietMs = 500;
/** Clock ticks per second in /proc/PID/stat. */
const ticksPerSecond = 100;

export interface ProcessUsage {
    /** CPU time since the start, in milliseconds. */
    readonly cpuMs: number;
    /** Resident memory, in bytes. */
    readonly residentBytes: number;
    /** Bytes read and written by system calls since the start, including sockets, logs and other files. */
    readonly ioBytes: number;
    /** Number of open descriptors. */
    readonly descriptors: number;
}

export class Processes {
    /** Names of processes whose standard output goes to a pipe that is never read. */
    public readonly unreadOutputs = new Set<string>();
    /** Options of Node.js for processes that are started from now on, besides those of this process. */
    public nodeOptions: readonly string[] = [];
    /** Maximum number of open descriptors of processes that are started from now on; undefined for that of this process. */
    public maxDescriptors: number | undefined;
    private readonly children = new Map<string, ChildProcess>();

    public constructor(private readonly folder: string, private readonly clock: Clock) {
        mkdirSync(folder, { recursive: true });
    }

    /** Runs a script with Node.js and this process's Node.js options; appends its output to NAME.out in the folder. */
    public start(name: string, script: string, args: readonly string[]): void {
        const out = openSync(join(this.folder, `${name}.out`), "a");
        const command = [process.execPath, ...process.execArgv, ...this.nodeOptions, script, ...args];
        const [program = "", ...words] = this.maxDescriptors === undefined
            ? command
            : ["/bin/sh", "-c", `ulimit -n ${this.maxDescriptors}; exec "$0" "$@"`, ...command];
        const child = spawn(program, words, {
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

    /** Exit code of a process that has ended by itself; undefined while it runs, and if a signal ended it. */
    public exitCode(name: string): number | undefined {
        return this.children.get(name)?.exitCode ?? undefined;
    }

    /** Sends a signal; does nothing if the process is not running. */
    public signal(name: string, signal: NodeJS.Signals): void {
        if (this.isRunning(name)) {
            this.children.get(name)?.kill(signal);
        }
    }

    /** Reads what an unread output holds until nothing more comes for a while; resolves to the number of bytes. */
    public async readOutput(name: string): Promise<number> {
        const output = this.children.get(name)?.stdout;
        let bytes = 0;
        output?.on("data", (chunk: Buffer) => bytes += chunk.length);
        let before = -1;
        while (bytes !== before) {
            before = bytes;
            await this.clock.sleep(outputQuietMs);
        }
        return bytes;
    }

    /** Resumes and stops all processes with SIGTERM, and kills those still running after {@link stopGraceMs}. */
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

    /** Resource usage of a running process; undefined if it has ended. */
    public usage(name: string): ProcessUsage | undefined {
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
            const descriptors = readdirSync(`/proc/${pid}/fd`).length;
            return { cpuMs, residentBytes: Number(resident?.[1] ?? 0) * 1024, ioBytes, descriptors };
        }
        catch {
            return undefined;
        }
    }
}
