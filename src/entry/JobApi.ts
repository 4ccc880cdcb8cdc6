/**
 * The callers' API for jobs: `POST /v1/jobs` {pipeline, input}, `GET /v1/jobs/{id}`, `POST /v1/jobs/{id}/cancel` and
 * `GET /v1/jobs/{id}/events`. A job is accepted only after it is committed. Submitting it again with the same
 * Idempotency-Key returns the same job.
 */
import { createHash } from "node:crypto";
import type * as http from "node:http";
import type { Either } from "purify-ts";
import * as z from "zod";
import { parseJobId } from "../common/Ids.js";
import type { LargeBodies } from "../common/LargeBodies.js";
import type { Failure } from "../common/Outcome.js";
import { type BodyError, readJsonBody } from "../common/RequestBody.js";
import type { Clock, JobId, RequestId, WorkspaceId } from "../common/Types.js";
import { writeJson } from "../common/WriteJson.js";
import type { ConfigView } from "../config/Types.js";
import type { JobRecord, Jobs, RecordsError } from "../records/Types.js";
import { bodyRejection, checkTarget, checkWorkspace, rejection } from "./CallerRequest.js";
import { failureBody, failureHeaders, outcomeHeader, requestHeader, statusOf } from "./HttpStatus.js";

const submissionSchema = z.strictObject({ pipeline: z.string(), input: z.unknown() });
/** Timeout of one operation on the records group. */
const recordsTimeoutMs = 3000;
/** Retry time given to callers when the records group is unreachable. */
const recordsRetryAfterMs = 2000;
/** How often an event stream polls its job, which may change on another host. */
const eventPollMs = 500;

/** States that a job does not leave again. */
const finalStates: ReadonlySet<string> = new Set(["answered", "failed", "cancelled", "unknown"]);

export class JobApi {
    public constructor(private readonly jobs: Jobs, private readonly clock: Clock) {}

    /** Serves one request below /v1/jobs; `rest` is the remaining path. */
    public async handle(
        req: http.IncomingMessage,
        res: http.ServerResponse,
        id: RequestId,
        rest: string,
        view: ConfigView,
        bodies: LargeBodies,
    ): Promise<void> {
        const fail = (failure: Failure) =>
            writeJson(res, statusOf(failure), failureHeaders(id, failure), failureBody(id, failure));
        if (rest === "" && req.method === "POST") {
            const body = await readJsonBody(req, view.settings.limits.bodyBytes, { bodies });
            await this.submit(req, res, id, view, body, fail);
            return;
        }
        const workspace = checkWorkspace(view.settings, req.headers);
        const [idText = "", action] = rest.split("/");
        const job = parseJobId(idText).toMaybe().extractNullable();
        if (job === null || workspace.isLeft()) {
            fail(workspace.isLeft() ? workspace.extract() : rejection("not-found", `no job "${idText}"`));
            return;
        }
        await this.serveJob(req, res, id, job, workspace.unsafeCoerce(), action, fail);
    }

    private async serveJob(
        req: http.IncomingMessage,
        res: http.ServerResponse,
        id: RequestId,
        job: JobId,
        workspace: WorkspaceId,
        action: string | undefined,
        fail: (failure: Failure) => void,
    ): Promise<void> {
        const found = await this.jobs.get(job, recordsTimeoutMs);
        const record = found.toMaybe().extractNullable() ?? undefined;
        if (found.isLeft()) {
            fail(recordsFailure(found.extract()));
        }
        else if (record === undefined || record.workspace !== workspace) {
            fail(rejection("not-found", `workspace "${workspace}" has no job "${job}"`));
        }
        else if (action === undefined && req.method === "GET") {
            writeJob(res, 200, id, record);
        }
        else if (action === "events" && req.method === "GET") {
            await this.streamEvents(res, id, record);
        }
        else if (action === "cancel" && req.method === "POST") {
            const cancelled = await this.jobs.cancel(job, recordsTimeoutMs);
            cancelled.caseOf({
                Left: err => fail(recordsFailure(err)),
                Right: after => writeJob(res, 200, id, after ?? record),
            });
        }
        else {
            fail(
                rejection(
                    "not-found",
                    `method ${req.method ?? ""} is not supported for the job path "${action ?? ""}"`,
                ),
            );
        }
    }

