/**
 * Runs a case: exits with 10 if the rule was broken, 0 if it held, and 2 if the case could not run. Node.js itself exits with
 * 1 when a script can't be loaded, so that `run.sh` makes 1 of 10 only.
 */
import { join } from "node:path";
import { CaseRecord } from "./CaseRecord.js";

/** What was seen against the rule; empty if it held. */
export type Breaches = readonly string[];

const maxRunMs = 110_000;
const brokenExitCode = 10;

export function runCase(play: (record: CaseRecord, isTroubled: boolean) => Promise<Breaches>): void {
    const [, , folder = "."] = process.argv;
    const record = new CaseRecord(join(folder, "record.txt"));
    const isTroubled = process.env["TROUBLE"] !== "0";
    record.note("begins", { disruption: isTroubled });
    setTimeout(() => {
        record.note("could not run", { why: "it took too long" });
        process.exit(2);
    }, maxRunMs).unref();
    play(record, isTroubled).then(
        breaches => {
            breaches.forEach(breach => record.note("RULE BROKEN", { breach }));
            record.note(breaches.length > 0 ? "the rule was broken" : "the rule held");
            process.exit(breaches.length > 0 ? brokenExitCode : 0);
        },
        (err: unknown) => {
            record.note("could not run", { why: String(err) });
            process.exit(2);
        },
    );
}
