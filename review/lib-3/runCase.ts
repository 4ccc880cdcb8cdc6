/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { join } from "node:path";
import { CaseRecord } from "./CaseRecord.js";
import type { Site } from "./Site.js";

/** What a case has to say of its rule: breaks that it has seen, or why it could not run. */
export type Verdict = { readonly breaks: readonly string[]; } | { readonly cannotRun: string; };

export interface CaseRun {
    readonly record: CaseRecord;
    /** False to leave the disruption out. */
    readonly hasTrouble: boolean;
    /** The site is stopped when the case ends. */
    readonly use: (site: Site) => Site;
}

const limitMs = 110_000;

export async function runCase(number: number, run: (options: CaseRun) => Promise<Verdict>): Promise<void> {
    const record = new CaseRecord(join("review", String(number), "record.txt"));
    const hasTrouble = process.env["TROUBLE"] !== "0";
    const sites: Site[] = [];
    const use = (site: Site) => {
        sites.push(site);
        return site;
    };
    const timeout = new Promise<Verdict>(resolve => {
        setTimeout(() => resolve({ cannotRun: "the case took too long" }), limitMs).unref();
    });
    const failed = (err: unknown): Verdict => ({
        cannotRun: err instanceof Error ? err.stack ?? err.message : String(err),
    });
    // Whatever else ends the case, its processes are ended, and it is not taken for a broken rule.
    const interrupted = new Promise<Verdict>(resolve => {
        process.on("uncaughtException", err => resolve(failed(err)));
        process.on("unhandledRejection", err => resolve(failed(err)));
        process.on("SIGTERM", () => resolve({ cannotRun: "the case was stopped" }));
        process.on("SIGINT", () => resolve({ cannotRun: "the case was stopped" }));
    });
    const verdict = await Promise.race([run({ record, hasTrouble, use }).catch(failed), timeout, interrupted]);
    await Promise.all(sites.map(site => site.stop(process.env["KEEP"] === "1")));
    if ("cannotRun" in verdict) {
        record.add("the case could not run:", verdict.cannotRun);
        process.exit(2);
    }
    verdict.breaks.forEach(one => record.add("BROKEN:", one));
    record.add(verdict.breaks.length === 0 ? "the rule held" : `the rule was broken ${verdict.breaks.length} times`);
    process.exit(verdict.breaks.length === 0 ? 0 : 1);
}
