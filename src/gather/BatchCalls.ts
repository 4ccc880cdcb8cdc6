/** Sends one call to an endpoint and monitors it: when it takes too long, its pieces are also sent elsewhere. */
import type { Clock } from "../common/Types.js";
import type { BatchTraits, ServiceId } from "../fleet/Types.js";
import { failureMessage } from "../telemetry/BackgroundTask.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { BatchEndpoint } from "./BatchEndpoint.js";
import { CallMonitor } from "./CallMonitor.js";
import type { TakenPiece } from "./PieceQueue.js";
import type { CallOutcome, PieceClient } from "./Types.js";

/** A call is abandoned after its expected time times this factor plus a network allowance. */
const timeoutFactor = 4;
const timeoutAllowanceMs = 1000;

/** How a call ended, and what was known of the endpoint at its start. */
export interface EndedCall {
    readonly outcome: CallOutcome;
    /** True when the endpoint has ended the call and its reply can no longer arrive. */
    readonly isReplyLost: boolean;
    readonly takenMs: number;
    readonly expectedMs: number;
    /** Free storage before the call, and the part of it that its results need. */
    readonly availableBytes: number;
    readonly bytes: number;
}

interface BatchCallOptions {
    readonly service: ServiceId;
    readonly client: PieceClient;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class BatchCalls {
    public constructor(private readonly options: BatchCallOptions) {}

    /** Runs a call with the taken pieces. `onLate` is called once when they are to be sent elsewhere as well. */
    public async run(
        endpoint: BatchEndpoint,
        taken: readonly TakenPiece[],
        traits: BatchTraits,
        onLate: () => void,
    ): Promise<EndedCall> {
        const { clock, client, log, metrics, service } = this.options;
        const bytes = taken.reduce((sum, { waiting }) => sum + waiting.submission.resultBytes, 0);
        const startMs = clock.nowMs();
        const expectedMs = endpoint.expectedMs(traits, taken.length);
        const availableBytes = endpoint.storage.availableBytes(traits);
        endpoint.callStarted(bytes);
        const replyLost = new AbortController();
        const monitor = new CallMonitor({
            endpoint: endpoint.listed,
            client,
            clock,
            log,
            expectedMs,
            onLate: reason => {
                endpoint.recordFailure();
                this.logSuspected(endpoint, reason, expectedMs);
                onLate();
            },
            onLost: () => {
                this.logSuspected(endpoint, "reply-lost", expectedMs);
                replyLost.abort();
            },
        });
        const timeoutMs = expectedMs * timeoutFactor + timeoutAllowanceMs;
        const outcome = await client.run(endpoint.listed, this.piecesOf(taken), timeoutMs, replyLost.signal)
            .catch((err: unknown): CallOutcome => ({ kind: "broken", message: failureMessage(err) }));
        monitor.dispose();
        endpoint.callEnded(bytes);
        const takenMs = clock.nowMs() - startMs;
        metrics.count("batches", { service, outcome: outcome.kind });
        metrics.count("batch_pieces", { service }, taken.length);
        metrics.latency("batch", takenMs, { service });
        return { outcome, isReplyLost: replyLost.signal.aborted, takenMs, expectedMs, availableBytes, bytes };
    }

    private piecesOf(taken: readonly TakenPiece[]) {
        const nowMs = this.options.clock.nowMs();
        return taken.map(({ waiting, piece }) => ({
            request: waiting.submission.request,
            stage: waiting.submission.stage,
            piece,
            source: waiting.submission.source,
            remainingMs: Math.max(1, Math.floor(waiting.deadlineMs - nowMs)),
        }));
    }

    private logSuspected(endpoint: BatchEndpoint, reason: string, expectedMs: number): void {
        const { log, service } = this.options;
        log.event(EventId.BatchEndpointSuspected, { service, endpoint: endpoint.id, reason, expectedMs });
    }
}
