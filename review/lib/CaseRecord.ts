/** Writes what was sent, answered and run to the record of a case, one line each, with the time since the start. */
import { appendFileSync, writeFileSync } from "node:fs";

export class CaseRecord {
    private readonly startMs = performance.now();

    public constructor(private readonly file: string) {
        writeFileSync(file, "");
    }

    public get nowMs(): number {
        return performance.now() - this.startMs;
    }

    public note(what: string, fields: Readonly<Record<string, unknown>> = {}): void {
        const text = Object.entries(fields).map(([name, value]) => ` ${name}=${JSON.stringify(value)}`).join("");
        appendFileSync(this.file, `${(this.nowMs / 1000).toFixed(3).padStart(8)} ${what}${text}\n`);
    }
}

export function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
