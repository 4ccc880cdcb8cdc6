/**
 * The callers' API: `POST /v1/pipelines/{name}` for a complete or streamed answer, and `/v1/jobs` for long-running
 * work. Each failure states whether the request ran. A request is cancelled when its caller disconnects.
 */
import type * as http from "node:http";
import type { LargeBodies } from "../common/LargeBodies.js";
import type { Failure, Outcome } from "../common/Outcome.js";
import { readJsonBody } from "../common/RequestBody.js";
import type { Clock, RequestId } from "../common/Types.js";
import { writeJson } from "../common/WriteJson.js";
import type { ConfigSource, ConfigView } from "../config/Types.js";
import type { PipelineAnswer, PipelineRequest, PipelineRunner } from "../pipeline/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import { AnswerStream, digestOf } from "./AnswerStream.js";
import { bodyRejection, checkTarget, pipelineRequest, rejection } from "./CallerRequest.js";
import { failureBody, failureHeaders, outcomeHeader, requestHeader, statusOf } from "./HttpStatus.js";
import type { JobApi } from "./JobApi.js";

const pipelinePath = "/v1/pipelines/";
const jobPath = "/v1/jobs";
/** Retry time given to callers while the host has no configuration. */
const notReadyRetryAfterMs = 1000;

export interface CallerApiOptions {
    readonly config: ConfigSource;
    readonly runner: PipelineRunner;
    readonly jobs: JobApi;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    /** Returns a request id that is unique across all hosts. */
    readonly nextRequestId: () => RequestId;
}

export class CallerApi {
    public constructor(private readonly options: CallerApiOptions) {}

    /** Serves one request; resolves when its reply has been written to the socket. */
    public async handle(req: http.IncomingMessage, res: http.ServerResponse, bodies: LargeBodies): Promise<void> {
        const arrivedMs = this.options.clock.nowMs();
        const id = this.options.nextRequestId();
        const view = this.options.config.current();
        if (view === undefined) {
            this.reject(
                res,
                id,
                rejection("not-ready", "no configuration is in force on this host yet", notReadyRetryAfterMs),
            );
            return;
        }
        const path = new URL(req.url ?? "/", "http://host").pathname;
        if (path === jobPath || path.startsWith(`${jobPath}/`)) {
            await this.options.jobs.handle(req, res, id, path.slice(jobPath.length + 1), view, bodies);
            return;
        }
        if (!path.startsWith(pipelinePath) || req.method !== "POST") {
            this.reject(res, id, rejection("not-found", `there is no ${req.method ?? ""} ${path}`));
            return;
        }
        await this.servePipeline(req, res, id, path.slice(pipelinePath.length), view, arrivedMs, bodies);
    }

    private async servePipeline(
        req: http.IncomingMessage,
        res: http.ServerResponse,
        id: RequestId,
        name: string,
        view: ConfigView,
        arrivedMs: number,
        bodies: LargeBodies,
    ): Promise<void> {
        const target = checkTarget(view.settings, name, req.headers);
        const body = await readJsonBody(req, view.settings.limits.bodyBytes, { bodies });
        const checked = target.chain(known =>
            body.mapLeft(bodyRejection).chain(input => pipelineRequest(id, known, input, req.headers, arrivedMs))
        );
        await checked.caseOf({
            Left: async failure => this.reject(res, id, failure),
            Right: pipelineReq => this.run(req, res, pipelineReq),
        });
    }

    private async run(req: http.IncomingMessage, res: http.ServerResponse, request: PipelineRequest): Promise<void> {
        const abort = new AbortController();
        res.on("close", () => abort.abort());
        const wantsStream = req.headers.accept?.includes("text/event-stream") === true;
        const stream = wantsStream ? new AnswerStream(res, request.id) : undefined;
        const outcome = await this.options.runner.run(request, abort.signal, stream);
        this.recordMetrics(request, outcome);
        if (stream !== undefined) {
            this.endStream(res, stream, request.id, outcome);
            return;
        }
        if (outcome.kind !== "answered") {
            this.writeFailure(res, request.id, outcome);
            return;
        }
        const { output } = outcome.answer;
        const body = {
            request: request.id,
            outcome: "answered",
            output,
            length: output.length,
            digest: digestOf(output),
        };
        writeJson(res, 200, { [outcomeHeader]: "answered", [requestHeader]: request.id }, body);
    }

    private endStream(
        res: http.ServerResponse,
        stream: AnswerStream,
        id: RequestId,
        outcome: Outcome<PipelineAnswer>,
    ): void {
        if (outcome.kind === "answered") {
            if (!stream.finish(outcome.answer.output)) {
                const message = "the answer does not continue the output that was sent";
                stream.fail({
                    kind: "failed",
                    reason: "stage-failed",
                    message,
                    repeat: "safe",
                    retryAfterMs: undefined,
                });
            }
            return;
        }
        if (stream.hasStarted) {
            stream.fail(outcome);
            return;
        }
        this.writeFailure(res, id, outcome);
    }

    private reject(res: http.ServerResponse, id: RequestId, failure: Failure): void {
        this.options.log.event(EventId.RequestRefused, {
            request: id,
            status: statusOf(failure),
            reason: failure.reason,
        });
        this.writeFailure(res, id, failure);
    }

    private writeFailure(res: http.ServerResponse, id: RequestId, failure: Failure): void {
        writeJson(res, statusOf(failure), failureHeaders(id, failure), failureBody(id, failure));
    }

    private recordMetrics(request: PipelineRequest, outcome: Outcome<PipelineAnswer>): void {
        const inTime = this.options.clock.nowMs() <= request.deadlineMs;
        const labels = { pipeline: request.pipeline, workspace: request.workspace };
        this.options.metrics.count("requests", { ...labels, outcome: outcome.kind });
        if (outcome.kind === "answered" && inTime) {
            this.options.metrics.count("requests_in_time", labels);
        }
    }
}
