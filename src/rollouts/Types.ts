/**
 * Types of roll-outs, which move a service's traffic to endpoints of a new version: the state that control hosts agree
 * on, what entry hosts see of it, and what they report of the answers of both versions.
 */
import * as z from "zod";
import type { RouteId, ServiceId } from "../common/Types.js";

export interface RolloutBounds {
    /** Share of a service's requests that may reach a version which has not proved itself, beside the slack. */
    readonly exposureShare: number;
    readonly exposureSlack: number;
    /** Time from the 50th bad answer of a version to the last request to it. */
    readonly rollbackMs: number;
    /** Additional time while the control group has no stable leader. */
    readonly outerBoundMs: number;
}

export const serviceIdSchema = z.string().min(1).max(256) as unknown as z.ZodType<ServiceId>;
const routeIdSchema = z.string().max(256) as unknown as z.ZodType<RouteId>;
const count = z.number().int().nonnegative().max(1e12);

/** Why a roll-out was ended, with the counts that the decision is based on. */
export const verdictSchema = z.object({
    /** "failures", "latency", "unproven", "drained" or "aborted". */
    reason: z.string(),
    atMs: z.number(),
    targetAnswers: z.number().default(0),
    targetFailures: z.number().default(0),
    baseAnswers: z.number().default(0),
    baseFailures: z.number().default(0),
    hosts: z.number().default(0),
    /** Negative logarithm of the probability of the counts if the new version were as good as the old one. */
    exponent: z.number().default(0),
    /** Age of the oldest report among those counted. */
    reportsAgeMs: z.number().default(0),
});

export type Verdict = z.infer<typeof verdictSchema>;

export const rolloutRecordSchema = z.object({
    service: serviceIdSchema,
    target: z.string(),
    durationMs: z.number(),
    /** Wall time of the control host that received the order. */
    orderedAtMs: z.number(),
    /** Revision of the table with the order; identifies the order. */
    order: z.number(),
    /** Revision of the table with the record's last change. */
    revision: z.number(),
    state: z.enum(["serving", "completed", "rolled_back"]),
    /** Index in {@link stepShares}. */
    step: z.number(),
    /** True once the version has proved itself, so that the exposure bound no longer holds for it. */
    isProven: z.boolean(),
    steppedAtMs: z.number(),
    /** Version of the roll-out that was completed before; the only one used beside the target while it has endpoints. */
    base: z.string().optional(),
    /** Versions that were rolled back and that no order has named since. */
    rejected: z.array(z.string()),
    verdict: verdictSchema.optional(),
});

export type RolloutRecord = z.infer<typeof rolloutRecordSchema>;

export const rolloutViewSchema = z.object({ revision: z.number(), records: z.array(rolloutRecordSchema).readonly() });

/** The roll-outs as published to entry hosts. */
export type RolloutView = z.infer<typeof rolloutViewSchema>;

const answerCountsSchema = z.object({
    /** Answers that were no failure. */
    good: count,
    failures: count,
    /** Number of good answers by latency bucket, as pairs of bucket and number. */
    latencies: z.array(z.tuple([count, count])).max(256).readonly(),
});

export type AnswerCounts = z.infer<typeof answerCountsSchema>;

export const serviceReportSchema = z.object({
    service: serviceIdSchema,
    /** The order that the counts belong to; they begin with it. */
    order: z.number(),
    /** Requests that this host has sent to the service, and those of them that reached the target version. */
    requests: count,
    exposed: count,
    /** Attempts that are running now at other versions than the target. */
    runningAtBase: count,
    /** Failures by endpoint of the target version. */
    targetFailures: z.array(z.tuple([z.string(), count])).max(4096).readonly().default([]),
    routes: z.array(z.object({ route: routeIdSchema, target: answerCountsSchema, base: answerCountsSchema })).max(512)
        .readonly(),
});

/** What an entry host reports of one service in a roll-out; all counts grow until the host's process ends. */
export type ServiceReport = z.infer<typeof serviceReportSchema>;

/** What one host reports, and the revision that it held when it did. */
export interface HostReport {
    readonly host: string;
    readonly incarnation: number;
    readonly revision: number;
    readonly services: readonly ServiceReport[];
    /** Time since the report was received by a control host. */
    readonly ageMs: number;
}

export const hostReportSchema = z.object({
    host: z.string(),
    incarnation: z.number(),
    revision: z.number(),
    services: z.array(serviceReportSchema).readonly(),
    ageMs: z.number(),
});

/**
 * Share of requests for the target in each step. The first step is also limited by the exposure bound, and
 * greater than that, so that the slack brings evidence early.
 */
export const stepShares: readonly number[] = [0.5, 0.5, 1];
export const lastStep = stepShares.length - 1;

/** A host whose view is older than this sends nothing to a version that is not completed. */
export function freshViewMs({ rollbackMs }: RolloutBounds): number {
    return Math.min(1500, rollbackMs * freshShare);
}

/** The rest of the bound is for detection and commit. */
const freshShare = 0.3;
