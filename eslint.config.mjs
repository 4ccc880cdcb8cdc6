// Lint rules: type-checked TypeScript rules, and the arrows between the folders of src/.
import tseslint from "typescript-eslint";

/** For each folder of src/, the folders that it may import from. */
const allowedImports = {
    common: [],
    telemetry: ["common"],
    supervise: ["common", "telemetry"],
    hedging: ["common"],
    peer: ["common", "telemetry"],
    config: ["common", "telemetry", "peer", "replication"],
    replication: ["common", "telemetry", "peer"],
    membership: ["common", "telemetry", "peer", "config"],
    endpoints: ["common", "telemetry", "peer", "config", "membership"],
    records: ["common", "telemetry", "peer", "config", "replication"],
    rollouts: ["common", "telemetry"],
    fleet: ["common", "telemetry", "supervise", "peer", "endpoints", "replication", "rollouts"],
    load: ["common", "telemetry", "endpoints", "fleet"],
    limits: ["common", "telemetry", "peer", "endpoints", "fleet"],
    streams: ["common", "telemetry", "peer", "endpoints", "fleet"],
    paths: ["common", "telemetry", "supervise", "peer", "endpoints", "fleet"],
    gather: ["common", "telemetry", "supervise", "peer", "endpoints", "fleet", "load", "limits"],
    admission: ["common", "telemetry", "fleet"],
    gateway: [
        "common",
        "telemetry",
        "supervise",
        "hedging",
        "endpoints",
        "fleet",
        "load",
        "limits",
        "streams",
        "gather",
        "admission",
        "rollouts",
    ],
    routing: ["common", "telemetry", "config", "endpoints"],
    pipeline: ["common", "telemetry", "hedging", "config", "endpoints", "records", "routing"],
    entry: [
        "common",
        "telemetry",
        "peer",
        "config",
        "endpoints",
        "membership",
        "records",
        "replication",
        "pipeline",
        "supervise",
    ],
    daemon: [
        "common",
        "telemetry",
        "supervise",
        "hedging",
        "peer",
        "config",
        "replication",
        "membership",
        "endpoints",
        "records",
        "routing",
        "pipeline",
        "entry",
        "fleet",
        "load",
        "limits",
        "streams",
        "paths",
        "gather",
        "admission",
        "gateway",
        "rollouts",
    ],
    preflight: ["common", "fleet", "gateway"],
    cli: ["common", "peer", "telemetry", "config", "daemon", "entry", "supervise", "preflight"],
};

const folders = Object.keys(allowedImports);

/** Folders with background tasks on data of other processes. */
const foreignDataFolders = [
    "admission",
    "fleet",
    "gateway",
    "gather",
    "limits",
    "load",
    "paths",
    "peer",
    "rollouts",
    "streams",
    "telemetry",
];

const arrows = folders.map(folder => ({
    files: [`src/${folder}/**/*.ts`],
    ignores: ["**/*.test.ts"],
    rules: {
        "no-restricted-imports": ["error", {
            patterns: [{
                group: folders
                    .filter(other => other !== folder && !allowedImports[folder].includes(other))
                    .map(other => `**/${other}/**`)
                    .concat(["**/testing/**", "**/standin/**", "**/platform/**"]).filter(p =>
                        folder !== "cli" || !p.includes("standin")
                    ),
                message: `src/${folder} may not import from this folder (see docs/DESIGN.md, layout).`,
            }],
        }],
    },
}));

export default tseslint.config(
    { ignores: ["out/**", "target/**", "node_modules/**", "*.mjs", "platform/*.mjs", "platform/*.cjs"] },
    ...tseslint.configs.recommendedTypeChecked,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "memberLike", modifiers: ["private"], format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"] },
            ],
            "@typescript-eslint/no-floating-promises": ["error", {
                allowForKnownSafeCalls: [
                    { from: "package", name: ["test", "it", "describe", "suite"], package: "node:test" },
                ],
            }],
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/restrict-template-expressions": "off",
            "curly": "error",
            "eqeqeq": "error",
            "prefer-const": "error",
            "one-var": ["error", { const: "never" }],
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 60, skipBlankLines: true, skipComments: true }],
            "no-throw-literal": "off",
        },
    },
    {
        files: ["**/*.test.ts", "testing/**", "test/**", "proof/**", "bench/**"],
        rules: {
            "max-lines-per-function": "off",
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/no-unsafe-assignment": "off",
            "@typescript-eslint/no-unsafe-member-access": "off",
        },
    },
    {
        files: [...foreignDataFolders.map(folder => `src/${folder}/**/*.ts`), "platform/**/*.ts"],
        ignores: ["**/*.test.ts"],
        rules: {
            "no-restricted-syntax": ["error", {
                selector: "UnaryExpression[operator='void']",
                message: "A rejection would end the process: use inBackground of src/telemetry/BackgroundTask.ts.",
            }],
        },
    },
    ...arrows,
);
