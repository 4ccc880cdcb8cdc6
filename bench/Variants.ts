/** Named changes to a site's settings, so that one run of an experiment can compare several policies. */
import { readFileSync, writeFileSync } from "node:fs";
import { parse, stringify } from "yaml";
import { isDocumentMap, mergeDocuments } from "../src/config/Merge.js";

type SettingsChange = (base: unknown) => unknown;

export const variants: Readonly<Record<string, SettingsChange>> = {
    "as-is": base => base,
    "no-retries": base => mergeDocuments(base, { limits: { retryShare: 0 } }),
    "no-hedges": base => mapStages(base, stage => ({ ...stage, hedge: false })),
    "long-leases": base => mergeDocuments(base, { timing: { slotLeaseMs: 8000 } }),
};

/** Writes a site's base file with the changes of a variant; an unknown variant changes nothing. */
export function writeVariant(baseFile: string, variant: string, target: string): void {
    const base: unknown = parse(readFileSync(baseFile, "utf8"));
    writeFileSync(target, stringify((variants[variant] ?? (same => same))(base)));
}

function mapStages(base: unknown, change: (stage: Record<string, unknown>) => unknown): unknown {
    const pipelines = isDocumentMap(base) ? base["pipelines"] : undefined;
    if (!isDocumentMap(pipelines)) {
        return base;
    }
    const changed = Object.entries(pipelines).map(([name, pipeline]) => {
        const stages = isDocumentMap(pipeline) ? pipeline["stages"] : undefined;
        return [name, { stages: Array.isArray(stages) ? (stages as Record<string, unknown>[]).map(change) : [] }];
    });
    return mergeDocuments(base, { pipelines: Object.fromEntries(changed) });
}
