/**
 * Writes the reply to a caller. A complete reply is written at once. A stream is written event by event and may be
 * continued by another endpoint: the caller keeps the head of the first endpoint, and events that it already has are
 * skipped. When a stream can't be completed, the connection is broken off, so that the caller sees it as incomplete.
 *
 * If this process is killed, the operating system ends its connections in order. A stream therefore always has chunks,
 * also where that of the endpoint ends with its connection: its last chunk is written only when it is certainly whole. A
 * complete reply without a length is passed on in the same form, since a faulty endpoint may have truncated it and go on
 * running, and with framing it would look whole; it is handed to the operating system in one write.
 */
import type * as http from "node:http";
import { writeJson } from "../common/WriteJson.js";
import type { CallerMemory } from "./CallerMemory.js";
import type { CallerOutput } from "./CallerOutput.js";
import type { RelayedEvent } from "./EventSplitter.js";
import type { RequestProgress } from "./RequestProgress.js";
import type { Refusal, ReplyHead, RequestHead } from "./Types.js";

/** HTTP status by reason of the refusal; see also {@link notRunStatus}. */
const statusByReason: Readonly<Record<Refusal["reason"], number>> = {
    "bad-request": 400,
    "no-route": 404,
    "unknown-key": 401,
    "too-large": 413,
    "head-too-large": 431,
    "body-too-slow": 408,
    "no-configuration": 503,
    "configuration-unconfirmed": 503,
    "quarantined": 503,
    "overloaded": 503,
    "no-endpoint": 503,
    "limited": 503,
    "version-gone": 503,
    "unknown-origin": 503,
    "stopping": 503,
    "broken": 502,
    "failed": 502,
    "deadline": 504,
};
/** Replaces statuses of 500 and above when the request has certainly not run. */
const notRunStatus = 503;
/** Replaces it in turn when the request may have run: callers take it as a promise that it has not. */
const mayHaveRunStatus = 502;
/** Header of a refusal: "not-run" when the request has certainly not run, else "unknown". */
const outcomeHeader = "fireflykeel-outcome";

function statusOf(reason: Refusal["reason"], notRun: boolean): number {
    const status = statusByReason[reason];
    if (notRun) {
        return status >= 500 ? notRunStatus : status;
    }
    return status === notRunStatus ? mayHaveRunStatus : status;
}

/** Writes a refusal as a complete reply. */
export function writeRefusal(res: http.ServerResponse, { reason, message, notRun, retryAfterMs }: Refusal): void {
    const status = statusOf(reason, notRun);
    // A head that could not be written may have left headers of an endpoint, which the refusal must not carry.
    res.getHeaderNames().filter(name => name !== "connection").forEach(name => res.removeHeader(name));
    const headers = {
        [outcomeHeader]: notRun ? "not-run" : "unknown",
        ...(retryAfterMs === undefined ? {} : { "retry-after": (retryAfterMs / 1000).toFixed(2) }),
    };
    writeJson(res, status, headers, { reason, message, notRun });
}

export class CallerReply {
    private begun = false;
    /** True when the reply has neither a length nor chunks. */
    private endsWithConnection = false;
    private lastEventId: string | undefined;
    private eventCount = 0;

    private readonly output: CallerOutput;

    public constructor(
        private readonly res: http.ServerResponse,
        memory: CallerMemory,
        { id, lastEvent }: Pick<RequestHead, "id" | "lastEvent">,
        private readonly progress: RequestProgress,
    ) {
        this.lastEventId = lastEvent;
        this.output = memory.open(res, id, reason => this.reset(reason));
    }

    /** True once a stream has begun. */
    public get hasBegun(): boolean {
        return this.begun;
    }

    /** Id of the last event that the caller has, from this reply or the one that it resumes. */
    public get lastEvent(): string | undefined {
        return this.lastEventId;
    }

    /** Number of events written, without comments. */
    public get events(): number {
        return this.eventCount;
    }

    /** False for callers of HTTP/1.0, who know no chunks: a stream could end with the connection only. */
    public get takesStreams(): boolean {
        return this.res.useChunkedEncodingByDefault;
    }

    /** Writes a complete reply. */
    public writeComplete(reply: ReplyHead, body: Buffer): void {
        if (this.res.destroyed) {
            return;
        }
        if (reply.isFramed) {
            const length = reply.hasBody ? ["content-length", String(body.length)] : [];
            this.res.writeHead(reply.status, [...reply.forwarded, ...length]);
        }
        else {
            this.endsWithConnection = true;
            this.res.useChunkedEncodingByDefault = false;
            this.res.shouldKeepAlive = false;
            this.res.writeHead(reply.status, [...reply.forwarded, "connection", "close"]);
        }
        this.output.writeBody(body);
    }

    /** Writes an endpoint's head to begin the stream, unless it has begun. */
    public beginStream(reply: ReplyHead): void {
        if (this.begun || this.res.destroyed) {
            return;
        }
        this.begun = true;
        this.res.writeHead(reply.status, [...reply.forwarded]);
        this.res.flushHeaders();
    }

    /** Writes an event unless the caller has it. Resolves when the connection accepts more data. */
    public async writeEvent({ bytes, id, isComment }: RelayedEvent): Promise<void> {
        if (id !== undefined && this.hasEvent(id)) {
            return;
        }
        this.lastEventId = id ?? this.lastEventId;
        this.eventCount += isComment ? 0 : 1;
        await this.output.write(bytes);
    }

    /** Ends a stream as complete; `remainder` holds the bytes after the last complete event. */
    public async endStream(remainder: Buffer): Promise<void> {
        if (remainder.length > 0) {
            await this.output.write(remainder);
        }
        this.res.end();
    }

    /** Writes a refusal; destroys the connection when the reply has begun. */
    public refuse(refusal: Refusal): void {
        if (this.res.destroyed || this.res.headersSent) {
            this.destroy(refusal.reason);
            return;
        }
        writeRefusal(this.res, refusal);
    }

    /** Breaks the connection off, so that a partial reply does not look complete: one without framing by a reset. */
    private destroy(cause: string): void {
        this.progress.recordEnd(cause);
        if (this.endsWithConnection) {
            this.res.socket?.resetAndDestroy();
        }
        this.res.destroy();
    }

    /** Resets the connection of a caller that does not read, so that the system keeps no data for it either. */
    private reset(cause: string): void {
        this.progress.recordEnd(cause);
        this.res.socket?.resetAndDestroy();
        this.res.destroy();
    }

    /** True when the caller has the event. Ids are compared as numbers; an event counts as new if either is not one. */
    private hasEvent(id: string): boolean {
        const number = Number(id);
        const last = Number(this.lastEventId ?? Number.NaN);
        return Number.isFinite(number) && Number.isFinite(last) && number <= last;
    }
}
