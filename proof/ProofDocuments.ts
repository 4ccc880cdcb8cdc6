/** Configuration of the simulated site: three data centres and four hosts, three of which are voters. */
import { invariant } from "../src/common/Invariant.js";
import { checkDocuments } from "../src/config/Loader.js";
import type { Settings } from "../src/config/Schema.js";

export const proofHosts = ["north-1", "north-2", "south-1", "east-1"] as const;
export const proofDataCentres = ["north", "south", "east"] as const;

/** Number of concurrent calls that a cold and a warm endpoint can handle. */
const coldLimit = 2;
const warmLimit = 16;

const endpoints: readonly (readonly [id: string, kind: string, pool: string])[] = [
    ["north-encoder", "encoder", "encoders"],
    ["south-encoder", "encoder", "encoders"],
    ["east-encoder", "encoder", "encoders"],
    ["north-writer", "engine", "writers"],
    ["south-writer", "engine", "writers"],
    ["east-writer", "engine", "writers"],
    ["north-holds", "service", "holds"],
    ["south-holds", "service", "holds"],
];

/** The base document as YAML text; different revisions give different documents. */
export function proofDocument(revision: number = 0): string {
    const hosts = proofHosts.map((id, at) => [
        `    ${id}:`,
        `        dataCentre: ${id.slice(0, -2)}`,
        `        callerAddress: 127.0.1.${at + 1}:8080`,
        `        peerAddress: 127.0.1.${at + 1}:8081`,
        `        control: ${id.endsWith("-1") ? "voter" : "none"}`,
    ]);
    const endpointLines = endpoints.map(([id, kind, pool], at) => [
        `    ${id}:`,
        `        dataCentre: ${id.split("-")[0]}`,
        `        address: 127.0.2.${at + 1}:9000`,
        `        kind: ${kind}`,
        `        pool: ${pool}`,
        `        models: [${kind === "engine" ? "m" : ""}]`,
        `        coldLimit: ${coldLimit}`,
        `        warmLimit: ${warmLimit}`,
    ]);
    return [
        "name: proof",
        "dataCentres:",
        ...proofDataCentres.map(id => `    ${id}: { region: island }`),
        "hosts:",
        ...hosts.flat(),
        "endpoints:",
        ...endpointLines.flat(),
        "models:",
        "    m: { bytes: 1000, version: v1 }",
        "pipelines:",
        "    profile:",
        "        deadlineMs: 8000",
        "        stages:",
        "            - { name: encode, pool: encoders }",
        "            - { name: write, pool: writers, model: m, stream: true }",
        "    hold:",
        "        deadlineMs: 5000",
        "        priority: 0",
        "        stages:",
        "            - { name: check, pool: encoders }",
        "            - { name: place, pool: holds, idempotent: false }",
        "workspaces:",
        "    shelter: { weight: 1 }",
        "    library: { weight: 2 }",
        "limits:",
        `    claimsPerWorkspace: ${10_000 + revision}`,
        "",
    ].join("\n");
}

/** The settings of one data centre. */
export function proofSettings(dataCentre: string): Settings {
    const settings = checkDocuments(proofDocument(), {}).map(sites => sites[dataCentre]).toMaybe().extract();
    invariant(settings !== undefined, "the simulated site's document is valid", { dataCentre });
    return settings;
}
