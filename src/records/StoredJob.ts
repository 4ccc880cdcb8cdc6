/** A job as the state machine keeps it. */
import { asHost, asIds, type BodyOf, type Ticket } from "./Commands.js";
import type { JobRecord, JobState } from "./Types.js";

export interface StoredJob {
    readonly id: string;
    readonly workspace: string;
    readonly pipeline: string;
    /** JSON text. */
    readonly input: string;
    readonly state: JobState;
    readonly stages: Readonly<Record<string, string>>;
    /** The ticket with which the job was taken; undefined unless it runs. */
    readonly ticket: Ticket | undefined;
    readonly run: number;
    readonly answer: string | undefined;
    readonly message: string | undefined;
    /** Group time at which an ended job is forgotten, in milliseconds. */
    readonly forgetAtMs: number;
}

/** A job as it is submitted. */
export function newJob(body: BodyOf<"submit">): StoredJob {
    return {
        id: body.id,
        workspace: body.workspace,
        pipeline: body.pipeline,
        input: body.input,
        state: "queued",
        stages: {},
        ticket: undefined,
        run: 0,
        answer: undefined,
        message: undefined,
        forgetAtMs: 0,
    };
}

/** Length of everything that is kept of a job, in characters. */
export function sizeOf(job: StoredJob | undefined): number {
    if (job === undefined) {
        return 0;
    }
    const stages = Object.values(job.stages).reduce((sum, output) => sum + output.length, 0);
    return job.input.length + stages + (job.answer ?? job.message ?? "").length;
}

/** The job as callers see it. */
export function toRecord(job: StoredJob): JobRecord {
    const { state, stages, run, answer, message } = job;
    const runner = job.ticket === undefined ? undefined : asHost(job.ticket.session);
    return { ...asIds(job), input: JSON.parse(job.input) as unknown, state, stages, runner, run, answer, message };
}

/** The job without its input and outputs, as it stands in a listing. */
export function toSummary(job: StoredJob): JobRecord {
    return toRecord({ ...job, input: "null", stages: {}, answer: undefined });
}
