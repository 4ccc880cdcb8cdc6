/** A table of measured figures, as text. */
export interface BenchTable {
    readonly title: string;
    /** How it was measured: seeds, times, what is simulated. */
    readonly notes: readonly string[];
    readonly columns: readonly string[];
    readonly rows: readonly (readonly (string | number)[])[];
}

/** The table in the syntax of Markdown. */
export function tableText(table: BenchTable): string {
    const line = (cells: readonly (string | number)[]) => `| ${cells.join(" | ")} |`;
    return [
        `### ${table.title}`,
        "",
        ...table.notes,
        "",
        line(table.columns),
        line(table.columns.map(() => "---")),
        ...table.rows.map(line),
        "",
    ].join("\n");
}
