/**
 * Tracks endpoints whose results can't be fetched from a data centre. An endpoint counts as unreachable when, in one
 * call, pieces of several requests failed to fetch its results and no piece succeeded: it has ended, or the network
 * path to it is broken. Further pieces that need its results are then not tried in that data centre, where one call
 * after another would fail.
 */
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { PieceOutcome, PieceSource } from "./Types.js";

/**
 * Minimum number of requests that failed to fetch an endpoint's results; those of a single request may have expired.
 */
const minRequests = 2;
/** How long an endpoint counts as unreachable; submissions in transit may name its results for about this long. */
const unreachableTtlMs = 500;

/** One piece of a call that has ended. */
interface EndedPiece {
    readonly request: string;
    readonly source: PieceSource;
    readonly outcome: PieceOutcome | undefined;
}

export class UnreachableSources {
    private readonly unreachableUntilMs = new Map<string, number>();

    public constructor(private readonly clock: Clock) {}

    /** True when a result of the source is held by an endpoint that counts as unreachable from the data centre. */
    public isUnreachable(source: PieceSource, from: DataCentreId): boolean {
        const nowMs = this.clock.nowMs();
        return source.kind === "results"
            && source.makers.some(({ endpoint }) => (this.unreachableUntilMs.get(`${endpoint} ${from}`) ?? 0) > nowMs);
    }

    /**
     * Evaluates a call that ended in data centre `from`; returns the endpoints that now count as unreachable from
     * there.
     */
    public recordCall(pieces: readonly EndedPiece[], from: DataCentreId): readonly EndpointId[] {
        const reachable = new Set<EndpointId>();
        const failedRequests = new Map<EndpointId, Set<string>>();
        for (const { request, source, outcome } of pieces) {
            if (source.kind !== "results" || outcome === undefined) {
                continue;
            }
            for (const { endpoint } of source.makers) {
                if (outcome.kind === "made") {
                    reachable.add(endpoint);
                }
                else if (outcome.fault === "gone") {
                    failedRequests.set(endpoint, (failedRequests.get(endpoint) ?? new Set()).add(request));
                }
            }
        }
        const unreachable = [...failedRequests]
            .filter(([endpoint, requests]) => !reachable.has(endpoint) && requests.size >= minRequests)
            .map(([endpoint]) => endpoint);
        unreachable.forEach(endpoint =>
            this.unreachableUntilMs.set(`${endpoint} ${from}`, this.clock.nowMs() + unreachableTtlMs)
        );
        return unreachable;
    }
}
