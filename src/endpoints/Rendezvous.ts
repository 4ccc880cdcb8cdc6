/**
 * Rendezvous hashing: each pair of endpoint and host has a weight, and the host with the highest weight comes first.
 * A host that goes or comes moves only its own endpoints.
 */
import { hashText } from "../common/TextHash.js";
import type { EndpointId, HostId } from "../common/Types.js";

/** Candidates in rendezvous order for a key, first choice first. */
export function rankByWeight<T extends string>(key: string, candidates: readonly T[]): T[] {
    const weighed = candidates.map(candidate => ({ candidate, weight: hashText(`${key}|${candidate}`) }));
    weighed.sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1));
    return weighed.map(one => one.candidate);
}

/** Hosts in rendezvous order for an endpoint, first choice first. */
export function rankHosts(endpoint: EndpointId, hosts: readonly HostId[]): HostId[] {
    return rankByWeight(endpoint, hosts);
}

/**
 * The part of a limit that `self` may use without asking anybody: the limit divided by the configured hosts, rounded
 * down, the remainder going to the first hosts in rendezvous order. The parts of all hosts add up to the limit.
 */
export function staticShare(endpoint: EndpointId, limit: number, hosts: readonly HostId[], self: HostId): number {
    const place = rankHosts(endpoint, hosts).indexOf(self);
    if (place < 0) {
        return 0;
    }
    const whole = Math.floor(limit / hosts.length);
    return whole + (place < limit - whole * hosts.length ? 1 : 0);
}
