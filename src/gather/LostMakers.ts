/**
 * Endpoints whose results can't be fetched any more, told from the ends of calls: pieces of several requests found
 * results of an endpoint gone, and no piece of the same call found any of them. Its results are then given up at once,
 * instead of one call after another.
 */
import type { Clock, EndpointId } from "../common/Types.js";
import type { PieceOutcome, PieceSource } from "./Types.js";

/** Requests that must find an endpoint's results gone; those of a single one may have expired. */
const leastRequests = 2;
/** Results that are on their way here may still name the endpoint for about this long. */
const memoryMs = 500;

/** One piece of a call that has ended. */
export interface EndedPiece {
    readonly request: string;
    readonly source: PieceSource;
    readonly outcome: PieceOutcome | undefined;
}

export class LostMakers {
    private readonly lostUntilMs = new Map<EndpointId, number>();

    public constructor(private readonly clock: Clock) {}

    /** True for a source of which a result is believed gone. */
    public hasGone(source: PieceSource): boolean {
        const nowMs = this.clock.nowMs();
        return source.kind === "results" && source.makers.some(maker => (this.lostUntilMs.get(maker) ?? 0) > nowMs);
    }

    /** Takes the pieces of a call that has ended; gives the endpoints that are believed lost by it. */
    public note(pieces: readonly EndedPiece[]): readonly EndpointId[] {
        const found = new Set<EndpointId>();
        const missing = new Map<EndpointId, Set<string>>();
        for (const { request, source, outcome } of pieces) {
            if (source.kind !== "results" || outcome === undefined) {
                continue;
            }
            for (const maker of source.makers) {
                if (outcome.kind === "made") {
                    found.add(maker);
                }
                else if (outcome.fault === "gone") {
                    missing.set(maker, (missing.get(maker) ?? new Set()).add(request));
                }
            }
        }
        const lost = [...missing]
            .filter(([maker, requests]) => !found.has(maker) && requests.size >= leastRequests)
            .map(([maker]) => maker);
        lost.forEach(maker => this.lostUntilMs.set(maker, this.clock.nowMs() + memoryMs));
        return lost;
    }
}
