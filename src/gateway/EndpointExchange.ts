/**
 * One attempt of a request at one endpoint: writes the request, checks that the reply is this request's, reads it whole
 * or relays its events as they come. Whatever is not a whole reply ends the connection, since the bytes that follow
 * could not be told apart.
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Clock, Disposable } from "../common/Types.js";
import type { EndpointConnections } from "../endpoints/EndpointConnections.js";
import type { CallerReply } from "./CallerReply.js";
import type { RunningAttempt } from "./EndpointTracker.js";
import { EventSplitter } from "./EventSplitter.js";
import type { AttemptOutcome, GatewayCodec, ReplyHead, RequestHead } from "./Types.js";

/** Bound on a whole reply, in bytes. */
const maxReplyBytes = 16 * 1024 * 1024;
/** A request that must not run twice goes on connections that were used within this time: some endpoints forget those
 * that rested for 300 ms, and a reset then does not tell whether the request has run. */
const provenIdleMs = 250;

export interface ExchangeOptions {
    readonly head: RequestHead;
    readonly headers: readonly string[];
    readonly body: Buffer;
    readonly attempt: RunningAttempt;
    readonly caller: CallerReply;
    readonly codec: GatewayCodec;
    readonly connections: EndpointConnections;
    readonly clock: Clock;
    /** Aborted when the caller leaves or the time is over. */
    readonly signal: AbortSignal;
    /** True when the request may run more than once. */
    readonly isRepeatable: boolean;
    /** The endpoint is given up after this much silence before the first byte, and between events. */
    readonly firstSignMs: number | undefined;
    readonly gapMs: number | undefined;
    /** Called when the endpoint begins to reply. */
    readonly onReply: (reply: ReplyHead) => void;
}

export class EndpointExchange {
    private quietTimer: Disposable | undefined;
    private finished = false;
    private req: ClientRequest | undefined;
    private res: IncomingMessage | undefined;
    private resolve: (end: AttemptOutcome) => void = () => undefined;

    public constructor(private readonly options: ExchangeOptions) {}

    public async run(): Promise<AttemptOutcome> {
        const { attempt, connections, head, headers, signal, isRepeatable } = this.options;
        const connected = await connections.connect(attempt.record.id, {
            method: head.method,
            path: head.target,
            headers,
            fresh: false,
            signal,
            ...(isRepeatable ? {} : { maxIdleMs: provenIdleMs }),
        });
        if (connected.isLeft()) {
            const { kind, message } = connected.extract();
            return kind === "aborted"
                ? { kind: "cancelled" }
                : { kind: "unsent", message, isSilent: kind === "timeout" };
        }
        const { req } = connected.unsafeCoerce();
        return this.exchange(req);
    }

    private exchange(req: ClientRequest): Promise<AttemptOutcome> {
        const { body, signal, firstSignMs } = this.options;
        this.req = req;
        return new Promise(resolve => {
            this.resolve = resolve;
            signal.addEventListener("abort", this.cancelled);
            req.on("error", err => this.broken(err.message));
            req.on("close", () => this.closed());
            req.on("response", res => void this.read(res));
            this.expectWithin(firstSignMs);
            req.end(body);
        });
    }

    private readonly cancelled = () => this.finish({ kind: "cancelled" });

    private async read(res: IncomingMessage): Promise<void> {
        const { codec, head, attempt } = this.options;
        this.res = res;
        const reply = codec.decodeReply(res);
        attempt.recordActivity();
        res.on("error", err => this.broken(err.message));
        if (reply.requestId !== undefined && reply.requestId !== head.id) {
            this.broken("the reply is to another request");
            return;
        }
        if (reply.status < 400 && !reply.isSigned) {
            this.broken("the reply is not signed");
            return;
        }
        if (reply.status === 200 && reply.isEventStream) {
            await this.relay(res, reply);
            return;
        }
        this.readWhole(res, reply);
    }

    private readWhole(res: IncomingMessage, reply: ReplyHead): void {
        const chunks: Buffer[] = [];
        let bytes = 0;
        res.on("data", (chunk: Buffer) => {
            this.options.attempt.recordActivity();
            bytes += chunk.length;
            chunks.push(chunk);
            if (bytes > maxReplyBytes) {
                this.broken("the reply is too long");
            }
        });
        res.on("close", () => this.closed());
        res.on("end", () => {
            if (!res.complete) {
                return;
            }
            this.finish(
                reply.isNotRun
                    ? { kind: "not-run", status: reply.status }
                    : { kind: "replied", reply, body: Buffer.concat(chunks) },
            );
        });
    }

    private async relay(res: IncomingMessage, reply: ReplyHead): Promise<void> {
        const { caller, attempt, gapMs, onReply } = this.options;
        const splitter = new EventSplitter();
        res.on("close", () => this.closed());
        caller.beginStream(reply);
        try {
            for await (const chunk of res) {
                attempt.recordActivity();
                this.expectWithin(gapMs);
                for (const event of splitter.push(chunk as Buffer)) {
                    onReply(reply);
                    await caller.writeEvent(event);
                }
                if (this.finished) {
                    return;
                }
            }
        }
        catch (err) {
            this.broken(err instanceof Error ? err.message : String(err));
            return;
        }
        if (res.complete && !this.finished) {
            await caller.endStream(splitter.remainder);
            this.finish({ kind: "replied", reply, body: undefined });
        }
    }

    private expectWithin(boundMs: number | undefined): void {
        this.quietTimer?.dispose();
        if (boundMs !== undefined && !this.finished) {
            this.quietTimer = this.options.clock.setTimer(boundMs, () => {
                this.finish({ kind: "broken", message: `nothing came for ${Math.round(boundMs)} ms`, isSilent: true });
            });
        }
    }

    /** A whole reply may still be on its way to the caller when its connection is given back. */
    private closed(): void {
        if (this.res?.complete !== true) {
            this.broken(this.res === undefined ? "the connection was closed" : "the reply was cut short");
        }
    }

    private broken(message: string): void {
        this.finish({ kind: "broken", message, isSilent: false });
    }

    private finish(end: AttemptOutcome): void {
        if (this.finished) {
            return;
        }
        this.finished = true;
        this.quietTimer?.dispose();
        this.options.signal.removeEventListener("abort", this.cancelled);
        if (end.kind === "broken" || end.kind === "cancelled") {
            this.req?.destroy();
        }
        this.resolve(end);
    }
}
