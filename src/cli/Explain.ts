/**
 * Collects what explains one request from the logs of all processes: its own events in order, the state that each host
 * knew before its first event of the request, and problems of the endpoints and gatherers that the request used.
 */
import type { TimelineEntry } from "./Timeline.js";
import { matches, wallMsOf } from "./Timeline.js";

/** Events that report the state that a host acts on. */
const stateEvents: ReadonlySet<string> = new Set([
    "FleetViewChanged",
    "DeploymentInForce",
    "ReadinessChanged",
    "ControlHostLost",
    "ControlHostRegained",
    "ProcessStarted",
    "ProcessStopping",
]);
/** Events that report problems which may affect a request. */
const problemEvents: ReadonlySet<string> = new Set([
    "EndpointSuspected",
    "EndpointSaysLeaving",
    "EndpointPaused",
    "EndpointPauseIgnored",
    "EndpointLimitChanged",
    "EndpointLimitUnreadable",
    "EndpointBrittlenessChanged",
    "PlacesReduced",
    "PermitLenderLost",
    "EndpointPathLost",
    "EndpointPathRegained",
    "CutOffFromEndpoints",
    "DetourTried",
    "BatchEndpointSuspected",
    "GathererLost",
    "ResultsNotFreed",
    "LeaderSteppedDown",
    "FleetStateUnconfirmed",
]);
/** Problems are included from this long before the request's first event. */
const problemLookbackMs = 3000;

export interface ExplainedEntry {
    readonly entry: TimelineEntry;
    /** `own`: an event of the request; `belief`: state that a host knew; `trouble`: a problem that may affect it. */
    readonly part: "own" | "belief" | "trouble";
}

/** Selects the entries that explain a request from entries in order of their stamps; empty when none names it. */
export function explainRequest(entries: readonly TimelineEntry[], request: string): readonly ExplainedEntry[] {
    const filter = { requests: [request], hosts: [], endpoints: [], events: [] };
    const own = new Set(entries.filter(entry => matches(entry, filter)));
    if (own.size === 0) {
        return [];
    }
    const times = [...own].map(wallMsOf);
    const fromMs = Math.min(...times) - problemLookbackMs;
    const toMs = Math.max(...times);
    const usedNames = namesOf([...own]);
    const explained: ExplainedEntry[] = [];
    const latestState = new Map<string, TimelineEntry>();
    const shownHosts = new Set<string>();
    for (const entry of entries) {
        const atMs = wallMsOf(entry);
        if (stateEvents.has(entry.name)) {
            latestState.set(`${entry.host} ${entry.name}`, entry);
        }
        if (own.has(entry)) {
            addHostState(entry.host, latestState, shownHosts, explained);
            explained.push({ entry, part: "own" });
        }
        else if (problemEvents.has(entry.name) && atMs >= fromMs && atMs <= toMs && isRelated(entry, usedNames)) {
            explained.push({ entry, part: "trouble" });
        }
    }
    return explained;
}

/** Adds the state known to a host, once, before the host's first event of the request. */
function addHostState(
    host: string,
    latestState: ReadonlyMap<string, TimelineEntry>,
    shownHosts: Set<string>,
    explained: ExplainedEntry[],
): void {
    if (shownHosts.has(host)) {
        return;
    }
    shownHosts.add(host);
    for (const [key, entry] of latestState) {
        if (key.startsWith(`${host} `)) {
            explained.push({ entry, part: "belief" });
        }
    }
}

/** Hosts, endpoints and gatherers named by the given entries. */
function namesOf(entries: readonly TimelineEntry[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (const entry of entries) {
        for (const name of [entry.host, entry["endpoint"], entry["gatherer"], entry["through"]]) {
            if (typeof name === "string") {
                names.add(name);
            }
        }
    }
    return names;
}

function isRelated(entry: TimelineEntry, usedNames: ReadonlySet<string>): boolean {
    const named = [entry["endpoint"], entry["gatherer"]].filter(name => typeof name === "string");
    return named.length === 0 ? usedNames.has(entry.host) : named.some(name => usedNames.has(name));
}
