/** A job as the state machine keeps it. */
import { asHost, asIds, type BodyOf, type Ticket } from "./Commands.js";
import type { JobRecord, JobState } from "./Types.js";

export interface StoredJob {
    readonly id: string;
    readonly workspace: string;
    readonly pipeline: string;
    readonly input: unknown;
    /** Length of the input as JSON text, in characters. */
    readonly inputSize: number;
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
        inputSize: JSON.stringify(body.input ?? null).length,
        state: "queued",
        stages: {},
        ticket: undefined,
        run: 0,
        answer: undefined,
        message: undefined,
        forgetAtMs: 0,
    };
}

/** True when a job that is submitted again is the same. */
export function sameContent(job: StoredJob, body: BodyOf<"submit">): boolean {
    return job.workspace === body.workspace && job.pipeline === body.pipeline
        && JSON.stringify(job.input) === JSON.stringify(body.input);
}

/** Length of everything that is kept of a job, in characters. */
export function sizeOf(job: StoredJob | undefined): number {
    if (job === undefined) {
        return 0;
    }
    const stages = Object.values(job.stages).reduce((sum, output) => sum + output.length, 0);
    return job.inputSize + stages + (job.answer ?? job.message ?? "").length;
}

/** The job as callers see it. */
export function toRecord(job: StoredJob): JobRecord {
    const { input, state, stages, run, answer, message } = job;
    const runner = job.ticket === undefined ? undefined : asHost(job.ticket.session);
    return { ...asIds(job), input, state, stages, runner, run, answer, message };
}