    private async submit(
        req: http.IncomingMessage,
        res: http.ServerResponse,
        id: RequestId,
        view: ConfigView,
        body: Either<BodyError, unknown>,
        fail: (failure: Failure) => void,
    ): Promise<void> {
        if (body.isLeft()) {
            fail(bodyRejection(body.swap().unsafeCoerce()));
            return;
        }
        const submission = submissionSchema.safeParse(body.unsafeCoerce());
        if (!submission.success) {
            fail(rejection("invalid-request", `the body must be {pipeline, input}: ${submission.error.message}`));
            return;
        }
        const { pipeline, input } = submission.data;
        const target = checkTarget(view.settings, pipeline, req.headers);
        if (target.isLeft()) {
            fail(target.swap().unsafeCoerce());
            return;
        }
        const { workspace, pipeline: pipelineId, idempotencyKey } = target.unsafeCoerce();
        const job = { id: jobIdFor(workspace, idempotencyKey ?? id), workspace, pipeline: pipelineId, input };
        const submitted = await this.jobs.submit(job, recordsTimeoutMs);
        submitted.caseOf({
            Left: err => fail(recordsFailure(err)),
            Right: record => {
                if (record.pipeline !== pipelineId || JSON.stringify(record.input) !== JSON.stringify(input)) {
                    fail(rejection("key-reused", "the Idempotency-Key was used for another job"));
                    return;
                }
                writeJob(res, 202, id, record);
            },
        });
    }

    private async streamEvents(res: http.ServerResponse, id: RequestId, first: JobRecord): Promise<void> {
        const abort = new AbortController();
        res.on("close", () => abort.abort());
        res.writeHead(200, { "content-type": "text/event-stream", [requestHeader]: id });
        let record: JobRecord | undefined = first;
        let lastSent = "";
        while (!abort.signal.aborted && record !== undefined) {
            const text = JSON.stringify(jobBody(record));
            if (text !== lastSent) {
                res.write(`event: job\ndata: ${text}\n\n`);
                lastSent = text;
            }
            if (finalStates.has(record.state)) {
                break;
            }
            await this.clock.sleep(eventPollMs, abort.signal);
            const latest = await this.jobs.get(record.id, recordsTimeoutMs);
            record = latest.isRight() ? latest.unsafeCoerce() : record;
        }
        res.end();
    }
}

/** Derives the job id from workspace and key, so that a resend finds the same job. */
function jobIdFor(workspace: WorkspaceId, key: string): JobId {
    const digest = createHash("sha256").update(JSON.stringify([workspace, key])).digest("hex").slice(0, 32);
    return parseJobId(`job-${digest}`).unsafeCoerce();
}

function jobBody(record: JobRecord) {
    return {
        job: record.id,
        pipeline: record.pipeline,
        state: record.state,
        stagesDone: Object.keys(record.stages),
        ...(record.answer === undefined ? {} : { output: record.answer }),
        ...(record.message === undefined ? {} : { message: record.message }),
    };
}

function writeJob(res: http.ServerResponse, status: number, id: RequestId, record: JobRecord): void {
    writeJson(res, status, { [outcomeHeader]: record.state, [requestHeader]: id }, jobBody(record));
}

function recordsFailure(err: RecordsError): Failure {
    switch (err.kind) {
        case "not-recorded":
            return rejection("no-quorum", err.message, recordsRetryAfterMs);
        case "full":
            return rejection("overloaded", err.message, err.retryAfterMs);
        case "unknown":
            return {
                kind: "unknown",
                reason: "result-lost",
                message: `${err.message}; send it again with the same key`,
            };
    }
}
