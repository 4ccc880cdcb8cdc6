/**
 * Checks of settings that the schema can't express: references between sections, addresses, placement of voters,
 * and minimum ratios between times. Each issue names the path of the value to correct.
 */
import type { DocumentPath } from "./Merge.js";
import type { EndpointSettings, HostSettings, PipelineSettings, Settings, StageSettings } from "./Schema.js";

/** An invalid value in merged settings. */
export interface SettingsIssue {
    readonly path: DocumentPath;
    readonly message: string;
}

/** From this number of data centres on, the loss of any one of them must leave a majority of the voters. */
const dataCentresForMajority = 3;
/** Minimum number of leader heartbeats within one election timeout. */
const heartbeatsPerElection = 3;
const maxPort = 65_535;
const maxOctet = 255;

/** Returns all issues of settings that conform to the schema. */
export function checkSettings(settings: Settings): SettingsIssue[] {
    return [
        ...checkDataCentres(settings),
        ...checkAddresses(settings),
        ...checkVoters(settings),
        ...checkEndpoints(settings),
        ...checkPools(settings),
        ...Object.entries(settings.pipelines).flatMap(([name, pipeline]) => checkPipeline(settings, name, pipeline)),
        ...checkTiming(settings),
        ...checkDaemon(settings),
    ];
}

function checkDataCentres(settings: Settings): SettingsIssue[] {
    const hosts = Object.entries(settings.hosts);
    const unknownDataCentreIssues = (section: "hosts" | "endpoints") =>
        Object.entries<HostSettings | EndpointSettings>(settings[section])
            .filter(([, item]) => !Object.hasOwn(settings.dataCentres, item.dataCentre))
            .map(([id, item]) => ({
                path: [section, id, "dataCentre"],
                message: `data centre "${item.dataCentre}" is not in dataCentres`,
            }));
    const emptyDataCentreIssues = Object.keys(settings.dataCentres)
        .filter(id => !hosts.some(([, host]) => host.dataCentre === id))
        .map(id => ({ path: ["dataCentres", id], message: "has no host" }));
    return [...unknownDataCentreIssues("hosts"), ...unknownDataCentreIssues("endpoints"), ...emptyDataCentreIssues];
}

function checkAddresses(settings: Settings): SettingsIssue[] {
    const addresses = [
        ...Object.entries(settings.hosts).flatMap(([id, host]) => [
            { path: ["hosts", id, "callerAddress"], address: host.callerAddress },
            { path: ["hosts", id, "peerAddress"], address: host.peerAddress },
        ]),
        ...Object.entries(settings.endpoints).map(([id, endpoint]) => ({
            path: ["endpoints", id, "address"],
            address: endpoint.address,
        })),
    ];
    const pathByAddress = new Map<string, string>();
    return addresses.flatMap(({ path, address }) => {
        const earlierPath = pathByAddress.get(address);
        pathByAddress.set(address, path.join("."));
        if (!isValidAddress(address)) {
            return [{ path, message: `${address} is not a valid address` }];
        }
        return earlierPath === undefined ? [] : [{ path, message: `${address} is also the address of ${earlierPath}` }];
    });
}

function isValidAddress(address: string): boolean {
    const colon = address.lastIndexOf(":");
    const port = Number(address.slice(colon + 1));
    const octets = address.startsWith("[") ? [] : address.slice(0, colon).split(".").map(Number);
    return port >= 1 && port <= maxPort && octets.every(octet => octet <= maxOctet);
}

function checkVoters(settings: Settings): SettingsIssue[] {
    const voters = Object.values(settings.hosts).filter(host => host.control === "voter");
    if (voters.length === 0) {
        return [{ path: ["hosts"], message: "no host is a voter" }];
    }
    const dataCentres = Object.keys(settings.dataCentres);
    if (dataCentres.length < dataCentresForMajority) {
        return [];
    }
    return dataCentres
        .filter(id => 2 * voters.filter(host => host.dataCentre !== id).length <= voters.length)
        .map(id => ({ path: ["dataCentres", id], message: "its loss would leave no majority of the voters" }));
}

function checkEndpoints(settings: Settings): SettingsIssue[] {
    return Object.entries(settings.endpoints).flatMap(([id, endpoint]) => [
        ...checkModels(settings, id, endpoint),
        ...(endpoint.coldLimit > endpoint.warmLimit
            ? [{ path: ["endpoints", id, "coldLimit"], message: "is above warmLimit" }]
            : []),
    ]);
}

function checkModels(settings: Settings, id: string, endpoint: EndpointSettings): SettingsIssue[] {
    if (endpoint.kind !== "engine" && endpoint.models.length > 0) {
        return [{ path: ["endpoints", id, "models"], message: `a ${endpoint.kind} has no models` }];
    }
    return endpoint.models.flatMap((model, index) =>
        Object.hasOwn(settings.models, model)
            ? []
            : [{ path: ["endpoints", id, "models", index], message: `model "${model}" is not in models` }]
    );
}

