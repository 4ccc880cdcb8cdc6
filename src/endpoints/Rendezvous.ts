/**
 * Rendezvous hashing: each pair of endpoint and host has a weight, and the host with the highest weight comes first.
 * When a host is added or removed, only the endpoints assigned to it move.
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
 * Returns the share of a limit that `self` may grant without coordination: the limit divided by the configured hosts,
 * rounded down, with the remainder going to the first hosts in rendezvous order. The shares of all hosts add up to the
 * limit.
 */
export function staticShare(endpoint: EndpointId, limit: number, hosts: readonly HostId[], self: HostId): number {
    const rank = rankHosts(endpoint, hosts).indexOf(self);
    if (rank < 0) {
        return 0;
    }
    const baseShare = Math.floor(limit / hosts.length);
    return baseShare + (rank < limit - baseShare * hosts.length ? 1 : 0);
}
