/**
 * The story of one request from the logs of all processes: its own events in order, and before each host's first one
 * what that host believed. Troubles of the endpoints and gatherers that it met stand between.
 */
import type { TimelineEntry } from "./Timeline.js";
import { matches, wallMsOf } from "./Timeline.js";

/** Events that say what a host works by. */
const beliefs: ReadonlySet<string> = new Set([
    "FleetViewChanged",
    "DeploymentInForce",
    "ReadinessChanged",
    "ControlHostLost",
    "ControlHostRegained",
    "ProcessStarted",
    "ProcessStopping",
]);
/** Events about what a request meets. */
const troubles: ReadonlySet<string> = new Set([
    "EndpointSuspected",
    "BatchEndpointSuspected",
    "GathererLost",
    "ResultsNotFreed",
    "LeaderSteppedDown",
    "FleetStateUnconfirmed",
]);
/** Troubles count from this long before the request's first event. */
const beforeMs = 3000;

export interface StoryEntry {
    readonly entry: TimelineEntry;
    /** What the entry is to the request. */
    readonly part: "own" | "belief" | "trouble";
}

/** Picks the story of a request from entries in order; empty when no entry names it. */
export function explainRequest(entries: readonly TimelineEntry[], request: string): readonly StoryEntry[] {
    const filter = { requests: [request], hosts: [], endpoints: [], events: [] };
    const own = new Set(entries.filter(entry => matches(entry, filter)));
    if (own.size === 0) {
        return [];
    }
    const times = [...own].map(wallMsOf);
    const fromMs = Math.min(...times) - beforeMs;
    const toMs = Math.max(...times);
    const met = namesIn([...own]);
    const story: StoryEntry[] = [];
    const believed = new Map<string, TimelineEntry>();
    const told = new Set<string>();
    for (const entry of entries) {
        const atMs = wallMsOf(entry);
        if (beliefs.has(entry.name)) {
            believed.set(`${entry.host} ${entry.name}`, entry);
        }
        if (own.has(entry)) {
            tellBeliefs(entry.host, believed, told, story);
            story.push({ entry, part: "own" });
        }
        else if (troubles.has(entry.name) && atMs >= fromMs && atMs <= toMs && concerns(entry, met)) {
            story.push({ entry, part: "trouble" });
        }
    }
    return story;
}

/** Puts what a host believes before its first event of the request. */
function tellBeliefs(
    host: string,
    believed: ReadonlyMap<string, TimelineEntry>,
    told: Set<string>,
    story: StoryEntry[],
): void {
    if (told.has(host)) {
        return;
    }
    told.add(host);
    for (const [key, entry] of believed) {
        if (key.startsWith(`${host} `)) {
            story.push({ entry, part: "belief" });
        }
    }
}

/** Hosts, endpoints and gatherers that a request's events name. */
function namesIn(entries: readonly TimelineEntry[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (const entry of entries) {
        for (const name of [entry.host, entry["endpoint"], entry["gatherer"]]) {
            if (typeof name === "string") {
                names.add(name);
            }
        }
    }
    return names;
}

function concerns(entry: TimelineEntry, met: ReadonlySet<string>): boolean {
    const named = [entry["endpoint"], entry["gatherer"]].filter(name => typeof name === "string");
    return named.length === 0 ? met.has(entry.host) : named.some(name => met.has(name));
}
