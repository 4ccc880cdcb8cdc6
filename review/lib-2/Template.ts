/** Fills in a settings template as DEPLOY.md describes it, as far as deploy/settings.yaml.tmpl uses it. */

type Fields = unknown;

const section = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;
const value = /\{\{([\w.]+)(\|json)?\}\}/g;

function lookUp(path: string, fields: Fields, current: Fields): unknown {
    if (path === ".") {
        return current;
    }
    let at = fields;
    for (const name of path.split(".")) {
        at = typeof at === "object" && at !== null ? (at as Record<string, unknown>)[name] : undefined;
    }
    return at;
}

function textOf(found: unknown, isJson: boolean): string {
    if (isJson) {
        return JSON.stringify(found ?? null);
    }
    if (found === undefined || found === null) {
        return "";
    }
    if (Array.isArray(found)) {
        return found.join(",");
    }
    return typeof found === "string" ? found : JSON.stringify(found);
}

export function fillIn(template: string, fields: Fields, current: Fields = fields): string {
    const withoutSections = template.replace(section, (_, mark: string, path: string, inner: string) => {
        const found = lookUp(path, fields, current);
        const isPresent = found !== undefined && found !== null && found !== false;
        if (mark === "^") {
            return isPresent ? "" : fillIn(inner, fields, current);
        }
        const entries = !isPresent ? [] : Array.isArray(found) ? found : [found];
        return entries.map(one => fillIn(inner, fields, one)).join("");
    });
    return withoutSections.replace(
        value,
        (_, path: string, json: string | undefined) => textOf(lookUp(path, fields, current), json !== undefined),
    );
}
