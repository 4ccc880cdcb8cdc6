/** Generates sites of any size on loopback, to measure how a daemon's resource usage grows with the site. */
import { stringify } from "yaml";

export interface SiteSize {
    readonly dataCentres: number;
    readonly hostsPerDataCentre: number;
    readonly endpointsPerDataCentre: number;
    readonly workspaces: number;
}

/** Prefix of the loopback addresses of synthetic sites, 127.40.x.y, where x numbers the data centre. */
const networkPrefix = "127.40";
/** Engines among every ten endpoints of a data centre; the others are services. */
const enginesPerTen = 4;

/** The site's base file as YAML: one voter in each of the first three data centres; the other hosts have no disk. */
export function syntheticBase(size: SiteSize): string {
    const dataCentres = Array.from({ length: size.dataCentres }, (_, index) => `dc${index + 1}`);
    return stringify({
        name: "synthetic",
        dataCentres: Object.fromEntries(dataCentres.map(id => [id, { region: "r" }])),
        hosts: Object.fromEntries(dataCentres.flatMap((id, index) => hostsOf(id, index, size))),
        endpoints: Object.fromEntries(dataCentres.flatMap((id, index) => endpointsOf(id, index, size))),
        models: { writer: { bytes: 1_000_000, version: "v1" } },
        pipelines: {
            answer: {
                deadlineMs: 20_000,
                stages: [
                    { name: "look", pool: "services" },
                    { name: "rank", pool: "services" },
                    { name: "write", pool: "engines", model: "writer" },
                ],
            },
            book: {
                deadlineMs: 20_000,
                stages: [{ name: "look", pool: "services" }, { name: "place", pool: "services", idempotent: false }],
            },
        },
        workspaces: Object.fromEntries(Array.from({ length: size.workspaces }, (_, index) => [`w${index + 1}`, {}])),
    });
}

function hostsOf(dataCentre: string, index: number, size: SiteSize): [string, object][] {
    return Array.from({ length: size.hostsPerDataCentre }, (_, number) => {
        const ip = `${networkPrefix}.${index + 1}.${number + 1}`;
        const control = number === 0 && index < 3 ? "voter" : "none";
        return [
            `${dataCentre}-${number + 1}`,
            { dataCentre, callerAddress: `${ip}:8080`, peerAddress: `${ip}:8081`, control },
        ];
    });
}

function endpointsOf(dataCentre: string, index: number, size: SiteSize): [string, object][] {
    return Array.from({ length: size.endpointsPerDataCentre }, (_, number) => {
        const isEngine = number % 10 < enginesPerTen;
        const address = `${networkPrefix}.${index + 1}.250:${9001 + number}`;
        const common = { dataCentre, address, coldLimit: 2, warmLimit: 16 };
        const id = `${dataCentre}-e${number + 1}`;
        return isEngine
            ? [id, { ...common, kind: "engine", pool: "engines", models: ["writer"] }]
            : [id, { ...common, kind: "service", pool: "services" }];
    });
}
