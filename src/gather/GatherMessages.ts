/** Messages between the hosts that submit pieces and the gatherer of a cell. */
import * as z from "zod";
import type { DataCentreId, EndpointId } from "../common/Types.js";
import type { ServiceId } from "../fleet/Types.js";
import { defineFrequentPeerMethod } from "../peer/Types.js";
import type { CellId, EndedSubmission, Submission, SubmissionError, SubmissionId } from "./Types.js";

const submissionId = z.string() as unknown as z.ZodType<SubmissionId>;
const serviceId = z.string() as unknown as z.ZodType<ServiceId>;
const cellId = z.string() as unknown as z.ZodType<CellId>;
const endpointId = z.string() as unknown as z.ZodType<EndpointId>;
const dataCentreId = z.string() as unknown as z.ZodType<DataCentreId>;

/** A {@link Submission}, which describes the fields. */
const submission = z.object({
    id: submissionId,
    service: serviceId,
    cell: cellId,
    onTimeOnly: z.boolean(),
    request: z.string(),
    stage: z.number().int(),
    pieces: z.array(z.number().int()),
    source: z.discriminatedUnion("kind", [
        z.object({ kind: z.literal("key"), key: z.string() }),
        z.object({
            kind: z.literal("results"),
            handles: z.array(z.string()),
            makers: z.array(z.object({ endpoint: endpointId, dataCentre: dataCentreId })).default([]),
        }),
    ]),
    resultBytes: z.number(),
    startInMs: z.number(),
    remainingMs: z.number(),
    restMs: z.number(),
    priority: z.number(),
    isContinued: z.boolean().default(false),
    dataCentre: dataCentreId.optional(),
    notIn: z.array(dataCentreId).default([]),
}) as unknown as z.ZodType<Submission>;

const result = z.object({
    handle: z.string(),
    endpoint: endpointId,
    dataCentre: dataCentreId,
    bytes: z.number(),
});

/** Submissions to queue, submissions to cancel and results to free. */
const workRequest = z.object({
    submissions: z.array(submission),
    cancels: z.array(z.object({ cell: cellId, id: submissionId })),
    frees: z.array(z.object({ cell: cellId, results: z.array(result) })),
});

const ended = z.object({
    id: submissionId,
    cell: cellId,
    results: z.array(result),
    error: (z.object({ kind: z.string(), message: z.string() }).loose() as unknown as z.ZodType<SubmissionError>)
        .optional(),
}) as unknown as z.ZodType<EndedSubmission>;

const endedRequest = z.object({
    ended: z.array(ended),
    /** Estimated wait of a new submission to each cell, in milliseconds. */
    waits: z.array(z.tuple([cellId, z.number()])),
    /** The same for a late submission. */
    lateWaits: z.array(z.tuple([cellId, z.number()])).default([]),
});

export type WorkRequest = z.infer<typeof workRequest>;
type EndedRequest = z.infer<typeof endedRequest>;

export interface WorkReply {
    /** Estimated wait of a new submission to each cell that was named, in milliseconds. */
    readonly waits: readonly (readonly [CellId, number])[];
    /** The same for a late submission; left out by a host of an older version. */
    readonly lateWaits?: readonly (readonly [CellId, number])[] | undefined;
}

export const gatherMethods = {
    /** Sends work to a gatherer. */
    work: defineFrequentPeerMethod<WorkRequest, WorkReply>("gather.work", workRequest),
    /** Returns outcomes from a gatherer to the submitting host. */
    ended: defineFrequentPeerMethod<EndedRequest, Record<string, never>>("gather.ended", endedRequest),
};
