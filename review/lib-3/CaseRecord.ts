/** The record of a case: what was sent, answered and run, with times since the start. */
import { appendFileSync, writeFileSync } from "node:fs";

export class CaseRecord {
    private readonly startMs = performance.now();

    public constructor(private readonly file: string) {
        writeFileSync(file, "");
    }

    public add(...parts: readonly (string | number)[]): void {
        const atS = ((performance.now() - this.startMs) / 1000).toFixed(3);
        appendFileSync(this.file, `${atS} s  ${parts.join(" ")}\n`);
    }
}
