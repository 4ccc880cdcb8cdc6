/**
 * Decides when a request gets a hedge, that is, a second attempt beside a slow first one, and what speaks against it.
 * Used for the requests of callers and for the stages of pipelines; each keeps its own budget.
 */

/** An attempt slower than this percentile of recent ones is hedged. */
const hedgePercentile = 95;
/** Percentile of recent times that a hedge must still be able to take. */
const usualPercentile = 50;
/** Number of hedges of one request. */
const maxHedges = 1;
/** No hedge is sent while more than this share of the capacity is in use: it would take the place of other requests. */
const maxBusyShare = 0.6;
/** No hedge is sent while more than this share of recent attempts waited for an endpoint or found it full. */
const maxHeldUpShare = 0.05;
/** No hedge is sent while more than this share of the endpoints is suspect: the others carry their load as well. */
const maxSuspectShare = 1 / 3;

/** How scarce the endpoints are that could run a hedge, as shares in [0, 1]; 0 where a share is not known. */
export interface HedgeCapacity {
    readonly busyShare: number;
    /** Share of recent attempts that waited for an endpoint or were refused for lack of a slot. */
    readonly heldUpShare: number;
    readonly suspectShare: number;
}

/** One request whose first attempt is running. */
export interface HedgeState {
    /** Number of hedges that the request has had. */
    readonly hedges: number;
    /** True once a part of the answer has arrived. */
    readonly hasOutput: boolean;
    /** Number of further attempts in which the request may run. */
    readonly runsLeft: number;
    readonly capacity: HedgeCapacity;
}

export type HedgeObstacle = "hedged" | "has-output" | "no-runs-left" | "busy" | "held-up" | "suspect";

/**
 * Time after which an attempt is hedged. `timeMs` returns a percentile of recent times to the first byte. Undefined for
 * no hedge, also when it could usually not answer within `leftMs`.
 */
export function hedgeDelayMs(
    timeMs: (percentile: number) => number | undefined,
    leftMs: number = Infinity,
): number | undefined {
    const delayMs = timeMs(hedgePercentile);
    return delayMs === undefined || delayMs + (timeMs(usualPercentile) ?? 0) > leftMs ? undefined : delayMs;
}

/** Returns what speaks against a hedge, apart from budgets; undefined when nothing does. */
export function findHedgeObstacle({ hedges, hasOutput, runsLeft, capacity }: HedgeState): HedgeObstacle | undefined {
    const { busyShare, heldUpShare, suspectShare } = capacity;
    const obstacles: readonly (readonly [HedgeObstacle, boolean])[] = [
        ["hedged", hedges >= maxHedges],
        ["has-output", hasOutput],
        ["no-runs-left", runsLeft < 1],
        ["busy", busyShare > maxBusyShare],
        ["held-up", heldUpShare > maxHeldUpShare],
        ["suspect", suspectShare > maxSuspectShare],
    ];
    return obstacles.find(([, isMet]) => isMet)?.[0];
}
