/** The process's limit on open descriptors, which connections and files share. */
import { Either } from "purify-ts";

/** Assumed where the system does not tell. */
const defaultLimit = 1024;

interface LimitsReport {
    readonly userLimits?: { readonly open_files?: { readonly soft?: number | string; }; };
}

let limit: number | undefined;

/**
 * Maximum number of descriptors that this process may have open, `Infinity` when there is none; it does not change while
 * the process runs.
 */
export function descriptorLimit(): number {
    limit ??= Either.encase(readLimit).orDefault(defaultLimit);
    return limit;
}

function readLimit(): number {
    // Otherwise the report looks up the names of all connected addresses.
    (process.report as { excludeNetwork?: boolean; }).excludeNetwork = true;
    const { userLimits } = process.report.getReport() as unknown as LimitsReport;
    const soft = userLimits?.open_files?.soft;
    return soft === "unlimited" ? Infinity : Number(soft) > 0 ? Number(soft) : defaultLimit;
}