/** All endpoints of a pool must be of one kind. */
function checkPools(settings: Settings): SettingsIssue[] {
    const kinds = new Map<string, string>();
    return Object.entries(settings.endpoints).flatMap(([id, endpoint]) => {
        const kind = kinds.get(endpoint.pool) ?? endpoint.kind;
        kinds.set(endpoint.pool, kind);
        return kind === endpoint.kind ? [] : [{
            path: ["endpoints", id, "kind"],
            message: `pool "${endpoint.pool}" holds endpoints of kind ${kind}`,
        }];
    });
}

function checkPipeline(settings: Settings, name: string, pipeline: PipelineSettings): SettingsIssue[] {
    const path = ["pipelines", name, "stages"];
    const names = pipeline.stages.map(stage => stage.name);
    const nonIdempotentStages = pipeline.stages.filter(stage => !stage.idempotent);
    return [
        ...pipeline.stages.flatMap((stage, index) => [
            ...(names.indexOf(stage.name) < index
                ? [{ path: [...path, index, "name"], message: `stage "${stage.name}" appears more than once` }]
                : []),
            ...(stage.stream && index < names.length - 1
                ? [{ path: [...path, index, "stream"], message: "only the last stage can stream" }]
                : []),
            ...checkStage(settings, stage, [...path, index]),
        ]),
        ...(nonIdempotentStages.length > 1 ? [{ path, message: "more than one stage is not idempotent" }] : []),
    ];
}

function checkStage(settings: Settings, stage: StageSettings, path: DocumentPath): SettingsIssue[] {
    const pool = Object.values(settings.endpoints).filter(endpoint => endpoint.pool === stage.pool);
    if (!stage.idempotent && stage.hedge) {
        return [{ path: [...path, "hedge"], message: "a stage that is not idempotent can't be hedged" }];
    }
    if (pool.length === 0) {
        return [{ path: [...path, "pool"], message: `no endpoint is in pool "${stage.pool}"` }];
    }
    const { model } = stage;
    if (model === undefined) {
        return [];
    }
    if (!Object.hasOwn(settings.models, model)) {
        return [{ path: [...path, "model"], message: `model "${model}" is not in models` }];
    }
    return pool.some(endpoint => endpoint.models.includes(model)) ? [] : [{
        path: [...path, "model"],
        message: `no endpoint of pool "${stage.pool}" serves model "${model}"`,
    }];
}

function checkTiming(settings: Settings): SettingsIssue[] {
    const { timing } = settings;
    const rules: { readonly key: keyof typeof timing; readonly holds: boolean; readonly message: string; }[] = [
        {
            key: "unreachableMs",
            holds: timing.unreachableMs >= 2 * timing.heartbeatMs,
            message: "must be at least twice heartbeatMs",
        },
        {
            key: "electionMs",
            holds: timing.electionMs >= heartbeatsPerElection * timing.groupHeartbeatMs,
            message: `must be at least ${heartbeatsPerElection} times groupHeartbeatMs`,
        },
        {
            key: "slotLeaseMs",
            holds: timing.slotLeaseMs > 2 * timing.clockDriftMs,
            message: "must be more than twice clockDriftMs",
        },
        {
            key: "jobLeaseMs",
            holds: timing.jobLeaseMs > 2 * timing.clockDriftMs,
            message: "must be more than twice clockDriftMs",
        },
        {
            key: "stopGraceMs",
            holds: timing.stopGraceMs > timing.balancerLagMs,
            message: "must be more than balancerLagMs",
        },
    ];
    return rules.filter(rule => !rule.holds).map(rule => ({ path: ["timing", rule.key], message: rule.message }));
}

function checkDaemon(settings: Settings): SettingsIssue[] {
    const { daemon } = settings;
    if (daemon === undefined) {
        return [];
    }
    const host = Object.hasOwn(settings.hosts, daemon.host) ? settings.hosts[daemon.host] : undefined;
    if (host === undefined) {
        return [{ path: ["daemon", "host"], message: `host "${daemon.host}" is not in hosts` }];
    }
    const dialIssues = Object.keys(daemon.dial)
        .filter(id => !Object.hasOwn(settings.hosts, id) && !Object.hasOwn(settings.endpoints, id))
        .map(id => ({ path: ["daemon", "dial", id], message: "is neither a host nor an endpoint" }));
    if (host.control !== "none" && daemon.dataDir === undefined) {
        return [...dialIssues, { path: ["daemon"], message: `a ${host.control} needs dataDir` }];
    }
    return dialIssues;
}
