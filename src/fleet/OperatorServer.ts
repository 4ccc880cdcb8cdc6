/** HTTP server for operators on a control host. A platform adapter decodes the requests. */
import type * as http from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { Either } from "purify-ts";
import { serveUntil } from "../common/HttpServers.js";
import { InvariantError } from "../common/Invariant.js";
import { type BodyError, readBytes } from "../common/RequestBody.js";
import type { Clock } from "../common/Types.js";
import { writeJson } from "../common/WriteJson.js";
import type { RolloutRecord } from "../rollouts/Types.js";
import type { Service } from "../supervise/Types.js";
import { EventId } from "../telemetry/Events.js";
import { ServerLimits } from "../telemetry/ServerLimits.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";
import type { OperatorAnswer, OperatorCall, OperatorCallHandler } from "./OperatorCallHandler.js";

/** Maximum size of a configuration; the limit of the replicated log for one message. */
const maxBodyBytes = 12 * 1024 * 1024;
const keepAliveMs = 30_000;
/** Large configurations are read and executed one after the other: each is held in several forms while it is. */
const bodyLimits = { maxLargeBodies: 1, smallBytes: 1024 * 1024 };
const descriptorShare = 1 / 8;
/** Retry time given to operators whose order found no room, in seconds. */
const retryAfterS = "1";

/** Decodes an operator's request; undefined when it is not a known call. */
export type OperatorDecoder = (method: string, path: string, body: string) => OperatorCall | undefined;

/** Writes a roll-out in the operators' form. */
export type RolloutFormatter = (record: RolloutRecord) => unknown;

interface OperatorServerOptions {
    /** "ip:port". */
    readonly address: string;
    readonly operator: Pick<OperatorCallHandler, "handle">;
    readonly decode: OperatorDecoder;
    readonly formatRollout: RolloutFormatter;
    /** Number of descriptors that this process may have; the operating system's limit when undefined. */
    readonly maxDescriptors?: number;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly onFatal: (err: InvariantError) => void;
}

export class OperatorServer implements Service {
    public readonly name = "operator-server";

    private readonly limits: ServerLimits;
    /** A configuration whose answers have not all been taken yet; they share its bytes. */
    private sharedConfig: { readonly text: string; readonly bytes: Buffer; readers: number; } | undefined;

    public constructor(private readonly options: OperatorServerOptions) {
        const { maxDescriptors, clock, log, metrics } = options;
        this.limits = new ServerLimits({
            server: this.name,
            maxDescriptors,
            descriptorShare,
            ...bodyLimits,
            clock,
            log,
            metrics,
        });
    }

    public async run(signal: AbortSignal): Promise<void> {
        const server = this.limits.connections.createServer((req, res) => {
            this.serve(req, res).catch((err: unknown) => this.handleError(err, res));
        });
        server.keepAliveTimeout = keepAliveMs;
        await serveUntil(server, this.options.address, signal);
    }

    private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
        const text = await this.readText(req, res);
        if (text.isLeft()) {
            writeBodyError(res, text.extract());
            return;
        }
        const call = this.options.decode(req.method ?? "GET", req.url ?? "/", text.unsafeCoerce());
        if (call === undefined) {
            writeJson(res, 404, {}, { error: { kind: "unknown-call", message: `${req.method} ${req.url}` } });
            return;
        }
        const operator = { hasLeft: () => this.hasLeft(req) };
        if (await operator.hasLeft()) {
            this.options.log.event(EventId.OperatorCallAbandoned, { call: call.kind });
            return;
        }
        const answer = await this.options.operator.handle(call, operator);
        if (answer.kind === "config") {
            this.writeConfig(res, answer.text);
            return;
        }
        writeAnswer(res, answer, this.options.formatRollout);
    }

    /** The bytes of the body are not kept beside its text. */
    private async readText(req: http.IncomingMessage, res: http.ServerResponse): Promise<Either<BodyError, string>> {
        const body = await readBytes(req, maxBodyBytes, { bodies: this.limits.bodies, res });
        return body.map(bytes => bytes.toString("utf8"));
    }

    /**
     * True when the operator has closed the connection, and may have given another order elsewhere. After a suspension
     * of this host, the end of the connection is read a turn of the event loop after the request.
     */
    private async hasLeft(req: http.IncomingMessage): Promise<boolean> {
        await nextTurn();
        await nextTurn();
        return req.socket.destroyed;
    }

    private writeConfig(res: http.ServerResponse, text: string): void {
        const config = this.sharedConfig?.text === text
            ? this.sharedConfig
            : { text, bytes: Buffer.from(text), readers: 0 };
        this.sharedConfig = config;
        config.readers += 1;
        res.once("close", () => {
            config.readers -= 1;
            if (config.readers === 0 && this.sharedConfig === config) {
                this.sharedConfig = undefined;
            }
        });
        const { bytes } = config;
        res.writeHead(200, { "content-type": "application/json", "content-length": bytes.length });
        res.end(bytes);
    }

    private handleError(err: unknown, res: http.ServerResponse): void {
        if (err instanceof InvariantError) {
            this.options.onFatal(err);
        }
        this.options.log.event(EventId.ServiceFailed, { service: this.name, message: String(err) });
        res.destroy();
    }
}

function writeBodyError(res: http.ServerResponse, error: BodyError): void {
    if (error.kind === "no-room") {
        writeJson(res, 503, { "retry-after": retryAfterS }, { error });
        return;
    }
    writeJson(res, error.kind === "too-large" ? 413 : 400, {}, { error });
}

function writeAnswer(
    res: http.ServerResponse,
    answer: Exclude<OperatorAnswer, { readonly kind: "config"; }>,
    formatRollout: RolloutFormatter,
): void {
    switch (answer.kind) {
        case "done":
            return writeJson(res, 200, {}, { version: answer.version });
        case "rollout":
            return writeJson(res, 200, {}, formatRollout(answer.record));
        case "in-progress":
            return writeJson(res, 409, {}, { error: answer });
        case "not-found":
            return writeJson(res, 404, {}, { error: answer });
        case "invalid":
            return writeJson(res, 400, {}, { error: answer });
        case "unavailable":
            return writeJson(res, 503, { "retry-after": retryAfterS }, { error: answer });
    }
}
