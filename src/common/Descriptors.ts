/** Open descriptors that the operating system allows this process. */

interface LimitsReport {
    readonly userLimits?: { readonly open_files?: { readonly soft?: number | string; }; };
}

/** Returns the limit in force; `Infinity` when there is none. */
export function descriptorLimit(): number {
    const { userLimits } = process.report.getReport() as unknown as LimitsReport;
    const { soft } = userLimits?.open_files ?? {};
    return typeof soft === "number" ? soft : Infinity;
}
