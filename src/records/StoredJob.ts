/** A job in the form that the state machine keeps, and its conversions. */
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
    /** Ticket with which the job was taken; undefined unless it is running. */
    readonly ticket: Ticket | undefined;
    readonly run: number;
    readonly answer: string | undefined;
    readonly message: string | undefined;
    /** Group time at which an ended job is removed, in milliseconds. */
    readonly forgetAtMs: number;
}

/** Creates a queued job from a submission. */
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

/** Size of the job's input, stage results and answer or message, in characters. */
export function sizeOf(job: StoredJob | undefined): number {
    if (job === undefined) {
        return 0;
    }
    const stages = Object.values(job.stages).reduce((sum, output) => sum + output.length, 0);
    return job.input.length + stages + (job.answer ?? job.message ?? "").length;
}

/** Converts the job to the form for callers. */
export function toRecord(job: StoredJob): JobRecord {
    const { state, stages, run, answer, message } = job;
    const runner = job.ticket === undefined ? undefined : asHost(job.ticket.session);
    return { ...asIds(job), input: JSON.parse(job.input) as unknown, state, stages, runner, run, answer, message };
}

/** The job without its input and outputs, for listings. */
export function toSummary(job: StoredJob): JobRecord {
    return toRecord({ ...job, input: "null", stages: {}, answer: undefined });
}
