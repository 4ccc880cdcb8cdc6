/**
 * Formats the project's sources, or with `--check` lists those that are not formatted. The formatter runs as
 * WebAssembly: its native builds need a newer C library than some supported systems have.
 */
import { createFromBuffer, type GlobalConfiguration } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { relative, resolve } from "node:path";

interface FormatSettings {
    readonly global: GlobalConfiguration;
    readonly typescript: Record<string, unknown>;
    /** Endings of the files to format. */
    readonly extensions: readonly string[];
    /** Names of folders that are left out. */
    readonly excludedFolders: readonly string[];
}

const root = resolve(import.meta.dirname, "../..");
const settings = JSON.parse(readFileSync(resolve(root, "format.json"), "utf8")) as FormatSettings;

function sourceFiles(folder: string): string[] {
    return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = resolve(folder, entry.name);
        if (entry.isDirectory()) {
            return settings.excludedFolders.includes(entry.name) ? [] : sourceFiles(path);
        }
        return settings.extensions.some(extension => entry.name.endsWith(extension)) ? [path] : [];
    });
}

const isCheck = process.argv.includes("--check");
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig(settings.global, settings.typescript);
const diagnostics = formatter.getConfigDiagnostics();
for (const { propertyName, message } of diagnostics) {
    console.error(`format.json: ${propertyName}: ${message}`);
}
const files = sourceFiles(root).sort();
let changedCount = 0;
for (const path of files) {
    const text = readFileSync(path, "utf8");
    const formatted = formatter.formatText({ filePath: path, fileText: text });
    if (formatted !== text) {
        changedCount += 1;
        console.log(`${isCheck ? "not formatted" : "formatted"}: ${relative(root, path)}`);
        if (!isCheck) {
            writeFileSync(path, formatted);
        }
    }
}
console.log(`${files.length} files, ${changedCount} ${isCheck ? "not formatted" : "changed"}`);
process.exitCode = diagnostics.length > 0 || files.length === 0 || (isCheck && changedCount > 0) ? 1 : 0;
