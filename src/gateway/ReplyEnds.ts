/**
 * Decides whether a reply is whole whose body has neither a length nor chunks and has ended with its connection. A crash
 * of the endpoint ends the connection in the same way, and so does the end of the host through which it went. The reply is
 * taken for whole only if that host states that the endpoint has ended it, and if the same start of the endpoint answers
 * a status check that is sent afterwards. What can't be confirmed in time is not taken for whole.
 */
import type { IncomingMessage } from "node:http";
import { onReply } from "../common/HttpReplies.js";
import type { Clock, HostId } from "../common/Types.js";
import { closeConnection } from "../endpoints/CloseConnection.js";
import type { EndpointConnections } from "../endpoints/EndpointConnections.js";
import type { FleetSource, ListedEndpoint } from "../fleet/Types.js";
import { EventId } from "../telemetry/Events.js";
import type { EventLog, Metrics } from "../telemetry/Types.js";

/**
 * Time limit for the confirmation. A sound endpoint may be silent for a second, and the callers of a stream wait for two
 * seconds for what comes next.
 */
const confirmMs = 1500;
/** Pause before the next status check after one without an answer. */
const pauseMs = 50;

/** What the check shows: only "whole" lets the reply count as complete. */
type EndVerdict = "whole" | "endpoint-ended" | "helper-unsure" | "unanswered";

/** Writes and reads status checks of endpoints. */
export interface StatusCodec {
    encodeStatusCheck(instance: string): Readonly<Record<string, string>>;
    /** True when the reply to a status check is from the instance, whatever its status. */
    isFromInstance(res: IncomingMessage, instance: string): boolean;
}

/** A reply that has ended with its connection. */
export interface EndedReply {
    /** Id of the request. */
    readonly request: string;
    readonly endpoint: ListedEndpoint;
    /** The host through which the connection went, and its statement; undefined for a direct connection. */
    readonly through: HostId | undefined;
    readonly confirmsEnd: ((signal: AbortSignal) => Promise<boolean>) | undefined;
    /** Aborted when the request has ended. */
    readonly signal: AbortSignal;
}

interface ReplyEndsOptions {
    readonly fleet: FleetSource;
    readonly connections: Pick<EndpointConnections, "connect">;
    readonly codec: StatusCodec;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

export class ReplyEnds {
    public constructor(private readonly options: ReplyEndsOptions) {}

    /** True when the reply is whole. */
    public async isWhole(reply: EndedReply): Promise<boolean> {
        const { clock, log, metrics } = this.options;
        const startMs = clock.nowMs();
        const timeout = new AbortController();
        const timer = clock.setTimer(confirmMs, () => timeout.abort());
        const verdict = await this.judge(reply, AbortSignal.any([reply.signal, timeout.signal]));
        timer.dispose();
        metrics.count("reply_end_checks", { verdict });
        log.event(EventId.ReplyEndChecked, {
            request: reply.request,
            endpoint: reply.endpoint.id,
            verdict,
            takenMs: Math.round(clock.nowMs() - startMs),
            ...(reply.through === undefined ? {} : { through: reply.through }),
        });
        return verdict === "whole";
    }

    private async judge({ endpoint, confirmsEnd }: EndedReply, signal: AbortSignal): Promise<EndVerdict> {
        if (confirmsEnd !== undefined && !await confirmsEnd(signal)) {
            return "helper-unsure";
        }
        while (!signal.aborted) {
            const answer = await this.checkStatus(endpoint, signal);
            if (answer !== "unanswered") {
                return answer;
            }
            await this.options.clock.sleep(pauseMs, signal);
        }
        return "unanswered";
    }

    private async checkStatus(endpoint: ListedEndpoint, signal: AbortSignal): Promise<EndVerdict> {
        const { connections, codec, fleet } = this.options;
        const connected = await connections.connect(endpoint.id, {
            method: "GET",
            path: fleet.view().deployment?.services.get(endpoint.service)?.statusPath ?? "/",
            headers: codec.encodeStatusCheck(endpoint.instance),
            fresh: true,
            signal,
        });
        return connected.caseOf<Promise<EndVerdict>>({
            // A refusal that only this host meets may come from its own path.
            Left: async ({ kind, isConfirmed }) =>
                kind === "no-address" || (kind === "refused" && isConfirmed !== false)
                    ? "endpoint-ended"
                    : "unanswered",
            Right: ({ req }) =>
                new Promise(resolve => {
                    const finish = (verdict: EndVerdict) => {
                        signal.removeEventListener("abort", abort);
                        // The body is of no interest, and a faulty endpoint may send one without end.
                        closeConnection(req);
                        resolve(verdict);
                    };
                    const abort = () => finish("unanswered");
                    signal.addEventListener("abort", abort);
                    req.on("error", () => finish("unanswered"));
                    req.on("close", () => finish("unanswered"));
                    onReply(req, {
                        read: res => {
                            res.on("error", () => undefined);
                            finish(codec.isFromInstance(res, endpoint.instance) ? "whole" : "endpoint-ended");
                        },
                        fail: () => finish("unanswered"),
                    });
                    if (signal.aborted) {
                        abort();
                        return;
                    }
                    req.end();
                }),
        });
    }
}
