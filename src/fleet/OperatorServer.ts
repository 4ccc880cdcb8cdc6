/** HTTP server for operators on a control host. A platform adapter decodes the requests. */
import type * as http from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";
import { serveUntil } from "../common/HttpServers.js";
import { InvariantError } from "../common/Invariant.js";
import { readBytes } from "../common/RequestBody.js";
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
const descriptorShare = 1 / 8;

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
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly onFatal: (err: InvariantError) => void;
}

export class OperatorServer implements Service {
    public readonly name = "operator-server";

    private readonly limits: ServerLimits;

    public constructor(private readonly options: OperatorServerOptions) {
        const { clock, log, metrics } = options;
        this.limits = new ServerLimits({ server: this.name, descriptorShare, clock, log, metrics });
    }

    public async run(signal: AbortSignal): Promise<void> {
        const server = this.limits.connections.createServer((req, res) => {
            this.serve(req, res).catch((err: unknown) => this.handleError(err, res));
        });
        server.keepAliveTimeout = keepAliveMs;
        await serveUntil(server, this.options.address, signal);
    }

    private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
        const body = await readBytes(req, maxBodyBytes);
        if (body.isLeft()) {
            const error = body.extract();
            writeJson(res, error.kind === "too-large" ? 413 : 400, {}, { error });
            return;
        }
        const text = body.unsafeCoerce().toString("utf8");
        const call = this.options.decode(req.method ?? "GET", req.url ?? "/", text);
        if (call === undefined) {
            writeJson(res, 404, {}, { error: { kind: "unknown-call", message: `${req.method} ${req.url}` } });
            return;
        }
        const operator = { hasLeft: () => this.hasLeft(req) };
        if (await operator.hasLeft()) {
            this.options.log.event(EventId.OperatorCallAbandoned, { call: call.kind });
            return;
        }
        writeAnswer(res, await this.options.operator.handle(call, operator), this.options.formatRollout);
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

    private handleError(err: unknown, res: http.ServerResponse): void {
        if (err instanceof InvariantError) {
            this.options.onFatal(err);
        }
        this.options.log.event(EventId.ServiceFailed, { service: this.name, message: String(err) });
        res.destroy();
    }
}

function writeAnswer(res: http.ServerResponse, answer: OperatorAnswer, formatRollout: RolloutFormatter): void {
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
            return writeJson(res, 503, { "retry-after": "1" }, { error: answer });
        case "config": {
            const bytes = Buffer.from(answer.text);
            res.writeHead(200, { "content-type": "application/json", "content-length": bytes.length });
            res.end(bytes);
        }
    }
}
