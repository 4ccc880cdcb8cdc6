/** Runs a case and ends the process with its verdict: 1 broken, 0 held, 2 the case could not run. */
import type { CaseRecord } from "./CaseRecord.js";

const couldNotRun = 2;

export function runCase(record: CaseRecord, run: () => Promise<number>): void {
    const fail = (cause: unknown) => {
        record.line(`the case could not run: ${cause instanceof Error ? cause.stack ?? cause.message : String(cause)}`);
        process.exit(couldNotRun);
    };
    process.on("uncaughtException", fail);
    process.on("SIGTERM", () => fail("it was stopped"));
    process.on("SIGINT", () => fail("it was stopped"));
    run().then(code => process.exit(code), fail);
}
