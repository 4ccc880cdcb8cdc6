/** Fills in the settings template of the deploy file, as the platform's page on deployments describes it. */

type Fields = Readonly<Record<string, unknown>>;

const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
const placeholder = /\{\{([\w.]+)(\|json)?\}\}/g;

function valueAt(fields: Fields, path: string): unknown {
    return path.split(".").filter(part => part !== "").reduce<unknown>(
        (value, part) => (typeof value === "object" && value !== null ? (value as Fields)[part] : undefined),
        fields,
    );
}

function textOf(value: unknown, isJson: boolean): string {
    if (isJson) {
        return JSON.stringify(value ?? null);
    }
    if (Array.isArray(value)) {
        return value.join(",");
    }
    return typeof value === "string" ? value : value === undefined || value === null ? "" : JSON.stringify(value);
}

/** Renders the sections and placeholders that the project's template uses. */
export function render(template: string, fields: Fields): string {
    let text = template;
    for (let found = section.exec(text); found !== null; found = section.exec(text)) {
        const [whole, kind, path = "", inner = ""] = found;
        const value = valueAt(fields, path);
        const isPresent = value !== undefined && value !== false;
        const shown = kind === "#" ? isPresent : !isPresent;
        text = text.replace(
            whole,
            () => (shown
                ? inner.replaceAll("{{.|json}}", JSON.stringify(value ?? null)).replaceAll(
                    "{{.}}",
                    textOf(value, false),
                )
                : ""),
        );
    }
    return text.replace(
        placeholder,
        (_, path: string, json?: string) => textOf(valueAt(fields, path), json !== undefined),
    );
}
