/** Calls to endpoints of stages over HTTP. */
import type { Clock } from "../common/Types.js";
import type { EndpointConnections } from "../endpoints/EndpointConnections.js";
import { requestText } from "../endpoints/RequestText.js";
import type { ListedEndpoint } from "../fleet/Types.js";
import type { CallEnd, PieceCall, PieceClient, PieceCodec } from "./Types.js";

const ok = 200;
/** By this status an endpoint says that it had no place for the call. */
const noPlace = 503;
/** Bound on giving up results; they expire by themselves. */
const freeTimeoutMs = 1000;

export class HttpPieceClient implements PieceClient {
    public constructor(
        private readonly connections: EndpointConnections,
        private readonly codec: PieceCodec,
        private readonly clock: Clock,
        private readonly signal: AbortSignal,
    ) {}

    public async run(endpoint: ListedEndpoint, calls: readonly PieceCall[], timeoutMs: number): Promise<CallEnd> {
        const { codec } = this;
        const remainingMs = Math.max(...calls.map(call => call.remainingMs));
        const reply = await this.post(endpoint, codec.runPath, codec.encodeRun(calls), remainingMs, timeoutMs);
        return reply.caseOf<CallEnd>({
            Left: error => ({ kind: "broken", message: error.message }),
            Right: ({ status, headers, text }) => {
                if (codec.isNotRun(status, headers)) {
                    return { kind: status === noPlace ? "full" : "not-run", message: `not run, status ${status}` };
                }
                const outcomes = status === ok ? codec.decodeRun(text, calls.length) : undefined;
                return outcomes === undefined
                    ? { kind: "broken", message: `a bad reply, status ${status}` }
                    : { kind: "replied", outcomes };
            },
        });
    }

    public async free(endpoint: ListedEndpoint, handles: readonly string[]): Promise<string | undefined> {
        const { freePath } = this.codec;
        const body = this.codec.encodeFree(handles);
        const reply = await this.post(endpoint, freePath, body, freeTimeoutMs, freeTimeoutMs);
        return reply.caseOf({
            Left: error => error.message,
            Right: ({ status }) => (status === ok ? undefined : `status ${status}`),
        });
    }

    private post(endpoint: ListedEndpoint, path: string, body: string, remainingMs: number, timeoutMs: number) {
        const { connections, codec, clock, signal } = this;
        const headers = codec.callHeaders(endpoint.instance, remainingMs);
        const request = { method: "POST" as const, path, body, headers, fresh: false, timeoutMs, clock, signal };
        return requestText(connections, endpoint.id, request);
    }
}
