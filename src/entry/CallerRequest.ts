/** Validates a caller's HTTP request against the configuration in force and builds the pipeline request. */
import type * as http from "node:http";
import { type Either, Left, Right } from "purify-ts";
import { parsePipelineId, parseWorkspaceId } from "../common/Ids.js";
import { DispatchLedger, type Failure, failureFor, type FailureReason } from "../common/Outcome.js";
import type { BodyError } from "../common/RequestBody.js";
import type { PipelineId, RequestId, WorkspaceId } from "../common/Types.js";
import type { PipelineSettings, Settings } from "../config/Schema.js";
import type { PipelineRequest } from "../pipeline/Types.js";

/** Request header with the workspace id; required. */
export const workspaceHeader = "fireflykeel-workspace";
/** Request header with the time allowed for the request, in milliseconds from its arrival. */
export const deadlineHeader = "fireflykeel-deadline-ms";
/** Request header that identifies a request when it is resent; required for a non-idempotent stage. */
export const idempotencyHeader = "idempotency-key";

const maxIdempotencyKeyLength = 255;
/** Retry time given to callers whose body found no room. */
const noRoomRetryAfterMs = 1000;
/** A caller's deadline is capped at the pipeline's default deadline multiplied by this factor. */
const maxDeadlineFactor = 10;

/** Returns the failure for a request rejected before any stage call. It carries the proof that none was sent. */
export function rejection(reason: FailureReason, message: string, retryAfterMs?: number): Failure {
    return failureFor(new DispatchLedger(), reason, message, retryAfterMs);
}

/** The failure for a body that could not be read. */
export function bodyRejection(err: BodyError): Failure {
    switch (err.kind) {
        case "too-large":
            return rejection("body-too-large", `the body is larger than ${err.limitBytes} bytes`);
        case "not-json":
            return rejection("invalid-request", `the body is not JSON: ${err.message}`);
        case "incomplete":
            return rejection("cancelled", "the body ended before its declared length");
        case "no-room":
            return rejection("overloaded", "no memory is left for the body", noRoomRetryAfterMs);
    }
}

/** The validated workspace, pipeline and idempotency key of a request. */
export interface CheckedTarget {
    readonly workspace: WorkspaceId;
    readonly pipeline: PipelineId;
    readonly pipelineSettings: PipelineSettings;
    readonly idempotencyKey: string | undefined;
}

/** Validates workspace, pipeline and idempotency key. */
export function checkTarget(
    settings: Settings,
    pipelineText: string,
    headers: http.IncomingHttpHeaders,
): Either<Failure, CheckedTarget> {
    return checkWorkspace(settings, headers).chain(workspace => {
        const pipeline = parsePipelineId(pipelineText).toMaybe().extractNullable();
        const pipelineSettings = pipeline === null ? undefined : settings.pipelines[pipeline];
        if (pipeline === null || pipelineSettings === undefined) {
            return Left(rejection("not-found", `there is no pipeline "${pipelineText}"`));
        }
        return checkIdempotencyKey(headers[idempotencyHeader]).map(idempotencyKey => ({
            workspace,
            pipeline,
            pipelineSettings,
            idempotencyKey,
        }));
    });
}

/** Returns the workspace named by the request header, if it is configured. */
export function checkWorkspace(settings: Settings, headers: http.IncomingHttpHeaders): Either<Failure, WorkspaceId> {
    const text = headers[workspaceHeader];
    if (typeof text !== "string") {
        return Left(rejection("invalid-request", `the header ${workspaceHeader} is missing`));
    }
    const workspace = parseWorkspaceId(text).toMaybe().extractNullable();
    if (workspace === null || settings.workspaces[workspace] === undefined) {
        return Left(rejection("not-found", `there is no workspace "${text}"`));
    }
    return Right(workspace);
}

function checkIdempotencyKey(key: string | string[] | undefined): Either<Failure, string | undefined> {
    if (key === undefined) {
        return Right(undefined);
    }
    if (typeof key !== "string" || key === "" || key.length > maxIdempotencyKeyLength) {
        const message = `the header ${idempotencyHeader} must hold 1 to ${maxIdempotencyKeyLength} characters`;
        return Left(rejection("invalid-request", message));
    }
    return Right(key);
}

/** Builds the pipeline request; the deadline counts from `arrivedMs` on the local monotonic clock. */
export function pipelineRequest(
    id: RequestId,
    target: CheckedTarget,
    input: unknown,
    headers: http.IncomingHttpHeaders,
    arrivedMs: number,
): Either<Failure, PipelineRequest> {
    const { workspace, pipeline, pipelineSettings, idempotencyKey } = target;
    const needsKey = pipelineSettings.stages.some(stage => !stage.idempotent);
    if (needsKey && idempotencyKey === undefined) {
        const message = `pipeline "${pipeline}" has a non-idempotent stage and needs the header ${idempotencyHeader}`;
        return Left(rejection("idempotency-key-missing", message));
    }
    return parseDeadlineMs(headers[deadlineHeader], pipelineSettings.deadlineMs).map(budgetMs => ({
        id,
        workspace,
        pipeline,
        input,
        idempotencyKey,
        deadlineMs: arrivedMs + budgetMs,
        priority: pipelineSettings.priority,
    }));
}

function parseDeadlineMs(header: string | string[] | undefined, defaultMs: number): Either<Failure, number> {
    if (header === undefined) {
        return Right(defaultMs);
    }
    const value = Number(header);
    if (typeof header !== "string" || !Number.isInteger(value) || value < 1) {
        return Left(
            rejection("invalid-request", `the header ${deadlineHeader} must be a whole number of milliseconds`),
        );
    }
    return Right(Math.min(value, defaultMs * maxDeadlineFactor));
}
