/** Fills in a template for settings, as the deploy pages describe: placeholders, sections and `|json`. */

const section = /\{\{([#^])([^}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
const placeholder = /\{\{([^}#^/|]+)(\|json)?\}\}/g;

export type Fields = Readonly<Record<string, unknown>>;

export function render(template: string, fields: Fields): string {
    return renderPart(template, fields, fields);
}

function renderPart(template: string, current: unknown, fields: Fields): string {
    const withSections = template.replaceAll(section, (_, kind: string, path: string, inner: string) => {
        const value = valueAt(path, current, fields);
        const isPresent = value !== undefined && value !== false && value !== "";
        if (kind === "^") {
            return isPresent ? "" : renderPart(inner, current, fields);
        }
        return isPresent ? renderPart(inner, value === true ? current : value, fields) : "";
    });
    return withSections.replaceAll(placeholder, (_, path: string, json?: string) => {
        const value = valueAt(path, current, fields);
        return value === undefined
            ? ""
            : json === undefined && typeof value === "string"
            ? value
            : JSON.stringify(value);
    });
}

function valueAt(path: string, current: unknown, fields: Fields): unknown {
    if (path === ".") {
        return current;
    }
    let value: unknown = fields;
    for (const name of path.split(".")) {
        value = typeof value === "object" && value !== null ? (value as Fields)[name] : undefined;
    }
    return value;
}
