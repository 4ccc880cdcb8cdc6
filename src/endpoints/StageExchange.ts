/**
 * The HTTP exchange of a stage call on a connected socket: writes the request and reads the reply, with timeouts for
 * the first byte and for gaps that are independent of the request's deadline.
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import { BodyCollector } from "../common/BodyCollector.js";
import { onReply } from "../common/HttpReplies.js";
import type { Clock, Disposable } from "../common/Types.js";
import { closeConnection } from "./CloseConnection.js";
import { EventStreamReader, readWholeReply, type WholeOutput } from "./ReplyReader.js";
import type { StageCall, StageCallError } from "./Types.js";
import { refusalSchema } from "./Wire.js";

/** Maximum size of a reply, in bytes. */
const maxReplyBytes = 67_108_864;
const statusOk = 200;
const statusFailed = 422;
const statusRefused = 503;

export interface ExchangeBounds {
    /** Longest time until the first byte of the reply, in milliseconds. */
    readonly firstByteMs: number;
    /** Longest time without data after the first byte, in milliseconds. */
    readonly gapMs: number;
    /** On the local monotonic clock. */
    readonly deadlineMs: number;
}

export interface ExchangeOptions {
    readonly call: StageCall;
    readonly req: ClientRequest;
    /** True when an earlier request has used the connection. */
    readonly reused: boolean;
    readonly body: string;
    readonly bounds: ExchangeBounds;
    readonly clock: Clock;
    readonly signal: AbortSignal;
    readonly onOutput: ((offset: number, text: string) => void) | undefined;
}

export interface ExchangeEnd {
    readonly result: { readonly whole: WholeOutput; } | { readonly error: StageCallError; };
    readonly firstByteMs: number | undefined;
    readonly incarnation: string | undefined;
    /** True when the exchange ended because the connection was silent for too long. */
    readonly silent: boolean;
}

export class StageExchange {
    private readonly reader: EventStreamReader;
    private readonly sentAtMs: number;
    private firstByteMs: number | undefined;
    private silenceTimer: Disposable | undefined;
    private readonly deadlineTimer: Disposable;
    private finished = false;
    private resolve: (end: ExchangeEnd) => void = () => undefined;

    public constructor(private readonly options: ExchangeOptions) {
        this.reader = new EventStreamReader(options.call, options.onOutput);
        this.sentAtMs = options.clock.nowMs();
        const leftMs = Math.max(0, options.bounds.deadlineMs - this.sentAtMs);
        this.deadlineTimer = options.clock.setTimer(
            leftMs,
            () => this.fail(this.lostError("the deadline has passed", false)),
        );
    }

    /** Writes the request and reads the reply. */
    public run(): Promise<ExchangeEnd> {
        const { req, signal, body, bounds } = this.options;
        return new Promise(resolve => {
            this.resolve = resolve;
            signal.addEventListener("abort", this.onAbort);
            req.on("error", err => this.failBroken(err.message));
            req.on("close", () => this.failBroken("the connection was closed before a reply"));
            onReply(req, { read: res => this.readReply(res), fail: fault => this.failBroken(fault.message) });
            this.restartSilenceTimer(bounds.firstByteMs);
            req.end(body);
        });
    }

    private readonly onAbort = () => this.fail({ kind: "cancelled", message: "cancelled" });

    private readReply(res: IncomingMessage): void {
        const streams = res.headers["content-type"]?.startsWith("text/event-stream") === true;
        const body = new BodyCollector(maxReplyBytes);
        let bytes = 0;
        res.on("data", (chunk: Buffer) => {
            this.firstByteMs ??= this.options.clock.nowMs() - this.sentAtMs;
            this.restartSilenceTimer(this.options.bounds.gapMs);
            bytes += chunk.length;
            const bad = streams ? this.reader.write(chunk) : undefined;
            const isTooLong = streams ? bytes > maxReplyBytes : body.add(chunk) !== undefined;
            if (bad !== undefined || isTooLong) {
                this.fail(bad ?? { kind: "bad-reply", message: "the reply is too long, or comes in too many parts" });
            }
        });
        res.on("error", err => this.failBroken(err.message));
        res.on("close", () => this.failBroken("the connection was closed before the reply was complete"));
        res.on("end", () => {
            if (res.complete) {
                this.finishReply(res.statusCode ?? 0, streams, body.toText());
            }
        });
    }

    private finishReply(status: number, streams: boolean, text: string): void {
        if (status === statusOk && streams) {
            const { whole } = this.reader;
            return whole === undefined
                ? this.fail(this.lostError("the stream ended without its end event", false))
                : this.finish({ whole });
        }
        if (status === statusOk) {
            return readWholeReply(this.options.call, text).caseOf({
                Left: bad => this.fail(bad),
                Right: whole => this.finish({ whole }),
            });
        }
        this.fail(errorOf(status, text));
    }

    private lostError(message: string, crashed: boolean): StageCallError {
        return { kind: "lost", message, crashed, received: this.reader.received };
    }

    /** A reset of a reused connection before the first byte may just be the endpoint closing an idle connection. */
    private failBroken(message: string): void {
        const mayBeIdleClose = this.options.reused && this.firstByteMs === undefined;
        this.fail(this.lostError(message, !mayBeIdleClose));
    }

    /** Fails the exchange unless data arrives within `boundMs`. */
    private restartSilenceTimer(boundMs: number): void {
        this.silenceTimer?.dispose();
        if (!this.finished) {
            this.silenceTimer = this.options.clock.setTimer(boundMs, () => {
                this.finish({ error: this.lostError(`no data received for ${boundMs} ms`, false) }, true);
            });
        }
    }

    private fail(error: StageCallError): void {
        this.finish({ error });
    }

    private finish(result: ExchangeEnd["result"], silent: boolean = false): void {
        if (this.finished) {
            return;
        }
        this.finished = true;
        this.silenceTimer?.dispose();
        this.deadlineTimer.dispose();
        this.options.signal.removeEventListener("abort", this.onAbort);
        if ("error" in result) {
            // Only an output echoes its call. Anything else may be an earlier reply, so that this call's would go to the next.
            closeConnection(this.options.req);
        }
        const incarnation = "whole" in result ? result.whole.incarnation : this.reader.incarnation;
        this.resolve({ result, firstByteMs: this.firstByteMs, incarnation, silent });
    }
}

function errorOf(status: number, text: string): StageCallError {
    const refusal = parseRefusal(text);
    if (status === statusRefused && refusal !== undefined) {
        return { kind: "refused", message: refusal.message, state: refusal.state };
    }
    if (status === statusFailed && refusal !== undefined) {
        return { kind: "stage-error", message: refusal.message };
    }
    return { kind: "bad-reply", message: `unexpected status ${status}` };
}

function parseRefusal(text: string) {
    try {
        const parsed = refusalSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
