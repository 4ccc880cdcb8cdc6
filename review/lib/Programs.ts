/** Starts the programs of deploy/system.toml with the commands of that file, and ends those that it started. */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { sleep } from "./CaseRecord.js";
import { type Fields, render } from "./Template.js";

export type Role = "entry" | "control";

interface Program {
    readonly role: Role;
    readonly settings: string;
    child: ChildProcess;
}

export class Programs {
    private readonly programs = new Map<string, Program>();
    private readonly deployFile: string;

    public constructor(private readonly repository: string, private readonly folder: string) {
        this.deployFile = readFileSync(join(repository, "deploy/system.toml"), "utf8");
    }

    /** Starts a role with the platform's fields of its settings. */
    public start(name: string, role: Role, fields: Fields): void {
        const settings = join(this.folder, `${name}.settings`);
        const template = readFileSync(join(this.repository, this.entryOf(role, "template")), "utf8");
        writeFileSync(settings, render(template, fields));
        this.programs.set(name, { role, settings, child: this.spawn(name, role, settings) });
    }

    /** Starts a program that has ended again, with the settings that it had. */
    public restart(name: string, fields: Fields): void {
        const program = this.programs.get(name);
        if (program !== undefined) {
            this.start(name, program.role, fields);
        }
    }

    public signal(name: string, signal: NodeJS.Signals): void {
        const child = this.programs.get(name)?.child;
        if (child?.exitCode === null && child.signalCode === null) {
            child.kill(signal);
        }
    }

    /** What a program has logged, one JSON object a line. */
    public log(name: string): readonly Fields[] {
        const lines = readFileSync(this.outputOf(name), "utf8").split("\n");
        return lines.flatMap(line => {
            try {
                return [JSON.parse(line) as Fields];
            }
            catch {
                return [];
            }
        });
    }

    public async endAll(): Promise<void> {
        for (const name of this.programs.keys()) {
            this.signal(name, "SIGCONT");
            this.signal(name, "SIGKILL");
        }
        await sleep(200);
    }

    private spawn(name: string, role: Role, settings: string): ChildProcess {
        const output = openSync(this.outputOf(name), "a");
        const [command = "", ...args] = this.entryOf(role, "run").split(" ");
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(command, args, {
            cwd: this.repository,
            env: { PATH, HOME, LANG, FIREFLYKEEL_NODE_FILE: settings },
            stdio: ["ignore", output, output],
        });
        closeSync(output);
        return child;
    }

    private outputOf(name: string): string {
        return join(this.folder, `${name}.log`);
    }

    /** A text of a role's table in the deploy file. */
    private entryOf(role: Role, key: string): string {
        const table = this.deployFile.split(`[roles.${role}]`)[1]?.split("\n[")[0] ?? "";
        return new RegExp(`^${key} = "(.*)"$`, "m").exec(table)?.[1] ?? "";
    }
}
