/**
 * Calls endpoints of stages over HTTP. The reply to a call carries no id, and a faulty endpoint may write an earlier reply
 * once more, so that every later one on the connection comes one call too late. A connection is therefore kept only
 * after a reply that is known to belong to its call.
 */
import type { Clock } from "../common/Types.js";
import type { EndpointConnections } from "../endpoints/EndpointConnections.js";
import type { EndpointNotices } from "../endpoints/EndpointNotices.js";
import { requestText, type TextReply, type TextRequest } from "../endpoints/RequestText.js";
import type { ListedEndpoint } from "../fleet/Types.js";
import { noSize, type WorkRecorder } from "../load/WorkMeter.js";
import { KnownResults } from "./KnownResults.js";
import type { CallOutcome, PieceCall, PieceClient, PieceCodec, WorkState } from "./Types.js";

const ok = 200;
/** Status with which an endpoint refuses a call because all its slots are taken. */
const busyStatus = 503;
/** Time limit for freeing results; unfreed ones expire by themselves. */
const freeTimeoutMs = 1000;
/** Time limit for a state query: many times a round trip, and far less than the duration of a call. */
const stateTimeoutMs = 150;

/** What a reply says of a call. */
interface ReadReply {
    readonly outcome: CallOutcome;
    /** True when the reply is known to belong to the call, so that the next call on the connection gets its own. */
    readonly mayKeep: boolean;
}

export class HttpPieceClient implements PieceClient {
    private readonly results = new KnownResults();

    public constructor(
        private readonly connections: EndpointConnections,
        private readonly codec: PieceCodec,
        private readonly notices: EndpointNotices,
        private readonly clock: Clock,
        private readonly signal: AbortSignal,
        private readonly load: WorkRecorder,
    ) {}

    public async run(
        endpoint: ListedEndpoint,
        calls: readonly PieceCall[],
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallOutcome> {
        const { codec } = this;
        const remainingMs = Math.max(...calls.map(call => call.remainingMs));
        const work = this.load.start(endpoint.id, noSize);
        let read: ReadReply | undefined;
        const reply = await this.request(endpoint, {
            method: "POST",
            path: codec.runPath,
            body: codec.encodeRun(calls),
            headers: codec.callHeaders(endpoint.instance, remainingMs),
            fresh: false,
            timeoutMs,
            signal: AbortSignal.any([this.signal, signal]),
            keepsConnection: complete => {
                read = this.readRun(calls, complete);
                return read.mayKeep;
            },
        });
        work.end();
        const message = reply.caseOf({ Left: error => error.message, Right: () => "no reply" });
        return read?.outcome ?? { kind: "broken", message };
    }

    public async free(endpoint: ListedEndpoint, handles: readonly string[]): Promise<string | undefined> {
        const { codec, signal } = this;
        const reply = await this.request(endpoint, {
            method: "POST",
            path: codec.freePath,
            body: codec.encodeFree(handles),
            headers: codec.callHeaders(endpoint.instance, freeTimeoutMs),
            // Nothing but releases: there are about as many as calls, too many for a new connection each. One that counts
            // as done by an earlier reply is on its way to the endpoint.
            fresh: false,
            use: "releases",
            timeoutMs: freeTimeoutMs,
            signal,
            keepsConnection: ({ status }) => status === ok,
        });
        return reply.caseOf({
            Left: error => error.message,
            Right: ({ status }) => (status === ok ? undefined : `status ${status}`),
        });
    }

    public async state(endpoint: ListedEndpoint): Promise<WorkState | undefined> {
        const { codec, signal } = this;
        const reply = await this.request(endpoint, {
            method: "GET",
            path: codec.statePath,
            // An earlier report can't be told from this one.
            fresh: true,
            timeoutMs: stateTimeoutMs,
            signal,
        });
        return reply.toMaybe().filter(({ status }) => status === ok).map(({ text }) => codec.decodeState(text))
            .extract();
    }

    private readRun(calls: readonly PieceCall[], reply: TextReply): ReadReply {
        const { codec } = this;
        const { status, headers, text, connection, isReused } = reply;
        if (codec.isNotRun(status, headers)) {
            const kind = isReused ? "unproven" : status === busyStatus ? "full" : "not-run";
            return {
                outcome: {
                    kind,
                    message: `not run${isReused ? ", unless the reply is an earlier one" : ""}, status ${status}`,
                },
                mayKeep: false,
            };
        }
        const outcomes = status === ok ? codec.decodeRun(text, calls.length) : undefined;
        if (outcomes === undefined) {
            return { outcome: { kind: "broken", message: `malformed reply, status ${status}` }, mayKeep: false };
        }
        const owner = this.results.attribute(connection, calls, outcomes);
        return owner === "foreign"
            ? { outcome: { kind: "broken", message: "the reply has a result of another piece" }, mayKeep: false }
            : {
                outcome: { kind: "replied", outcomes },
                mayKeep: owner === "own" && !this.results.isUsedUp(connection),
            };
    }

    private async request(endpoint: ListedEndpoint, options: Omit<TextRequest, "clock">) {
        const { connections, clock, notices } = this;
        const reply = await requestText(connections, endpoint.id, { ...options, clock });
        return reply.ifRight(({ status, headers }) => notices.observe(endpoint.id, status, headers));
    }
}
