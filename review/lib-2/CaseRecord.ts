/** Writes what a case sent, answered and ran to record.txt in its folder. */
import { closeSync, openSync, writeSync } from "node:fs";
import { join } from "node:path";

export class CaseRecord {
    private readonly file: number;
    private readonly startMs = performance.now();

    public constructor(folder: string) {
        this.file = openSync(join(folder, "record.txt"), "w");
    }

    public line(text: string): void {
        const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3);
        writeSync(this.file, `${seconds.padStart(8)} ${text}\n`);
    }

    public close(): void {
        closeSync(this.file);
    }
}
