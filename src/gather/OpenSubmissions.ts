/**
 * The submissions of one cell that have not ended: collects the results of their pieces, returns pieces to the queue, and
 * delivers the outcomes.
 */
import { Left, Right } from "purify-ts";
import type { PieceQueue, QueuedSubmission, TakenPiece } from "./PieceQueue.js";
import type { PieceResult, Submission, SubmissionError, SubmissionId, SubmissionOutcome } from "./Types.js";

/** Number of failed calls after which a submission fails. */
const maxFailedCalls = 4;

interface OpenSubmission {
    readonly submission: Submission;
    /** Its entry in the queue, kept while all its pieces are taken. */
    readonly waiting: QueuedSubmission;
    readonly results: Map<number, PieceResult>;
    readonly deliver: (outcome: SubmissionOutcome) => void;
    /** Number of failed calls. */
    failures: number;
}

export class OpenSubmissions {
    private readonly open = new Map<SubmissionId, OpenSubmission>();

    /** `free` frees results that nobody will read. */
    public constructor(
        private readonly queue: PieceQueue,
        private readonly free: (results: readonly PieceResult[]) => void,
    ) {}

    public has(id: SubmissionId): boolean {
        return this.open.has(id);
    }

    /** Queues a submission; `deliver` is called with its outcome. */
    public add(waiting: QueuedSubmission, deliver: (outcome: SubmissionOutcome) => void): void {
        const { submission } = waiting;
        this.open.set(submission.id, { submission, waiting, results: new Map(), deliver, failures: 0 });
        this.queue.add(waiting);
    }

    /** Drops a submission without delivering an outcome, and frees its results. */
    public cancel(id: SubmissionId): void {
        const open = this.end(id);
        if (open !== undefined) {
            this.free([...open.results.values()]);
        }
    }

    /** Ends a submission with an error. */
    public fail(id: SubmissionId, error: SubmissionError): void {
        const open = this.end(id);
        if (open !== undefined) {
            this.free([...open.results.values()]);
            open.deliver(Left(error));
        }
    }

    public failAll(error: SubmissionError): void {
        [...this.open.keys()].forEach(id => this.fail(id, error));
    }

    /** Takes in the result of a piece; a second one for the same piece is freed. */
    public addResult({ waiting: { submission }, piece }: TakenPiece, result: PieceResult): void {
        const open = this.open.get(submission.id);
        if (open === undefined || open.results.has(piece)) {
            this.free([result]);
            return;
        }
        open.results.set(piece, result);
        this.queue.removePiece(submission.id, piece);
        if (open.results.size < submission.pieces.length) {
            return;
        }
        this.end(submission.id);
        open.deliver(Right(submission.pieces.map(one => open.results.get(one)).filter(one => one !== undefined)));
    }

    /** Requeues pieces that have no result yet. `failed` counts one failed call for each of their submissions. */
    public requeue(taken: readonly TakenPiece[], failed: boolean): void {
        const counted = new Set<SubmissionId>();
        for (const { waiting, piece } of taken) {
            const open = this.open.get(waiting.submission.id);
            if (open === undefined || open.results.has(piece)) {
                continue;
            }
            if (failed && !counted.has(open.submission.id)) {
                counted.add(open.submission.id);
                open.failures += 1;
            }
            if (open.failures >= maxFailedCalls) {
                this.fail(open.submission.id, { kind: "failed", message: "calls failed at several endpoints" });
                continue;
            }
            this.queue.requeue(open.waiting, piece);
        }
    }

    private end(id: SubmissionId): OpenSubmission | undefined {
        const open = this.open.get(id);
        this.queue.remove(id);
        this.open.delete(id);
        return open;
    }
}
