/**
 * Places requests with a prompt by the fleet's load. The first endpoints in the rendezvous order of a shared part serve
 * it, as many as its share of the load requires. Of two of them, chosen at random, the less loaded one gets the request:
 * with digests that are half a second old, a rule that always takes the best one moves all hosts at once. When their
 * waits are beyond a bound of the best one, the next endpoint in the order is used.
 */
import type { Random } from "../common/Types.js";
import type { EndpointLoad } from "./Types.js";

/**
 * Endpoints of a shared part, as a multiple of those that its share of the load amounts to, and at least. In the model
 * (src/load/FleetBalance.test.ts) a multiple of 1 left the busiest of 63 endpoints at twice the mean, and 3 processed
 * half as many shared parts again without evening out more.
 */
const spread = 2;
const minEndpoints = 2;
/** Number of these endpoints that are compared for a request. */
const sampleSize = 2;
/** An endpoint may exceed the best wait by this multiple of the prompt's tokens. */
const waitSlack = 1;
/** Loads that differ by less than this share are equal. */
const nearlyEqual = 0.05;

export interface PlacementCandidate<T> {
    readonly record: T;
    readonly load: EndpointLoad;
    /** True when the endpoint probably has the shared part of the prompt cached. */
    readonly isCached: boolean;
}

export interface PromptSize {
    /** Tokens of the parts that other requests share, and of the request's own. */
    readonly sharedTokens: number;
    readonly ownTokens: number;
    /** Input and output. */
    readonly heldTokens: number;
}

/** Number of endpoints that serve a shared part with this share of the load. */
export function endpointsOf(share: number, endpoints: number): number {
    return Math.min(endpoints, Math.max(minEndpoints, 1 + Math.ceil(share * endpoints * spread - 0.5)));
}

/** Selects from candidates in rendezvous order; undefined without any. `share` is the shared part's share of the load. */
export function placePrompt<T>(
    candidates: readonly PlacementCandidate<T>[],
    size: PromptSize,
    share: number,
    random: Random,
): PlacementCandidate<T> | undefined {
    const bestWait = Math.min(...candidates.map(one => expectedWait(one, size)));
    const maxWait = bestWait + (size.sharedTokens + size.ownTokens) * waitSlack;
    const within = candidates.filter(one => expectedWait(one, size) <= maxWait);
    const serving = within.slice(0, endpointsOf(share, candidates.length));
    const costOf = (one: PlacementCandidate<T>) =>
        one.load.usualHeldTokens * (one.load.slowness ?? 1) + expectedWait(one, size);
    // The order of the sample is random, so that chance decides between nearly equal ones.
    return sample(serving, random).reduce<PlacementCandidate<T> | undefined>(
        (best, one) => best === undefined || costOf(one) * (1 + nearlyEqual) < costOf(best) ? one : best,
        undefined,
    );
}

/** Some elements, in random order. */
function sample<T>(all: readonly T[], random: Random): readonly T[] {
    const left = [...all];
    return Array.from({ length: Math.min(sampleSize, left.length) }, () => left.splice(random.below(left.length), 1))
        .flat();
}

/** Tokens to be processed before the first event, weighted with the endpoint's slowness. */
function expectedWait<T>({ load, isCached }: PlacementCandidate<T>, { sharedTokens, ownTokens }: PromptSize): number {
    const uncached = ownTokens + (isCached ? 0 : sharedTokens);
    return (load.prefillTokens + uncached) * (load.slowness ?? 1);
}
