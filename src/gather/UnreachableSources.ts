/**
 * Endpoints whose results can't be fetched from a data centre any more, told from the ends of calls there: pieces of
 * several requests found results of an endpoint gone, and no piece of the same call found any of them. The endpoint has
 * ended, or the way to it is cut; whatever else needs its results is not tried there one call after another.
 */
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { PieceOutcome, PieceSource } from "./Types.js";

/** Requests that must find an endpoint's results gone; those of a single one may have expired. */
const leastRequests = 2;
/** Results that are on their way here may still name the endpoint for about this long. */
const memoryMs = 500;

/** One piece of a call that has ended. */
interface EndedPiece {
    readonly request: string;
    readonly source: PieceSource;
    readonly outcome: PieceOutcome | undefined;
}

export class UnreachableSources {
    private readonly lostUntilMs = new Map<string, number>();

    public constructor(private readonly clock: Clock) {}

    /** True for a source of which a result is believed out of reach from a data centre. */
    public isUnreachable(source: PieceSource, from: DataCentreId): boolean {
        const nowMs = this.clock.nowMs();
        return source.kind === "results"
            && source.makers.some(({ endpoint }) => (this.lostUntilMs.get(`${endpoint} ${from}`) ?? 0) > nowMs);
    }

    /** Takes the pieces of a call that has ended in a data centre; gives the endpoints that are believed lost to it. */
    public recordCall(pieces: readonly EndedPiece[], from: DataCentreId): readonly EndpointId[] {
        const found = new Set<EndpointId>();
        const missing = new Map<EndpointId, Set<string>>();
        for (const { request, source, outcome } of pieces) {
            if (source.kind !== "results" || outcome === undefined) {
                continue;
            }
            for (const { endpoint } of source.makers) {
                if (outcome.kind === "made") {
                    found.add(endpoint);
                }
                else if (outcome.fault === "gone") {
                    missing.set(endpoint, (missing.get(endpoint) ?? new Set()).add(request));
                }
            }
        }
        const lost = [...missing]
            .filter(([maker, requests]) => !found.has(maker) && requests.size >= leastRequests)
            .map(([maker]) => maker);
        lost.forEach(maker => this.lostUntilMs.set(`${maker} ${from}`, this.clock.nowMs() + memoryMs));
        return lost;
    }
}
