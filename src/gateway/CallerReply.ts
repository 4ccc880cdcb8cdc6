/**
 * The reply to a caller. A whole reply is written at once. A stream is written event by event, and may be continued
 * by another endpoint: then the head stays that of the first one, and events that the caller has are left out. A stream
 * that can't be ended as complete ends by breaking the connection.
 */
import type * as http from "node:http";
import { writeJson } from "../common/WriteJson.js";
import type { RelayedEvent } from "./EventSplitter.js";
import type { Refusal, ReplyHead } from "./Types.js";

/** Statuses by which a refusal says whether the request has run. */
const statusOf: Readonly<Record<Refusal["reason"], number>> = {
    "bad-request": 400,
    "no-route": 404,
    "unknown-key": 401,
    "too-large": 413,
    "no-configuration": 503,
    "configuration-unconfirmed": 503,
    "quarantined": 503,
    "overloaded": 503,
    "no-endpoint": 503,
    "stopping": 503,
    "broken": 502,
    "deadline": 504,
};
/** For refusals that promise that the request has not run. */
const notRunStatus = 503;
const outcomeHeader = "fireflykeel-outcome";

export class CallerReply {
    private begun = false;
    private lastEventId: string | undefined;
    private eventCount = 0;

    public constructor(private readonly res: http.ServerResponse, lastEvent: string | undefined) {
        this.lastEventId = lastEvent;
    }

    /** True once the head of a stream has been written. */
    public get hasBegun(): boolean {
        return this.begun;
    }

    /** The last event that the caller has, of this reply or of the one that it resumes. */
    public get lastEvent(): string | undefined {
        return this.lastEventId;
    }

    /** Events of this reply. */
    public get events(): number {
        return this.eventCount;
    }

    public writeWhole(reply: ReplyHead, body: Buffer): void {
        if (this.res.destroyed) {
            return;
        }
        if (reply.isFramed) {
            this.res.writeHead(reply.status, [...reply.forwarded, "content-length", String(body.length)]);
        }
        else {
            this.writeUnframedHead(reply);
        }
        this.res.end(body);
    }

    /** Begins a stream with an endpoint's head, unless it has begun. */
    public beginStream(reply: ReplyHead): void {
        if (this.begun || this.res.destroyed) {
            return;
        }
        this.begun = true;
        if (reply.isFramed) {
            this.res.writeHead(reply.status, [...reply.forwarded]);
        }
        else {
            this.writeUnframedHead(reply);
        }
        this.res.flushHeaders();
    }

    /** Writes an event unless the caller has it. Resolves once more may be written. */
    public async writeEvent({ bytes, id }: RelayedEvent): Promise<void> {
        if (id !== undefined && this.hasEvent(id)) {
            return;
        }
        this.lastEventId = id ?? this.lastEventId;
        this.eventCount += 1;
        await this.write(bytes);
    }

    /** Ends a stream as complete; `remainder` is what came after the last whole event. */
    public async endStream(remainder: Buffer): Promise<void> {
        if (remainder.length > 0) {
            await this.write(remainder);
        }
        this.res.end();
    }

    public refuse(refusal: Refusal): void {
        if (this.res.destroyed || this.res.headersSent) {
            this.break();
            return;
        }
        const { reason, message, notRun, retryAfterMs } = refusal;
        const status = notRun && statusOf[reason] >= 500 ? notRunStatus : statusOf[reason];
        const headers = {
            [outcomeHeader]: notRun ? "not-run" : "unknown",
            ...(retryAfterMs === undefined ? {} : { "retry-after": (retryAfterMs / 1000).toFixed(2) }),
        };
        writeJson(this.res, status, headers, { reason, message, notRun });
    }

    /** Ends the connection, so that what was written does not look complete. */
    public break(): void {
        this.res.destroy();
    }

    /** A reply that ends with its connection goes on as one, so that it looks no more complete than it was. */
    private writeUnframedHead(reply: ReplyHead): void {
        this.res.useChunkedEncodingByDefault = false;
        this.res.shouldKeepAlive = false;
        this.res.writeHead(reply.status, [...reply.forwarded, "connection", "close"]);
    }

    private hasEvent(id: string): boolean {
        const number = Number(id);
        const last = Number(this.lastEventId ?? Number.NaN);
        return Number.isFinite(number) && Number.isFinite(last) && number <= last;
    }

    private async write(bytes: Buffer): Promise<void> {
        if (this.res.destroyed || this.res.write(bytes)) {
            return;
        }
        await new Promise<void>(resolve => {
            const done = () => {
                this.res.off("drain", done);
                this.res.off("close", done);
                resolve();
            };
            this.res.on("drain", done);
            this.res.on("close", done);
        });
    }
}
