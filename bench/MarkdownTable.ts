/** A table of results with its notes, printed by experiments as Markdown. */
export interface BenchTable {
    readonly title: string;
    /** How the figures were measured: seeds, durations and what is simulated. */
    readonly notes: readonly string[];
    readonly columns: readonly string[];
    readonly rows: readonly (readonly (string | number)[])[];
}

/** Formats the table as Markdown. */
export function formatMarkdownTable(table: BenchTable): string {
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
