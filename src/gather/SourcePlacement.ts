/**
 * Keeps the submissions of one cell away from data centres whose endpoints can't fetch their sources, and finds those
 * for which no data centre is left.
 */
import type { Clock, DataCentreId, EndpointId } from "../common/Types.js";
import type { BatchEndpoints } from "./BatchEndpoints.js";
import type { PieceQueue, QueuedSubmission, TakenPiece } from "./PieceQueue.js";
import type { PieceOutcome } from "./Types.js";
import { UnreachableSources } from "./UnreachableSources.js";

/** What follows from a call whose pieces could not fetch their sources. */
interface UnreachableReport {
    /** Endpoints whose results can't be fetched from the data centre of the call. */
    readonly makers: readonly EndpointId[];
    /** Queued submissions that need their results. */
    readonly affected: readonly QueuedSubmission[];
    /** Those of them that no data centre can run. */
    readonly unplaceable: readonly QueuedSubmission[];
}

export class SourcePlacement {
    private readonly unreachable: UnreachableSources;

    public constructor(
        private readonly queue: PieceQueue,
        private readonly endpoints: BatchEndpoints,
        private readonly clock: Clock,
    ) {
        this.unreachable = new UnreachableSources(clock);
    }

    /** Binds a new submission to a data centre that can fetch its sources; false when there is none. */
    public place(waiting: QueuedSubmission): boolean {
        const served = [...this.endpoints.healthyDataCentres()];
        if (served.length > 0 && served.every(one => waiting.unreachableFrom.has(one))) {
            return false;
        }
        return served
            .filter(one => this.unreachable.isUnreachable(waiting.submission.source, one))
            .every(one => this.moveElsewhere(waiting, one));
    }

    /**
     * Moves a submission out of a data centre that can't reach its sources. Returns false when no other one can: only
     * endpoints in the data centre of a source are certain to reach it.
     */
    public moveElsewhere(waiting: QueuedSubmission, from: DataCentreId): boolean {
        const { source } = waiting.submission;
        waiting.unreachableFrom.add(from);
        const served = this.endpoints.healthyDataCentres();
        const next = source.kind === "results"
            ? source.makers.map(one => one.dataCentre).find(one => served.has(one) && !waiting.unreachableFrom.has(one))
            : undefined;
        waiting.dataCentre = next;
        return next !== undefined;
    }

    /** Evaluates a call that ended in data centre `from`, and moves the queued submissions that it concerns. */
    public recordCall(
        taken: readonly TakenPiece[],
        outcomes: readonly PieceOutcome[],
        from: DataCentreId,
    ): UnreachableReport {
        const ended = taken.map(({ waiting: { submission: { request, source } } }, at) => ({
            request,
            source,
            outcome: outcomes[at],
        }));
        const makers = this.unreachable.recordCall(ended, from);
        const affected = makers.length === 0
            ? []
            : [...this.queue.inOrder(this.clock.nowMs())]
                .filter(one => !one.unreachableFrom.has(from))
                .filter(({ submission }) => this.unreachable.isUnreachable(submission.source, from));
        return { makers, affected, unplaceable: affected.filter(one => !this.moveElsewhere(one, from)) };
    }
}
